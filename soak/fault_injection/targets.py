"""The type of an injection and the selection of its target, which all injectors share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from soak.account_server.server import AccountServer
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet, Member

Injection = Callable[[PlannedFault], Awaitable[str]]
"""Injects a fault, waits for its end and returns a description of its target."""

InjectionsByKind = Mapping[FaultKind, Injection]
"""The injections of one injector class, by the kind of fault."""


def choose_member(fleet: Fleet, fault: PlannedFault) -> Member:
    """Return the sidecar, with its clients, that is the target of a fault."""
    return fleet.members[int(fault.target_choice * len(fleet.members)) % len(fleet.members)]


def choose_server(fleet: Fleet, fault: PlannedFault) -> AccountServer:
    """Return the account server that is the target of a fault."""
    return fleet.servers[int(fault.target_choice * len(fleet.servers)) % len(fleet.servers)]

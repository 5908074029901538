"""Runs a fault plan: the registry of all injections, and the injector that runs a task for each fault."""

from __future__ import annotations

import asyncio
import math
from random import Random

from soak.fault_injection.account_server_faults import AccountServerFaultInjector, sends_duplicate_responses
from soak.fault_injection.client_faults import ClientFaultInjector
from soak.fault_injection.discovery_faults import DiscoveryFaultInjector
from soak.fault_injection.network_faults import NetworkFaultInjector
from soak.fault_injection.process_faults import ProcessFaultInjector
from soak.fault_injection.system_call_faults import SystemCallFaultInjector
from soak.fault_injection.targets import Injection
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet
from soak.history.events import InjectedFault


def injections_by_kind(fleet: Fleet, random: Random) -> dict[FaultKind, Injection]:
    """Return the injection of each kind of fault."""
    return {
        **ProcessFaultInjector(fleet, random).injections(),
        **SystemCallFaultInjector(fleet, random).injections(),
        **AccountServerFaultInjector(fleet).injections(),
        **NetworkFaultInjector(fleet, random).injections(),
        **DiscoveryFaultInjector(fleet).injections(),
        **ClientFaultInjector(fleet).injections(),
    }


class FaultInjector:
    """Injects each planned fault in a task of its own."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._injections = injections_by_kind(fleet, random)

    async def run(self, plan: list[PlannedFault]) -> None:
        """Inject all faults at their times, and return once the last has ended."""
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                group.create_task(self._run_fault(fault))

    async def _run_fault(self, fault: PlannedFault) -> None:
        clock = self._fleet.clock
        await asyncio.sleep(max(0.0, fault.starts_at_seconds - clock.now_seconds()))
        injected = InjectedFault(
            kind=fault.kind.value,
            target="",
            started_at_seconds=clock.now_seconds(),
            ended_at_seconds=math.inf,
            sends_duplicate_responses=sends_duplicate_responses(fault),
        )
        self._fleet.history.faults.append(injected)
        injected.target = await self._injections[fault.kind](fault)
        injected.ended_at_seconds = clock.now_seconds()

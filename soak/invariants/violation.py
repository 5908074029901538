"""The names of the invariants, and the violation that reports a broken one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from soak.deployment import Deployment
from soak.history.events import ClientRequest
from soak.history.history import History


class Invariant(StrEnum):
    """The invariants that must hold in every history; the values are their names in the report."""

    FINAL_RESPONSE = "final response"
    RESPONSE_ORIGIN = "response origin"
    REJECTION = "rejection"
    REQUEST_INTEGRITY = "request integrity"
    DUPLICATE_EXECUTION = "duplicate execution"
    ATTEMPT_LIMIT = "attempt limit"
    CONCURRENT_ATTEMPTS = "concurrent attempts"
    DISCONNECTED_CLIENT = "disconnected client"
    DEADLINE_PROPAGATION = "deadline propagation"
    DRAIN = "drain"
    SLOW_START = "slow start"
    TRAFFIC_SHARE = "traffic share"
    PROCESS = "process"
    RESOURCE_LIMIT = "resource limit"
    LOG = "log"
    MALFORMED_PEER = "malformed peer"
    RECOVERY = "recovery"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant and the events that show it."""

    invariant: Invariant
    message: str
    at_seconds: float
    events: tuple[object, ...]


Check = Callable[[History, Deployment], Iterator[Violation]]
"""Yields the violations of a history, without side effects. Its doc comment states the invariant."""


def request_violation(
    invariant: Invariant, message: str, at_seconds: float, request: ClientRequest
) -> Violation:
    """Return a violation that concerns one request."""
    return Violation(invariant, f"{request.request_id}: {message}", at_seconds, (request,))

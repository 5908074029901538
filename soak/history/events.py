"""The events of a soak. Times are seconds of its monotonic clock since its start."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any


class ConnectionEnd(StrEnum):
    """How a client's connection ended while a response was outstanding."""

    CLOSED = "closed by the sidecar"
    RESET = "reset by the sidecar"
    TRUNCATED_RESPONSE = "closed within a response"


class AttemptEnd(StrEnum):
    """How an attempt ended, as the account server saw it."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    CLOSED_BY_SIDECAR = "closed by the sidecar"
    BROKEN_BY_FAULT = "broken by a fault"


class EndpointHealth(StrEnum):
    """The health of an account server; the values are those of the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class ClientRequest:
    """A complete request written by a client, and its outcome."""

    request_id: str
    sidecar: str
    request_class: str
    sent_at_seconds: float
    """When its last byte was written; 0 before that."""
    timeout_seconds: float
    is_first_on_connection: bool
    connection_idle_seconds: float = 0.0
    """How long its connection had been idle before."""
    blocked_until_seconds: float = 0.0
    """The latest deadline of the requests before it on its connection, whose responses come first."""
    retried_after: ConnectionEnd | None = None
    """How its first connection ended, if the client sent the request once more."""
    disconnected_at_seconds: float | None = None
    """When its client closed the connection."""
    answered_at_seconds: float | None = None
    status: int = 0
    body: str = ""
    ended_at_seconds: float | None = None
    """When the connection ended without a response."""
    end: ConnectionEnd | None = None

    @property
    def deadline_seconds(self) -> float:
        """When its client gives up."""
        return self.sent_at_seconds + self.timeout_seconds


@dataclass(slots=True)
class Attempt:
    """A complete request that reached an account server."""

    request_id: str
    server: str
    connection: int
    started_at_seconds: float
    """When its first byte arrived."""
    received_at_seconds: float
    """When its last byte arrived."""
    propagated_timeout_seconds: float
    """The remaining time that the sidecar announced to the server."""
    ended_at_seconds: float | None = None
    end: AttemptEnd | None = None
    body: str = ""
    """Of the response that the server made."""

    @property
    def may_have_executed(self) -> bool:
        """Whether the server may have executed the request."""
        return self.end != AttemptEnd.REJECTED


@dataclass(slots=True)
class ServerIncarnation:
    """An account server from one start to its end."""

    server: str
    zone: str
    cell: int
    started_at_seconds: float
    needs_warm_up: bool
    ended_at_seconds: float | None = None
    healthy_since_seconds: float = 0.0
    """When the last fault on it ended, or when it started."""


@dataclass(slots=True)
class EndpointNotification:
    """A change of the endpoint list that a sidecar has to know from a time on."""

    sidecar: str
    server: str
    health: EndpointHealth
    notified_at_seconds: float


@dataclass(slots=True)
class SidecarIncarnation:
    """One process of a sidecar, from its start to its end."""

    sidecar: str
    process_id: int
    started_at_seconds: float
    ready_at_seconds: float | None = None
    stop_requested_at_seconds: float | None = None
    """When it got SIGTERM."""
    killed_at_seconds: float | None = None
    """When it got SIGKILL."""
    ended_at_seconds: float | None = None
    exit_status: int | None = None
    max_descriptors: int = 0
    max_memory_megabytes: float = 0.0
    log: str = ""


@dataclass(slots=True)
class MalformedPeer:
    """A client that sent no valid request."""

    sidecar: str
    behaviour: str
    connected_at_seconds: float
    ended_at_seconds: float | None = None
    first_bytes: str = ""


@dataclass(slots=True)
class InjectedFault:
    """A fault, from its start to its end."""

    kind: str
    target: str
    started_at_seconds: float
    ended_at_seconds: float
    sends_duplicate_responses: bool = False
    """Whether account servers send duplicate responses because of it."""


@dataclass(slots=True)
class HarnessLag:
    """A time in which the event loop of the soak itself was late."""

    started_at_seconds: float
    ended_at_seconds: float

    @property
    def seconds(self) -> float:
        """How late it was."""
        return self.ended_at_seconds - self.started_at_seconds


def to_json(events: Iterable[Any]) -> list[dict[str, Any]]:
    """Return events as JSON objects, each with its type."""
    return [{"event": type(event).__name__} | asdict(event) for event in events]

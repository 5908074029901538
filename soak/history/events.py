"""The events of a soak. Their times are seconds since the start of the soak, by a monotonic clock.

The report contains the names of the classes and of their fields.
"""

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
    """When its last byte was written; 0 if it has not been written."""
    timeout_seconds: float
    is_first_on_connection: bool
    content_digest: str = ""
    """The digest of what has to reach an account server unchanged (see `soak.request_content`)."""
    connection_idle_seconds: float = 0.0
    """How long its connection had been idle before the request was sent."""
    blocked_until_seconds: float = 0.0
    """The latest deadline of the pending requests before it on its connection, whose responses come first."""
    reading_seconds: float = 0.0
    """How long its client takes to read the response; 0 for a client that reads at once."""
    retried_after: ConnectionEnd | None = None
    """How its first connection ended, if the client retried the request."""
    disconnected_at_seconds: float | None = None
    """When its client closed the connection without waiting for the response."""
    answered_at_seconds: float | None = None
    """When its response was complete."""
    status: int = 0
    """The status of the response; 0 without a response."""
    body: str = ""
    ended_at_seconds: float | None = None
    """When the connection ended without a response."""
    end: ConnectionEnd | None = None

    @property
    def deadline_seconds(self) -> float:
        """When the time that the client allows for the response is over."""
        return self.sent_at_seconds + self.timeout_seconds


@dataclass(slots=True)
class Attempt:
    """An attempt, recorded once its complete request has reached the account server."""

    request_id: str
    server: str
    connection: int
    """The number of its connection to the server."""
    started_at_seconds: float
    """When its first byte arrived."""
    received_at_seconds: float
    """When its last byte arrived."""
    propagated_timeout_seconds: float
    """The remaining time that the sidecar announced to the server."""
    content_digest: str = ""
    """The digest of what the server received (see `soak.request_content`)."""
    was_read_slowly: bool = False
    """Whether its bytes had to wait at the server's machine until they were read."""
    ended_at_seconds: float | None = None
    end: AttemptEnd | None = None
    body: str = ""
    """The body of the response that the server made."""

    @property
    def may_have_executed(self) -> bool:
        """Whether the server may have executed the request."""
        return self.end != AttemptEnd.REJECTED


@dataclass(slots=True)
class ServerIncarnation:
    """One process of an account server, from its start to its end."""

    server: str
    zone: str
    cell: int
    started_at_seconds: float
    needs_warm_up: bool
    """Whether it starts with a part of its capacity and warms up."""
    ended_at_seconds: float | None = None
    healthy_since_seconds: float = 0.0
    """When the last fault of the server ended, or when it started."""


@dataclass(slots=True)
class EndpointNotification:
    """A change of the endpoint list, and when a sidecar has to know it at the latest."""

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
    """The largest number of open descriptors in a sample."""
    max_memory_megabytes: float = 0.0
    """The largest memory usage in a sample."""
    log: str = ""


@dataclass(slots=True)
class MalformedPeer:
    """A client that sent no valid request."""

    sidecar: str
    behaviour: str
    """What it did, in words."""
    connected_at_seconds: float
    ended_at_seconds: float | None = None
    first_bytes: str = ""
    """The first bytes that it got from the sidecar."""


@dataclass(slots=True)
class InjectedFault:
    """A fault of the plan, from its start to its end."""

    kind: str
    target: str
    started_at_seconds: float
    ended_at_seconds: float
    sends_duplicate_responses: bool = False
    """Whether account servers send duplicate responses because of it."""


@dataclass(slots=True)
class HarnessLag:
    """An interval in which the event loop of the soak itself was late."""

    started_at_seconds: float
    ended_at_seconds: float

    @property
    def seconds(self) -> float:
        """How late the event loop was."""
        return self.ended_at_seconds - self.started_at_seconds


def to_json(events: Iterable[Any]) -> list[dict[str, Any]]:
    """Return events as JSON objects, each with the name of its class."""
    return [{"event": type(event).__name__} | asdict(event) for event in events]

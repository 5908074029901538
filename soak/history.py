"""What happened in a soak, as typed events; times are seconds of its monotonic clock since its start."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any

LAG_PROBE_SECONDS = 0.01
"""Between two looks at how late the harness is."""
MIN_LAG_SECONDS = 0.002
"""Less lateness than this is not remembered."""


class EndOfConnection(StrEnum):
    """How a client's connection ended that waited for an answer."""

    CLOSED = "closed by the sidecar"
    RESET = "reset by the sidecar"
    BROKEN_ANSWER = "closed within an answer"


class EndOfAttempt(StrEnum):
    """How an attempt ended, as the account server saw it."""

    ANSWERED = "answered"
    DECLINED = "declined"
    ABANDONED = "closed by the sidecar"
    BROKEN = "broken by a fault"


@dataclass(slots=True)
class ClientRequest:
    """A request that a client wrote whole, and what came of it."""

    request_id: str
    sidecar: str
    kind: str
    sent_at: float
    """When its last byte was written."""
    timeout_seconds: float
    is_first_on_connection: bool
    connection_idle_seconds: float = 0.0
    """How long its connection had rested before."""
    blocked_until: float = 0.0
    """The latest deadline of the requests before it on its connection, whose answers come first."""
    resent_from: str = ""
    left_at: float | None = None
    """When its client closed the connection."""
    answered_at: float | None = None
    status: int = 0
    body: str = ""
    ended_at: float | None = None
    """When the connection ended without an answer."""
    end: EndOfConnection | None = None

    @property
    def deadline_at(self) -> float:
        """When its client gives up."""
        return self.sent_at + self.timeout_seconds


@dataclass(slots=True)
class Attempt:
    """A request that came to an account server, whole."""

    request_id: str
    server: str
    connection: int
    began_at: float
    """When its first byte came."""
    whole_at: float
    """When its last byte came."""
    told_seconds: float
    """The time that it told the server to have left."""
    ended_at: float | None = None
    end: EndOfAttempt | None = None
    body: str = ""
    """Of the answer that the server made."""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed by this attempt."""
        return self.end != EndOfAttempt.DECLINED


@dataclass(slots=True)
class ServerLife:
    """An account server from one start to its end."""

    server: str
    zone: str
    cell: int
    started_at: float
    is_cold: bool
    ended_at: float | None = None
    is_healthy_since: float = 0.0
    """No fault has been on it since."""


@dataclass(slots=True)
class Notice:
    """A change of the endpoint list that counts as told to a sidecar."""

    sidecar: str
    server: str
    health: str
    told_at: float


@dataclass(slots=True)
class SidecarLife:
    """One process of a sidecar."""

    sidecar: str
    process_id: int
    started_at: float
    ready_at: float | None = None
    stop_requested_at: float | None = None
    """When it got SIGTERM."""
    killed_at: float | None = None
    """When it got SIGKILL."""
    ended_at: float | None = None
    exit_status: int | None = None
    max_descriptors: int = 0
    max_memory_megabytes: float = 0.0
    log: str = ""


@dataclass(slots=True)
class MalformedPeer:
    """A peer that sent no proper request."""

    sidecar: str
    behaviour: str
    connected_at: float
    ended_at: float | None = None
    first_bytes: str = ""


@dataclass(slots=True)
class InjectedFault:
    """A fault, from its begin to its end."""

    kind: str
    target: str
    began_at: float
    ended_at: float
    detail: str = ""


@dataclass(slots=True)
class Lag:
    """The harness itself was late."""

    began_at: float
    ended_at: float


@dataclass(slots=True)
class History:
    """All events of one soak."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    servers: list[ServerLife] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    sidecars: list[SidecarLife] = field(default_factory=list)
    malformed_peers: list[MalformedPeer] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    quiet_since: float = 0.0
    """When the last fault had ended."""
    ended_at: float = 0.0

    def attempts_of(self, request_id: str) -> list[Attempt]:
        """Return the attempts of a request in the order in which they came whole."""
        return sorted((a for a in self.attempts if a.request_id == request_id), key=lambda a: a.whole_at)

    def attempts_by_request(self) -> dict[str, list[Attempt]]:
        """Return all attempts by their request, each in the order in which they came whole."""
        result: dict[str, list[Attempt]] = {}
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.whole_at):
            result.setdefault(attempt.request_id, []).append(attempt)
        return result

    def lag_within(self, began_at: float, ended_at: float) -> float:
        """Return for how long the harness was late in a time: what it saw then may have been earlier."""
        return sum(
            min(lag.ended_at, ended_at) - max(lag.began_at, began_at)
            for lag in self.lags
            if lag.began_at < ended_at and lag.ended_at > began_at
        )

    def longest_lag_within(self, began_at: float, ended_at: float) -> float:
        """Return the longest single lateness of the harness in a time."""
        lags = (lag for lag in self.lags if lag.began_at < ended_at and lag.ended_at > began_at)
        return max((lag.ended_at - lag.began_at for lag in lags), default=0.0)

    def faults_within(self, began_at: float, ended_at: float) -> Iterator[InjectedFault]:
        """Return the faults that were on at some moment of a time."""
        return (fault for fault in self.faults if fault.began_at <= ended_at and fault.ended_at >= began_at)

    def life_at(self, sidecar: str, at: float) -> SidecarLife | None:
        """Return the process of a sidecar that ran at a time."""
        for life in self.sidecars:
            if life.sidecar == sidecar and life.started_at <= at and (life.ended_at or at) >= at:
                return life
        return None


class HarnessClock:
    """Seconds since the start of the soak, and a wall clock that is stepped for the whole fleet at once."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.wall_clock_offset_ns = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def wall_time_ns(self) -> int:
        """Return the stepped wall clock, in nanoseconds since the Unix epoch."""
        return time.time_ns() + self.wall_clock_offset_ns


async def watch_lag(clock: HarnessClock, history: History) -> None:
    """Note when the event loop of the harness was late, until cancelled."""
    while True:
        expected_at = clock.now() + LAG_PROBE_SECONDS
        await asyncio.sleep(LAG_PROBE_SECONDS)
        now = clock.now()
        if now - expected_at > MIN_LAG_SECONDS:
            history.lags.append(Lag(expected_at, now))


def to_json(events: Iterable[Any]) -> list[dict[str, Any]]:
    """Return events as JSON objects, each with its type."""
    return [{"event": type(event).__name__} | asdict(event) for event in events]

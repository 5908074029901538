"""The history of one soak: its events, and the queries that the checks of the invariants need."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from soak.history.events import (
    Attempt,
    ClientRequest,
    EndpointNotification,
    HarnessLag,
    InjectedFault,
    MalformedPeer,
    ServerIncarnation,
    SidecarIncarnation,
)


@dataclass(slots=True)
class History:
    """All events of one soak."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    servers: list[ServerIncarnation] = field(default_factory=list)
    endpoint_notifications: list[EndpointNotification] = field(default_factory=list)
    sidecars: list[SidecarIncarnation] = field(default_factory=list)
    malformed_peers: list[MalformedPeer] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    lags: list[HarnessLag] = field(default_factory=list)
    faults_ended_at_seconds: float = 0.0
    """When the last fault had ended."""
    ended_at_seconds: float = 0.0

    def attempts_of(self, request_id: str) -> list[Attempt]:
        """Return the attempts of a request in the order of their arrival."""
        attempts = (attempt for attempt in self.attempts if attempt.request_id == request_id)
        return sorted(attempts, key=lambda attempt: attempt.received_at_seconds)

    def attempts_by_request(self) -> dict[str, list[Attempt]]:
        """Return all attempts by request, each list in the order of arrival."""
        attempts_by_request: dict[str, list[Attempt]] = {}
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.received_at_seconds):
            attempts_by_request.setdefault(attempt.request_id, []).append(attempt)
        return attempts_by_request

    def lag_seconds_within(self, start_seconds: float, end_seconds: float) -> float:
        """Return for how long the soak itself was late in an interval.

        Events that it recorded in the interval may have happened that much earlier.
        """
        return sum(
            min(lag.ended_at_seconds, end_seconds) - max(lag.started_at_seconds, start_seconds)
            for lag in self._lags_within(start_seconds, end_seconds)
        )

    def longest_lag_seconds_within(self, start_seconds: float, end_seconds: float) -> float:
        """Return the longest single lag of the soak itself in an interval."""
        lags = self._lags_within(start_seconds, end_seconds)
        return max((lag.seconds for lag in lags), default=0.0)

    def faults_within(self, start_seconds: float, end_seconds: float) -> Iterator[InjectedFault]:
        """Yield the faults that were active at some point of an interval."""
        return (
            fault
            for fault in self.faults
            if fault.started_at_seconds <= end_seconds and fault.ended_at_seconds >= start_seconds
        )

    def incarnation_at(self, sidecar: str, at_seconds: float) -> SidecarIncarnation | None:
        """Return the process of a sidecar that ran at this time, or None if none did."""
        for incarnation in self.sidecars:
            if incarnation.sidecar != sidecar or incarnation.started_at_seconds > at_seconds:
                continue
            if (incarnation.ended_at_seconds or at_seconds) >= at_seconds:
                return incarnation
        return None

    def _lags_within(self, start_seconds: float, end_seconds: float) -> Iterator[HarnessLag]:
        return (
            lag
            for lag in self.lags
            if lag.started_at_seconds < end_seconds and lag.ended_at_seconds > start_seconds
        )

"""The state of one endpoint: its entry in the endpoint list, the load sent to it and how it answers."""

from __future__ import annotations

from balancer.policy.endpoints.ejection_state import EjectionState
from balancer.policy.endpoints.endpoint_estimates import (
    ResponseHistory,
    FailureRateEstimate,
    LatencyRatioEstimate,
)
from balancer.policy.hashing import mix64
from balancer.policy_api import DeduplicationScope, Endpoint

MIN_WEIGHT = 1e-3
"""Lower bound of a registered weight (relative size): the ranking divides by the weight."""


class ConnectionUsage:
    """The connections that the attempts of this sidecar use at one endpoint."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0
        """The most connections that were needed at once."""

    def reserve(self, in_flight: int, streams_per_connection: int) -> bool:
        """Reserve a connection for the last of the attempts in flight; return whether it is a new one."""
        if in_flight <= self.count * streams_per_connection:
            return False
        self.count += 1
        return True

    def close(self) -> None:
        """Record that all connections are closed."""
        self.count = 0


class EndpointState:
    """An endpoint as this sidecar knows it."""

    __slots__ = (
        "_class_count",
        "affinity_hash",
        "cell",
        "connections",
        "ejection",
        "failure_rate",
        "health",
        "id",
        "in_flight",
        "latency_ratio",
        "rank_hash",
        "responses",
        "started_at_ns",
        "weight",
        "zone",
    )

    def __init__(self, entry: Endpoint, rank_salt: int, class_count: int) -> None:
        number = int.from_bytes(entry.id, "little")
        self.id = entry.id
        self.rank_hash = mix64(number ^ rank_salt)
        """Orders the endpoints for this sidecar."""
        self.affinity_hash = mix64(number)
        """Orders the endpoints for all sidecars alike, once the hash of a key is mixed in."""
        self.in_flight = 0
        """Attempts of this sidecar that have not ended."""
        self._class_count = class_count
        self._reset_history()
        self._apply(entry)

    def update(self, entry: Endpoint) -> None:
        """Apply a changed entry of the endpoint list; a restart of the endpoint clears its history."""
        if entry.started_at_ns != self.started_at_ns:
            self._reset_history()
        self._apply(entry)

    def start_attempt(self, now_ns: int) -> None:
        """Record the start of an attempt."""
        if not self.in_flight:
            self.responses.restart_wait(now_ns)
        self.in_flight += 1

    def end_attempt(self) -> None:
        """Record the end of an attempt, whatever its outcome."""
        self.in_flight -= 1

    def record_outcome(self, failed: bool, now_ns: int) -> None:
        """Record whether an attempt failed."""
        self.failure_rate.record(failed, now_ns)
        self.latency_ratio.mark_updated(now_ns)
        self.responses.record(failed, now_ns)
        self.ejection.record(failed)

    def drops_duplicates_of(self, other: EndpointState, scope: DeduplicationScope) -> bool:
        """Return whether repeats here of a keyed request that the other endpoint executed are dropped."""
        if scope == DeduplicationScope.ALL:
            return True
        if self.zone != other.zone:
            return False
        return scope == DeduplicationScope.ZONE or self.cell == other.cell

    def _apply(self, entry: Endpoint) -> None:
        self.zone = entry.zone
        self.cell = entry.cell
        self.health = entry.health
        self.started_at_ns = entry.started_at_ns
        self.weight = max(entry.weight, MIN_WEIGHT)

    def _reset_history(self) -> None:
        """Clear all but the entry of the endpoint list and the attempts in flight."""
        self.failure_rate = FailureRateEstimate(self._class_count)
        self.latency_ratio = LatencyRatioEstimate()
        self.responses = ResponseHistory()
        self.ejection = EjectionState()
        self.connections = ConnectionUsage()

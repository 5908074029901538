"""The state of one endpoint: its list entry, the attempts in flight, and the outcomes of earlier attempts."""

from __future__ import annotations

from balancer.policy.endpoints.ejection_state import EjectionState
from balancer.policy.endpoints.endpoint_estimates import (
    FailureRateEstimate,
    LatencyRatioEstimate,
    ResponseHistory,
)
from balancer.policy.hashing import mix64
from balancer.policy_api import DeduplicationScope, Endpoint

MIN_WEIGHT = 1e-3
"""Lower bound of a registered weight, which is relative to other endpoints: the ranking divides by it."""


class ConnectionUsage:
    """The number of connections that the attempts of this sidecar use at one endpoint."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0
        """Largest number of connections that were needed at once since they were last closed."""

    def reserve(self, in_flight: int, streams_per_connection: int) -> bool:
        """Reserve a connection for the newest attempt in flight, and return whether it needs a new one."""
        if in_flight <= self.count * streams_per_connection:
            return False
        self.count += 1
        return True

    def close(self) -> None:
        """Record that all connections are closed."""
        self.count = 0


class EndpointState:
    """What this sidecar knows about one endpoint."""

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
        """Determines the rank of the endpoint. It differs between sidecars, so that their subsets differ."""
        self.affinity_hash = mix64(number)
        """Determines, together with the hash of a key, the order of endpoints for that key.

        It is the same at all sidecars.
        """
        self.in_flight = 0
        """Number of attempts of this sidecar that have not ended."""
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
        """Record the end of an attempt, with any outcome."""
        self.in_flight -= 1

    def record_outcome(self, failed: bool, now_ns: int) -> None:
        """Update the estimates and the ejection state with the outcome of an attempt."""
        self.failure_rate.record(failed, now_ns)
        self.latency_ratio.mark_updated(now_ns)
        self.responses.record(failed, now_ns)
        self.ejection.record(failed)

    def drops_duplicates_of(self, other: EndpointState, scope: DeduplicationScope) -> bool:
        """Return whether this endpoint drops duplicates of requests that the other endpoint has executed.

        It does so for requests with an idempotency key if both are in one deduplication group.
        """
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
        """Clear all state except the list entry and the number of attempts in flight."""
        self.failure_rate = FailureRateEstimate(self._class_count)
        self.latency_ratio = LatencyRatioEstimate()
        self.responses = ResponseHistory()
        self.ejection = EjectionState()
        self.connections = ConnectionUsage()

"""What is known of one endpoint: its entry in the endpoint list, its load from here and how it answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer.policy.hashing import mix64
from balancer.policy_api import DeduplicationScope, Endpoint, EndpointHealth, EndpointId
from balancer.time_units import HOUR_NS, SECOND_NS

SMOOTHING = 0.25  # weight of a new sample in an estimate
ESTIMATE_HALF_LIFE_NS = 24 * SECOND_NS  # slow spells of an endpoint last about that long
SILENCE_NS = SECOND_NS  # queues answer all the time: with no answer for so long an endpoint is silent
MIN_WEIGHT = 1e-3


def freshness(since_ns: int, now: int) -> float:
    """Return the weight that an estimate still has: 1 when new, half after its half-life, then towards 0."""
    return ESTIMATE_HALF_LIFE_NS / (ESTIMATE_HALF_LIFE_NS + max(0, now - since_ns))


@dataclass(slots=True, eq=False)
class EndpointState:
    """An endpoint as this sidecar knows it. Two states are equal only if they are the same object."""

    id: EndpointId
    rank_hash: int
    """Its place in this sidecar's own order of the endpoints."""
    affinity_hash: int
    """Its place in the order that all sidecars share, before a request's key is mixed in."""
    zone: int
    cell: int
    health: EndpointHealth
    weight: float
    started_at_ns: int
    class_failure_rates: list[float]
    class_updated_at_ns: list[int]
    """When each of the class failure rates was last updated; 0: never."""
    in_flight: int = 0
    latency_ratio: float = field(init=False)
    """Its latency over the mean of the request's class, smoothed."""
    failure_rate: float = field(init=False)
    """Share of attempts that failed, smoothed."""
    last_answer_ns: int = field(init=False)
    """When an attempt last ended there; 0: never, so it counts as the mean of the others."""
    last_success_ns: int = field(init=False)
    consecutive_failures: int = field(init=False)
    ejection_count: int = field(init=False)
    """Ejections since the last success."""
    ejected_until_ns: int = field(init=False)
    health_check_pending: bool = field(init=False)
    """Whether a health check decides about its return from ejection."""
    connection_count: int = field(init=False)
    """The most connections that our attempts have needed at once so far."""
    newest_served_ns: int = field(init=False)
    """When the youngest of the requests that it has served had been sent."""
    unanswered_since_ns: int = field(init=False)
    """Since when it owes answers and has given none."""

    def __post_init__(self) -> None:
        self.forget_history()

    @classmethod
    def from_entry(cls, entry: Endpoint, rank_salt: int, class_count: int) -> EndpointState:
        """Make the state of an endpoint that is new in the list."""
        number = int.from_bytes(entry.id, "little")
        return cls(
            id=entry.id,
            rank_hash=mix64(number ^ rank_salt),
            affinity_hash=mix64(number),
            zone=entry.zone,
            cell=entry.cell,
            health=entry.health,
            weight=max(entry.weight, MIN_WEIGHT),
            started_at_ns=entry.started_at_ns,
            class_failure_rates=[0.0] * class_count,
            class_updated_at_ns=[0] * class_count,
        )

    def update(self, entry: Endpoint) -> None:
        """Take over a changed entry of the list; a restarted endpoint is as good as a new one."""
        if entry.started_at_ns != self.started_at_ns:
            self.forget_history()
        self.zone = entry.zone
        self.cell = entry.cell
        self.health = entry.health
        self.weight = max(entry.weight, MIN_WEIGHT)
        self.started_at_ns = entry.started_at_ns

    def forget_history(self) -> None:
        """Forget everything but the entry of the list and the attempts in flight."""
        self.class_failure_rates[:] = [0.0] * len(self.class_failure_rates)
        self.class_updated_at_ns[:] = [0] * len(self.class_updated_at_ns)
        self.latency_ratio = 1.0
        self.failure_rate = 0.0
        self.last_answer_ns = 0
        self.last_success_ns = -HOUR_NS
        self.consecutive_failures = 0
        self.ejection_count = 0
        self.ejected_until_ns = 0
        self.health_check_pending = False
        self.connection_count = 0
        self.newest_served_ns = 0
        self.unanswered_since_ns = 0

    def is_silent(self, now: int) -> bool:
        """Return whether it has answered nothing for a time in which any queue would have moved."""
        return now - self.unanswered_since_ns > SILENCE_NS

    def expected_failure_rate(self, class_index: int, now: int) -> float:
        """Return the share of failures that a request of this class has to expect; old estimates fade.

        An endpoint may fail one class and serve the others, as where a store is away or one call hangs. The
        trade-off: of a class with few requests it is learnt late.
        """
        of_class = self.class_failure_rates[class_index] * freshness(
            self.class_updated_at_ns[class_index], now
        )
        return max(self.failure_rate * freshness(self.last_answer_ns, now), of_class)

    def record_latency_ratio(self, ratio: float) -> None:
        """Take in the latency of an answer over the mean of its class."""
        if self.last_answer_ns:
            self.latency_ratio += SMOOTHING * (ratio - self.latency_ratio)
        else:
            self.latency_ratio = ratio

    def record_class_outcome(self, class_index: int, failed: bool, now: int) -> None:
        """Take in whether an attempt of this class failed."""
        rates = self.class_failure_rates
        rates[class_index] += SMOOTHING * (failed - rates[class_index])
        self.class_updated_at_ns[class_index] = now

    def record_outcome(self, failed: bool, now: int) -> None:
        """Take in whether an attempt failed, whatever its class."""
        self.failure_rate += SMOOTHING * (failed - self.failure_rate)
        self.last_answer_ns = self.unanswered_since_ns = now
        if failed:
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = self.ejection_count = 0
            self.last_success_ns = now

    def drops_duplicates_of(self, other: EndpointState, scope: DeduplicationScope) -> bool:
        """Return whether it drops repeats of a request with an idempotency key that the other executed."""
        if scope == DeduplicationScope.ALL:
            return True
        return self.zone == other.zone and (scope == DeduplicationScope.ZONE or self.cell == other.cell)

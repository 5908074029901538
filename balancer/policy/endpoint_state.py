"""What is known of one endpoint: its entry in the endpoint list, its load from here and how it answers."""

from __future__ import annotations

from balancer.policy.hashing import mix64
from balancer.policy_api import DeduplicationScope, Endpoint
from balancer.time_units import HOUR_NS, SECOND_NS

SMOOTHING = 0.25  # weight of a new sample in an estimate
ESTIMATE_HALF_LIFE_NS = 24 * SECOND_NS  # slow spells of an endpoint last about that long
SILENCE_NS = SECOND_NS  # queues answer all the time: with no answer for so long an endpoint is silent


def freshness(since_ns: int, now: int) -> float:
    """Return the weight that an estimate still has: 1 when new, half after its half-life, then towards 0."""
    return ESTIMATE_HALF_LIFE_NS / (ESTIMATE_HALF_LIFE_NS + max(0, now - since_ns))


class EndpointState:
    """An endpoint as this sidecar knows it."""

    def __init__(self, entry: Endpoint, rank_salt: int, class_count: int) -> None:
        number = int.from_bytes(entry.id, "little")
        self.id, self.started_at_ns = entry.id, entry.started_at_ns
        self.rank_hash = mix64(number ^ rank_salt)  # orders the endpoints for this sidecar
        self.affinity_hash = mix64(number)  # orders them for all sidecars, once a key is mixed in
        self.in_flight, self._class_count = 0, class_count
        self.forget_history()
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        """Take over a changed entry of the list; a restarted endpoint is as good as a new one."""
        if entry.started_at_ns != self.started_at_ns:
            self.forget_history()
        self.zone, self.cell = entry.zone, entry.cell
        self.health, self.started_at_ns = entry.health, entry.started_at_ns
        self.weight = max(entry.weight, 1e-3)  # it divides

    def forget_history(self) -> None:
        """Forget everything but the entry of the list and the attempts in flight."""
        self.class_failure_rates = [0.0] * self._class_count
        self.class_updated_at_ns = [0] * self._class_count
        self.latency_ratio = 1.0  # its latency over the mean of the request's class, smoothed
        self.failure_rate = 0.0  # share of attempts that failed, smoothed
        self.last_answer_ns, self.last_success_ns = 0, -HOUR_NS  # 0: none yet
        self.unanswered_since_ns = 0  # since when it owes answers and has given none
        self.newest_served_ns = 0  # when the youngest of the requests that it has served had been sent
        self.consecutive_failures = self.ejection_count = 0  # since its last success
        self.ejected_until_ns = 0
        self.health_check_pending = False  # a health check decides about its return from ejection
        self.connection_count = 0  # the most connections that our attempts have needed at once

    def is_silent(self, now: int) -> bool:
        """Return whether it has answered nothing for a time in which any queue would have moved."""
        return now - self.unanswered_since_ns > SILENCE_NS

    def expected_failure_rate(self, class_index: int, now: int) -> float:
        """Return the share of failures to expect; an endpoint may fail one class and serve the others."""
        updated_at_ns = self.class_updated_at_ns[class_index]
        of_class = self.class_failure_rates[class_index] * freshness(updated_at_ns, now)
        return max(self.failure_rate * freshness(self.last_answer_ns, now), of_class)

    def record_latency_ratio(self, ratio: float) -> None:
        """Take in the latency of an answer over the mean of its class."""
        known_ratio = self.latency_ratio if self.last_answer_ns else ratio
        self.latency_ratio = known_ratio + SMOOTHING * (ratio - known_ratio)

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
        is_near = self.zone == other.zone and (scope == DeduplicationScope.ZONE or self.cell == other.cell)
        return scope == DeduplicationScope.ALL or is_near

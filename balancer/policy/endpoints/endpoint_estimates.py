"""Estimates about one endpoint, learned from how its attempts end.

Each estimate is changed by its own methods only. An estimate of which no new sample arrives loses weight with
time, because an endpoint that was slow or failing a minute ago is likely to have recovered.
"""

from typing import NamedTuple

from balancer.time_units import HOUR_NS, SECOND_NS

SMOOTHING_FACTOR = 0.25
"""Weight of a new sample in a smoothed estimate (share): about the last four samples count."""

ESTIMATE_HALF_LIFE_NS = 24 * SECOND_NS
"""Age at which an estimate has half its weight (ns): slow spells of an endpoint last about that long."""

UNRESPONSIVE_AFTER_NS = SECOND_NS
"""Time without an answer after which an endpoint is silent (ns): even a long queue answers more often."""


def age_weight(updated_at_ns: int, now_ns: int) -> float:
    """Return the weight of an estimate: 1 when just updated, 1/2 after its half-life, then towards 0."""
    return ESTIMATE_HALF_LIFE_NS / (ESTIMATE_HALF_LIFE_NS + max(0, now_ns - updated_at_ns))


class ClassFailureRate(NamedTuple):
    """The smoothed failure rate of one request class at an endpoint."""

    rate: float
    updated_at_ns: int


NO_FAILURES = ClassFailureRate(0.0, 0)
"""The estimate before the first outcome; shared, as most endpoints of a long list never get a request."""


class FailureRateEstimate:
    """The smoothed share of attempts that fail, over all request classes and for each one."""

    __slots__ = ("_by_class", "overall", "updated_at_ns")

    def __init__(self, class_count: int) -> None:
        self.overall = 0.0
        self.updated_at_ns = 0
        self._by_class = [NO_FAILURES] * class_count

    def record(self, failed: bool, now_ns: int) -> None:
        """Record the outcome of an attempt of any class."""
        self.overall += SMOOTHING_FACTOR * (failed - self.overall)
        self.updated_at_ns = now_ns

    def record_for_class(self, class_index: int, failed: bool, now_ns: int) -> None:
        """Record the outcome of an attempt of one class."""
        rate = self._by_class[class_index].rate
        self._by_class[class_index] = ClassFailureRate(rate + SMOOTHING_FACTOR * (failed - rate), now_ns)

    def expected(self, class_index: int, now_ns: int) -> float:
        """Return the failure rate to expect for a class: the higher of its own and the overall one.

        An endpoint may fail all requests of one class and serve those of the others.
        """
        # Rates are mostly zero and this is called for each candidate of each attempt: hence the two branches.
        overall = self.overall
        if overall:
            overall *= age_weight(self.updated_at_ns, now_ns)
        class_rate, class_updated_at_ns = self._by_class[class_index]
        if class_rate:
            class_rate *= age_weight(class_updated_at_ns, now_ns)
        return max(overall, class_rate)


class LatencyRatioEstimate:
    """The smoothed ratio of an endpoint's latency to the mean latency of the request's class."""

    __slots__ = ("updated_at_ns", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.updated_at_ns = 0
        """When the endpoint last answered, with a success or a failure; 0 if it never did."""

    def record(self, ratio: float) -> None:
        """Record the ratio of a successful answer; the first one replaces the default."""
        known_ratio = self.value if self.updated_at_ns else ratio
        self.value = known_ratio + SMOOTHING_FACTOR * (ratio - known_ratio)

    def mark_updated(self, now_ns: int) -> None:
        """Record that the endpoint answered, which restores the full weight of the estimate."""
        self.updated_at_ns = now_ns

    def expected(self, now_ns: int) -> float:
        """Return the ratio to expect; it approaches 1 as the estimate ages."""
        return 1 + (self.value - 1) * age_weight(self.updated_at_ns, now_ns)


class ResponseHistory:
    """When an endpoint last served requests, and since when it owes an answer."""

    __slots__ = ("last_success_ns", "latest_served_start_ns", "waiting_since_ns")

    def __init__(self) -> None:
        self.last_success_ns = -HOUR_NS
        self.waiting_since_ns = 0
        """Start of the present wait for any answer."""
        self.latest_served_start_ns = 0
        """Start time of the most recently started attempt that succeeded."""

    def record(self, failed: bool, now_ns: int) -> None:
        """Record an answer."""
        self.waiting_since_ns = now_ns
        if not failed:
            self.last_success_ns = now_ns

    def record_served_attempt(self, started_at_ns: int) -> None:
        """Record that an attempt with this start time succeeded."""
        self.latest_served_start_ns = max(self.latest_served_start_ns, started_at_ns)

    def restart_wait(self, now_ns: int) -> None:
        """Measure the wait for an answer from now on."""
        self.waiting_since_ns = now_ns

    def is_unresponsive(self, now_ns: int) -> bool:
        """Return whether the endpoint has answered nothing for so long that queueing cannot be the cause."""
        return now_ns - self.waiting_since_ns > UNRESPONSIVE_AFTER_NS

"""Estimates about one endpoint, computed from the outcomes of the attempts at it.

The attributes of an estimate are changed by its own methods only. An estimate that gets no new samples loses
weight with time, because an endpoint that was slow or failing a minute ago is likely to have recovered.
"""

from typing import NamedTuple

from balancer.time_units import HOUR_NS, SECOND_NS

SMOOTHING_FACTOR = 0.25
"""Weight of a new sample in the exponential moving averages (share): about the last four samples count."""

ESTIMATE_HALF_LIFE_NS = 24 * SECOND_NS
"""Age at which an estimate has half its weight (ns): an endpoint is usually slow for about that long."""

UNRESPONSIVE_AFTER_NS = SECOND_NS
"""Time without a response after which an endpoint is unresponsive (ns).

Even an endpoint with a long queue sends responses more often than that.
"""


def age_weight(updated_at_ns: int, now_ns: int) -> float:
    """Return the weight of an estimate by its age: 1 when just updated, 1/2 at the half-life, then less."""
    return ESTIMATE_HALF_LIFE_NS / (ESTIMATE_HALF_LIFE_NS + max(0, now_ns - updated_at_ns))


class ClassFailureRate(NamedTuple):
    """The moving average of the failure rate of one request class at an endpoint."""

    rate: float
    updated_at_ns: int


NO_FAILURES = ClassFailureRate(0.0, 0)
"""The estimate before the first outcome.

One object is shared to save memory, as most endpoints of a long list never get a request.
"""


class FailureRateEstimate:
    """The moving average of the share of attempts that fail, over all request classes and for each class."""

    __slots__ = ("_by_class", "overall", "updated_at_ns")

    def __init__(self, class_count: int) -> None:
        self.overall = 0.0
        self.updated_at_ns = 0
        self._by_class = [NO_FAILURES] * class_count

    def record(self, failed: bool, now_ns: int) -> None:
        """Update the overall failure rate with the outcome of an attempt."""
        self.overall += SMOOTHING_FACTOR * (failed - self.overall)
        self.updated_at_ns = now_ns

    def record_for_class(self, class_index: int, failed: bool, now_ns: int) -> None:
        """Update the failure rate of one class with the outcome of an attempt."""
        rate = self._by_class[class_index].rate
        self._by_class[class_index] = ClassFailureRate(rate + SMOOTHING_FACTOR * (failed - rate), now_ns)

    def expected(self, class_index: int, now_ns: int) -> float:
        """Return the expected failure rate of a class: the higher of its own and the overall rate.

        Both are weighted by their age. An endpoint may fail all requests of one class and serve the others.
        """
        # This is called for each candidate of each attempt; most rates are zero and need no weight.
        overall = self.overall
        if overall:
            overall *= age_weight(self.updated_at_ns, now_ns)
        class_rate, class_updated_at_ns = self._by_class[class_index]
        if class_rate:
            class_rate *= age_weight(class_updated_at_ns, now_ns)
        return max(overall, class_rate)


class LatencyRatioEstimate:
    """The moving average of an endpoint's latency in multiples of the mean latency of the request class."""

    __slots__ = ("updated_at_ns", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.updated_at_ns = 0
        """Time of the last recorded outcome of an attempt, successful or failed; 0 if there was none."""

    def record(self, ratio: float) -> None:
        """Update the average with the ratio of a successful response.

        If it belongs to the first outcome, it replaces the default.
        """
        known_ratio = self.value if self.updated_at_ns else ratio
        self.value = known_ratio + SMOOTHING_FACTOR * (ratio - known_ratio)

    def mark_updated(self, now_ns: int) -> None:
        """Record the time of an outcome, successful or failed: the estimate has its full weight again."""
        self.updated_at_ns = now_ns

    def expected(self, now_ns: int) -> float:
        """Return the expected ratio; it approaches 1 as the estimate ages."""
        return 1 + (self.value - 1) * age_weight(self.updated_at_ns, now_ns)


class ResponseHistory:
    """When an endpoint last served requests, and since when a response from it is outstanding."""

    __slots__ = ("last_success_ns", "latest_served_start_ns", "waiting_since_ns")

    def __init__(self) -> None:
        self.last_success_ns = -HOUR_NS
        self.waiting_since_ns = 0
        """Start of the current wait for a response.

        Each outcome restarts the wait, and so does the start of an attempt while no other is in flight.
        """
        self.latest_served_start_ns = 0
        """Latest start time of all attempts that succeeded; an older attempt in flight has been overtaken."""

    def record(self, failed: bool, now_ns: int) -> None:
        """Record the outcome of an attempt, which ends the wait for a response."""
        self.waiting_since_ns = now_ns
        if not failed:
            self.last_success_ns = now_ns

    def record_served_attempt(self, started_at_ns: int) -> None:
        """Record that an attempt with this start time succeeded."""
        self.latest_served_start_ns = max(self.latest_served_start_ns, started_at_ns)

    def restart_wait(self, now_ns: int) -> None:
        """Measure the wait for a response from now on."""
        self.waiting_since_ns = now_ns

    def is_unresponsive(self, now_ns: int) -> bool:
        """Return whether no response has arrived for so long that queueing cannot be the cause."""
        return now_ns - self.waiting_since_ns > UNRESPONSIVE_AFTER_NS

"""Admission control: an adaptive threshold below which requests are rejected, lowest priority first.

Source: DAGOR, "Overload Control for Scaling WeChat Microservices", SoCC 2018, section 4. There are two
differences: the share of the traffic to reject follows from the responses of the endpoints, and the threshold
also moves within levels.
"""

from collections.abc import Sequence

from balancer.policy.overload.arrival_histogram import ArrivalHistogram, LevelRange
from balancer.policy.overload.priority_levels import USER_LEVELS, PriorityLevels
from balancer.policy_api import RequestReceived, Settings

MIN_REJECTION_STEP = 0.05
"""Least share of the admitted traffic by which a measurement cycle raises the rejections.

A smaller excess does not raise the threshold.
"""

MAX_REJECTION_STEP = 0.5
"""Largest share of the admitted traffic by which one measurement cycle raises the rejections."""

QUEUE_REDUCTION_SHARE = 0.25
"""Share by which the sidecar sends less than the endpoints finish, so that their queues shorten.

It applies to a queueing delay of one slack, and grows in proportion to the delay.
"""

MAX_QUEUE_REDUCTION_DELAY = 2.0
"""Queueing delay (share of the slack) beyond which the reduction grows no further."""

MIN_READMISSION_STEP = 0.005
"""Share of the arrivals that a measurement cycle admits again when the delay is barely below its threshold.

It is small because an overload that sustains itself (a metastable failure) ends only while the load is low.
"""

MAX_READMISSION_STEP = 0.1
"""Share of the arrivals that a measurement cycle admits again after a lasting time without queueing delay.

Such a time shows that the endpoints have spare capacity.
"""

READMISSION_RAMP_CYCLES = 8
"""Measurement cycles without overload, since the threshold was last raised, until the largest readmission.

Until then the readmission grows linearly with their number.
"""

NEGLIGIBLE_ARRIVAL_COUNT = 1e-9
"""Number of arrivals up to which a count is taken as zero, because it may be a rounding error."""

MAX_REJECTED_SHARE = 0.9
"""Largest share of the arrivals to reject: without attempts there would be no samples of the delay."""


class AdmissionControl:
    """Classifies requests and adjusts the threshold below which they are rejected."""

    def __init__(self, settings: Settings) -> None:
        self._levels = PriorityLevels(settings)
        self.arrivals = ArrivalHistogram(self._levels.business_level_count)
        self.threshold = 0.0
        """The lowest admitted priority: the integer part is a level, the fraction a position within it."""
        self.max_threshold = self._levels.business_level_count * USER_LEVELS
        self._cycles_without_overload = 0

    def classify(self, event: RequestReceived, now_ns: int) -> float:
        """Count an arriving request and return its priority: a level plus the position within it."""
        if event.key_hash:
            level = self._levels.keyed_level(event, now_ns)
            self.arrivals.record_keyed(level)
            return self._levels.keyed_priority(level)
        self.arrivals.record_keyless(self._levels.business_level(event))
        return self._levels.keyless_priority(event, now_ns)

    def adjust(self, queueing_delay: float, delay_threshold: float, response_ratio: float) -> float:
        """Raise the threshold during overload, otherwise lower it.

        Returns:
            The share of the admitted traffic that is rejected from now on.
        """
        if queueing_delay > delay_threshold:
            return self._reject_excess(queueing_delay, response_ratio)
        if self.threshold > 0:
            self._readmit(queueing_delay, delay_threshold)
        return 0.0

    def end_cycle(self) -> None:
        """Reduce the weight of older arrivals."""
        self.arrivals.end_cycle()

    def raise_threshold(self, share: float) -> None:
        """Raise the threshold so that it rejects this share of the admitted traffic.

        All rejections together stay within `MAX_REJECTED_SHARE`.
        """
        ranges = self.arrivals.level_ranges()
        count_to_reject = self._count_to_reject(ranges, share)
        for level_range in ranges:
            low = max(self.threshold, level_range.first_level)
            end_level = level_range.end_level
            arrival_count = level_range.count_between(low, end_level)
            if arrival_count <= NEGLIGIBLE_ARRIVAL_COUNT:
                continue
            if arrival_count >= count_to_reject:
                levels = max(0.0, count_to_reject) * level_range.level_count / level_range.arrival_count
                self.threshold = low + levels
                return
            count_to_reject -= arrival_count
            self.threshold = float(end_level)

    def lower_threshold(self, share: float) -> None:
        """Lower the threshold so that it admits this share of the arrivals again, by at least one level."""
        ranges = self.arrivals.level_ranges()
        count_to_admit = share * _total_count(ranges)
        one_level_lower = max(0.0, self.threshold - 1)
        for level_range in reversed(ranges):
            high = min(self.threshold, level_range.end_level)
            arrival_count = level_range.count_between(level_range.first_level, high)
            if arrival_count <= NEGLIGIBLE_ARRIVAL_COUNT:
                continue
            if arrival_count >= count_to_admit:
                levels = count_to_admit * level_range.level_count / level_range.arrival_count
                self.threshold = min(one_level_lower, high - levels)
                return
            count_to_admit -= arrival_count
            self.threshold = float(level_range.first_level)
        self.threshold = 0.0

    def _reject_excess(self, queueing_delay: float, response_ratio: float) -> float:
        """Reject what the endpoints cannot finish, unless it is very little, and return the share of it."""
        # Overloaded endpoints finish as much as they can, so their response ratio is a sustainable share.
        # The sidecar sends somewhat less than that, so that the queues shorten.
        reduction_share = QUEUE_REDUCTION_SHARE * min(MAX_QUEUE_REDUCTION_DELAY, queueing_delay)
        sustainable_share = response_ratio * (1 - reduction_share)
        if sustainable_share >= 1 - MIN_REJECTION_STEP:
            return 0.0
        rejected_share = min(MAX_REJECTION_STEP, 1 - sustainable_share)
        self.raise_threshold(rejected_share)
        self._cycles_without_overload = 0
        return rejected_share

    def _readmit(self, queueing_delay: float, delay_threshold: float) -> None:
        """Lower the threshold; a smaller delay and a longer time without overload lower it further."""
        self._cycles_without_overload = min(self._cycles_without_overload + 1, READMISSION_RAMP_CYCLES)
        margin = 1 - max(0.0, queueing_delay) / delay_threshold
        ramped_margin = margin * self._cycles_without_overload / READMISSION_RAMP_CYCLES
        self.lower_threshold(
            MIN_READMISSION_STEP + (MAX_READMISSION_STEP - MIN_READMISSION_STEP) * ramped_margin
        )

    def _count_to_reject(self, ranges: Sequence[LevelRange], share: float) -> float:
        """Return how many arrivals are this share of the admitted ones, within `MAX_REJECTED_SHARE`."""
        admitted = sum(
            level_range.arrival_count * level_range.share_above(self.threshold) for level_range in ranges
        )
        min_admitted = (1 - MAX_REJECTED_SHARE) * _total_count(ranges)
        return min(share * admitted, admitted - min_admitted)


def _total_count(ranges: Sequence[LevelRange]) -> float:
    return sum(level_range.arrival_count for level_range in ranges)

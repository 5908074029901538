"""Admission control: an adaptive threshold below which requests are rejected, lowest priority first.

Source: DAGOR, "Overload Control for Scaling WeChat Microservices", SoCC 2018, section 4. Other than there,
the share of the traffic to shed follows from the answers of the endpoints, and the threshold also moves
within levels.
"""

from collections.abc import Sequence

from balancer.policy.overload.arrival_histogram import ArrivalHistogram, LevelRange
from balancer.policy.overload.priority_levels import USER_LEVELS, PriorityLevels
from balancer.policy_api import RequestReceived, Settings

MIN_RAISE = 0.05
"""Least share of the admitted traffic that a cycle sheds; a smaller excess does not raise the threshold."""

MAX_RAISE = 0.5
"""Largest share of the admitted traffic that one cycle sheds."""

DRAIN = 0.25
"""Share by which less is sent than the endpoints finish, per slack of queueing delay, to empty queues."""

MAX_DRAIN_DELAY = 2.0
"""Queueing delay, in slacks, beyond which the endpoints are not drained any faster."""

MIN_LOWER = 0.005
"""Share of the arrivals that a cycle admits again without calm: states that feed on load end only at rest."""

MAX_LOWER = 0.1
"""Share of the arrivals that a cycle admits again in lasting calm, which shows spare capacity."""

CALM_RAMP_CYCLES = 8
"""Cycles without overload since the threshold was last raised, after which calm counts in full."""

NEGLIGIBLE_MASS = 1e-9
"""Number of arrivals that counts as none, because rounding may leave it."""

MAX_SHED = 0.9
"""Largest share of the arrivals to shed: without attempts there would be no samples of the delay."""


class AdmissionControl:
    """Classifies requests and adjusts the threshold below which they are rejected."""

    def __init__(self, settings: Settings) -> None:
        self._levels = PriorityLevels(settings)
        self.arrivals = ArrivalHistogram(self._levels.business_level_count)
        self.threshold = 0.0
        """A priority: a level, with a position within it as the fraction."""
        self.max_threshold = self._levels.business_level_count * USER_LEVELS
        self._calm_cycles = 0

    def classify(self, event: RequestReceived, now_ns: int) -> float:
        """Count an arriving request and return its priority: a level plus the position within it."""
        if event.key_hash:
            level = self._levels.keyed_level(event, now_ns)
            self.arrivals.record_keyed(level)
            return self._levels.keyed_priority(level)
        self.arrivals.record_keyless(self._levels.business_level(event))
        return self._levels.keyless_priority(event, now_ns)

    def adjust(self, queueing_delay: float, delay_threshold: float, answer_ratio: float) -> float:
        """Raise the threshold in overload, else lower it; return the share of the traffic newly shed."""
        if queueing_delay > delay_threshold:
            return self._shed_excess(queueing_delay, answer_ratio)
        if self.threshold > 0:
            self._readmit(queueing_delay, delay_threshold)
        return 0.0

    def end_cycle(self) -> None:
        """Let older arrivals decay."""
        self.arrivals.end_cycle()

    def raise_threshold(self, share: float) -> None:
        """Raise the threshold until this share of the admitted traffic is shed, within `MAX_SHED`."""
        ranges = self.arrivals.level_ranges()
        mass_to_shed = self._mass_to_shed(ranges, share)
        for level_range in ranges:
            low = max(self.threshold, level_range.first_level)
            end_level = level_range.end_level
            mass = level_range.mass_between(low, end_level)
            if mass <= NEGLIGIBLE_MASS:
                continue
            if mass >= mass_to_shed:
                levels = max(0.0, mass_to_shed) * level_range.level_count / level_range.mass
                self.threshold = low + levels
                return
            mass_to_shed -= mass
            self.threshold = float(end_level)

    def lower_threshold(self, share: float) -> None:
        """Lower the threshold until this share of the arrivals is admitted again, by at least one level."""
        ranges = self.arrivals.level_ranges()
        mass_to_admit = share * _total_mass(ranges)
        one_level_lower = max(0.0, self.threshold - 1)
        for level_range in reversed(ranges):
            high = min(self.threshold, level_range.end_level)
            mass = level_range.mass_between(level_range.first_level, high)
            if mass <= NEGLIGIBLE_MASS:
                continue
            if mass >= mass_to_admit:
                levels = mass_to_admit * level_range.level_count / level_range.mass
                self.threshold = min(one_level_lower, high - levels)
                return
            mass_to_admit -= mass
            self.threshold = float(level_range.first_level)
        self.threshold = 0.0

    def _shed_excess(self, queueing_delay: float, answer_ratio: float) -> float:
        """Shed what the endpoints cannot finish, if it is more than a little; return the share of it."""
        # Overloaded endpoints finish what they can. To send just that, less a part to drain, is enough.
        drain_share = DRAIN * min(MAX_DRAIN_DELAY, queueing_delay)
        sustainable_share = answer_ratio * (1 - drain_share)
        if sustainable_share >= 1 - MIN_RAISE:
            return 0.0
        shed_share = min(MAX_RAISE, 1 - sustainable_share)
        self.raise_threshold(shed_share)
        self._calm_cycles = 0
        return shed_share

    def _readmit(self, queueing_delay: float, delay_threshold: float) -> None:
        """Lower the threshold, the more the smaller the delay is and the longer that has lasted."""
        self._calm_cycles = min(self._calm_cycles + 1, CALM_RAMP_CYCLES)
        calm = 1 - max(0.0, queueing_delay) / delay_threshold
        lasting_calm = calm * self._calm_cycles / CALM_RAMP_CYCLES
        self.lower_threshold(MIN_LOWER + (MAX_LOWER - MIN_LOWER) * lasting_calm)

    def _mass_to_shed(self, ranges: Sequence[LevelRange], share: float) -> float:
        """Return the number of arrivals that make up a share of the admitted ones, within `MAX_SHED`."""
        admitted = sum(level_range.mass * level_range.share_above(self.threshold) for level_range in ranges)
        min_admitted = (1 - MAX_SHED) * _total_mass(ranges)
        return min(share * admitted, admitted - min_admitted)


def _total_mass(ranges: Sequence[LevelRange]) -> float:
    return sum(level_range.mass for level_range in ranges)

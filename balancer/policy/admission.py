"""Admission by two priority levels, business and user, with an adaptive threshold.

Source: DAGOR, "Overload Control for Scaling WeChat Microservices", SoCC 2018, section 4. Other than there,
what is shed follows from what the endpoints answer, and the threshold moves within levels too.
"""

from typing import NamedTuple

from balancer.policy.hashing import mix64
from balancer.policy_api import RequestReceived, Settings
from balancer.time_units import HOUR_NS

USER_LEVELS = 128  # as in DAGOR
MIN_RAISE, MAX_RAISE = 0.05, 0.5  # share of the admitted traffic that a cycle sheds
DRAIN = 0.25  # send this much less than endpoints finish for a delay of the whole slack, to empty queues
MIN_LOWER, MAX_LOWER = 0.005, 0.1  # share of the arrivals that a cycle admits again; grows with the calm
CALM_RAMP_CYCLES = 8  # and with how long that has lasted, up to so many cycles
HISTOGRAM_DECAY, MIN_MASS = 0.9, 0.02  # share of it kept from cycle to cycle, and what of a level is dropped
NEGLIGIBLE_MASS = 1e-9  # of arrivals; what rounding leaves counts as none
MAX_SHED = 0.9  # never shed all: without attempts there are no samples


class Arrivals(NamedTuple):
    """What has arrived on adjacent levels."""

    first_level: int
    level_count: int
    mass: float


class AdmissionControl:
    """The histogram of arrivals over the levels, and the threshold below which requests are rejected."""

    def __init__(self, settings: Settings) -> None:
        weights = sorted({request_class.priority_weight for request_class in settings.classes})
        self._business_levels = [weights.index(c.priority_weight) for c in settings.classes]
        self._instance_index, self._calm_cycles = settings.instance_index, 0
        self.threshold, self.max_threshold = 0.0, len(weights) * USER_LEVELS
        self.histogram: dict[int, float] = {}  # arrivals with keys, by level
        self.keyless_arrivals = [0.0] * len(weights)  # by business level; shared with other sidecars

    def classify(self, event: RequestReceived, now: int) -> float:
        """Count an arriving request and return its level, with a position within the level as fraction."""
        business = self._business_levels[event.class_index]
        salt = mix64(now // HOUR_NS)  # user levels are dealt anew each hour
        if event.key_hash:
            level = business * USER_LEVELS + mix64(event.key_hash ^ salt) % USER_LEVELS
            self.histogram[level] = self.histogram.get(level, 0.0) + 1
            return level + 0.5
        # One sidecar sees few user levels of these: the fleet's mass counts as even over all.
        self.keyless_arrivals[business] += 1
        user = mix64(self._instance_index ^ mix64(event.tenant_index ^ salt))
        return business * USER_LEVELS + user % USER_LEVELS + (user >> 7) / 2**57

    def adjust(self, queueing_delay: float, delay_threshold: float, answer_ratio: float) -> float:
        """Raise the threshold in overload, lower it else, and return the share of the traffic newly shed."""
        if queueing_delay > delay_threshold:
            # Endpoints in arrears finish what they can: to send that, less a part to drain, is enough.
            sustainable = answer_ratio * (1 - DRAIN * min(2.0, queueing_delay))
            if sustainable < 1 - MIN_RAISE:
                share = min(MAX_RAISE, 1 - sustainable)
                self.raise_threshold(share)
                self._calm_cycles = 0
                return share
        elif self.threshold > 0:
            # Spells that feed on load end only at rest, so the first steps are small; lasting calm is room.
            self._calm_cycles = min(self._calm_cycles + 1, CALM_RAMP_CYCLES)
            calm = (1 - max(0.0, queueing_delay) / delay_threshold) * self._calm_cycles / CALM_RAMP_CYCLES
            self.lower_threshold(MIN_LOWER + (MAX_LOWER - MIN_LOWER) * calm)
        return 0.0

    def end_cycle(self) -> None:
        """Let the older arrivals fade."""
        self.histogram = {k: mass * HISTOGRAM_DECAY for k, mass in self.histogram.items() if mass > MIN_MASS}
        self.keyless_arrivals = [mass * HISTOGRAM_DECAY for mass in self.keyless_arrivals]

    def raise_threshold(self, share: float) -> None:
        """Climb until the share of what was admitted is shed."""
        arrivals = self._arrivals_by_level()
        admitted = sum(
            mass * min(1.0, max(0.0, (low + count - self.threshold) / count)) for low, count, mass in arrivals
        )
        target = min(share * admitted, admitted - (1 - MAX_SHED) * sum(mass for _, _, mass in arrivals))
        for first, count, mass in arrivals:
            low = max(self.threshold, first)
            above = mass * (first + count - low) / count
            if above <= NEGLIGIBLE_MASS:
                continue
            if above >= target:
                self.threshold = low + max(0.0, target) * count / mass
                return
            target -= above
            self.threshold = float(first + count)

    def lower_threshold(self, share: float) -> None:
        """Descend until the share of what arrived is admitted again, by one level at least."""
        arrivals = self._arrivals_by_level()
        target = share * sum(mass for _, _, mass in arrivals)
        low = max(0.0, self.threshold - 1)
        for first, count, mass in reversed(arrivals):
            high = min(self.threshold, first + count)
            below = mass * (high - first) / count
            if below <= NEGLIGIBLE_MASS:
                continue
            if below >= target:
                self.threshold = min(low, high - target * count / mass)
                return
            target -= below
            self.threshold = float(first)
        self.threshold = 0.0

    def _arrivals_by_level(self) -> list[Arrivals]:
        """Return what arrived, by level; where two entries overlapped, the threshold would move too far."""
        by_level = dict(self.histogram)
        keyed = {level // USER_LEVELS for level in by_level}
        ranges = []
        for business, mass in enumerate(self.keyless_arrivals):
            first = business * USER_LEVELS
            if business not in keyed:
                ranges.append(Arrivals(first, USER_LEVELS, mass))
            elif mass:
                for level in range(first, first + USER_LEVELS):
                    by_level[level] = by_level.get(level, 0.0) + mass / USER_LEVELS
        return sorted(ranges + [Arrivals(level, 1, mass) for level, mass in by_level.items()])

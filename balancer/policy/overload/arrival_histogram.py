"""The histogram of arriving requests over the priority levels. Older arrivals count less in it."""

from typing import NamedTuple

from balancer.policy.overload.priority_levels import USER_LEVELS

HISTOGRAM_DECAY = 0.9
"""Share of the arrivals that is kept per measurement cycle: a time constant of about 2.5 s."""

MIN_LEVEL_COUNT = 0.02
"""Number of arrivals, decayed, at or below which a level is dropped, to bound the size of the histogram."""


class LevelRange(NamedTuple):
    """The arrivals on adjacent levels, which count as evenly distributed over them."""

    first_level: int
    level_count: int
    arrival_count: float
    """Number of arrivals, decayed."""

    @property
    def end_level(self) -> int:
        """The first level after the range."""
        return self.first_level + self.level_count

    def share_above(self, threshold: float) -> float:
        """Return the share of the arrivals whose priority is at or above a threshold."""
        return min(1.0, max(0.0, (self.first_level + self.level_count - threshold) / self.level_count))

    def count_between(self, low: float, high: float) -> float:
        """Return the number of arrivals between two priorities."""
        return self.arrival_count * (high - low) / self.level_count


class ArrivalHistogram:
    """Counts the arrivals: requests with a key by level, requests without one by business level."""

    def __init__(self, business_level_count: int) -> None:
        self._keyed: dict[int, float] = {}
        # At one sidecar the requests without keys are on few user levels, but over the fleet they are on all
        # of them evenly. So they are counted by business level, and gossip shares the counts.
        self.keyless = [0.0] * business_level_count

    def record_keyed(self, level: int) -> None:
        """Count an arrival with a key."""
        self._keyed[level] = self._keyed.get(level, 0.0) + 1

    def record_keyless(self, business_level: int) -> None:
        """Count an arrival without a key."""
        self.keyless[business_level] += 1

    def end_cycle(self) -> None:
        """Reduce the weight of older arrivals, and drop levels with almost none."""
        self._keyed = {
            level: arrival_count * HISTOGRAM_DECAY
            for level, arrival_count in self._keyed.items()
            if arrival_count > MIN_LEVEL_COUNT
        }
        self.keyless = [arrival_count * HISTOGRAM_DECAY for arrival_count in self.keyless]

    def level_ranges(self) -> list[LevelRange]:
        """Return the arrivals as disjoint ranges of levels, in order.

        A threshold passes the ranges one after the other, so it would move too far where two overlapped. In a
        business level that has arrivals with keys, those without keys are therefore distributed over single
        levels.
        """
        count_by_level = dict(self._keyed)
        keyed_business_levels = {level // USER_LEVELS for level in self._keyed}
        ranges: list[LevelRange] = []
        for business_level, arrival_count in enumerate(self.keyless):
            first_level = business_level * USER_LEVELS
            if business_level not in keyed_business_levels:
                ranges.append(LevelRange(first_level, USER_LEVELS, arrival_count))
            elif arrival_count:
                for level in range(first_level, first_level + USER_LEVELS):
                    count_by_level[level] = count_by_level.get(level, 0.0) + arrival_count / USER_LEVELS
        ranges += [LevelRange(level, 1, arrival_count) for level, arrival_count in count_by_level.items()]
        return sorted(ranges)

"""The measurement cycle: the period in which the overload control collects evidence before it adjusts.

At its end a control cycle adjusts admission and spillover. A measurement cycle that is short of samples is
extended over several control cycles.
"""

from balancer.time_units import SECOND_NS

CYCLE_NS = SECOND_NS // 4
"""Usual length of a cycle: a quarter of DAGOR's, as a burst of 3 s is over before longer cycles react."""

MAX_ATTEMPTS_PER_CYCLE = 2000
"""Attempts after which a cycle ends early, as in DAGOR."""

MAX_CYCLE_NS = 1.5 * SECOND_NS
"""Length up to which a cycle that is short of samples is extended to collect more."""


class MeasurementCycle:
    """Tracks when the current cycle began, and how many attempts have started in it."""

    def __init__(self) -> None:
        self.started_at_ns = 0
        self.attempt_count = 0

    def restart(self, now_ns: int) -> None:
        """Begin the next cycle."""
        self.started_at_ns = now_ns
        self.attempt_count = 0

    def elapsed_ns(self, now_ns: int) -> int:
        """Return the time since the start of the cycle."""
        return now_ns - self.started_at_ns

    def may_be_extended(self, now_ns: int) -> bool:
        """Return whether an extension may yield samples: without attempts there will be none."""
        return self.attempt_count > 0 and self.elapsed_ns(now_ns) < MAX_CYCLE_NS

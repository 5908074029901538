"""The clock of the soak, and the record of when its event loop was late.

The harness is the process of the soak itself, with the clients, account servers and discovery agents in it.
"""

from __future__ import annotations

import asyncio
import time

from soak.history.events import HarnessLag
from soak.history.history import History

LAG_PROBE_INTERVAL_SECONDS = 0.01
"""Seconds between two measurements: far below the tolerances of the invariants, at a low processor load."""
MIN_LAG_SECONDS = 0.002
"""Seconds; shorter lags are timer jitter and are not recorded."""


class HarnessClock:
    """Gives the time since the start of the soak, and a wall clock that faults step for the whole fleet.

    Attributes:
        wall_clock_offset_ns: how far the stepped wall clock is ahead of the machine's, in nanoseconds.
    """

    def __init__(self) -> None:
        self._started_at_seconds = time.monotonic()
        self.wall_clock_offset_ns = 0

    def now_seconds(self) -> float:
        """Return the seconds since the start of the soak."""
        return time.monotonic() - self._started_at_seconds

    def wall_time_ns(self) -> int:
        """Return the time of the stepped wall clock, in nanoseconds since the Unix epoch."""
        return time.time_ns() + self.wall_clock_offset_ns


async def record_lag(clock: HarnessClock, history: History) -> None:
    """Record when the event loop of the soak is late, until cancelled."""
    while True:
        expected_at_seconds = clock.now_seconds() + LAG_PROBE_INTERVAL_SECONDS
        await asyncio.sleep(LAG_PROBE_INTERVAL_SECONDS)
        now_seconds = clock.now_seconds()
        if now_seconds - expected_at_seconds > MIN_LAG_SECONDS:
            history.lags.append(HarnessLag(expected_at_seconds, now_seconds))

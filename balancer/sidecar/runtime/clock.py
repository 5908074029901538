"""The clock of the sidecar."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Monotonic time with an offset that makes it equal to the wall clock when the clock is created.

    It is never stepped, as the wall clock may be. The clocks of all sidecars agree closely enough for the
    policy, which reassigns the user levels every hour. Discovery gives the start times of endpoints in
    wall-clock time, which `StartTimeTranslator` converts to this clock.

    Attributes:
        monotonic_ns: Returns monotonic time in nanoseconds; a test may replace it.
    """

    def __init__(self) -> None:
        self.monotonic_ns: Callable[[], int] = time.monotonic_ns
        self._anchor_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        """Return the current time in nanoseconds since the Unix epoch."""
        return self.monotonic_ns() + self._anchor_ns

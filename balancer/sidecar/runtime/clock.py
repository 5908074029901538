"""The clock of the sidecar."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Monotonic time, anchored once to the wall clock.

    All sidecars agree on it closely enough to share hours, and it never jumps as the wall clock may. Start
    times of endpoints are wall clock time: `StartTimeTranslator` brings them to this clock.

    Attributes:
        monotonic_ns: The time that the clock follows, in nanoseconds; a test may replace it.
    """

    def __init__(self) -> None:
        self.monotonic_ns: Callable[[], int] = time.monotonic_ns
        self._anchor_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        """Return nanoseconds since the Unix epoch."""
        return self.monotonic_ns() + self._anchor_ns

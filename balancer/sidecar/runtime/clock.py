"""The clock of the sidecar."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time, anchored once to the wall clock.

    All sidecars agree on it closely enough to share hours, and it never jumps as the wall clock may. Start
    times of endpoints are wall clock time: `StartTimeTranslator` brings them to this clock.
    """

    def __init__(self) -> None:
        self._anchor_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        """Return nanoseconds since the Unix epoch."""
        return time.monotonic_ns() + self._anchor_ns

"""A clock that only a test advances, and an event loop whose timers use that clock."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any, cast

from balancer.sidecar.runtime.clock import Clock
from balancer.time_units import SECOND_NS

START_NS = 1_000_000 * SECOND_NS
"""The first reading of the clock: that of a machine that has run for some days."""


class ManualTimer:
    """A timer of `ManualTime`."""

    def __init__(self, callback: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._callback = callback
        self._arguments = arguments
        self._is_cancelled = False

    def cancel(self) -> None:
        """Stop the timer, so that it never calls back."""
        self._is_cancelled = True

    def fire(self) -> None:
        """Call back, unless the timer was cancelled."""
        if not self._is_cancelled:
            self._callback(*self._arguments)


class ManualTime(Clock):
    """A clock that stands still between calls of `advance`, which also fires the timers that become due."""

    def __init__(self) -> None:
        super().__init__()
        self._now_ns = START_NS
        # Timers that are due at the same time fire in the order in which they were started.
        self._sequence = itertools.count()
        self._timers: list[tuple[int, int, ManualTimer]] = []

    def now_ns(self) -> int:
        """Return the time to which the test has advanced the clock, in nanoseconds."""
        return self._now_ns

    def start_timer(
        self, delay_seconds: float, callback: Callable[..., object], *arguments: Any
    ) -> ManualTimer:
        """Call back once the test has advanced the clock by this delay."""
        timer = ManualTimer(callback, arguments)
        due_ns = self._now_ns + round(delay_seconds * SECOND_NS)
        heapq.heappush(self._timers, (due_ns, next(self._sequence), timer))
        return timer

    def advance(self, duration_ns: int) -> None:
        """Advance the clock. A timer that becomes due is fired at the time at which it is due."""
        end_ns = self._now_ns + duration_ns
        while self._timers and self._timers[0][0] <= end_ns:
            due_ns, _, timer = heapq.heappop(self._timers)
            self._now_ns = max(self._now_ns, due_ns)
            timer.fire()
        self._now_ns = end_ns


class _ManualTimeLoop:
    """The running event loop, except that its timers are those of a `ManualTime`."""

    def __init__(self, manual_time: ManualTime) -> None:
        self._loop = asyncio.get_running_loop()
        self.call_later = manual_time.start_timer

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


def event_loop_with_timers_of(manual_time: ManualTime) -> asyncio.AbstractEventLoop:
    """Return the running event loop, with timers that fire when the test advances this clock."""
    return cast(asyncio.AbstractEventLoop, _ManualTimeLoop(manual_time))

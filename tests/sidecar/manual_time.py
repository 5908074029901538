"""Time that passes only when a test says so: a clock, and an event loop with timers that follow it."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any, cast

from balancer.sidecar.runtime.clock import Clock
from balancer.time_units import SECOND_NS

START_NS = 1_000_000 * SECOND_NS


class ManualTimer:
    """A timer that has been started with `ManualTime`; it may be cancelled."""

    def __init__(self, callback: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._callback = callback
        self._arguments = arguments
        self._is_cancelled = False

    def cancel(self) -> None:
        """Drop the callback."""
        self._is_cancelled = True

    def fire(self) -> None:
        """Call back, unless the timer was cancelled."""
        if not self._is_cancelled:
            self._callback(*self._arguments)


class ManualTime(Clock):
    """A clock that stands still between calls of `advance`, which fires the timers that become due."""

    def __init__(self) -> None:
        super().__init__()
        self._now_ns = START_NS
        self._sequence = itertools.count()  # timers that are due at one time fire in the order of their start
        self._timers: list[tuple[int, int, ManualTimer]] = []

    def now_ns(self) -> int:
        """Return the time that the test has come to."""
        return self._now_ns

    def start_timer(
        self, delay_seconds: float, callback: Callable[..., object], *arguments: Any
    ) -> ManualTimer:
        """Call back once the test has advanced by this delay."""
        timer = ManualTimer(callback, arguments)
        due_ns = self._now_ns + round(delay_seconds * SECOND_NS)
        heapq.heappush(self._timers, (due_ns, next(self._sequence), timer))
        return timer

    def advance(self, duration_ns: int) -> None:
        """Let time pass. Each timer that becomes due meanwhile sees the time at which it is due."""
        end_ns = self._now_ns + duration_ns
        while self._timers and self._timers[0][0] <= end_ns:
            due_ns, _, timer = heapq.heappop(self._timers)
            self._now_ns = max(self._now_ns, due_ns)
            timer.fire()
        self._now_ns = end_ns


class _ManualTimeLoop:
    """The running event loop, but for its timers."""

    def __init__(self, time: ManualTime) -> None:
        self._loop = asyncio.get_running_loop()
        self.call_later = time.start_timer

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


def event_loop_with_timers_of(time: ManualTime) -> asyncio.AbstractEventLoop:
    """Return the running event loop with timers that follow this time."""
    return cast(asyncio.AbstractEventLoop, _ManualTimeLoop(time))

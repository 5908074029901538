"""Simulated time: a clock that advances to each scheduled callback in turn."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import TypeAlias

from tests.builders import START_NS

Callback: TypeAlias = Callable[[], None]


class EventQueue:
    """The scheduled callbacks, in order of time; those of one time are in the order of their scheduling."""

    def __init__(self) -> None:
        self.now_ns = START_NS
        self._sequence_numbers = count()
        self._callbacks: list[tuple[int, int, Callback]] = []

    def schedule(self, delay_ns: int, callback: Callback) -> None:
        """Schedule a callback after a delay; a negative delay counts as 0."""
        self.schedule_at(self.now_ns + max(0, delay_ns), callback)

    def schedule_at(self, due_at_ns: int, callback: Callback) -> None:
        """Schedule a callback at a point in time."""
        heappush(self._callbacks, (due_at_ns, next(self._sequence_numbers), callback))

    def run_next(self) -> None:
        """Advance the clock to the next callback and call it."""
        self.now_ns, _, callback = heappop(self._callbacks)
        callback()

    def run_until(self, end_ns: int) -> None:
        """Run the callbacks that are due up to a point in time, and advance the clock to it."""
        while self._callbacks and self._callbacks[0][0] <= end_ns:
            self.run_next()
        self.now_ns = end_ns

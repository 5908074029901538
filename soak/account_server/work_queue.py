"""The processing capacity of an account server."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

CORES = 2
"""Number of requests that a server processes at the same time."""


class WorkQueue:
    """The queue of the requests that a server has to process, each of which occupies one core.

    Args:
        draw_service_seconds: draws the seconds that a request takes if its processing starts now.
    """

    def __init__(self, draw_service_seconds: Callable[[], float]) -> None:
        self._draw_service_seconds = draw_service_seconds
        self._waiting: deque[Callable[[], None]] = deque()
        self._busy_cores = 0

    def add(self, on_processed: Callable[[], None]) -> None:
        """Process a request once a core is free, and call `on_processed` then."""
        self._waiting.append(on_processed)
        self._start_waiting()

    def _start_waiting(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self._busy_cores < CORES:
            self._busy_cores += 1
            on_processed = self._waiting.popleft()
            loop.call_later(self._draw_service_seconds(), self._finish, on_processed)

    def _finish(self, on_processed: Callable[[], None]) -> None:
        self._busy_cores -= 1
        on_processed()
        self._start_waiting()

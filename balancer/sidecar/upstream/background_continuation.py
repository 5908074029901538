"""The continuation of an attempt whose outcome is reported, in order to keep its connection open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.sidecar.runtime.timers import OneShotTimer


class BackgroundContinuation:
    """Limits the time of an attempt that continues in the background, and reports when it ends.

    Args:
        loop: The event loop.
        on_released: Is called once nothing of the attempt is in flight any more.
    """

    __slots__ = ("_on_released", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop, on_released: Callable[[], None]) -> None:
        self._timer = OneShotTimer(loop)
        self._on_released = on_released

    def start(self, seconds: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` after this time, unless the continuation ends earlier."""
        self._timer.start(seconds, on_timeout)

    def end(self) -> None:
        """Stop the timer, and report that nothing of the attempt is in flight any more."""
        self._timer.cancel()
        self._on_released()

"""One-shot timers with a single owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class OneShotTimer:
    """A timer of the event loop that its owner starts, restarts and cancels."""

    __slots__ = ("_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the timer has been started and has neither fired nor been cancelled."""
        return self._handle is not None

    def start(self, delay_seconds: float, callback: Callable[[], None]) -> None:
        """Call back once after this delay; a pending callback is cancelled."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self._loop.call_later(delay_seconds, self._fire, callback)

    def cancel(self) -> None:
        """Cancel the pending callback, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self, callback: Callable[[], None]) -> None:
        self._handle = None
        callback()

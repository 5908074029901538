"""Divides the requests of a connection into turns, so that no client delays the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

MAX_REQUESTS_PER_TURN = 4
"""How many requests a connection may have processed in one turn; few, so that a turn is short."""


class TurnScheduler(Protocol):
    """Calls back in the next iteration of the event loop."""

    def call_soon(self, callback: Callable[[], None], /) -> asyncio.Handle:
        """Call back once, after the events that are ready now."""


class RequestTurns:
    """The turns of one connection: at most one in each iteration of the event loop.

    The bytes of one read can hold thousands of requests. If all of them were processed at once, no other
    client would be served in the meantime.

    Args:
        scheduler: schedules the next turn.
    """

    __slots__ = ("_next_turn", "_scheduler")

    def __init__(self, scheduler: TurnScheduler) -> None:
        self._scheduler = scheduler
        self._next_turn: asyncio.Handle | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether requests that have been read wait for the next turn."""
        return self._next_turn is not None

    def schedule_next(self, process_requests: Callable[[], None]) -> None:
        """Call this function, which processes further requests, in the next iteration of the event loop.

        It is not stored for longer: a reference back to the connection would keep a closed one in memory.
        """
        if self._next_turn is None:
            self._next_turn = self._scheduler.call_soon(partial(self._begin, process_requests))

    def cancel(self) -> None:
        """Cancel the next turn, as the connection is lost."""
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None

    def _begin(self, process_requests: Callable[[], None]) -> None:
        self._next_turn = None
        process_requests()

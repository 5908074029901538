"""Waiting in asynchronous tests that needs neither polling nor real time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def wait_until_signalled(condition: Callable[[], bool], changed: asyncio.Event) -> None:
    """Wait until a condition holds; it is checked at once, then whenever an event is set.

    Args:
        condition: What to wait for.
        changed: Set whenever the condition may have become true. Only one waiter may use it at a time.
    """
    while not condition():
        changed.clear()
        await changed.wait()


async def run_ready_callbacks(rounds: int = 5) -> None:
    """Let the event loop run the callbacks that are ready, and those that they schedule, for some rounds."""
    for _ in range(rounds):
        await asyncio.sleep(0)

"""Waiting in asynchronous tests, without polling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def wait_until(condition: Callable[[], bool], changed: asyncio.Event) -> None:
    """Wait until a condition holds.

    Args:
        condition: What to wait for.
        changed: Is set whenever the condition may have begun to hold; only one waiter at a time may use it.
    """
    while not condition():
        changed.clear()
        await changed.wait()


async def run_ready_callbacks(rounds: int = 5) -> None:
    """Let the event loop run what is ready, and what becomes ready by that, for some rounds."""
    for _ in range(rounds):
        await asyncio.sleep(0)

"""Calls to discovery whose timeout is over, but whose response is still of use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.errors import DiscoveryError
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate

MAX_LATE_CALLS = 2
"""The largest number of late calls at a time, as each holds a connection."""

MAX_LATENESS_SECONDS = 5.0
"""How long after its timeout a call is still awaited."""


class LateCalls:
    """Waits for the responses of late calls, beside the calls that are made in their place.

    A source that takes longer than the timeout for every response would otherwise never be heard.

    Args:
        on_update: Receives each late response.
        loop: The event loop.
    """

    def __init__(
        self, on_update: Callable[[EndpointListUpdate], None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self._on_update = on_update
        self._loop = loop
        self._waiters: set[asyncio.Task[None]] = set()

    def add(self, call: asyncio.Task[EndpointListUpdate]) -> None:
        """Wait for the response of a call, or cancel the call if there are too many already.

        The oldest calls are kept, because their responses are due first.
        """
        if len(self._waiters) >= MAX_LATE_CALLS:
            call.cancel()
            return
        waiter = self._loop.create_task(self._wait_for(call))
        self._waiters.add(waiter)
        waiter.add_done_callback(self._waiters.discard)

    def cancel(self) -> None:
        """Cancel all late calls."""
        for waiter in self._waiters:
            waiter.cancel()

    async def wait_closed(self) -> None:
        """Wait until all calls have ended, after `cancel`."""
        if self._waiters:
            await asyncio.wait(self._waiters)

    async def _wait_for(self, call: asyncio.Task[EndpointListUpdate]) -> None:
        try:
            async with asyncio.timeout(MAX_LATENESS_SECONDS):
                update = await call
        except (TimeoutError, DiscoveryError):
            return  # the failure of the call was reported when its timeout was over
        self._on_update(update)

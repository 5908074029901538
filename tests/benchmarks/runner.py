"""Runs asynchronous tests on the event loop of the standard library, which the benchmarks use."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from benchmarks.discovery_stand_in import DiscoveryStandIn

TEST_TIMEOUT_SECONDS = 20.0
"""Time after which a hanging test fails. No test passes or fails because of a shorter time."""

ENDPOINT_COUNT = 3
"""Length of the endpoint list of the discovery agent."""


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test; raises TimeoutError if it hangs."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await test()

    asyncio.run(run_with_timeout())


def run_with_discovery(test: Callable[[DiscoveryStandIn], Awaitable[None]]) -> None:
    """Run a test with a discovery agent; raises TimeoutError if it hangs."""

    async def run_in_context() -> None:
        async with DiscoveryStandIn(ENDPOINT_COUNT) as discovery:
            await test(discovery)

    run(run_in_context)

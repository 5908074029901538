"""Runs asynchronous tests on the event loop that the sidecar uses."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

import uvloop

TestParameters = ParamSpec("TestParameters")


TEST_TIMEOUT_SECONDS = 20.0
"""Time after which a hanging test fails. No test passes or fails because of a shorter time."""


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on the event loop that the sidecar uses; raises TimeoutError if it hangs."""

    async def run_with_timeout() -> None:
        await asyncio.wait_for(test, TEST_TIMEOUT_SECONDS)

    uvloop.run(run_with_timeout())


def async_test(
    test: Callable[TestParameters, Coroutine[Any, Any, None]],
) -> Callable[TestParameters, None]:
    """Turn a coroutine function into a test function that runs it with `run`."""

    @functools.wraps(test)
    def run_test(*args: TestParameters.args, **kwargs: TestParameters.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds. It is checked at once, then in every iteration of the event loop."""
    loop = asyncio.get_running_loop()
    holds = loop.create_future()

    def check() -> None:
        if holds.done():
            return
        try:
            if condition():
                holds.set_result(None)
            else:
                loop.call_soon(check)
        except Exception as error:
            holds.set_exception(error)

    check()
    await holds

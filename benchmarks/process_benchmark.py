"""Runs a benchmark that measures a sidecar process, and stops that process when it is interrupted."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

from benchmarks.command_line import BenchmarkOptions, BenchmarkResult, print_results
from benchmarks.errors import BenchmarkError

EXIT_FAILURE = 1
"""Exit status if the sidecar does not become ready or exits early."""

EXIT_INTERRUPTED = 130
"""Exit status after SIGINT or SIGTERM, as shells report an interrupted program."""


def run_process_benchmark(
    program: str, measure: Callable[[int], Awaitable[BenchmarkResult]], options: BenchmarkOptions
) -> int:
    """Measure each length of the endpoint list, and print the results. Returns the exit status.

    Args:
        program: the name of the benchmark in error messages.
        measure: measures one length, and stops its sidecar process when it is cancelled.
        options: the options of the command line.
    """
    try:
        print_results(lambda entries: asyncio.run(_measure_until_terminated(measure, entries)), options)
    except BenchmarkError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    except (KeyboardInterrupt, asyncio.CancelledError):
        print(f"{program}: interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


async def _measure_until_terminated(
    measure: Callable[[int], Awaitable[BenchmarkResult]], entries: int
) -> BenchmarkResult:
    """Measure, and also stop the sidecar on SIGTERM; on SIGINT `asyncio.run` does so."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await measure(entries)

"""Runs a benchmark that measures a sidecar process, and stops that process when it is interrupted."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import TypeVar

from benchmarks.command_line import BenchmarkOptions, BenchmarkResult, print_results
from benchmarks.errors import BenchmarkError

EXIT_FAILURE = 1
"""Exit status if the sidecar does not become ready or exits early."""

EXIT_INTERRUPTED = 130
"""Exit status after SIGINT or SIGTERM, as shells report an interrupted program."""


Result = TypeVar("Result")


def run_process_benchmark(
    program: str, measure: Callable[[int], Coroutine[None, None, BenchmarkResult]], options: BenchmarkOptions
) -> int:
    """Measure each length of the endpoint list, and print the results. Returns the exit status.

    Args:
        program: the name of the benchmark in error messages.
        measure: measures one length, and stops its sidecar process when it is cancelled.
        options: the options of the command line.
    """

    def run() -> None:
        print_results(lambda entries: run_measurement(measure(entries)), options)

    return report_failure(program, run)


def report_failure(program: str, run: Callable[[], None]) -> int:
    """Run a benchmark. Returns the exit status, and prints one line if the benchmark fails or is interrupted.

    Args:
        program: the name of the benchmark in error messages.
        run: measures and prints the results.
    """
    try:
        run()
    except BenchmarkError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    except (KeyboardInterrupt, asyncio.CancelledError):
        print(f"{program}: interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


def run_measurement(measurement: Coroutine[None, None, Result]) -> Result:
    """Run a measurement in an event loop; SIGINT and SIGTERM cancel it."""
    return asyncio.run(_cancel_on_sigterm(measurement))


async def _cancel_on_sigterm(measurement: Coroutine[None, None, Result]) -> Result:
    """Run a measurement that SIGTERM cancels; on SIGINT `asyncio.run` does so."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await measurement

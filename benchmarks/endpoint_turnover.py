"""Measures the memory of one real sidecar process after endpoints have come and gone.

A stand-in for the discovery agent adds endpoints and removes them again, a batch at a time, so that each id
is listed only once. For each number of endpoints the benchmark measures the RSS before and after.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.command_line import BenchmarkResult, parse_options
from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.process_benchmark import run_process_benchmark
from benchmarks.sidecar_process import SidecarProcess

PROGRAM = "endpoint_turnover"

DEFAULT_ENTRIES = (10_000, 50_000, 100_000)
"""Numbers of endpoints that are measured by default."""

LASTING_ENDPOINT_COUNT = 10
"""Number of endpoints that stay listed."""

BATCH_SIZE = 100
"""Number of endpoints that are listed at a time beside the lasting ones."""


@dataclass(frozen=True, slots=True)
class TurnoverCost(BenchmarkResult):
    """Memory of a sidecar before and after this number of endpoints has come and gone."""

    rss_before_megabytes: float
    """After the first batch, so that buffers have their usual size."""
    rss_after_megabytes: float

    def to_line(self) -> str:
        """Return the figures as one line of text."""
        return (
            f"n={self.entries:6d} RSS {self.rss_before_megabytes:5.1f} MB before,"
            f" {self.rss_after_megabytes:5.1f} MB after"
        )


async def measure(entries: int) -> TurnoverCost:
    """Measure a sidecar while this number of endpoints comes and goes.

    Raises:
        BenchmarkError: the sidecar did not become ready, or exited while it was measured.
    """
    async with (
        DiscoveryStandIn(LASTING_ENDPOINT_COUNT) as discovery,
        SidecarProcess(discovery.port) as sidecar,
    ):
        await sidecar.wait_until_ready()
        end = LASTING_ENDPOINT_COUNT + entries
        first_of_second_batch = min(LASTING_ENDPOINT_COUNT + BATCH_SIZE, end)
        await _list_and_remove(discovery, range(LASTING_ENDPOINT_COUNT, first_of_second_batch))
        rss_before_megabytes = sidecar.resident_megabytes()
        for first in range(first_of_second_batch, end, BATCH_SIZE):
            await _list_and_remove(discovery, range(first, min(first + BATCH_SIZE, end)))
        return TurnoverCost(entries, rss_before_megabytes, sidecar.resident_megabytes())


async def _list_and_remove(discovery: DiscoveryStandIn, indices: range) -> None:
    for health in ("up", "removed"):
        for index in indices:
            await discovery.set_health(index, health)
        await discovery.wait_until_received()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark. Returns the exit status."""
    options = parse_options(PROGRAM, __doc__.partition("\n")[0], arguments, DEFAULT_ENTRIES)
    return run_process_benchmark(PROGRAM, measure, options)


if __name__ == "__main__":
    sys.exit(main())

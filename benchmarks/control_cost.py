"""Measures the cost of discovery in one real sidecar process that serves no requests.

A stand-in for the discovery agent serves the endpoint list. For each length the benchmark measures

- the time from the start of the process until it is ready, and its RSS,
- the share of a core that it uses while nothing changes, and at one change a second,
- the calls and bytes a second of the agent while nothing changes, and
- the CPU time for a burst in which one in 19 endpoints begins to drain.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.command_line import BenchmarkResult, parse_options
from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.process_benchmark import run_process_benchmark
from benchmarks.sidecar_process import SidecarProcess
from benchmarks.topology import ZONE_COUNT

PROGRAM = "control_cost"

SETTLING_SECONDS = 2.0
"""Pause after the start, so that the work of the start is not counted as idle usage."""

IDLE_SECONDS = 10.0
"""How long idle usage is measured: long enough for the resolution of processor time, which is 10 ms."""

CHANGE_COUNT = 10
"""Number of single changes of the endpoint list."""

CHANGE_INTERVAL_SECONDS = 1.0
"""Time between two single changes."""

BURST_DIVISOR = ZONE_COUNT
"""A burst drains one in this many endpoints: as many endpoints as one zone has."""

BURST_INTERVAL_SECONDS = 0.002
"""Time between two changes of a burst: long enough that they arrive in several deltas."""

BURST_SETTLING_SECONDS = 2.0
"""Pause after a burst, in which the sidecar receives and handles the last deltas."""


@dataclass(frozen=True, slots=True)
class ControlCost(BenchmarkResult):
    """Cost of discovery for one length of the endpoint list; shares of processor time are of one core."""

    ready_seconds: float
    rss_megabytes: float
    idle_cpu_share: float
    changing_cpu_share: float
    """Measured at one change of the endpoint list a second."""
    agent_bytes_per_second: float
    agent_calls_per_second: float
    burst_drains: int
    burst_cpu_seconds: float

    def to_line(self) -> str:
        """Return the figures as one line of text."""
        return (
            f"n={self.entries:6d} ready {self.ready_seconds:5.2f} s  RSS {self.rss_megabytes:5.1f} MB"
            f"  idle {self.idle_cpu_share * 100:5.2f}% of a core"
            f"  +1 change/s {self.changing_cpu_share * 100:5.2f}%"
            f"  agent {self.agent_bytes_per_second:6.0f} B/s in {self.agent_calls_per_second:.1f} calls/s"
            f"  burst of {self.burst_drains} drains: {self.burst_cpu_seconds:.2f} CPU s"
        )


@dataclass(frozen=True, slots=True)
class IdleUsage:
    """Usage of a sidecar while the endpoint list does not change; the share is of one core."""

    cpu_share: float
    agent_bytes_per_second: float
    agent_calls_per_second: float


async def measure(entries: int) -> ControlCost:
    """Measure a sidecar with an endpoint list of this length.

    Raises:
        BenchmarkError: the sidecar did not become ready, or exited while it was measured.
    """
    async with DiscoveryStandIn(entries) as discovery:
        started = time.monotonic()
        async with SidecarProcess(discovery.port) as sidecar:
            await sidecar.wait_until_ready()
            ready_seconds = time.monotonic() - started
            idle = await _measure_idle(sidecar, discovery)
            changing_cpu_share = await _measure_changes(sidecar, discovery, entries)
            burst_drains = entries // BURST_DIVISOR
            burst_cpu_seconds = await _measure_burst(sidecar, discovery, entries, burst_drains)
            return ControlCost(
                entries=entries,
                ready_seconds=ready_seconds,
                rss_megabytes=sidecar.resident_megabytes(),
                idle_cpu_share=idle.cpu_share,
                changing_cpu_share=changing_cpu_share,
                agent_bytes_per_second=idle.agent_bytes_per_second,
                agent_calls_per_second=idle.agent_calls_per_second,
                burst_drains=burst_drains,
                burst_cpu_seconds=burst_cpu_seconds,
            )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark. Returns the exit status."""
    options = parse_options(PROGRAM, __doc__.partition("\n")[0], arguments)
    return run_process_benchmark(PROGRAM, measure, options)


async def _measure_idle(sidecar: SidecarProcess, discovery: DiscoveryStandIn) -> IdleUsage:
    await asyncio.sleep(SETTLING_SECONDS)
    cpu_before = sidecar.cpu_seconds()
    totals_before = discovery.totals
    await asyncio.sleep(IDLE_SECONDS)
    cpu_seconds = sidecar.cpu_seconds() - cpu_before
    totals = discovery.totals
    return IdleUsage(
        cpu_share=cpu_seconds / IDLE_SECONDS,
        agent_bytes_per_second=(totals.bytes_transferred - totals_before.bytes_transferred) / IDLE_SECONDS,
        agent_calls_per_second=(totals.calls - totals_before.calls) / IDLE_SECONDS,
    )


async def _measure_changes(sidecar: SidecarProcess, discovery: DiscoveryStandIn, entries: int) -> float:
    """Change the list once a second. Returns the share of a core that the sidecar uses meanwhile."""
    cpu_before = sidecar.cpu_seconds()
    for index in range(CHANGE_COUNT):
        await discovery.set_health(index % entries, "draining")
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    return (sidecar.cpu_seconds() - cpu_before) / (CHANGE_COUNT * CHANGE_INTERVAL_SECONDS)


async def _measure_burst(
    sidecar: SidecarProcess, discovery: DiscoveryStandIn, entries: int, drain_count: int
) -> float:
    """Drain a burst of endpoints that are still ready. Returns the processor time used, in seconds."""
    cpu_before = sidecar.cpu_seconds()
    for drain_index in range(drain_count):
        await discovery.set_health((CHANGE_COUNT + drain_index) % entries, "draining")
        await asyncio.sleep(BURST_INTERVAL_SECONDS)
    await asyncio.sleep(BURST_SETTLING_SECONDS)
    return sidecar.cpu_seconds() - cpu_before


if __name__ == "__main__":
    sys.exit(main())

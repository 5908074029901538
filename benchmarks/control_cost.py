"""Measures what discovery costs one real sidecar process that serves no requests.

For each length of the endpoint list, with a stand-in for discovery's agent: the time from start to ready,
RSS, the share of a core while nothing changes and at one change a second, calls and bytes a second of the
agent while nothing changes, and the CPU time for a burst in which one endpoint of 19 begins to drain.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass

from benchmarks.command_line import parse_options, print_results
from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.errors import BenchmarkError
from benchmarks.sidecar_process import SidecarProcess

SETTLING_SECONDS = 2.0
IDLE_SECONDS = 10.0
CHANGES = 10
CHANGE_INTERVAL_SECONDS = 1.0
BURST_DIVISOR = 19
BURST_INTERVAL_SECONDS = 0.002
BURST_SETTLING_SECONDS = 2.0

EXIT_FAILURE = 1
EXIT_INTERRUPTED = 130


@dataclass(frozen=True, slots=True)
class ControlCost:
    """The figures for one length of the endpoint list; CPU shares are of one core."""

    entries: int
    ready_seconds: float
    rss_megabytes: float
    idle_cpu_share: float
    changing_cpu_share: float
    """At one change a second."""
    agent_bytes_per_second: float
    agent_calls_per_second: float
    burst_drains: int
    burst_cpu_seconds: float

    def to_line(self) -> str:
        """Write the figures in one line."""
        return (
            f"n={self.entries:6d} ready {self.ready_seconds:5.2f} s  RSS {self.rss_megabytes:5.1f} MB"
            f"  idle {self.idle_cpu_share * 100:5.2f}% of a core"
            f"  +1 change/s {self.changing_cpu_share * 100:5.2f}%"
            f"  agent {self.agent_bytes_per_second:6.0f} B/s in {self.agent_calls_per_second:.1f} calls/s"
            f"  burst of {self.burst_drains} drains: {self.burst_cpu_seconds:.2f} CPU s"
        )

    def to_json(self) -> dict[str, int | float]:
        """Give the figures by name."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class IdleUsage:
    """What a sidecar takes while nothing changes."""

    cpu_share: float
    agent_bytes_per_second: float
    agent_calls_per_second: float


async def measure(entries: int) -> ControlCost:
    """Run a sidecar with an endpoint list of this length; raises BenchmarkError if it fails to run."""
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
    """Run the benchmark; returns the exit code."""
    options = parse_options("control_cost", __doc__.partition("\n")[0], arguments)
    try:
        print_results(_measure_all(options.entries), options.as_json)
    except BenchmarkError as error:
        print(f"control_cost: {error}", file=sys.stderr)
        return EXIT_FAILURE
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("control_cost: interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


def _measure_all(entries: Sequence[int]) -> Iterator[ControlCost]:
    for count in entries:
        yield asyncio.run(_measure_until_terminated(count))


async def _measure_until_terminated(entries: int) -> ControlCost:
    """Measure; SIGTERM ends the sidecar as well, as SIGINT does through asyncio."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await measure(entries)


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
    """The share of a core at one change a second."""
    cpu_before = sidecar.cpu_seconds()
    for index in range(CHANGES):
        await discovery.set_health(index % entries, "draining")
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    return (sidecar.cpu_seconds() - cpu_before) / (CHANGES * CHANGE_INTERVAL_SECONDS)


async def _measure_burst(
    sidecar: SidecarProcess, discovery: DiscoveryStandIn, entries: int, drains: int
) -> float:
    """CPU seconds until the drains of endpoints that no earlier change touched are in."""
    cpu_before = sidecar.cpu_seconds()
    for drain in range(drains):
        await discovery.set_health((CHANGES + drain) % entries, "draining")
        await asyncio.sleep(BURST_INTERVAL_SECONDS)
    await asyncio.sleep(BURST_SETTLING_SECONDS)
    return sidecar.cpu_seconds() - cpu_before


if __name__ == "__main__":
    sys.exit(main())

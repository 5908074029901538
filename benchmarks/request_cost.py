"""Compares the processor time of a request between this checkout and another one.

Each pair of runs measures one sidecar process of each checkout, one after the other, with the same open-loop
load. Which one is first alternates, so that a slow change of the machine's speed affects both.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from statistics import median

from benchmarks.account_server_stand_in import AccountServers
from benchmarks.command_line import OneLineParser
from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.errors import FailedRequestsError
from benchmarks.open_loop_load import OpenLoopLoad, arrival_times
from benchmarks.process_benchmark import report_failure, run_measurement
from benchmarks.sidecar_process import REPOSITORY_ROOT, SidecarProcess
from soak.command_line import positive_integer

PROGRAM = "request_cost"

SERVER_COUNT = 8
"""Number of account servers."""

WARM_UP_SECONDS = 2.0
"""How long the load lasts before the measurement, so that connections are open and estimates are settled."""

STATUS_OK = 200

MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class RequestCostOptions:
    """The options of the benchmark."""

    baseline: Path
    """The directory of the checkout with which this one is compared."""
    requests_per_second: float
    seconds: float
    """Length of each measurement."""
    pairs: int
    seed: int
    """The seed of the start times."""
    as_json: bool


@dataclass(frozen=True, slots=True)
class PairCost:
    """The processor time of a request in both checkouts."""

    baseline_microseconds: float
    current_microseconds: float

    @property
    def ratio(self) -> float:
        """The processor time of this checkout as a multiple of the baseline's."""
        return self.current_microseconds / self.baseline_microseconds

    def to_line(self) -> str:
        """Return the figures as one line of text."""
        return (
            f"baseline {self.baseline_microseconds:6.1f} us, current {self.current_microseconds:6.1f} us,"
            f" ratio {self.ratio:.3f}"
        )


def median_pair(pairs: Sequence[PairCost]) -> PairCost:
    """Return the median of each figure. Its ratio is that of the medians, not the median of the ratios."""
    return PairCost(
        median(pair.baseline_microseconds for pair in pairs),
        median(pair.current_microseconds for pair in pairs),
    )


async def measure_pair(options: RequestCostOptions, index: int) -> PairCost:
    """Measure one sidecar of each checkout. Raises BenchmarkError."""
    if index % 2:
        current_microseconds = await _measure_checkout(REPOSITORY_ROOT, options, index)
        baseline_microseconds = await _measure_checkout(options.baseline, options, index)
    else:
        baseline_microseconds = await _measure_checkout(options.baseline, options, index)
        current_microseconds = await _measure_checkout(REPOSITORY_ROOT, options, index)
    return PairCost(baseline_microseconds, current_microseconds)


async def _measure_checkout(checkout: Path, options: RequestCostOptions, index: int) -> float:
    """Return the processor time of a request in microseconds. Raises BenchmarkError."""
    random = Random(f"{options.seed}-{index}")
    async with (
        AccountServers(SERVER_COUNT) as servers,
        DiscoveryStandIn(SERVER_COUNT, servers.addresses) as discovery,
        SidecarProcess(discovery.port, checkout) as sidecar,
    ):
        await sidecar.wait_until_ready()
        load = OpenLoopLoad(sidecar.port)
        await load.run(arrival_times(random, options.requests_per_second, WARM_UP_SECONDS))
        load.responses_by_status.clear()
        cpu_seconds_before = sidecar.cpu_seconds()
        await load.run(arrival_times(random, options.requests_per_second, options.seconds))
        cpu_seconds = sidecar.cpu_seconds() - cpu_seconds_before
        total = load.responses_by_status.total()
        failed = total - load.responses_by_status[STATUS_OK]
        if failed or not total:
            raise FailedRequestsError(failed, total)
        return cpu_seconds / total * MICROSECONDS_PER_SECOND


async def measure(options: RequestCostOptions) -> list[PairCost]:
    """Measure all pairs; prints each of them unless the output is JSON. Raises BenchmarkError."""
    pairs = []
    for index in range(options.pairs):
        pair = await measure_pair(options, index)
        pairs.append(pair)
        if not options.as_json:
            print(pair.to_line(), flush=True)
    return pairs


def _checkout(text: str) -> Path:
    path = Path(text).resolve()
    if not (path / "balancer" / "__main__.py").is_file():
        raise argparse.ArgumentTypeError(f"{text!r} is not the directory of a checkout")
    return path


def _positive_number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0 < number < math.inf:
        raise argparse.ArgumentTypeError(f"{text!r} is not a positive number")
    return number


def _parse_options(arguments: Sequence[str] | None) -> RequestCostOptions:
    parser = OneLineParser(prog=PROGRAM, description=__doc__.partition("\n")[0])
    parser.add_argument(
        "--baseline", type=_checkout, required=True, metavar="DIR", help="the checkout to compare with"
    )
    parser.add_argument(
        "--rate", type=_positive_number, default=100.0, help="requests per second (default: %(default)g)"
    )
    parser.add_argument(
        "--seconds",
        type=_positive_number,
        default=30.0,
        help="length of a measurement (default: %(default)g)",
    )
    parser.add_argument(
        "--pairs", type=positive_integer, default=4, help="number of pairs (default: %(default)s)"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the load (default: %(default)s)")
    parser.add_argument(
        "--json", action="store_true", help="print one JSON list with an object for each pair"
    )
    parsed = parser.parse_args(arguments)
    return RequestCostOptions(
        parsed.baseline, parsed.rate, parsed.seconds, parsed.pairs, parsed.seed, parsed.json
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark. Returns the exit status."""
    options = _parse_options(arguments)
    return report_failure(PROGRAM, lambda: _run_and_print(options))


def _run_and_print(options: RequestCostOptions) -> None:
    pairs = run_measurement(measure(options))
    if options.as_json:
        json.dump([asdict(pair) for pair in pairs], sys.stdout, indent=1)
        print()
    else:
        print(f"median:  {median_pair(pairs).to_line()}")


if __name__ == "__main__":
    sys.exit(main())

"""The options and the output format that all benchmarks share."""

from __future__ import annotations

import argparse
import json
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import NoReturn

DEFAULT_ENTRIES = (100, 1_000, 10_000)
"""Lengths of the endpoint list that are measured by default."""

MAX_ENTRIES = 1_000_000
"""Maximum length of a measured endpoint list; the limit exists as every entry is an object in memory."""


@dataclass(frozen=True, slots=True)
class BenchmarkOptions:
    """The options of one run of a benchmark."""

    entries: tuple[int, ...]
    """Lengths of the endpoint lists to measure, in this order."""
    as_json: bool
    """Whether to print the results as JSON."""


@dataclass(frozen=True, slots=True)
class BenchmarkResult(ABC):
    """The figures for one length of the endpoint list."""

    entries: int
    """Length of the endpoint list."""

    @abstractmethod
    def to_line(self) -> str:
        """Return the figures as one line of text."""

    def to_json(self) -> dict[str, int | float]:
        """Return the figures by name; each name ends in its unit."""
        return asdict(self)


class OneLineParser(argparse.ArgumentParser):
    """An argument parser that reports invalid arguments in one line, without the usage text."""

    def error(self, message: str) -> NoReturn:
        """Print the message and exit with status 2."""
        self.exit(2, f"{self.prog}: {message}\n")


def parse_options(
    program: str,
    description: str,
    arguments: Sequence[str] | None,
    default_entries: tuple[int, ...] = DEFAULT_ENTRIES,
) -> BenchmarkOptions:
    """Parse the arguments of a benchmark, by default those of the process.

    Args:
        program: the name of the benchmark.
        description: what it measures.
        arguments: the arguments; None for those of the process.
        default_entries: the lengths of the endpoint list that are measured by default.

    Raises:
        SystemExit: after printing the help, or one line that says which argument is invalid.
    """
    parser = OneLineParser(prog=program, description=description)
    parser.add_argument(
        "--entries",
        type=_parse_entry_count,
        nargs="+",
        metavar="N",
        default=default_entries,
        help=f"lengths of the endpoint list (default: {' '.join(map(str, default_entries))})",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON list with an object for each N")
    parsed = parser.parse_args(arguments)
    return BenchmarkOptions(entries=tuple(parsed.entries), as_json=parsed.json)


def print_results(measure: Callable[[int], BenchmarkResult], options: BenchmarkOptions) -> None:
    """Measure each length. Prints a line as soon as each result is known, or all results as one JSON list."""
    results = map(measure, options.entries)
    if options.as_json:
        json.dump([result.to_json() for result in results], sys.stdout, indent=1)
        print()
        return
    for result in results:
        print(result.to_line(), flush=True)


def _parse_entry_count(text: str) -> int:
    try:
        count = int(text)
    except ValueError:
        count = 0
    if not 1 <= count <= MAX_ENTRIES:
        raise argparse.ArgumentTypeError(f"{text!r} is not an integer from 1 to {MAX_ENTRIES}")
    return count

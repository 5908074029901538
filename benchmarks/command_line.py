"""The command line that all benchmarks share: their options, and how they print their results."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NoReturn, Protocol

DEFAULT_ENTRIES = (100, 1_000, 10_000)
MAX_ENTRIES = 1_000_000


@dataclass(frozen=True, slots=True)
class BenchmarkOptions:
    """What a benchmark was asked to do."""

    entries: tuple[int, ...]
    """Lengths of the endpoint lists to measure, in this order."""
    as_json: bool


class Result(Protocol):
    """The figures of one length of the endpoint list."""

    def to_line(self) -> str:
        """Write the figures in one line for a reader."""

    def to_json(self) -> dict[str, int | float]:
        """Give the figures by name, with the unit in the name."""


class _OneLineParser(argparse.ArgumentParser):
    """Says in one line what is wrong with the arguments, without the usage."""

    def error(self, message: str) -> NoReturn:
        """Print the message and exit with status 2."""
        self.exit(2, f"{self.prog}: {message}\n")


def parse_options(program: str, description: str, arguments: Sequence[str] | None) -> BenchmarkOptions:
    """Parse the arguments of a benchmark, by default those of the process.

    Raises:
        SystemExit: after printing the help, or one line on what is wrong with the arguments.
    """
    parser = _OneLineParser(prog=program, description=description)
    parser.add_argument(
        "--entries",
        type=_entry_count,
        nargs="+",
        metavar="N",
        default=DEFAULT_ENTRIES,
        help=f"lengths of the endpoint list (default: {' '.join(map(str, DEFAULT_ENTRIES))})",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON list with an object for each N")
    parsed = parser.parse_args(arguments)
    return BenchmarkOptions(entries=tuple(parsed.entries), as_json=parsed.json)


def print_results(results: Iterable[Result], as_json: bool) -> None:
    """Print each result in a line as soon as it is there, or all of them as one JSON list."""
    if as_json:
        json.dump([result.to_json() for result in results], sys.stdout, indent=1)
        print()
        return
    for result in results:
        print(result.to_line(), flush=True)


def _entry_count(text: str) -> int:
    try:
        count = int(text)
    except ValueError:
        count = 0
    if not 1 <= count <= MAX_ENTRIES:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number from 1 to {MAX_ENTRIES}")
    return count

"""The parsing of arguments that the command lines of this package share, and their exit statuses."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from enum import IntEnum
from typing import NoReturn


class ExitStatus(IntEnum):
    """The exit statuses of the command lines."""

    OK = 0
    FINDING = 1
    """An invariant was broken, or a mutant survived."""
    ERROR = 2
    """The arguments are wrong, or the soak itself could not run."""


class OneLineErrorArgumentParser(argparse.ArgumentParser):
    """An argument parser that reports an error in one line, without the usage, and exits with status 2."""

    def error(self, message: str) -> NoReturn:
        """Print the error and exit with status 2."""
        print(f"{self.prog}: {message}; --help lists the arguments", file=sys.stderr)
        sys.exit(ExitStatus.ERROR)


def seconds_between(low: float, high: float) -> Callable[[str], float]:
    """Return a function that parses a number of seconds in a range; the bounds are included."""

    def parse(text: str) -> float:
        """Parse a number of seconds. Raises ArgumentTypeError if it is not one in the range."""
        try:
            seconds = float(text)
        except ValueError:
            seconds = float("nan")
        if not low <= seconds <= high:
            raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds from {low:g} to {high:g}")
        return seconds

    return parse


def positive_integer(text: str) -> int:
    """Parse an argument that is a positive integer."""
    try:
        value = int(text)
    except ValueError:
        value = 0
    if value <= 0:
        raise argparse.ArgumentTypeError(f"{text!r} is not a positive integer")
    return value

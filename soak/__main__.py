"""The command line of the soak: `python -m soak --seed N --seconds S --json FILE`."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from soak.command_line import ExitStatus, OneLineErrorArgumentParser, seconds_between
from soak.errors import SoakError
from soak.report import SoakReport
from soak.runner import MAX_SECONDS, MIN_SECONDS, run_soak

DEFAULT_SEED = 1
"""A fixed seed, so that two runs without arguments can be compared."""
DEFAULT_SECONDS = 32.0
"""Seconds of a soak, about 15 of them with faults."""
DESCRIPTION = """\
Run 10 to 18 sidecar processes on loopback, between clients and account servers, under overlapping faults that
are drawn from a seed: signals, failing system calls, a faulty network, misbehaving account servers, clients
and discovery. The recorded history is checked against invariants. The soak runs in real time: the same seed
gives the same plan, but not the same history. It needs a C compiler, for the library that makes system calls
fail.
"""
EPILOG = """\
Exit status: 0 if no invariant was broken, 1 if one was, 2 if the arguments are wrong or the soak could not
run.
"""


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = OneLineErrorArgumentParser(prog="python -m soak", description=DESCRIPTION, epilog=EPILOG)
    parser.add_argument(
        "--seed",
        type=int,
        default=DEFAULT_SEED,
        help="what the deployment, the load and the faults are drawn from (default: %(default)s)",
    )
    parser.add_argument(
        "--seconds",
        type=seconds_between(MIN_SECONDS, MAX_SECONDS),
        default=DEFAULT_SECONDS,
        help=f"length of the soak, from {MIN_SECONDS:g} to {MAX_SECONDS:g} (default: %(default)g)",
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the report to this file as JSON")
    parser.add_argument(
        "--keep", type=Path, metavar="DIR", help="keep the configurations and logs in this directory"
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one soak and return the exit status."""
    options = _parse_arguments(arguments)
    try:
        report: SoakReport = uvloop.run(run_soak(options.seed, options.seconds, options.keep))
        print(report.to_text())
        if options.json is not None:
            options.json.write_text(json.dumps(report.to_json(), indent=1) + "\n")
    except (SoakError, OSError) as error:
        print(f"python -m soak: {error}", file=sys.stderr)
        return ExitStatus.ERROR
    return ExitStatus.FINDING if report.violations else ExitStatus.OK


if __name__ == "__main__":
    sys.exit(main())

"""The command line of the soak: `python -m soak --seed N --seconds S --json FILE`.

Exit status 0: no invariant was broken; 1: one was; 2: the soak itself could not run.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from soak.errors import SoakError
from soak.report import SoakReport
from soak.runner import MAX_SECONDS, MIN_SECONDS, run_soak

EXIT_BROKEN = 1
EXIT_ERROR = 2


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number from {MIN_SECONDS:g} to {MAX_SECONDS:g}")
    return seconds


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="soak", description="Run sidecars under overlapping faults.")
    parser.add_argument("--seed", type=int, default=1, help="what deployment, load and faults are drawn from")
    parser.add_argument("--seconds", type=_seconds, default=32.0, help="length of the soak, real time")
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the report here as JSON")
    parser.add_argument(
        "--keep", type=Path, metavar="DIR", help="keep configurations and logs in this folder"
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one soak and return the exit status."""
    options = _parse(arguments)
    try:
        report: SoakReport = uvloop.run(run_soak(options.seed, options.seconds, options.keep))
        print(report.to_text())
        if options.json is not None:
            options.json.write_text(json.dumps(report.to_json(), indent=1) + "\n")
    except (SoakError, OSError) as error:
        print(f"soak: {error}", file=sys.stderr)
        return EXIT_ERROR
    return EXIT_BROKEN if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())

"""Mutation testing of the soak: `python -m soak.mutation_testing`.

Each mutant is applied alone to a scratch copy of the repository, and the soak is run on the copy with one
seed after the other until an invariant is broken: the mutant has been killed. A mutant that no seed kills has
survived.
"""

from __future__ import annotations

import argparse
import json
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from soak.command_line import ExitStatus, OneLineErrorArgumentParser, positive_integer, seconds_between
from soak.errors import MutationError, SoakError
from soak.mutants import MUTANTS, Mutant
from soak.runner import MIN_SECONDS

REPOSITORY_ROOT = Path(__file__).parent.parent
COPIED_FOLDERS = ("balancer", "soak")
"""The folders of the repository that a soak needs."""
SOAK_TIMEOUT_SECONDS = 240
"""Seconds after which a soak counts as hanging, including the start and the end of its processes."""
MAX_SECONDS = 180.0
"""Seconds of the longest soak; it has to end well before it counts as hanging."""
DEFAULT_SECONDS = 32.0
"""Seconds of each soak; the same as the default of the soak's own command line."""
DEFAULT_SEEDS = (1, 2, 3, 4)
"""Several seeds, because a soak runs in real time and a defect does not show in each run."""
MAX_MESSAGE_CHARACTERS = 150
"""Characters of the first violation that a result line shows, at most."""
MAX_ERROR_CHARACTERS = 200
"""Characters that are kept of the standard error of a soak that could not run, at most."""
DESCRIPTION = """\
Apply one mutant at a time to a scratch copy of the repository and run the soak on it, one seed after the
other, until an invariant is broken. A mutant removes one safeguard of the sidecar; the soak should notice it.
"""
EPILOG = """\
Exit status: 0 if every mutant was killed, 1 if one survived or its soak could not run, 2 if the arguments are
wrong or a mutant cannot be applied.
"""


@dataclass(frozen=True, slots=True)
class MutantResult:
    """The result of running the soak on a mutant."""

    mutant: str
    seed: int
    """The seed that killed it, or the last one."""
    violation_counts: dict[str, int]
    """How often each invariant was broken."""
    first_message: str
    """The message of the first violation, or the end of the standard error of a soak that could not run."""
    could_not_run: bool = False
    """Whether the last soak could not run, so that it says nothing about the mutant."""

    @property
    def is_killed(self) -> bool:
        """Whether an invariant was broken."""
        return bool(self.violation_counts)

    def to_text(self) -> str:
        """Return the result as one line."""
        message = self.first_message[:MAX_MESSAGE_CHARACTERS]
        if self.could_not_run:
            return f"{self.mutant}: COULD NOT RUN with seed {self.seed}: {message}"
        if not self.is_killed:
            return f"{self.mutant}: SURVIVED"
        return f"{self.mutant}: killed by seed {self.seed}: {self.violation_counts}, first: {message}"


def apply_mutant(mutant: Mutant, root: Path) -> None:
    """Apply a mutant to a copy of the repository.

    Raises:
        MutationError: a text that it replaces is not in its file exactly once.
    """
    for replacement in mutant.replacements:
        file = root / replacement.path
        text = file.read_text()
        occurrences = text.count(replacement.original)
        if occurrences != 1:
            raise MutationError(mutant.name, replacement.path, occurrences)
        file.write_text(text.replace(replacement.original, replacement.mutated))


def run_mutant(mutant: Mutant, seeds: Sequence[int], seconds: float) -> MutantResult:
    """Run the soak on a scratch copy with a mutant until a seed kills it.

    Raises:
        SoakError: the mutant cannot be applied, or a soak does not end in time.
    """
    with tempfile.TemporaryDirectory(prefix="balancer-mutant-") as temporary:
        root = Path(temporary)
        _copy_sources(root)
        apply_mutant(mutant, root)
        result = MutantResult(mutant.name, 0, {}, "")
        for seed in seeds:
            result = _run_soak(mutant, root, seed, seconds)
            if result.is_killed or result.could_not_run:
                break
        return result


def _copy_sources(root: Path) -> None:
    for folder in COPIED_FOLDERS:
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(REPOSITORY_ROOT / folder, root / folder, ignore=ignored)


def _run_soak(mutant: Mutant, root: Path, seed: int, seconds: float) -> MutantResult:
    report_file = root / "report.json"
    arguments = ["--seed", str(seed), "--seconds", str(seconds), "--json", str(report_file)]
    try:
        process = subprocess.run(
            [sys.executable, "-m", "soak", *arguments],
            cwd=root,
            capture_output=True,
            text=True,
            timeout=SOAK_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise SoakError(f"mutant {mutant.name!r}, seed {seed}: the soak did not end in time") from error
    if process.returncode == ExitStatus.OK:
        return MutantResult(mutant.name, seed, {}, "")
    if process.returncode == ExitStatus.FINDING:
        report = json.loads(report_file.read_text())
        return MutantResult(mutant.name, seed, report["broken"], report["violations"][0]["message"])
    return MutantResult(mutant.name, seed, {}, process.stderr[-MAX_ERROR_CHARACTERS:], could_not_run=True)


def _select_mutants(words: Sequence[str]) -> list[Mutant]:
    """Return the mutants whose name contains one of the words, or all if there are no words."""
    return [mutant for mutant in MUTANTS if not words or any(word in mutant.name for word in words)]


def _run_all(
    mutants: Sequence[Mutant], seeds: Sequence[int], seconds: float, jobs: int
) -> Iterator[MutantResult]:
    """Yield the results in the order of the mutants."""
    with ThreadPoolExecutor(jobs) as executor:
        yield from executor.map(lambda mutant: run_mutant(mutant, seeds, seconds), mutants)


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = OneLineErrorArgumentParser(
        prog="python -m soak.mutation_testing", description=DESCRIPTION, epilog=EPILOG
    )
    parser.add_argument(
        "words", nargs="*", metavar="WORD", help="only mutants whose name contains one of these words"
    )
    parser.add_argument("--list", action="store_true", help="list the mutants and exit")
    parser.add_argument(
        "--seeds",
        type=int,
        nargs="+",
        default=DEFAULT_SEEDS,
        metavar="SEED",
        help="seeds to try, in this order (default: 1 2 3 4)",
    )
    parser.add_argument(
        "--seconds",
        type=seconds_between(MIN_SECONDS, MAX_SECONDS),
        default=DEFAULT_SECONDS,
        help=f"length of each soak, from {MIN_SECONDS:g} to {MAX_SECONDS:g} (default: %(default)g)",
    )
    parser.add_argument(
        "--jobs",
        type=positive_integer,
        default=1,
        help="number of soaks that run at the same time (default: %(default)s)",
    )
    options = parser.parse_args(arguments)
    options.mutants = _select_mutants(options.words)
    if not options.mutants:
        parser.error(f"no mutant's name contains one of the words {', '.join(options.words)}")
    return options


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the mutants, print one line for each and return the exit status."""
    options = _parse_arguments(arguments)
    if options.list:
        print("\n".join(mutant.name for mutant in options.mutants))
        return ExitStatus.OK
    survived_count = 0
    try:
        for result in _run_all(options.mutants, options.seeds, options.seconds, options.jobs):
            survived_count += not result.is_killed
            print(result.to_text(), flush=True)
    except (SoakError, OSError) as error:
        print(f"python -m soak.mutation_testing: {error}", file=sys.stderr)
        return ExitStatus.ERROR
    return ExitStatus.FINDING if survived_count else ExitStatus.OK


if __name__ == "__main__":
    sys.exit(main())

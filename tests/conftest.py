"""Expects the tests that KNOWN-RED.txt lists to fail, and prints all its entries at the end of the run.

Each line of that file has the form `subject: cause (issue)`. The subject is a test (one with parameters is a
single entry), a script `review/N/run.sh`, or a command `python -m soak --seed N --seconds S`. Scripts and
commands are only printed. The run fails if a listed test passes or does not exist, if a line is malformed, or
if the list is too long.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
"""The largest number of entries: if more tests fail, they have to be fixed before anything else."""

_SEPARATOR = ": "

_TEST_ID = re.compile(r"tests/[\w/]+\.py::\w+")
_REVIEW_SCRIPT = re.compile(r"review/[0-9]+/run\.sh")
_SOAK_COMMAND = re.compile(r"python -m soak --seed [0-9]+(?: --seconds [0-9]+)?")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A check that is known to fail, and the defect that causes the failure."""

    subject: str
    cause: str

    @property
    def is_test(self) -> bool:
        """Whether it is a test of this suite, which the run expects to fail."""
        return _TEST_ID.fullmatch(self.subject) is not None


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the list. Raises `pytest.UsageError` if a line is malformed or the list is too long."""
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        subject, separator, cause = line.partition(_SEPARATOR)
        if not separator or not cause:
            raise pytest.UsageError(f"KNOWN-RED.txt: no cause after the subject in line {line!r}")
        if not any(pattern.fullmatch(subject) for pattern in (_TEST_ID, _REVIEW_SCRIPT, _SOAK_COMMAND)):
            raise pytest.UsageError(
                f"KNOWN-RED.txt: neither a test, a review script nor a soak command starts line {line!r}"
            )
        entries.append(KnownRed(subject, cause))
    if len(entries) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} entries, at most {MAX_KNOWN_RED} are allowed")
    return entries


def read_known_red() -> list[KnownRed]:
    """Read the list of this repository; without the file no test is known to fail."""
    return parse_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests, so that pytest expects them to fail."""
    entries = {entry.subject: entry for entry in read_known_red() if entry.is_test}
    collected = {_function_id(item) for item in items}
    runs_whole_suite = not config.args or config.args == config.getini("testpaths")
    missing = sorted(entries.keys() - collected)
    if runs_whole_suite and missing:
        raise pytest.UsageError(f"KNOWN-RED.txt: listed tests that do not exist: {', '.join(missing)}")
    for item in items:
        entry = entries.get(_function_id(item))
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.cause, strict=True))


def _function_id(item: pytest.Item) -> str:
    """Return the id of a test function without parameters, as one entry of the list covers all of them."""
    return item.nodeid.partition("[")[0]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is known to fail."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry.subject}: {entry.cause}")

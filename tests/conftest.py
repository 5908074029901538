"""Expects the tests that KNOWN-RED.txt lists to fail, and prints them at the end of the run.

Each line of that file has the form `test id: cause (issue)`; a test with parameters is a single entry. The
run fails if a listed test passes or does not exist, or if the list is too long.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
"""The largest number of entries: if more tests fail, they have to be fixed before anything else."""

_SEPARATOR = ": "


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that is known to fail, and the defect that causes the failure."""

    test_id: str
    cause: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the list. Raises `pytest.UsageError` if a line is malformed or the list is too long."""
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        test_id, separator, cause = line.partition(_SEPARATOR)
        if not separator or not cause:
            raise pytest.UsageError(f"KNOWN-RED.txt: no cause after the test id in line {line!r}")
        entries.append(KnownRed(test_id, cause))
    if len(entries) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} tests, at most {MAX_KNOWN_RED} are allowed")
    return entries


def read_known_red() -> list[KnownRed]:
    """Read the list of this repository; without the file no test is known to fail."""
    return parse_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests, so that pytest expects them to fail."""
    entries = {entry.test_id: entry for entry in read_known_red()}
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
    """Print the tests that are known to fail."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry.test_id}: {entry.cause}")

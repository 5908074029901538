"""Lets the run pass over the tests that KNOWN-RED.txt lists, and over no others, and prints them.

Each line of that file is `test id: cause (issue)`; a test with parameters is one entry. A listed test has to
fail: one that passes or does not exist, or a list that is too long, fails the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
_SEPARATOR = ": "


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a real fault."""

    test_id: str
    cause: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Read the list. Raises `pytest.UsageError` if a line is malformed or there are too many."""
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        test_id, separator, cause = line.partition(_SEPARATOR)
        if not separator or not cause:
            raise pytest.UsageError(f"KNOWN-RED.txt: no cause in line {line!r}")
        entries.append(KnownRed(test_id, cause))
    if len(entries) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} tests, at most {MAX_KNOWN_RED} may be listed")
    return entries


def read_known_red() -> list[KnownRed]:
    """Read the list of this repository; there is none where nothing is known to fail."""
    return parse_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    entries = {entry.test_id: entry for entry in read_known_red()}
    collected = {_function_id(item) for item in items}
    runs_whole_suite = not config.args or config.args == config.getini("testpaths")
    missing = sorted(entries.keys() - collected)
    if runs_whole_suite and missing:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(missing)}")
    for item in items:
        entry = entries.get(_function_id(item))
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.cause, strict=True))


def _function_id(item: pytest.Item) -> str:
    """Return the id of a test function, without its parameters: all of them are one entry of the list."""
    return item.nodeid.partition("[")[0]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is known to fail."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry.test_id}: {entry.cause}")

"""Tests of the list of tests that are known to fail."""

from __future__ import annotations

import pytest

from tests.conftest import MAX_KNOWN_RED, KnownRed, parse_known_red


def test_line_names_test_and_cause() -> None:
    text = "tests/test_a.py::test_b: the clock is stepped (issue 16)\n\n"
    assert parse_known_red(text) == [KnownRed("tests/test_a.py::test_b", "the clock is stepped (issue 16)")]


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b", "tests/test_a.py::test_b: "])
def test_line_without_cause_is_rejected(text: str) -> None:
    with pytest.raises(pytest.UsageError, match="no cause"):
        parse_known_red(text)


def test_list_with_too_many_entries_is_rejected() -> None:
    lines = [f"tests/test_a.py::test_{index}: cause" for index in range(MAX_KNOWN_RED + 1)]
    parse_known_red("\n".join(lines[:MAX_KNOWN_RED]))
    with pytest.raises(pytest.UsageError, match="at most"):
        parse_known_red("\n".join(lines))

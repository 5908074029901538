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


@pytest.mark.parametrize(
    ("subject", "is_test"),
    [
        ("tests/sidecar/http/test_a.py::test_b", True),
        ("review/2/run.sh", False),
        ("python -m soak --seed 7", False),
        ("python -m soak --seed 7 --seconds 40", False),
    ],
)
def test_line_names_a_test_a_review_script_or_a_soak_command(subject: str, is_test: bool) -> None:
    [entry] = parse_known_red(f"{subject}: a response is cut off (issue 30)")
    assert (entry.subject, entry.is_test) == (subject, is_test)


@pytest.mark.parametrize(
    "subject", ["test_b", "tests/test_a.py", "review/x/run.sh", "review/2", "python -m soak", "rm -r x"]
)
def test_line_with_another_subject_is_rejected(subject: str) -> None:
    with pytest.raises(pytest.UsageError, match="neither a test, a review script nor a soak command"):
        parse_known_red(f"{subject}: cause (issue 30)")


def test_list_with_too_many_entries_is_rejected() -> None:
    lines = [f"tests/test_a.py::test_{index}: cause" for index in range(MAX_KNOWN_RED + 1)]
    parse_known_red("\n".join(lines[:MAX_KNOWN_RED]))
    with pytest.raises(pytest.UsageError, match="at most"):
        parse_known_red("\n".join(lines))

"""Tests of the command line that the benchmarks share."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest

from benchmarks import control_cost, membership_cost
from benchmarks.command_line import DEFAULT_ENTRIES, BenchmarkOptions, parse_options

Main = Callable[[Sequence[str]], int]
MAINS = [membership_cost.main, control_cost.main]


def test_options_have_defaults() -> None:
    assert parse_options("program", "", []) == BenchmarkOptions(DEFAULT_ENTRIES, as_json=False)


def test_options_accept_several_lengths_and_json() -> None:
    options = parse_options("program", "", ["--json", "--entries", "20", "300"])
    assert options == BenchmarkOptions((20, 300), as_json=True)


@pytest.mark.parametrize("main", MAINS)
def test_help_names_the_options(main: Main, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(["--help"])
    assert exit_info.value.code == 0
    printed = capsys.readouterr().out
    assert "--entries N" in printed
    assert "--json" in printed


@pytest.mark.parametrize("main", MAINS)
@pytest.mark.parametrize(
    "arguments",
    [
        ["--entries"],
        ["--entries", "0"],
        ["--entries", "-5"],
        ["--entries", "many"],
        ["--entries", "20", "1e9"],
        ["--entries", "1000001"],
        ["--odd"],
        ["20"],
    ],
)
def test_invalid_arguments_are_reported_in_one_line(
    main: Main, arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == 2
    printed = capsys.readouterr()
    assert printed.out == ""
    assert printed.err.count("\n") == 1
    assert printed.err.endswith("\n")

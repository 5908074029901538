"""Tests of the command line of the soak."""

from __future__ import annotations

import pytest

from soak.__main__ import main


@pytest.mark.parametrize("arguments", [["--seconds", "1"], ["--seconds", "x"], ["--seed", "x"], ["--what"]])
def test_invalid_arguments_are_rejected_with_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == 2
    error = capsys.readouterr().err
    assert "Traceback" not in error
    assert len(error.splitlines()) == 1


def test_help_lists_the_exit_statuses(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        main(["--help"])
    assert caught.value.code == 0
    assert "Exit status: 0 if no invariant was broken" in " ".join(capsys.readouterr().out.split())

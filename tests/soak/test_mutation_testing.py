"""Tests of the mutants, and of the command line that runs the soak on them."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from soak.errors import MutationError
from soak.mutants import MUTANTS, Mutant, Replacement
from soak.mutation_testing import MutantResult, apply_mutant, main

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_applies_and_compiles(mutant: Mutant, tmp_path: Path) -> None:
    for replacement in mutant.replacements:
        target = tmp_path / replacement.path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / replacement.path, target)
    apply_mutant(mutant, tmp_path)
    for replacement in mutant.replacements:
        compile((tmp_path / replacement.path).read_text(), replacement.path, "exec")


@pytest.mark.parametrize("source", ["", "guard()\nguard()\n"])
def test_mutant_whose_text_is_not_in_its_file_once_is_an_error(source: str, tmp_path: Path) -> None:
    (tmp_path / "module.py").write_text(source)
    mutant = Mutant("guarded", (Replacement("module.py", "guard()", "pass"),))
    with pytest.raises(MutationError) as caught:
        apply_mutant(mutant, tmp_path)
    assert caught.value.occurrences == source.count("guard()")


@pytest.mark.parametrize(
    "arguments",
    [["no such mutant"], ["--jobs", "0"], ["--jobs", "x"], ["--seconds", "1"], ["--seeds", "x"], ["--what"]],
)
def test_invalid_arguments_are_rejected_with_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_help_says_what_a_mutant_is(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        main(["--help"])
    assert caught.value.code == 0
    assert "A mutant removes one safeguard of the sidecar" in " ".join(capsys.readouterr().out.split())


def test_soak_that_could_not_run_kills_no_mutant() -> None:
    result = MutantResult("guarded", 3, {}, "no C compiler", could_not_run=True)
    assert not result.is_killed
    assert result.to_text() == "guarded: COULD NOT RUN with seed 3: no C compiler"
    assert MutantResult("guarded", 3, {"drain": 1}, "late").to_text().startswith("guarded: killed by seed 3")

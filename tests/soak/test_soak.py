"""The soak's plan, its trials of broken guards and its command line."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

import pytest

from soak.__main__ import main
from soak.deployment import draw_deployment
from soak.fault_plan import QUIET_SECONDS, WARM_UP_SECONDS, draw_fault_plan
from soak.guard_trials import GUARD_BREAKS, GuardBreak, apply

ROOT = Path(__file__).parent.parent.parent


def test_same_seed_gives_same_deployment_and_plan() -> None:
    drawn = []
    for _ in range(2):
        random = Random(5)
        drawn.append((draw_deployment(random), draw_fault_plan(random, 60.0)))
    assert drawn[0] == drawn[1]


def test_faults_overlap_and_leave_both_ends_quiet() -> None:
    plan = draw_fault_plan(Random(5), 60.0)
    assert min(fault.starts_at for fault in plan) >= WARM_UP_SECONDS
    assert max(fault.starts_at + fault.seconds for fault in plan) <= 60.0 - QUIET_SECONDS
    overlapping = [
        sum(other.starts_at <= fault.starts_at < other.starts_at + other.seconds for other in plan)
        for fault in plan
    ]
    assert sorted(overlapping)[len(plan) // 2] >= 3


@pytest.mark.parametrize("guard", GUARD_BREAKS, ids=lambda guard: guard.name)
def test_guard_that_a_trial_breaks_stands_where_it_says(guard: GuardBreak, tmp_path: Path) -> None:
    for change in guard.changes:
        target = tmp_path / change.path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / change.path, target)
    apply(guard, tmp_path)
    for change in guard.changes:
        compile((tmp_path / change.path).read_text(), change.path, "exec")


@pytest.mark.parametrize("arguments", [["--seconds", "1"], ["--seconds", "x"], ["--seed", "x"], ["--what"]])
def test_invalid_arguments_are_refused(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == 2
    assert "Traceback" not in capsys.readouterr().err

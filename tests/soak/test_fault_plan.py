"""Tests of the fault plan."""

from __future__ import annotations

from random import Random

from soak.deployment import draw_deployment
from soak.fault_plan import QUIET_SECONDS, WARM_UP_SECONDS, draw_fault_plan


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

"""Tests of the deployment and the fault plan that are drawn from a seed."""

from __future__ import annotations

from random import Random

from soak.deployment import draw_deployment
from soak.fault_plan import FAULT_FREE_END_SECONDS, FAULT_FREE_START_SECONDS, draw_fault_plan


def test_same_seed_gives_same_deployment_and_plan() -> None:
    drawn = []
    for _ in range(2):
        random = Random(5)
        drawn.append((draw_deployment(random), draw_fault_plan(random, 60.0)))
    assert drawn[0] == drawn[1]


def test_faults_overlap_and_leave_start_and_end_without_faults() -> None:
    plan = draw_fault_plan(Random(5), 60.0)
    assert min(fault.starts_at_seconds for fault in plan) >= FAULT_FREE_START_SECONDS
    last_end_seconds = max(fault.starts_at_seconds + fault.seconds for fault in plan)
    assert last_end_seconds <= 60.0 - FAULT_FREE_END_SECONDS
    overlap_counts = [
        sum(
            other.starts_at_seconds <= fault.starts_at_seconds < other.starts_at_seconds + other.seconds
            for other in plan
        )
        for fault in plan
    ]
    # At the start of the median fault, at least 3 faults are active, itself included.
    assert sorted(overlap_counts)[len(plan) // 2] >= 3

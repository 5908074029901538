"""Tests of the registry of injections, and of the faults that send duplicate responses."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from soak.deployment import draw_deployment
from soak.fault_injection.account_server_faults import sends_duplicate_responses
from soak.fault_injection.injector import injections_by_kind
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet
from soak.history.history import History


def test_each_kind_of_fault_has_one_injection(tmp_path: Path) -> None:
    random = Random(1)
    fleet = Fleet(draw_deployment(random), History(), random, tmp_path)
    injections = injections_by_kind(fleet, random)
    assert set(injections) == set(FaultKind)
    assert len(set(injections.values())) == len(FaultKind)


@pytest.mark.parametrize(
    ("kind", "strength", "expected"),
    [
        (FaultKind.DUPLICATE_RESPONSES, 0.0, True),
        (FaultKind.SERVER_MISBEHAVES, 0.75, True),
        (FaultKind.SERVER_MISBEHAVES, 0.05, False),
        (FaultKind.NETWORK_SLOW, 0.75, False),
    ],
)
def test_faults_that_send_duplicate_responses(kind: FaultKind, strength: float, expected: bool) -> None:
    fault = PlannedFault(kind, starts_at_seconds=0.0, seconds=1.0, target_choice=0.0, strength=strength)
    assert sends_duplicate_responses(fault) == expected

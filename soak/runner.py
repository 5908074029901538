"""Runs one soak from its seed to its report."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random

from soak.deployment import draw_deployment
from soak.fault_injection.injector import FaultInjector
from soak.fault_plan import (
    FAULT_FREE_END_SECONDS,
    FAULT_FREE_START_SECONDS,
    MAX_FAULT_SECONDS,
    PlannedFault,
    describe,
    draw_fault_plan,
)
from soak.fleet import Fleet
from soak.history.clock import record_lag
from soak.history.history import History
from soak.invariants.registry import check_all
from soak.report import SoakReport
from soak.sidecar.syscall_faults import build_fault_library

MIN_FAULT_PHASE_SECONDS = 2.0
"""Seconds of the shortest soak in which faults start."""
MIN_SECONDS = FAULT_FREE_START_SECONDS + MAX_FAULT_SECONDS + FAULT_FREE_END_SECONDS + MIN_FAULT_PHASE_SECONDS
"""Seconds of the shortest soak."""
MAX_SECONDS = 3600.0
"""Seconds of the longest soak; its length is limited as the history is kept in memory."""


async def run_soak(seed: int, seconds: float, keep: Path | None = None) -> SoakReport:
    """Run a soak and check its history against the invariants.

    Args:
        seed: what the deployment, the load and the faults are drawn from.
        seconds: the length of the soak.
        keep: where to keep configurations and logs; by default they are deleted.

    Raises:
        SoakError: the soak itself cannot run.
    """
    random = Random(seed)
    deployment = draw_deployment(random)
    plan = draw_fault_plan(random, seconds)
    history = History()
    with _working_directory(keep) as directory:
        library = build_fault_library(directory)
        fleet = Fleet(deployment, history, random, directory)
        await _run_fleet(fleet, random, plan, seconds, library)
        injected_count = sum(member.sidecar.faults.injected_count for member in fleet.members)
    violations = check_all(history, deployment)
    description = describe(deployment, plan)
    return SoakReport(seed, seconds, description, history, violations, injected_count)


async def _run_fleet(
    fleet: Fleet, random: Random, plan: list[PlannedFault], seconds: float, library: Path
) -> None:
    """Run the fleet under load and faults, and record when the faults and the soak ended."""
    clock = fleet.clock
    history = fleet.history
    lag_task = asyncio.create_task(record_lag(clock, history))
    try:
        await fleet.start(library)
        started_at_seconds = clock.now_seconds()
        fleet.start_load()
        injector = FaultInjector(fleet, random)
        await injector.run([_shifted(fault, started_at_seconds) for fault in plan])
        history.faults_ended_at_seconds = clock.now_seconds()
        remaining_seconds = started_at_seconds + seconds - clock.now_seconds()
        await asyncio.sleep(max(FAULT_FREE_END_SECONDS, remaining_seconds))
        history.ended_at_seconds = clock.now_seconds()
        await fleet.stop_load()
    finally:
        await fleet.stop()
        lag_task.cancel()


def _shifted(fault: PlannedFault, seconds: float) -> PlannedFault:
    """Return the fault with its start moved by the time at which the load starts."""
    return replace(fault, starts_at_seconds=fault.starts_at_seconds + seconds)


@contextlib.contextmanager
def _working_directory(keep: Path | None) -> Iterator[Path]:
    """Provide the directory that is kept, or a temporary one that is deleted."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="balancer-soak-") as temporary:
        yield Path(temporary)

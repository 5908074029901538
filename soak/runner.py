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
from soak.fault_injector import FaultInjector
from soak.fault_plan import (
    MAX_FAULT_SECONDS,
    QUIET_SECONDS,
    WARM_UP_SECONDS,
    PlannedFault,
    describe,
    draw_fault_plan,
)
from soak.fleet import Fleet
from soak.history import History, watch_lag
from soak.invariants import check_all
from soak.report import SoakReport
from soak.syscall_faults import build_fault_library

MIN_SECONDS = WARM_UP_SECONDS + MAX_FAULT_SECONDS + QUIET_SECONDS + 2.0
MAX_SECONDS = 3600.0


async def run_soak(seed: int, seconds: float, keep: Path | None = None) -> SoakReport:
    """Run a soak and judge it. Raises SoakError where the soak itself cannot go on."""
    random = Random(seed)
    deployment = draw_deployment(random)
    plan = draw_fault_plan(random, seconds)
    history = History()
    with _directory(keep) as directory:
        library = build_fault_library(directory)
        fleet = Fleet(deployment, history, random, directory)
        lag_task = asyncio.create_task(watch_lag(fleet.clock, history))
        try:
            await fleet.start(library)
            started_at = fleet.clock.now()
            fleet.start_load()
            injector = FaultInjector(fleet, random)
            await injector.run([_shifted(fault, started_at) for fault in plan])
            history.quiet_since = fleet.clock.now()
            await asyncio.sleep(max(QUIET_SECONDS, started_at + seconds - fleet.clock.now()))
            history.ended_at = fleet.clock.now()
            await fleet.stop_load()
        finally:
            await fleet.stop()
            lag_task.cancel()
        injected = sum(member.sidecar.faults.injected_count for member in fleet.members)
    violations = check_all(history, deployment)
    return SoakReport(seed, seconds, describe(deployment, plan), history, violations, injected)


def _shifted(fault: PlannedFault, seconds: float) -> PlannedFault:
    """Return the fault as planned for a load that starts at this time."""
    return replace(fault, starts_at=fault.starts_at + seconds)


@contextlib.contextmanager
def _directory(keep: Path | None) -> Iterator[Path]:
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="balancer-soak-") as temporary:
        yield Path(temporary)

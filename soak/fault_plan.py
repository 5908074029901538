"""Which faults a soak injects and when, drawn from its seed before it starts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from soak.deployment import Deployment

WARM_UP_SECONDS = 2.5
"""Without faults, so that connections and estimates are there to be disturbed."""
QUIET_SECONDS = 12.0
"""Without faults at the end, in which the fleet has to recover: longer than a server takes to warm up."""
MAX_FAULT_SECONDS = 3.0
CLUSTER_INTERVAL_SECONDS = 0.5
"""On average between two clusters of faults that overlap."""
MAX_FAULTS_PER_CLUSTER = 4


class FaultKind(StrEnum):
    """What a fault does, to one target or to all."""

    STOP_SIDECAR = "SIGTERM, then a new process"
    KILL_SIDECAR = "SIGKILL, then a new process"
    RELOAD_SIDECAR = "SIGHUP with a new address of discovery"
    RELOAD_BROKEN = "SIGHUP with a configuration that cannot be read"
    PAUSE_SIDECAR = "SIGSTOP for a moment"
    STEP_WALL_CLOCK = "a step of the wall clock of all machines"
    ACCEPT_FAILS = "accept fails"
    SOCKET_FAILS = "socket fails"
    CONNECT_FAILS = "connect fails"
    SHORT_TRANSFERS = "short reads and writes"
    INTERRUPTED_CALLS = "interrupted calls"
    SERVER_MISBEHAVES = "an account server misbehaves"
    SECOND_ANSWERS = "account servers send second answers"
    SERVER_RESTARTS = "an account server dies and returns cold"
    SERVER_DRAINS = "an account server drains, is removed, and returns cold under another name"
    NETWORK_SILENT = "the network swallows everything"
    NETWORK_SLOW = "the network delays and cuts up what passes"
    NETWORK_RESETS = "the network resets connections"
    NETWORK_LATE = "connections come up late"
    WATCHES_SILENT = "open watches of discovery fall silent"
    DISCOVERY_RESETS = "calls to discovery are reset"
    DISCOVERY_DOWN = "discovery is down"
    CLIENTS_LEAVE = "the clients of a sidecar leave at once"
    CLIENTS_MISBEHAVE = "clients misbehave more often"
    CLIENTS_PIPELINE = "clients send many requests at once"


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault that is to come. What it hits is chosen by `choice` among what there is then."""

    kind: FaultKind
    starts_at: float
    seconds: float
    choice: float
    """From 0 to 1: the target."""
    strength: float
    """From 0 to 1: how bad it is."""


def draw_fault_plan(random: Random, seconds: float) -> list[PlannedFault]:
    """Draw clusters of faults that overlap, in the order of their starts."""
    faults: list[PlannedFault] = []
    last_start = seconds - QUIET_SECONDS - MAX_FAULT_SECONDS
    at = WARM_UP_SECONDS
    while at < last_start:
        choice = random.random()
        for _ in range(random.randint(2, MAX_FAULTS_PER_CLUSTER)):
            hits_same_target = random.random() < 0.6
            fault = PlannedFault(
                kind=random.choice(list(FaultKind)),
                starts_at=min(last_start, at + random.random()),
                seconds=random.uniform(0.2, MAX_FAULT_SECONDS),
                choice=choice if hits_same_target else random.random(),
                strength=random.random(),
            )
            faults.append(fault)
        at += random.expovariate(1 / CLUSTER_INTERVAL_SECONDS)
    return sorted(faults, key=lambda fault: fault.starts_at)


def wall_clock_step_seconds(strength: float) -> float:
    """Return a step: an hour or some seconds, forward or back."""
    steps = (3600.0, -3600.0, 5.0, -5.0)
    return steps[min(len(steps) - 1, int(strength * len(steps)))]


def describe(deployment: Deployment, plan: list[PlannedFault]) -> str:
    """Describe a soak in one line."""
    return (
        f"{deployment.sidecar_count} sidecars, {deployment.server_count} account servers, "
        f"discovery {'polled' if deployment.is_discovery_polled else 'pushed'}, {len(plan)} faults"
    )

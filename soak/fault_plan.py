"""The fault plan: which faults a soak injects and when. It is drawn from the seed before the soak starts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from soak.deployment import Deployment

FAULT_FREE_START_SECONDS = 2.5
"""Seconds without faults at the start, so that faults meet open connections and settled estimates."""
FAULT_FREE_END_SECONDS = 12.0
"""Seconds without faults at the end, in which the fleet recovers: longer than the warm-up of a server."""
MIN_FAULT_SECONDS = 0.2
"""Seconds that a fault lasts at least: long enough to affect some requests."""
MAX_FAULT_SECONDS = 3.0
"""Seconds that a fault lasts at most: longer than any client waits."""
CLUSTER_INTERVAL_SECONDS = 0.5
"""Mean seconds between two clusters of overlapping faults."""
CLUSTER_SPREAD_SECONDS = 1.0
"""Seconds within which the faults of a cluster start."""
MIN_FAULTS_PER_CLUSTER = 2
"""Faults; two are needed to overlap."""
MAX_FAULTS_PER_CLUSTER = 4
"""Faults; with more the fleet serves too little to show defects."""
SAME_TARGET_PROBABILITY = 0.6
"""Probability that a fault has the target of its cluster, so that overlapping faults interact."""
WALL_CLOCK_STEPS_SECONDS = (3600.0, -3600.0, 5.0, -5.0)
"""Steps of the wall clock: large ones as after a long outage of time synchronization, and corrections."""


class FaultKind(StrEnum):
    """What a fault does, to one target or to all. A plan selects them by their order, so the order stays."""

    STOP_SIDECAR = "SIGTERM, then a new process"
    KILL_SIDECAR = "SIGKILL, then a new process"
    RELOAD_SIDECAR = "SIGHUP with a new address of discovery"
    RELOAD_UNREADABLE = "SIGHUP with a configuration that cannot be read"
    PAUSE_SIDECAR = "SIGSTOP for a moment"
    STEP_WALL_CLOCK = "a step of the wall clock of all machines"
    ACCEPT_FAILS = "accept fails"
    SOCKET_FAILS = "socket fails"
    CONNECT_FAILS = "connect fails"
    SHORT_TRANSFERS = "short reads and writes"
    INTERRUPTED_CALLS = "interrupted calls"
    SERVER_MISBEHAVES = "an account server misbehaves"
    DUPLICATE_RESPONSES = "account servers send duplicate responses"
    SERVER_RESTARTS = "an account server crashes and restarts"
    SERVER_DRAINS = "an account server drains, is removed, and is replaced by a new one"
    NETWORK_BLACK_HOLE = "the network drops everything"
    NETWORK_SLOW = "the network delays and fragments data"
    NETWORK_RESETS = "the network resets connections"
    NETWORK_SLOW_CONNECT = "connections are established late"
    WATCHES_UNRESPONSIVE = "open watches of discovery stop responding"
    DISCOVERY_RESETS = "connections to discovery are reset"
    DISCOVERY_DOWN = "discovery is down"
    CLIENTS_DISCONNECT = "all clients of a sidecar disconnect at once"
    CLIENTS_MISBEHAVE = "clients misbehave more often"
    CLIENTS_PIPELINE = "clients pipeline many requests"
    SERVERS_REJECT_EARLY = "account servers reject long requests early and read the rest slowly"


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of the plan. `target_choice` selects its target among those that exist when it starts."""

    kind: FaultKind
    starts_at_seconds: float
    seconds: float
    target_choice: float
    """From 0 to 1: selects the target by its position."""
    strength: float
    """From 0 to 1: how severe the fault is, or which variant of its kind it is."""


def draw_fault_plan(random: Random, seconds: float) -> list[PlannedFault]:
    """Draw clusters of overlapping faults, in the order of their starts."""
    faults: list[PlannedFault] = []
    last_start_seconds = seconds - FAULT_FREE_END_SECONDS - MAX_FAULT_SECONDS
    cluster_start_seconds = FAULT_FREE_START_SECONDS
    while cluster_start_seconds < last_start_seconds:
        faults += _draw_cluster(random, cluster_start_seconds, last_start_seconds)
        cluster_start_seconds += random.expovariate(1 / CLUSTER_INTERVAL_SECONDS)
    return sorted(faults, key=lambda fault: fault.starts_at_seconds)


def _draw_cluster(random: Random, start_seconds: float, last_start_seconds: float) -> list[PlannedFault]:
    """Draw faults that start close together; the order of the draws decides which plan a seed gives."""
    cluster_target_choice = random.random()
    faults = []
    for _ in range(random.randint(MIN_FAULTS_PER_CLUSTER, MAX_FAULTS_PER_CLUSTER)):
        hits_target_of_cluster = random.random() < SAME_TARGET_PROBABILITY
        fault = PlannedFault(
            kind=random.choice(list(FaultKind)),
            starts_at_seconds=min(
                last_start_seconds, start_seconds + CLUSTER_SPREAD_SECONDS * random.random()
            ),
            seconds=random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
            target_choice=cluster_target_choice if hits_target_of_cluster else random.random(),
            strength=random.random(),
        )
        faults.append(fault)
    return faults


def wall_clock_step_seconds(strength: float) -> float:
    """Return the step of the wall clock, in seconds, that a strength selects."""
    index = int(strength * len(WALL_CLOCK_STEPS_SECONDS))
    return WALL_CLOCK_STEPS_SECONDS[min(len(WALL_CLOCK_STEPS_SECONDS) - 1, index)]


def describe(deployment: Deployment, plan: list[PlannedFault]) -> str:
    """Return a description of a soak in one line."""
    discovery = "polled" if deployment.is_discovery_polled else "pushed"
    return (
        f"{deployment.sidecar_count} sidecars, {deployment.server_count} account servers, "
        f"discovery {discovery}, {len(plan)} faults"
    )

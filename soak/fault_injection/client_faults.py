"""Faults of the clients: disconnections, misbehaviour and pipelining."""

from __future__ import annotations

import asyncio

from soak.clients.behaviour import MALFORMED_BEHAVIOURS, Behaviour, default_profile
from soak.fault_injection.targets import InjectionsByKind, choose_member
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet

MISBEHAVIOURS = (*MALFORMED_BEHAVIOURS, Behaviour.DISCONNECTS, Behaviour.RESETS)
"""The behaviours that clients show more often under a fault."""
MAX_MISBEHAVIOUR_WEIGHT = 15.0
"""Weight of each misbehaviour under the strongest fault; that of clients that wait for a response is 80."""
MAX_PIPELINE_WEIGHT = 20.0
"""Weight of clients that pipeline requests, under the strongest fault."""


class ClientFaultInjector:
    """Makes the clients of one sidecar disconnect, misbehave and pipeline requests."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def injections(self) -> InjectionsByKind:
        """Return the injection of each kind of fault that this class injects."""
        return {
            FaultKind.CLIENTS_DISCONNECT: self._disconnect_all,
            FaultKind.CLIENTS_MISBEHAVE: self._misbehave,
            FaultKind.CLIENTS_PIPELINE: self._pipeline,
        }

    async def _disconnect_all(self, fault: PlannedFault) -> str:
        member = choose_member(self._fleet, fault)
        member.load.disconnect_all()
        return member.sidecar.name

    async def _misbehave(self, fault: PlannedFault) -> str:
        weight = MAX_MISBEHAVIOUR_WEIGHT * fault.strength
        return await self._run_with_weights(fault, dict.fromkeys(MISBEHAVIOURS, weight))

    async def _pipeline(self, fault: PlannedFault) -> str:
        weight = MAX_PIPELINE_WEIGHT * fault.strength
        return await self._run_with_weights(fault, {Behaviour.PIPELINES: weight})

    async def _run_with_weights(self, fault: PlannedFault, changes: dict[Behaviour, float]) -> str:
        """Change the weights of some behaviours for the duration of a fault."""
        member = choose_member(self._fleet, fault)
        member.load.profile.weights = default_profile().weights | changes
        await asyncio.sleep(fault.seconds)
        member.load.profile.weights = default_profile().weights
        return member.sidecar.name

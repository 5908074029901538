"""Faults of discovery: unresponsive watches, reset connections and outages."""

from __future__ import annotations

import asyncio

from soak.fault_injection.targets import InjectionsByKind, choose_member
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet

ALL_AGENTS_STRENGTH = 0.5
"""Strength from which on an outage affects the agents of all sidecars, not of one."""


class DiscoveryFaultInjector:
    """Makes discovery agents stop responding, reset connections and go down."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def injections(self) -> InjectionsByKind:
        """Return the injection of each kind of fault that this class injects."""
        return {
            FaultKind.WATCHES_UNRESPONSIVE: self._make_watches_unresponsive,
            FaultKind.DISCOVERY_RESETS: self._reset_connections,
            FaultKind.DISCOVERY_DOWN: self._take_down,
        }

    async def _make_watches_unresponsive(self, fault: PlannedFault) -> str:
        sidecar = choose_member(self._fleet, fault).sidecar
        sidecar.agent.stop_watch_responses()
        await asyncio.sleep(fault.seconds)
        return sidecar.name

    async def _reset_connections(self, fault: PlannedFault) -> str:
        sidecar = choose_member(self._fleet, fault).sidecar
        sidecar.agent.reset_connections()
        return sidecar.name

    async def _take_down(self, fault: PlannedFault) -> str:
        agents = [choose_member(self._fleet, fault).sidecar.agent]
        if fault.strength >= ALL_AGENTS_STRENGTH:
            agents = [member.sidecar.agent for member in self._fleet.members]
        for agent in agents:
            agent.go_down()
        await asyncio.sleep(fault.seconds)
        for agent in agents:
            await agent.recover()
        return "all" if len(agents) > 1 else agents[0].sidecar

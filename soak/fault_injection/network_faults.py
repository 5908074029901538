"""Faults of the network between sidecars and an account server."""

from __future__ import annotations

import asyncio
from random import Random

from soak.fault_injection.targets import InjectionsByKind, choose_server
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet
from soak.network.proxy_mode import ProxyMode

MAX_DELAY_SECONDS = 0.05
"""Seconds by which a slow network delays each piece of data, at most."""
MAX_PIECE_BYTES = 2000
"""Bytes of a piece into which a slow network fragments data, at most."""
MAX_RESET_PROBABILITY = 0.3
"""Probability for each piece of data that its connection is reset, at most."""
MAX_ACCEPT_DELAY_SECONDS = 1.0
"""Seconds after which a connection is established, at most: more than the connect timeout of a sidecar."""


class NetworkFaultInjector:
    """Makes the network of one account server drop, delay or fragment data, or reset connections."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random

    def injections(self) -> InjectionsByKind:
        """Return the injection of each kind of fault that this class injects."""
        return {
            FaultKind.NETWORK_BLACK_HOLE: self._drop_everything,
            FaultKind.NETWORK_SLOW: self._slow_down,
            FaultKind.NETWORK_RESETS: self._reset,
            FaultKind.NETWORK_SLOW_CONNECT: self._delay_connections,
        }

    async def _drop_everything(self, fault: PlannedFault) -> str:
        return await self._run_in_mode(fault, ProxyMode(is_black_hole=True))

    async def _slow_down(self, fault: PlannedFault) -> str:
        mode = ProxyMode(
            delay_seconds=MAX_DELAY_SECONDS * fault.strength,
            piece_bytes=1 + int(MAX_PIECE_BYTES * self._random.random()),
        )
        return await self._run_in_mode(fault, mode)

    async def _reset(self, fault: PlannedFault) -> str:
        choose_server(self._fleet, fault).proxy.reset_all()
        mode = ProxyMode(reset_probability=MAX_RESET_PROBABILITY * fault.strength)
        return await self._run_in_mode(fault, mode)

    async def _delay_connections(self, fault: PlannedFault) -> str:
        mode = ProxyMode(server_connect_delay_seconds=MAX_ACCEPT_DELAY_SECONDS * fault.strength)
        return await self._run_in_mode(fault, mode)

    async def _run_in_mode(self, fault: PlannedFault, mode: ProxyMode) -> str:
        """Set the mode of a server's proxy for the duration of a fault."""
        server = choose_server(self._fleet, fault)
        server.proxy.set_mode(mode)
        await asyncio.sleep(fault.seconds)
        server.proxy.set_mode(ProxyMode())
        server.record_fault_end()
        return server.identity.name

"""Faults of the account servers: misbehaviour, restarts and draining."""

from __future__ import annotations

import asyncio

from soak.account_server.server import AccountServer
from soak.account_server.server_fault import ServerFault
from soak.fault_injection.targets import InjectionsByKind, choose_server
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet
from soak.history.events import EndpointHealth
from soak.network.proxy_mode import ProxyMode

SLOW_READ_BYTES_PER_SECOND = 100_000
"""Bytes that a server reads in a second while it rejects early; a long request takes over half a second."""
SLOW_READ_EXTRA_SECONDS = 0.5
"""Seconds for which a server still reads slowly after it has stopped to reject requests early."""
MAX_DRAIN_SECONDS = 2.0
"""Seconds for which a server drains before it is removed, at most."""


def selected_server_fault(strength: float) -> ServerFault:
    """Return the misbehaviour of a server that a fault of this strength selects."""
    faults = [fault for fault in ServerFault if fault not in (ServerFault.NONE, ServerFault.REJECT_EARLY)]
    return faults[int(strength * len(faults)) % len(faults)]


def sends_duplicate_responses(fault: PlannedFault) -> bool:
    """Return whether account servers send duplicate responses because of a fault."""
    if fault.kind == FaultKind.SERVER_MISBEHAVES:
        return selected_server_fault(fault.strength) == ServerFault.DUPLICATE_RESPONSE
    return fault.kind == FaultKind.DUPLICATE_RESPONSES


class AccountServerFaultInjector:
    """Makes account servers misbehave, crash and drain."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def injections(self) -> InjectionsByKind:
        """Return the injection of each kind of fault that this class injects."""
        return {
            FaultKind.SERVER_MISBEHAVES: self._misbehave,
            FaultKind.DUPLICATE_RESPONSES: self._send_duplicate_responses,
            FaultKind.SERVERS_REJECT_EARLY: self._reject_early,
            FaultKind.SERVER_RESTARTS: self._restart,
            FaultKind.SERVER_DRAINS: self._drain,
        }

    async def _misbehave(self, fault: PlannedFault) -> str:
        server = choose_server(self._fleet, fault)
        server.fault = selected_server_fault(fault.strength)
        target = f"{server.identity.name} {server.fault.value}"
        await asyncio.sleep(fault.seconds)
        server.fault = ServerFault.NONE
        server.record_fault_end()
        return target

    async def _send_duplicate_responses(self, fault: PlannedFault) -> str:
        """Make all servers without another fault send duplicate responses."""
        servers = self._servers_without_fault()
        await _run_with_fault(servers, fault.seconds, ServerFault.DUPLICATE_RESPONSE)
        return f"{len(servers)} servers"

    async def _reject_early(self, fault: PlannedFault) -> str:
        """Make all servers without another fault reject long requests early, and read them slowly."""
        servers = self._servers_without_fault()
        for server in servers:
            server.proxy.set_mode(ProxyMode(slow_read_bytes_per_second=SLOW_READ_BYTES_PER_SECOND))
        await _run_with_fault(servers, fault.seconds, ServerFault.REJECT_EARLY)
        # Some bytes are read slowly after the fault, too, so that connections that were kept carry requests.
        await asyncio.sleep(SLOW_READ_EXTRA_SECONDS)
        for server in servers:
            server.proxy.set_mode(ProxyMode())
        return f"{len(servers)} servers"

    def _servers_without_fault(self) -> list[AccountServer]:
        return [server for server in self._fleet.servers if server.fault == ServerFault.NONE]

    async def _restart(self, fault: PlannedFault) -> str:
        """Crash a server, and start it again as a new process that warms up."""
        server = choose_server(self._fleet, fault)
        if not server.is_running:
            return _describe_stopped_server(server)
        server.stop()
        await asyncio.sleep(fault.seconds)
        await server.start(needs_warm_up=True)
        self._fleet.directory.set_health(server, EndpointHealth.UP)
        return server.identity.name

    async def _drain(self, fault: PlannedFault) -> str:
        """Drain and remove a server, which still responds, and start another in its place."""
        server = choose_server(self._fleet, fault)
        if not server.is_running:
            return _describe_stopped_server(server)
        self._fleet.servers.remove(server)
        self._fleet.directory.set_health(server, EndpointHealth.DRAINING)
        await asyncio.sleep(MAX_DRAIN_SECONDS * fault.strength)
        self._fleet.directory.set_health(server, EndpointHealth.REMOVED)
        await self._fleet.replace_server(server)
        return f"{server.identity.name}, which still responds"


def _describe_stopped_server(server: AccountServer) -> str:
    return f"{server.identity.name}, which did not run"


async def _run_with_fault(servers: list[AccountServer], seconds: float, fault: ServerFault) -> None:
    """Give servers a fault for some time; one that has another fault by then keeps that."""
    for server in servers:
        server.fault = fault
    await asyncio.sleep(seconds)
    for server in servers:
        if server.fault == fault:
            server.fault = ServerFault.NONE
            server.record_fault_end()

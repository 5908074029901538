"""The fleet of one soak: account servers, discovery, sidecars and their clients."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from dataclasses import dataclass
from pathlib import Path
from random import Random

from soak.account_server.server import AccountServer, ServerIdentity
from soak.clients.load import ClientLoad
from soak.deployment import CELLS_PER_ZONE, ZONES, Deployment
from soak.discovery.agent import DiscoveryAgent
from soak.discovery.endpoint_directory import EndpointDirectory
from soak.errors import SidecarNotReadyError
from soak.history.clock import HarnessClock
from soak.history.events import EndpointHealth
from soak.history.history import History
from soak.network.loopback import agent_host, free_address, server_host, sidecar_host
from soak.sidecar.process import SidecarProcess
from soak.sidecar.syscall_faults import SyscallFaults

READY_TIMEOUT_SECONDS = 30.0
"""Seconds within which all sidecars have to become ready; they start at once and compete for processors."""
STOP_TIMEOUT_SECONDS = 6.0
"""Seconds that a graceful shutdown may take at the end: longer than any client waits."""
SAMPLE_INTERVAL_SECONDS = 0.25
"""Seconds between two samples of the resources that the processes use."""


@dataclass(frozen=True, slots=True)
class Member:
    """A sidecar of the fleet and the clients that send requests to it."""

    sidecar: SidecarProcess
    load: ClientLoad


class Fleet:
    """Everything that runs in a soak: account servers, discovery, sidecars and clients.

    Attributes:
        deployment: the deployment that the fleet follows.
        history: where all events are recorded.
        clock: the clock of the soak.
        directory: the endpoint list that the discovery agents serve.
        servers: the account servers that neither drain nor are removed.
        members: the sidecars with their clients.
    """

    def __init__(
        self, deployment: Deployment, history: History, random: Random, working_directory: Path
    ) -> None:
        self.deployment = deployment
        self.history = history
        self.clock = HarnessClock()
        self.directory = EndpointDirectory()
        self.servers: list[AccountServer] = []
        self.members: list[Member] = []
        self._all_servers: list[AccountServer] = []
        self._random = random
        self._working_directory = working_directory
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, fault_library: Path) -> None:
        """Start the account servers, then the discovery agents and the sidecars.

        Raises:
            SidecarNotReadyError: a sidecar does not become ready.
        """
        for index in range(self.deployment.server_count):
            zone = ZONES[index % len(ZONES)]
            cell = index % (len(ZONES) * CELLS_PER_ZONE)
            await self._start_server(f"s{index}", zone, cell, needs_warm_up=False)
        for index in range(self.deployment.sidecar_count):
            self.members.append(await self._make_member(index, fault_library))
        await self._start_sidecars()
        self._tasks.append(asyncio.create_task(self._record_states_periodically()))

    def start_load(self) -> None:
        """Start the clients."""
        self._tasks += [asyncio.create_task(member.load.run()) for member in self.members]

    async def replace_server(self, server: AccountServer) -> None:
        """Start a server that warms up in place of another one, under a new name."""
        original_name = server.identity.name.partition("-")[0]
        name = f"{original_name}-{len(self._all_servers)}"
        await self._start_server(name, server.identity.zone, server.identity.cell, needs_warm_up=True)

    async def stop_load(self) -> None:
        """Start no more clients, and wait until those that have started are done."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(member.load.finish() for member in self.members))

    async def stop(self) -> None:
        """End all sidecar processes and account servers."""
        for member in self.members:
            self._record_state(member.sidecar)
            member.sidecar.send_signal(signal.SIGTERM)
        for member in self.members:
            if not await member.sidecar.wait_until_ended(STOP_TIMEOUT_SECONDS):
                member.sidecar.send_signal(signal.SIGKILL)
                await member.sidecar.wait_until_ended(STOP_TIMEOUT_SECONDS)
        for server in self._all_servers:
            if server.is_running:
                server.stop()

    async def _start_server(self, name: str, zone: str, cell: int, needs_warm_up: bool) -> None:
        identity = ServerIdentity(name, zone, cell, server_host(len(self._all_servers)))
        random = Random(self._random.random())
        server = AccountServer(identity, self.deployment, self.clock, self.history, random)
        await server.start(needs_warm_up)
        self.servers.append(server)
        self._all_servers.append(server)
        self.directory.set_health(server, EndpointHealth.UP)

    async def _make_member(self, index: int, fault_library: Path) -> Member:
        """Make a sidecar that has not been started, with its discovery agent and its clients."""
        name = f"n{index}"
        random = Random(self._random.random())
        agent = DiscoveryAgent(
            sidecar=name,
            host=agent_host(index),
            is_polled=self.deployment.is_discovery_polled,
            directory=self.directory,
            clock=self.clock,
            history=self.history,
            random=random,
        )
        await agent.start()
        sidecar = SidecarProcess(
            position=index,
            address=free_address(sidecar_host(index)),
            deployment=self.deployment,
            agent=agent,
            clock=self.clock,
            history=self.history,
            directory=self._working_directory,
            faults=SyscallFaults(fault_library, self._working_directory / f"{name}.faults"),
        )
        load = ClientLoad(sidecar, self.deployment, self.clock, self.history, random)
        return Member(sidecar, load)

    async def _start_sidecars(self) -> None:
        """Start all sidecars at once.

        Raises:
            SidecarNotReadyError: a sidecar does not become ready.
        """
        sidecars = [member.sidecar for member in self.members]
        readiness = await asyncio.gather(*(_start_and_wait_until_ready(sidecar) for sidecar in sidecars))
        for sidecar, is_ready in zip(sidecars, readiness, strict=True):
            if not is_ready:
                raise SidecarNotReadyError(sidecar.name)

    async def _record_states_periodically(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
                for member in self.members:
                    self._record_state(member.sidecar)

    def _record_state(self, sidecar: SidecarProcess) -> None:
        """Record the resources that a sidecar uses, and the endpoint list changes that it has to know."""
        sidecar.record_resource_usage()
        sidecar.agent.record_overdue()


async def _start_and_wait_until_ready(sidecar: SidecarProcess) -> bool:
    """Start a sidecar and return whether it became ready."""
    await sidecar.start()
    return await sidecar.wait_until_ready(READY_TIMEOUT_SECONDS)

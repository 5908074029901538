"""The fleet of one soak: account servers, discovery, sidecars and their clients."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from dataclasses import dataclass
from pathlib import Path
from random import Random

from soak.account_server import AccountServer, ServerIdentity
from soak.client_load import ClientLoad
from soak.deployment import CELLS_PER_ZONE, ZONES, Deployment
from soak.discovery_agent import DiscoveryAgent, EndpointDirectory, Health
from soak.errors import SidecarNotReadyError
from soak.fault_proxy import Address
from soak.history import HarnessClock, History
from soak.sidecar_process import SidecarProcess
from soak.syscall_faults import SyscallFaults

READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 6.0
MEASURE_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Member:
    """A sidecar and the clients that use it."""

    sidecar: SidecarProcess
    load: ClientLoad


class Fleet:
    """Everything that runs in a soak."""

    def __init__(self, deployment: Deployment, history: History, random: Random, directory: Path) -> None:
        self.deployment = deployment
        self.history = history
        self.clock = HarnessClock()
        self.directory = EndpointDirectory(self.clock)
        self.servers: list[AccountServer] = []
        """Those that neither drain nor are removed."""
        self.members: list[Member] = []
        self._all_servers: list[AccountServer] = []
        self._random = random
        self._files = directory
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, fault_library: Path) -> None:
        """Start servers, then sidecars, then clients. Raises SidecarNotReadyError."""
        for index in range(self.deployment.server_count):
            zone = ZONES[index % len(ZONES)]
            cell = index % (len(ZONES) * CELLS_PER_ZONE)
            identity = ServerIdentity(f"s{index}", zone, cell, self._next_server_host())
            await self._add(identity, is_cold=False)
        for index in range(self.deployment.sidecar_count):
            self.members.append(await self._make_member(index, fault_library))
        async with asyncio.TaskGroup() as group:
            for member in self.members:
                group.create_task(self._start_member(member))
        self._tasks.append(asyncio.create_task(self._measure()))

    def start_load(self) -> None:
        """Let the clients begin."""
        self._tasks += [asyncio.create_task(member.load.run()) for member in self.members]

    async def add_server(self, like: AccountServer) -> AccountServer:
        """Start a cold server in the place of another, under a name of its own."""
        name = f"{like.identity.name.partition('-')[0]}-{len(self._all_servers)}"
        identity = ServerIdentity(name, like.identity.zone, like.identity.cell, self._next_server_host())
        return await self._add(identity, is_cold=True)

    async def stop_load(self) -> None:
        """Let no further client begin, and wait for those under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(member.load.finish() for member in self.members))

    async def stop(self) -> None:
        """End all processes and servers."""
        for member in self.members:
            member.sidecar.agent.note_overdue()
            member.sidecar.measure()
            member.sidecar.send_signal(signal.SIGTERM)
        for member in self.members:
            if not await member.sidecar.wait_until_ended(STOP_TIMEOUT_SECONDS):
                member.sidecar.send_signal(signal.SIGKILL)
                await member.sidecar.wait_until_ended(STOP_TIMEOUT_SECONDS)
        for server in self._all_servers:
            if server.is_running:
                server.stop()

    def _next_server_host(self) -> str:
        index = len(self._all_servers)
        return f"127.2.{index // 250}.{index % 250 + 1}"

    async def _add(self, identity: ServerIdentity, is_cold: bool) -> AccountServer:
        server = AccountServer(
            identity, self.deployment, self.clock, self.history, Random(self._random.random())
        )
        await server.start(is_cold)
        self.servers.append(server)
        self._all_servers.append(server)
        self.directory.set_health(server, Health.UP)
        return server

    async def _make_member(self, index: int, fault_library: Path) -> Member:
        name = f"n{index}"
        random = Random(self._random.random())
        agent = DiscoveryAgent(
            name,
            f"127.3.0.{index + 1}",
            self.deployment.is_discovery_polled,
            self.directory,
            self.clock,
            self.history,
            random,
        )
        await agent.start()
        sidecar = SidecarProcess(
            index,
            _free_address(index),
            self.deployment,
            agent,
            self.clock,
            self.history,
            self._files,
            SyscallFaults(fault_library, self._files / f"{name}.faults"),
        )
        load = ClientLoad(sidecar, self.deployment, self.clock, self.history, random)
        return Member(sidecar, load)

    async def _start_member(self, member: Member) -> None:
        await member.sidecar.start()
        if not await member.sidecar.wait_until_ready(READY_TIMEOUT_SECONDS):
            raise SidecarNotReadyError(member.sidecar.name, "see its log")

    async def _measure(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                await asyncio.sleep(MEASURE_INTERVAL_SECONDS)
                for member in self.members:
                    member.sidecar.measure()
                    member.sidecar.agent.note_overdue()


def _free_address(index: int) -> Address:
    """Return a free address: a host of its own, so that no outgoing connection takes its port meanwhile."""
    host = f"127.1.{index // 250}.{index % 250 + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return host, port

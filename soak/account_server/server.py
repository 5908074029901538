"""An account server with its proxy. It can be stopped and started again, as if its process were replaced."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from soak.account_server.connection import ServerConnection, ServerState
from soak.account_server.server_fault import ServerFault
from soak.account_server.work_queue import CORES, WorkQueue
from soak.deployment import Deployment
from soak.history.clock import HarnessClock
from soak.history.events import ServerIncarnation
from soak.history.history import History
from soak.network.fault_proxy import FaultProxy
from soak.network.sockets import Address

SLOW_SERVICE_TIME_FACTOR = 8.0
"""Factor by which a slow server takes longer for each request."""
NARROW_SHARE = 0.4
"""Share of the servers whose connections have small segments and receive buffers."""
LISTEN_HOST = "127.0.0.1"
"""The host at which the server listens; only its proxy connects to it."""
NANOSECONDS_PER_MILLISECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """The properties of a server that the endpoint list contains and that do not change."""

    name: str
    zone: str
    cell: int
    host: str
    """The loopback address at which its proxy listens."""


class AccountServer:
    """One account server with its proxy."""

    def __init__(
        self,
        identity: ServerIdentity,
        deployment: Deployment,
        clock: HarnessClock,
        history: History,
        random: Random,
    ) -> None:
        self.identity = identity
        is_narrow = random.random() < NARROW_SHARE
        self.proxy = FaultProxy(clock, random, identity.host, is_narrow)
        self.started_at_ms = 0
        """The start time in the endpoint list, in milliseconds since the Unix epoch; 0 if it was long ago."""
        self._deployment = deployment
        self._clock = clock
        self._history = history
        self._random = random
        work_queue = WorkQueue(self._draw_service_seconds)
        self._state = ServerState(identity.name, clock, history, random, self.proxy, work_queue)
        self._incarnation: ServerIncarnation | None = None
        self._listener: asyncio.Server | None = None
        self._connection_count = 0

    @property
    def is_running(self) -> bool:
        """Whether the server is running."""
        return self._incarnation is not None

    @property
    def address(self) -> Address:
        """The address of the proxy, which the endpoint list contains."""
        return self.proxy.address

    @property
    def fault(self) -> ServerFault:
        """How the server misbehaves now."""
        return self._state.fault

    @fault.setter
    def fault(self, fault: ServerFault) -> None:
        self._state.fault = fault

    async def start(self, needs_warm_up: bool) -> None:
        """Start the server.

        Args:
            needs_warm_up: whether the server starts with reduced capacity. Otherwise it has its full
                capacity, and the endpoint list shows that it started long ago.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._make_connection, LISTEN_HOST, 0)
        await self.proxy.start(backend=self._listener.sockets[0].getsockname()[:2])
        self._state.work_queue = WorkQueue(self._draw_service_seconds)
        now_seconds = self._clock.now_seconds()
        wall_time_ms = self._clock.wall_time_ns() // NANOSECONDS_PER_MILLISECOND
        self.started_at_ms = wall_time_ms if needs_warm_up else 0
        self._incarnation = ServerIncarnation(
            server=self.identity.name,
            zone=self.identity.zone,
            cell=self.identity.cell,
            started_at_seconds=now_seconds,
            needs_warm_up=needs_warm_up,
            healthy_since_seconds=now_seconds,
        )
        self._history.servers.append(self._incarnation)

    def stop(self) -> None:
        """Stop the server as a crash would: its connections are reset and new ones are refused."""
        self.proxy.stop()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._state.connections):
            connection.abort()
        if self._incarnation is not None:
            self._incarnation.ended_at_seconds = self._clock.now_seconds()
            self._incarnation = None

    def record_fault_end(self) -> None:
        """Record that the server is healthy from now on."""
        if self._incarnation is not None:
            self._incarnation.healthy_since_seconds = self._clock.now_seconds()

    def _draw_service_seconds(self) -> float:
        """Draw the seconds that a request takes on one core if its processing starts now."""
        mean_seconds = CORES / self._deployment.server_requests_per_second
        if self._incarnation is not None and self._incarnation.needs_warm_up:
            age_seconds = self._clock.now_seconds() - self._incarnation.started_at_seconds
            mean_seconds /= self._deployment.capacity_share(age_seconds)
        if self._state.fault == ServerFault.SLOW:
            mean_seconds *= SLOW_SERVICE_TIME_FACTOR
        return self._random.expovariate(1 / mean_seconds)

    def _make_connection(self) -> ServerConnection:
        self._connection_count += 1
        return ServerConnection(self._state, self._connection_count)

"""The connections of the clients of one sidecar."""

from __future__ import annotations

from random import Random

from soak.clients.connection import ClientConnection
from soak.history.clock import HarnessClock
from soak.sidecar.process import SidecarProcess

CONNECT_TIMEOUT_SECONDS = 1.0
"""Seconds after which a client gives up connecting, as clients of a service under load do."""
NEW_CONNECTIONS_AFTER_STOP_SECONDS = 0.3
"""Seconds after SIGTERM in which clients still connect, because they learn of a shutdown late."""
MAX_IDLE_CONNECTIONS = 20
"""Largest number of idle connections that are kept for later requests."""
RESET_PROBABILITY = 0.3
"""Probability that a client resets its connection when all clients disconnect; otherwise it closes it."""


class ConnectionPool:
    """The open connections to one sidecar, idle or in use."""

    def __init__(self, sidecar: SidecarProcess, clock: HarnessClock, random: Random) -> None:
        self._sidecar = sidecar
        self._clock = clock
        self._random = random
        self._open: set[ClientConnection] = set()
        self._idle: list[ClientConnection] = []

    async def acquire(self) -> ClientConnection | None:
        """Return an idle connection, or a new one if none is idle; None if that cannot be established."""
        while self._idle:
            connection = self._idle.pop(self._random.randrange(len(self._idle)))
            if connection.is_open:
                return connection
            self._open.discard(connection)
        return await self.connect()

    async def connect(self, reads_slowly: bool = False) -> ClientConnection | None:
        """Return a new connection, or None if it cannot be established; its client may read slowly."""
        if not self._may_connect():
            return None
        try:
            connection = await ClientConnection.open(
                self._sidecar.address, self._clock, CONNECT_TIMEOUT_SECONDS, reads_slowly
            )
        except OSError:
            return None
        self._open.add(connection)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for later requests, or discard it if it is closed or enough others are idle."""
        if connection.is_open and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            self._open.discard(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection from the pool."""
        self._open.discard(connection)

    def disconnect_all(self) -> None:
        """Disconnect all clients, including those with a pending response."""
        for connection in list(self._open):
            connection.disconnect(by_reset=self._random.random() < RESET_PROBABILITY)
        self._open.clear()
        self._idle.clear()

    def close_all(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.disconnect(by_reset=False)

    def _may_connect(self) -> bool:
        incarnation = self._sidecar.incarnation
        if incarnation is None or incarnation.ready_at_seconds is None:
            return False
        if incarnation.killed_at_seconds is not None or incarnation.ended_at_seconds is not None:
            return False
        stopped_at_seconds = incarnation.stop_requested_at_seconds
        if stopped_at_seconds is None:
            return True
        return self._clock.now_seconds() - stopped_at_seconds < NEW_CONNECTIONS_AFTER_STOP_SECONDS

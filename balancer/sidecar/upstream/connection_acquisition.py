"""Acquires the connection of an attempt that has found no idle one that is ready."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.connection_provider import (
    LOCAL_RESOURCE_ERRNOS,
    ConnectionProvider,
    EndpointUnreachableError,
    LocalResourceError,
    connect_error,
)
from balancer.sidecar.upstream.pool import EndpointPool
from balancer.time_units import SECOND_NS

TIMER_RESOLUTION_SECONDS = 0.001
"""Added to a delay that must not end early, in seconds: the event loop rounds its timers to milliseconds."""

MAX_SLEEPS = 3
"""Most sleeps for one delay; each may end up to 1.5 ms early, as delay and loop time are rounded."""

MAX_SHORTAGE_RETRIES = 5
"""Retries of a connect while this machine is short of a resource, which may be free again soon."""

SHORTAGE_RETRY_DELAY_SECONDS = 0.02
"""Seconds between two such retries, which last a tenth of a second together."""


class ConnectionAcquisition:
    """Waits for a used connection or opens a new one.

    Args:
        provider: the owner of all connections.
        pool: the pool of the endpoint.
        is_wanted: returns whether the attempt still waits for a connection.
    """

    __slots__ = ("_is_wanted", "_pool", "_provider")

    def __init__(
        self, provider: ConnectionProvider, pool: EndpointPool, is_wanted: Callable[[], bool]
    ) -> None:
        self._provider = provider
        self._pool = pool
        self._is_wanted = is_wanted

    async def acquire(self, reuse_delay_seconds: float) -> OutboundConnection | None:
        """Return a used connection after its reuse delay (0: there is none), or else a new one.

        A used connection is cheaper than a handshake. Returns None if no connection is wanted any more after
        the delay. Raises ConnectError.
        """
        if reuse_delay_seconds > 0:
            await self._wait(reuse_delay_seconds)
            if not self._is_wanted():
                return None
            connection = self._take_idle()
            if connection is not None:
                return connection
            self._require_connection_capacity()
        return await self._open()

    async def _wait(self, delay_seconds: float) -> None:
        """Wait until a delay is over by the sidecar's clock; the event loop may end a sleep early."""
        end_ns = self._provider.now_ns() + math.ceil(delay_seconds * SECOND_NS)
        remaining_seconds = delay_seconds
        for _ in range(MAX_SLEEPS):
            await asyncio.sleep(remaining_seconds + TIMER_RESOLUTION_SECONDS)
            remaining_seconds = (end_ns - self._provider.now_ns()) / SECOND_NS
            if remaining_seconds <= 0 or not self._is_wanted():
                return

    async def _open(self) -> OutboundConnection:
        """Return a new connection. Raises ConnectError.

        If the endpoint's address changes during the connect, the result says nothing of the endpoint, and the
        new address is tried. If this machine is short of a resource, the connect is retried, unless a
        connection has become idle in the meantime.
        """
        shortage_retries_left = MAX_SHORTAGE_RETRIES
        while True:
            address = self._pool.address
            try:
                connection = await self._provider.connect(self._pool)
            except OSError as error:  # a timeout is one, too
                if address == self._pool.address:
                    if error.errno not in LOCAL_RESOURCE_ERRNOS or not shortage_retries_left:
                        raise connect_error(address, error) from error
                    shortage_retries_left -= 1
                    await asyncio.sleep(SHORTAGE_RETRY_DELAY_SECONDS)
                    idle_connection = self._take_idle()
                    if idle_connection is not None:
                        return idle_connection
            else:
                if address == self._pool.address:
                    return connection
                connection.close()
            if not self._is_wanted() or not self._pool.is_ready:
                raise EndpointUnreachableError(address)
            self._require_connection_capacity()

    def _take_idle(self) -> OutboundConnection | None:
        return self._pool.acquire(self._provider.now_ns())

    def _require_connection_capacity(self) -> None:
        """Raise LocalResourceError if no further connection may be opened."""
        if not self._provider.ensure_connection_capacity():
            raise LocalResourceError(self._pool.address)

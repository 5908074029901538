"""Acquires a connection for an attempt that has found no idle connection ready for use."""

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
"""Extra time for a delay that must not end early; the event loop rounds its timers to milliseconds."""

MAX_SLEEPS = 3
"""The maximum number of sleeps for one delay.

One sleep may end up to 1.5 ms early, because its delay and the loop's time are rounded.
"""

SHORTAGE_RETRY_DELAY_SECONDS = 0.02
"""The delay before a connect is retried because this machine is short of a resource."""

MAX_SHORTAGE_RETRIES = 5
"""How often it is retried if no connection to the endpoint is open; these retries take 0.1 s."""

MAX_SHORTAGE_RETRIES_WITH_OPEN_CONNECTION = 50
"""How often it is retried while a connection to the endpoint is open, which may become idle; 1 s in all."""


class ConnectionAcquisition:
    """Waits for a used connection to become reusable, or opens a new one.

    Args:
        provider: The owner of all connections.
        pool: The connection pool of the endpoint.
        is_wanted: Returns whether the attempt still waits for a connection.
    """

    __slots__ = ("_is_wanted", "_pool", "_provider")

    def __init__(
        self, provider: ConnectionProvider, pool: EndpointPool, is_wanted: Callable[[], bool]
    ) -> None:
        self._provider = provider
        self._pool = pool
        self._is_wanted = is_wanted

    async def acquire(self, reuse_delay_seconds: float) -> OutboundConnection | None:
        """Return a used connection after its reuse delay, or else a new one.

        A used connection is cheaper than a handshake. Returns None if the attempt no longer waits for a
        connection after the delay. Raises ConnectError.

        Args:
            reuse_delay_seconds: The time until a used connection may be reused; 0 if there is none.
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

        If the endpoint's address changes during the connect, the result says nothing about the endpoint, and
        the new address is tried. If this machine is short of a resource, the connect is retried, unless a
        connection has become idle in the meantime.
        """
        shortage_retries = 0
        while True:
            address = self._pool.address
            try:
                connection = await self._provider.connect(self._pool)
            except OSError as error:  # includes TimeoutError
                if address == self._pool.address:
                    is_shortage = error.errno in LOCAL_RESOURCE_ERRNOS
                    if not is_shortage or shortage_retries >= self._max_shortage_retries():
                        raise connect_error(address, error) from error
                    shortage_retries += 1
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

    def _max_shortage_retries(self) -> int:
        if self._provider.has_established_connection(self._pool):
            return MAX_SHORTAGE_RETRIES_WITH_OPEN_CONNECTION
        return MAX_SHORTAGE_RETRIES

    def _take_idle(self) -> OutboundConnection | None:
        return self._pool.acquire(self._provider.now_ns())

    def _require_connection_capacity(self) -> None:
        """Raise LocalResourceError if no further connection may be opened."""
        if not self._provider.ensure_connection_capacity():
            raise LocalResourceError(self._pool.address)

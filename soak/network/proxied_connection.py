"""One connection through a fault proxy, which consists of two transports and a pipe in each direction."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import cast

from soak.history.clock import HarnessClock
from soak.network.arrival_log import ArrivalLog
from soak.network.proxy_mode import ProxyModeSwitch
from soak.network.sockets import Address, limit_read_rate, reset_transport

MAX_PIECE_PAUSE_SECONDS = 0.004
"""Longest pause, in seconds, between two pieces of data; a request of 20 KB still meets its deadline."""


@dataclass(slots=True)
class ProxyState:
    """The state that a fault proxy shares with its connections."""

    clock: HarnessClock
    random: Random
    mode_switch: ProxyModeSwitch
    backend: Address
    """Where the server behind the proxy listens."""
    is_narrow: bool = False
    """Whether the sidecars' connections have small segments and receive buffers."""
    connections: set[ProxiedConnection] = field(default_factory=set)
    """The open connections."""
    arrivals_by_port: dict[int, ArrivalLog] = field(default_factory=dict)
    """The arrival log of each connection, by the local port of its transport to the server."""


class _Pipe:
    """One direction of a connection. It forwards bytes in order, according to the mode of the proxy."""

    def __init__(self, state: ProxyState, connection: ProxiedConnection) -> None:
        self._state = state
        self._connection = connection
        self._target: asyncio.Transport | None = None
        self._has_target = asyncio.Event()
        self._queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def connect(self, target: asyncio.Transport) -> None:
        """Start forwarding to this transport."""
        self._target = target
        self._has_target.set()

    def feed(self, data: bytes | None) -> None:
        """Queue bytes, or None for the end of the connection."""
        self._queue.put_nowait((self._state.clock.now_seconds(), data))

    async def _run(self) -> None:
        await self._has_target.wait()
        while True:
            arrived_at_seconds, data = await self._queue.get()
            mode = self._state.mode_switch.mode
            while self._state.mode_switch.mode.is_black_hole:
                await self._state.mode_switch.wait_for_change()
            await self._delay(arrived_at_seconds + mode.delay_seconds)
            if data is None:
                self._connection.close()
                return
            if mode.reset_probability and self._state.random.random() < mode.reset_probability:
                self._connection.reset()
                return
            await self._write(data, mode.piece_bytes)

    async def _delay(self, until_seconds: float) -> None:
        """Wait until a time.

        The delay of a piece counts from its arrival, so the intervals between pieces do not change: the
        proxy adds nothing to the time between a response and its duplicate.
        """
        delay_seconds = until_seconds - self._state.clock.now_seconds()
        if delay_seconds > 0:
            await asyncio.sleep(delay_seconds)

    async def _write(self, data: bytes, piece_bytes: int) -> None:
        size = piece_bytes or len(data)
        for start in range(0, len(data), size):
            if self._target is None or self._target.is_closing():
                return  # The connection is being closed.
            self._target.write(data[start : start + size])
            if piece_bytes:
                await asyncio.sleep(self._state.random.random() * MAX_PIECE_PAUSE_SECONDS)


class _SidecarSide(asyncio.Protocol):
    """The protocol of the transport that a sidecar has opened."""

    def __init__(self, connection: ProxiedConnection) -> None:
        self._connection = connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and connect to the server."""
        self._connection.on_sidecar_connected(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        """Forward data to the server."""
        self._connection.on_sidecar_data(data)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forward the end of the connection to the server."""
        self._connection.on_sidecar_lost()


class _ServerSide(asyncio.Protocol):
    """The protocol of the transport to the server."""

    def __init__(self, connection: ProxiedConnection) -> None:
        self._connection = connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._connection.on_server_connected(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        """Forward data to the sidecar."""
        self._connection.on_server_data(data)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forward the end of the connection to the sidecar."""
        self._connection.on_server_lost()


class ProxiedConnection:
    """A connection of a sidecar to the proxy, and the proxy's connection to the server."""

    def __init__(self, state: ProxyState) -> None:
        self._state = state
        self._sidecar: asyncio.Transport | None = None
        self._server: asyncio.Transport | None = None
        self._to_server = _Pipe(state, self)
        self._to_sidecar = _Pipe(state, self)
        self._connect_task: asyncio.Task[None] | None = None
        self._arrivals = ArrivalLog()

    def make_sidecar_side(self) -> asyncio.Protocol:
        """Return the protocol for the transport that a sidecar has opened."""
        return _SidecarSide(self)

    def on_sidecar_connected(self, transport: asyncio.Transport) -> None:
        """Store the sidecar's transport and connect to the server."""
        self._sidecar = transport
        self._to_sidecar.connect(transport)
        self._connect_task = asyncio.get_running_loop().create_task(self._connect_server())

    def on_server_connected(self, transport: asyncio.Transport) -> None:
        """Store the server's transport and forward the data that has arrived."""
        self._server = transport
        local_port = transport.get_extra_info("sockname")[1]
        self._state.arrivals_by_port[local_port] = self._arrivals
        self._to_server.connect(transport)

    def on_sidecar_data(self, data: bytes) -> None:
        """Forward data from the sidecar, and record its arrival."""
        self._arrivals.record(len(data), self._state.clock.now_seconds())
        self._to_server.feed(data)
        bytes_per_second = self._state.mode_switch.mode.slow_read_bytes_per_second
        if bytes_per_second and self._state.is_narrow and self._sidecar is not None:
            self._arrivals.was_read_slowly = True
            limit_read_rate(self._sidecar, len(data), bytes_per_second)

    def on_server_data(self, data: bytes) -> None:
        """Forward data from the server."""
        self._to_sidecar.feed(data)

    def on_sidecar_lost(self) -> None:
        """Forward the end of the sidecar's connection, and record it."""
        if self._arrivals.closed_at_seconds is None:
            self._arrivals.closed_at_seconds = self._state.clock.now_seconds()
        self._to_server.feed(None)

    def on_server_lost(self) -> None:
        """Forward the end of the server's connection."""
        self._to_sidecar.feed(None)

    def close(self) -> None:
        """Close both transports."""
        for transport in (self._sidecar, self._server):
            if transport is not None and not transport.is_closing():
                transport.close()
        self._finish()

    def reset(self) -> None:
        """Reset both transports."""
        if self._arrivals.reset_at_seconds is None:
            self._arrivals.reset_at_seconds = self._state.clock.now_seconds()
        for transport in (self._sidecar, self._server):
            if transport is not None:
                reset_transport(transport)
        self._finish()

    async def _connect_server(self) -> None:
        server_connect_delay_seconds = self._state.mode_switch.mode.server_connect_delay_seconds
        if server_connect_delay_seconds:
            await asyncio.sleep(server_connect_delay_seconds)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: _ServerSide(self), *self._state.backend)
        except OSError:
            self.reset()

    def _finish(self) -> None:
        """Cancel all tasks except the current one, which ends by itself, and unregister the connection."""
        for task in (self._to_server.task, self._to_sidecar.task, self._connect_task):
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        self._state.connections.discard(self)

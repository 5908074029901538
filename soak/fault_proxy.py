"""A TCP proxy in front of an account server that delays, cuts up, swallows or resets what passes."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from random import Random
from typing import cast

from soak.history import HarnessClock

Address = tuple[str, int]

MAX_PIECE_PAUSE_SECONDS = 0.004
LINGER_OFF_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with no time: closing resets the connection (socket(7))."""


@dataclass(slots=True)
class ProxyMode:
    """What the proxy does to its connections now."""

    delay_seconds: float = 0.0
    """Of each piece of data, in both directions."""
    piece_bytes: int = 0
    """The largest piece that is passed on at once; 0: as it comes."""
    is_black_hole: bool = False
    """Nothing is passed on, nor the end of a connection; new ones are accepted."""
    reset_probability: float = 0.0
    """Of each piece of data: that its connection is reset instead."""
    accept_delay_seconds: float = 0.0
    """How long a new connection waits before it is served."""


def reset_transport(transport: asyncio.Transport) -> None:
    """Close a connection by a reset."""
    if transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF_RESET)
    transport.abort()


@dataclass(slots=True)
class Ingress:
    """What came from a sidecar on one connection, so that a server can tell when a byte of it came."""

    byte_counts: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    closed_at: float | None = None
    """When the sidecar ended the connection."""
    broken_at: float | None = None
    """When the proxy did."""

    def note(self, byte_count: int, at: float) -> None:
        """Take up that so many more bytes have come."""
        total = self.byte_counts[-1] if self.byte_counts else 0
        self.byte_counts.append(total + byte_count)
        self.times.append(at)

    def time_of_byte(self, position: int) -> float:
        """Return when the byte at this position came, counted from 1."""
        for byte_count, at in zip(self.byte_counts, self.times, strict=True):
            if byte_count >= position:
                return at
        return self.times[-1] if self.times else 0.0


class _Pipe:
    """One direction of a connection: passes bytes on in their order, as the mode says."""

    def __init__(self, proxy: FaultProxy, link: _Link) -> None:
        self._proxy = proxy
        self._link = link
        self._target: asyncio.Transport | None = None
        self._connected = asyncio.Event()
        self._queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self.task = proxy.loop.create_task(self._run())

    def connect(self, target: asyncio.Transport) -> None:
        """Begin to pass on to this transport."""
        self._target = target
        self._connected.set()

    def feed(self, data: bytes | None) -> None:
        """Take bytes, or None for the end."""
        self._queue.put_nowait((self._proxy.clock.now(), data))

    async def _run(self) -> None:
        await self._connected.wait()
        while True:
            came_at, data = await self._queue.get()
            mode = self._proxy.mode
            while self._proxy.mode.is_black_hole:
                await self._proxy.wait_for_mode_change()
            # What came some milliseconds apart stays so: a second answer may not fall behind further.
            delay_seconds = came_at + mode.delay_seconds - self._proxy.clock.now()
            if delay_seconds > 0:
                await asyncio.sleep(delay_seconds)
            if data is None:
                self._link.finish()
                return
            if mode.reset_probability and self._proxy.random.random() < mode.reset_probability:
                self._link.reset()
                return
            await self._write(data, mode.piece_bytes)

    async def _write(self, data: bytes, piece_bytes: int) -> None:
        size = piece_bytes or len(data)
        for start in range(0, len(data), size):
            if self._target is None or self._target.is_closing():
                return  # the link is being closed
            self._target.write(data[start : start + size])
            if piece_bytes:
                await asyncio.sleep(self._proxy.random.random() * MAX_PIECE_PAUSE_SECONDS)


class _End(asyncio.Protocol):
    """One end of a proxied connection."""

    def __init__(self, link: _Link, is_sidecar: bool) -> None:
        self._link = link
        self._is_sidecar = is_sidecar

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._link.on_connected(cast(asyncio.Transport, transport), self._is_sidecar)

    def data_received(self, data: bytes) -> None:
        """Pass data on to the other end."""
        self._link.on_data(data, self._is_sidecar)

    def connection_lost(self, _error: Exception | None) -> None:
        """Pass the end on."""
        self._link.on_lost(self._is_sidecar)


class _Link:
    """A sidecar's connection and the one to the server behind it."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._sidecar: asyncio.Transport | None = None
        self._server: asyncio.Transport | None = None
        self._to_server = _Pipe(proxy, self)
        self._to_sidecar = _Pipe(proxy, self)
        self._connect_task: asyncio.Task[None] | None = None
        self.ingress = Ingress()

    def on_connected(self, transport: asyncio.Transport, is_sidecar: bool) -> None:
        """Take a transport; that of the sidecar comes first."""
        if is_sidecar:
            self._sidecar = transport
            self._to_sidecar.connect(transport)
            self._connect_task = self._proxy.loop.create_task(self._connect_server())
        else:
            self._server = transport
            self._proxy.links_by_port[transport.get_extra_info("sockname")[1]] = self
            self._to_server.connect(transport)

    async def _connect_server(self) -> None:
        if self._proxy.mode.accept_delay_seconds:
            await asyncio.sleep(self._proxy.mode.accept_delay_seconds)
        try:
            await self._proxy.loop.create_connection(lambda: _End(self, False), *self._proxy.backend)
        except OSError:
            self.reset()

    def on_data(self, data: bytes, is_sidecar: bool) -> None:
        """Pass data on."""
        if is_sidecar:
            self.ingress.note(len(data), self._proxy.clock.now())
            self._to_server.feed(data)
        else:
            self._to_sidecar.feed(data)

    def on_lost(self, is_sidecar: bool) -> None:
        """Pass the end of a connection on."""
        if is_sidecar:
            if self.ingress.closed_at is None:
                self.ingress.closed_at = self._proxy.clock.now()
            self._to_server.feed(None)
        else:
            self._to_sidecar.feed(None)

    def finish(self) -> None:
        """Close both ends."""
        for transport in (self._sidecar, self._server):
            if transport is not None and not transport.is_closing():
                transport.close()
        self._end_tasks()
        self._proxy.links.discard(self)

    def reset(self) -> None:
        """Reset both ends."""
        if self.ingress.broken_at is None:
            self.ingress.broken_at = self._proxy.clock.now()
        for transport in (self._sidecar, self._server):
            if transport is not None:
                reset_transport(transport)
        self._end_tasks()
        self._proxy.links.discard(self)

    def _end_tasks(self) -> None:
        """Cancel all tasks but the one that runs, which ends by itself."""
        for task in (self._to_server.task, self._to_sidecar.task, self._connect_task):
            if task is not None and task is not asyncio.current_task():
                task.cancel()


class FaultProxy:
    """Listens at an address of its own and passes connections on to the server behind it.

    Args:
        clock: the time of the soak.
        random: what decides which data is reset, and pauses.
        host: where to listen; no outgoing connection should leave from there, lest it takes the port while
            the proxy is stopped.
    """

    def __init__(self, clock: HarnessClock, random: Random, host: str) -> None:
        self.backend: Address = (host, 0)
        self.clock = clock
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.links: set[_Link] = set()
        self.links_by_port: dict[int, _Link] = {}
        self._mode = ProxyMode()
        self._mode_changed = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self.address: Address = (host, 0)

    @property
    def mode(self) -> ProxyMode:
        """What happens to the connections now."""
        return self._mode

    def set_mode(self, mode: ProxyMode) -> None:
        """Change what happens to the connections."""
        self._mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def wait_for_mode_change(self) -> None:
        """Wait until another mode is set."""
        await self._mode_changed.wait()

    async def start(self) -> None:
        """Listen: the first time at a free port, later at the same one."""
        self._listener = await self.loop.create_server(self._make_end, *self.address)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Refuse new connections and reset the open ones, as when the process behind dies."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for link in list(self.links):
            link.reset()

    def ingress_of(self, port: int) -> Ingress | None:
        """Return what came on the connection that leaves the proxy from this port."""
        link = self.links_by_port.get(port)
        return link.ingress if link is not None else None

    def reset_all(self) -> None:
        """Reset all open connections."""
        for link in list(self.links):
            link.reset()

    def _make_end(self) -> _End:
        link = _Link(self)
        self.links.add(link)
        return _End(link, True)

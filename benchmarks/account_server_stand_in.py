"""Stand-ins for account servers, which answer each request at once and cost little processor time."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self, cast

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
"""The response to each request."""

END_OF_HEAD = b"\r\n\r\n"
"""The end of a request; requests have no body."""


class _Connection(asyncio.Protocol):
    """A connection of a sidecar, on which each request is answered at once."""

    def __init__(self, open_transports: set[asyncio.Transport]) -> None:
        self._open_transports = open_transports
        self._transport: asyncio.Transport | None = None
        self._unfinished_head = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._open_transports.add(self._transport)

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        *heads, self._unfinished_head = (self._unfinished_head + data).split(END_OF_HEAD)
        if heads and self._transport is not None:
            self._transport.write(RESPONSE * len(heads))

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the transport."""
        if self._transport is not None:
            self._open_transports.discard(self._transport)


class AccountServers:
    """An asynchronous context manager that runs account servers on free ports of 127.0.0.1."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._servers: list[asyncio.Server] = []
        self._open_transports: set[asyncio.Transport] = set()
        self._cleanup = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start listening."""
        loop = asyncio.get_running_loop()
        async with contextlib.AsyncExitStack() as cleanup:
            for _ in range(self._count):
                server = await loop.create_server(lambda: _Connection(self._open_transports), "127.0.0.1", 0)
                cleanup.callback(server.close)
                self._servers.append(server)
            self._cleanup = cleanup.pop_all()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop listening and close all connections."""
        await self._cleanup.aclose()
        for transport in tuple(self._open_transports):
            transport.abort()

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of the servers, in the form that endpoint lists contain."""
        return tuple("{}:{}".format(*server.sockets[0].getsockname()) for server in self._servers)

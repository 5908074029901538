"""Stand-ins for account servers: HTTP/1.1 servers on loopback that answer each request by a script."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias

from tests.sidecar.messages import ok_response, parse_headers

Script: TypeAlias = Callable[["ReceivedRequest"], Awaitable[bytes | None]]
"""A function that returns the bytes of the response, or None to close the connection without a response."""


class ReceivedRequest:
    """A request as an endpoint or the discovery service received it."""

    def __init__(self, request_line: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        self.request_line = request_line
        self.headers = headers
        self.body = body
        self.connection_closed = asyncio.Event()
        """Set when the sidecar closes the connection before the response is sent."""


class ScriptedEndpoint:
    """A stand-in for an account server, which answers each request by its script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received_requests: list[ReceivedRequest] = []
        self.request_arrived = asyncio.Event()
        """Set when the first request has arrived."""
        self.connection_count = 0
        """Number of connections accepted so far."""
        self.address = ""
        """Host and port; empty until the endpoint listens."""

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until either side closes the connection."""
        self.connection_count += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_request(reader, writer):
                pass
        writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request. Returns whether the connection stays open."""
        request = await self._read_request(reader)
        response_task = asyncio.ensure_future(self.script(request))
        # The sidecar sends nothing before it has the response, so the read ends only with the connection.
        close_task = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((response_task, close_task), return_when=asyncio.FIRST_COMPLETED)
        if not response_task.done():
            request.connection_closed.set()
            response_task.cancel()
            return False
        close_task.cancel()
        await asyncio.wait((close_task,))
        response = response_task.result()
        if response is None:
            return False
        writer.write(response)
        await writer.drain()
        return True

    async def _read_request(self, reader: asyncio.StreamReader) -> ReceivedRequest:
        request_line, *header_lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        headers = parse_headers(header_lines)
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        request = ReceivedRequest(request_line, headers, body)
        self.received_requests.append(request)
        self.request_arrived.set()
        return request


@contextlib.asynccontextmanager
async def run_endpoint(script: Script) -> AsyncIterator[ScriptedEndpoint]:
    """Run an endpoint on a free port of 127.0.0.1."""
    endpoint = ScriptedEndpoint(script)
    server = await asyncio.start_server(endpoint.serve_connection, "127.0.0.1", 0)
    endpoint.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield endpoint
    finally:
        server.close()


@contextlib.asynccontextmanager
async def run_endpoints(*scripts: Script) -> AsyncIterator[list[ScriptedEndpoint]]:
    """Run an endpoint for each of these scripts, in this order."""
    async with contextlib.AsyncExitStack() as stack:
        yield [await stack.enter_async_context(run_endpoint(script)) for script in scripts]


async def answer_ok(request: ReceivedRequest) -> bytes:
    """Script that answers at once with the body of the request."""
    return ok_response(request.body or b"done")


async def never_answer(_request: ReceivedRequest) -> bytes:
    """Script that never answers."""
    await asyncio.Event().wait()
    return b""


def unreachable_address() -> str:
    """Return an address where nothing listens.

    Its port was free a moment ago, and the system does not give it out again at once.
    """
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound_socket.getsockname()[1]}"

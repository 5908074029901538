"""A client of the sidecar."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from tests.sidecar.messages import parse_headers


class ClientResponse(NamedTuple):
    """A response as the client received it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status_and_body(self) -> tuple[int, bytes]:
        """The status and the body, which most tests compare."""
        return self.status, self.body


class Client:
    """A client with one connection to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def exchange(self, request: bytes) -> ClientResponse:
        """Send a request and return the next response."""
        self.writer.write(request)
        return await self.read_response()

    async def read_response(self) -> ClientResponse:
        """Return the next response."""
        status_line, *header_lines = (await self.reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        headers = parse_headers(header_lines)
        body = await self.reader.readexactly(int(headers[b"content-length"]))
        return ClientResponse(int(status_line.split()[1]), headers, body)

    async def is_closed_without_data(self) -> bool:
        """Wait until the sidecar closes the connection. Returns whether no unread data came before that."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

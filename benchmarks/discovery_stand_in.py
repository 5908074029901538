"""A stand-in for the discovery agent: an HTTP/1.1 server with an endpoint list that can be changed.

A call is one HTTP request and its response. `GET /discovery/hosts` returns a snapshot of the list. With
`?from=VERSION&hold_ms=MILLISECONDS` the call is a watch, a long poll: it returns a delta with all changes
after that version as soon as there are any, or an empty delta after the timeout in `hold_ms`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self, TypeAlias
from urllib.parse import parse_qs, urlsplit

from benchmarks.topology import CELL_COUNT, ZONE_COUNT

EndpointJson: TypeAlias = dict[str, str | int | float]
"""An entry of the endpoint list, in the form that discovery sends."""

_HEAD_LIMIT_BYTES = 1 << 20
"""Maximum length of the head of a request; the heads that a sidecar sends are far shorter."""


@dataclass(frozen=True, slots=True)
class TransferTotals:
    """Traffic of the agent since its start."""

    calls: int
    bytes_transferred: int
    """Bytes of all requests and responses, including their headers."""


class MalformedCallError(Exception):
    """A request violates the discovery protocol."""


class DiscoveryStandIn:
    """An asynchronous context manager that runs a discovery agent on a free port of 127.0.0.1.

    Args:
        endpoint_count: The number of endpoints in the list.
        addresses: The addresses of the first endpoints; the others have addresses at which nothing listens.
    """

    def __init__(self, endpoint_count: int, addresses: Sequence[str] = ()) -> None:
        self._endpoint_count = endpoint_count
        self._addresses = addresses
        self._version = 1
        self._health_by_index: dict[int, str] = {}
        self._entry_by_version: dict[int, EndpointJson] = {}
        self._change_condition = asyncio.Condition()
        self._received_version = 0
        """The latest version from which a watch has continued."""
        self._received_condition = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._calls = 0
        self._bytes_transferred = 0

    async def __aenter__(self) -> Self:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=_HEAD_LIMIT_BYTES)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in self._connections:
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        await self._server.wait_closed()

    @property
    def port(self) -> int:
        """The port at which the agent listens."""
        if self._server is None:
            raise RuntimeError("the agent is not listening yet")
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def totals(self) -> TransferTotals:
        """Traffic since the start."""
        return TransferTotals(self._calls, self._bytes_transferred)

    async def set_health(self, index: int, health: str) -> None:
        """Change the health of an endpoint, and notify the open watches."""
        async with self._change_condition:
            self._version += 1
            self._health_by_index[index] = health
            self._entry_by_version[self._version] = self._entry(index)
            self._change_condition.notify_all()

    async def wait_until_received(self) -> None:
        """Wait until a watch has continued from the current version: its client has applied all changes."""
        async with self._received_condition:
            await self._received_condition.wait_for(lambda: self._received_version >= self._version)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # If asyncio created the task, it would report the cancellation of the task as an error.
        task = asyncio.create_task(self._serve_connection(reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._serve_calls(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, MalformedCallError):
            pass  # the sidecar closed the connection or broke the protocol; the connection ends either way
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def _serve_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self._calls += 1
            self._bytes_transferred += len(head)
            body = await self._response_body(_parse_target(head))
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            self._bytes_transferred += len(response)
            writer.write(response)
            await writer.drain()

    async def _response_body(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        try:
            since_version = int(query.get("from", ["0"])[0])
            long_poll_timeout_milliseconds = int(query.get("hold_ms", ["0"])[0])
        except ValueError:
            raise MalformedCallError(target) from None
        if since_version == 0:
            return self._encode_snapshot()
        await self._record_received(since_version)
        await self._wait_for_change(since_version, long_poll_timeout_milliseconds / 1000)
        return self._encode_delta(since_version)

    async def _record_received(self, version: int) -> None:
        async with self._received_condition:
            self._received_version = max(self._received_version, version)
            self._received_condition.notify_all()

    async def _wait_for_change(self, since_version: int, long_poll_timeout_seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(long_poll_timeout_seconds), self._change_condition:
                await self._change_condition.wait_for(lambda: self._version > since_version)

    def _encode_snapshot(self) -> bytes:
        entries = [self._entry(index) for index in range(self._endpoint_count)]
        return self._encode_list(entries, is_snapshot=True)

    def _entry(self, index: int) -> EndpointJson:
        entry = endpoint_entry(index, self._health_by_index.get(index, "up"))
        if index < len(self._addresses):
            entry["dial"] = self._addresses[index]
        return entry

    def _encode_delta(self, since_version: int) -> bytes:
        entries = [self._entry_by_version[version] for version in range(since_version + 1, self._version + 1)]
        return self._encode_list(entries, is_snapshot=False)

    def _encode_list(self, entries: list[EndpointJson], *, is_snapshot: bool) -> bytes:
        document = {"seq": self._version, "whole": is_snapshot, "hosts": entries}
        return json.dumps(document, separators=(",", ":")).encode()


def endpoint_entry(index: int, health: str = "up") -> EndpointJson:
    """Return an entry of the endpoint list; each index has a loopback address of its own."""
    return {
        "host": f"s-{index:08x}",
        "dial": f"127.{index // 60_000 + 1}.{index // 250 % 240}.{index % 250 + 1}:8080",
        "site": f"z{index % ZONE_COUNT}",
        "class": "k",
        "block": index % CELL_COUNT,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def _parse_target(head: bytes) -> str:
    """Return the target of the request line (RFC 9112, section 3)."""
    request_line, _end, _headers = head.partition(b"\r\n")
    try:
        _method, target, _version = request_line.split(b" ")
    except ValueError:
        raise MalformedCallError(request_line.decode("latin-1")) from None
    return target.decode("latin-1")

"""Stands in for the discovery agent of a sidecar: an HTTP/1.1 server with an endpoint list that can change.

`GET /discovery/hosts` answers with a snapshot. With `?from=VERSION&hold_ms=MILLISECONDS` it is a watch: the
answer is a delta with all changes after that version, which comes once there are any or the hold is over.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass
from types import TracebackType
from typing import Self, TypeAlias
from urllib.parse import parse_qs, urlsplit

HostJson: TypeAlias = dict[str, str | int | float]

ZONES = 19
CELLS = 500
_HEAD_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class TransferTotals:
    """What has gone through the agent so far."""

    calls: int
    bytes_transferred: int
    """Requests and answers, with their headers."""


class MalformedCallError(Exception):
    """A request is no call that discovery knows."""


class DiscoveryStandIn:
    """Serves an endpoint list on a free port of 127.0.0.1, as an async context manager."""

    def __init__(self, host_count: int) -> None:
        self._host_count = host_count
        self._version = 1
        self._health_by_index: dict[int, str] = {}
        self._changes: dict[int, HostJson] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._calls = 0
        self._bytes_transferred = 0

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=_HEAD_LIMIT_BYTES)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop to listen and end all connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in self._connections:
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        await self._server.wait_closed()

    @property
    def port(self) -> int:
        """The port that was free."""
        if self._server is None:
            raise RuntimeError("the agent does not listen yet")
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def totals(self) -> TransferTotals:
        """What has gone through so far."""
        return TransferTotals(self._calls, self._bytes_transferred)

    async def set_health(self, index: int, health: str) -> None:
        """Change the health of a host, and let the watches know."""
        async with self._changed:
            self._version += 1
            self._health_by_index[index] = health
            self._changes[self._version] = host_entry(index, health)
            self._changed.notify_all()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The task is made here, as the server's own would report its cancellation as an error.
        task = asyncio.create_task(self._serve_connection(reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._answer_calls(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, MalformedCallError):
            pass  # the sidecar has left, or does not speak the protocol: either way this connection ends
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def _answer_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self._calls += 1
            self._bytes_transferred += len(head)
            body = await self._answer(_parse_target(head))
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            self._bytes_transferred += len(response)
            writer.write(response)
            await writer.drain()

    async def _answer(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        try:
            since_version = int(query.get("from", ["0"])[0])
            hold_milliseconds = int(query.get("hold_ms", ["0"])[0])
        except ValueError:
            raise MalformedCallError(target) from None
        if since_version == 0:
            return self._encode_snapshot()
        await self._wait_for_change(since_version, hold_milliseconds / 1000)
        return self._encode_delta(since_version)

    async def _wait_for_change(self, since_version: int, hold_seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(hold_seconds), self._changed:
                await self._changed.wait_for(lambda: self._version > since_version)

    def _encode_snapshot(self) -> bytes:
        hosts = [
            host_entry(index, self._health_by_index.get(index, "up")) for index in range(self._host_count)
        ]
        return self._encode_list(hosts, whole=True)

    def _encode_delta(self, since_version: int) -> bytes:
        hosts = [self._changes[version] for version in range(since_version + 1, self._version + 1)]
        return self._encode_list(hosts, whole=False)

    def _encode_list(self, hosts: list[HostJson], *, whole: bool) -> bytes:
        answer = {"seq": self._version, "whole": whole, "hosts": hosts}
        return json.dumps(answer, separators=(",", ":")).encode()


def host_entry(index: int, health: str = "up") -> HostJson:
    """An entry of the endpoint list in discovery's form; each index has a loopback address of its own."""
    return {
        "host": f"s-{index:08x}",
        "dial": f"127.{index // 60_000 + 1}.{index // 250 % 240}.{index % 250 + 1}:8080",
        "site": f"z{index % ZONES}",
        "class": "k",
        "block": index % CELLS,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def _parse_target(head: bytes) -> str:
    """Take the target out of a request line (RFC 9112, section 3)."""
    request_line, _end, _headers = head.partition(b"\r\n")
    try:
        _method, target, _version = request_line.split(b" ")
    except ValueError:
        raise MalformedCallError(request_line.decode("latin-1")) from None
    return target.decode("latin-1")

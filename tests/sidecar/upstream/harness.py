"""Test support for the upstream side.

- Endpoints that answer in raw bytes.
- Gates that block connects and reuse delays until the test opens them.
- Sockets with small buffers.
- An event loop that opens connections with a function of the test.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum, auto
from typing import NamedTuple, cast

import pytest

from balancer.policy_api import AttemptOutcome, EndpointUpdateKind
from balancer.sidecar.configuration import SidecarConfiguration, parse_configuration
from balancer.sidecar.discovery.endpoint_list import derive_endpoint_id
from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.attempt import Attempt, AttemptState, CompletionCallback
from balancer.sidecar.upstream.manager import UpstreamManager
from balancer.sidecar.upstream.pool import EndpointPool
from balancer.time_units import SECOND_NS
from tests.sidecar.configuration_documents import configuration, endpoint_entry, endpoint_list
from tests.sidecar.event_loop import wait_until
from tests.sidecar.messages import request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, Script, ScriptedEndpoint
from tests.sidecar.sidecar_under_test import Sidecar
from tests.sidecar.socket_options import RESET_ON_CLOSE, SMALL_BUFFER_BYTES

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Shard: 7\r\n\r\n"
"""The head of a response whose body ends with the connection."""

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def respond_with(response: bytes) -> Script:
    """Return a script that answers every request with these bytes."""

    async def script(_request: ReceivedRequest) -> bytes:
        return response

    return script


async def close_connection(_request: ReceivedRequest) -> bytes | None:
    """Script: close the connection without a response."""
    return None


def received_request_count(*endpoints: ScriptedEndpoint) -> int:
    """Return the total number of requests that these endpoints have received."""
    return sum(len(endpoint.received_requests) for endpoint in endpoints)


class ExpiredTime(Enum):
    """The time limit of an attempt that has passed."""

    START_WINDOW = auto()
    REQUEST_DEADLINE = auto()
    ATTEMPT_TIMEOUT = auto()


class ConnectionEnd(Enum):
    """How a raw endpoint ends its connection after it has written the response."""

    CLOSE = auto()
    RESET = auto()
    NEVER = auto()
    """The endpoint waits until the sidecar closes the connection."""


class RawEndpoint:
    """An endpoint that writes the same bytes to each connection and then ends it."""

    def __init__(self, response: bytes, ending: ConnectionEnd) -> None:
        self.response = response
        self.ending = ending
        self.connections: list[asyncio.StreamWriter] = []
        self.connection_ended = asyncio.Event()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        self.connections.append(writer)
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.response)
            await writer.drain()
            if self.ending is ConnectionEnd.RESET:
                connected_socket = writer.get_extra_info("socket")
                connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
            elif self.ending is ConnectionEnd.NEVER:
                await reader.read()
        self.connection_ended.set()
        writer.close()


@contextlib.asynccontextmanager
async def run_raw_endpoint(response: bytes, ending: ConnectionEnd) -> AsyncIterator[tuple[RawEndpoint, str]]:
    """Run a raw endpoint, and yield it with its address."""
    endpoint = RawEndpoint(response, ending)
    server = await asyncio.start_server(endpoint.serve_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield endpoint, f"{host}:{port}"
    finally:
        server.close()


@contextlib.asynccontextmanager
async def endpoint_with_small_buffer() -> AsyncIterator[tuple[socket.socket, str]]:
    """Listen with a small receive buffer, and yield the listening socket with its address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        host, port = server.getsockname()
        yield server, f"{host}:{port}"


def shrink_send_buffers(upstream: UpstreamManager) -> None:
    """Give each new connection a small send buffer, so that a long request is sent in part."""
    connect = upstream.connect

    async def connect_with_small_buffer(pool: EndpointPool) -> OutboundConnection:
        connection = await connect(pool)
        assert connection.transport is not None
        connected_socket = connection.transport.get_extra_info("socket")
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        return connection

    upstream.connect = connect_with_small_buffer


class ConnectGate:
    """Blocks every connect of a sidecar to its endpoints until the gate is opened.

    Args:
        sidecar: The sidecar whose connects are blocked.
        blocks_after_connect: Whether the gate blocks after the connection is established, or before.
        first_error: The error that is raised instead of returning the first connection.
    """

    def __init__(
        self, sidecar: Sidecar, *, blocks_after_connect: bool = True, first_error: OSError | None = None
    ) -> None:
        self.opened = asyncio.Event()
        self.reached = asyncio.Event()
        """Set once any connect is blocked."""
        self.connect_count = 0
        """The number of connects that have reached the gate."""
        self._blocks_after_connect = blocks_after_connect
        self._first_error = first_error
        self._connect = sidecar.dispatcher.upstream.connect
        sidecar.dispatcher.upstream.connect = self._connect_when_opened

    async def _connect_when_opened(self, pool: EndpointPool) -> OutboundConnection:
        connection = await self._connect(pool) if self._blocks_after_connect else None
        self.connect_count += 1
        self.reached.set()
        await self.opened.wait()
        if connection is None:
            return await self._connect(pool)
        if self._first_error is not None and self.connect_count == 1:
            connection.close()
            raise self._first_error
        return connection


class ReuseDelayGate:
    """Blocks every attempt that waits for a reuse delay, and stops the clock of the upstream side."""

    def __init__(self, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
        upstream = sidecar.dispatcher.upstream
        self.now_ns = upstream.now_ns()
        self.waiting: list[asyncio.Future[None]] = []
        self._blocked_tasks: list[asyncio.Task[object] | None] = []
        self._released_tasks: set[asyncio.Task[object] | None] = set()
        self._is_open = False
        self._sleep = asyncio.sleep
        upstream.now_ns = lambda: self.now_ns
        monkeypatch.setattr(asyncio, "sleep", self._block)

    async def _block(self, seconds: float) -> None:
        task = asyncio.current_task()
        if not seconds or self._is_open or task in self._released_tasks:
            await self._sleep(0)
            return
        release = asyncio.get_running_loop().create_future()
        self.waiting.append(release)
        self._blocked_tasks.append(task)
        await release

    async def wait_for_attempts(self, count: int) -> None:
        """Wait until this many attempts have been blocked."""
        await wait_until(lambda: len(self.waiting) >= count)

    def release_first(self) -> None:
        """Let the attempt that was blocked first continue, and never block it again."""
        self._released_tasks.add(self._blocked_tasks[0])
        self.waiting[0].set_result(None)

    def release_all(self) -> None:
        """Let every attempt continue, also those that reach the gate later."""
        self._is_open = True
        for release in self.waiting:
            release.set_result(None)


class LoopWithConnector:
    """An event loop that creates tasks like the running one, but connections with a function of the test."""

    def __init__(self, create_connection: Callable[..., Awaitable[object]]) -> None:
        self.create_connection = create_connection
        self.create_task = asyncio.get_running_loop().create_task


def event_loop_with_connector(
    create_connection: Callable[..., Awaitable[object]],
) -> asyncio.AbstractEventLoop:
    """Return an event loop whose `create_connection` is this function."""
    return cast(asyncio.AbstractEventLoop, LoopWithConnector(create_connection))


class UpstreamSetup(NamedTuple):
    """An upstream side that knows one endpoint, without the rest of a sidecar."""

    config: SidecarConfiguration
    upstream: UpstreamManager
    pool: EndpointPool


def create_upstream(
    address: str,
    loop: asyncio.AbstractEventLoop | None = None,
    now_ns: Callable[[], int] = lambda: SECOND_NS,
) -> UpstreamSetup:
    """Return an upstream side that knows the endpoint at this address; by default its clock is stopped."""
    config = parse_configuration(configuration(address))
    budget = BufferBudget(config.message_buffer_bytes)
    upstream = UpstreamManager(config, loop or asyncio.get_running_loop(), now_ns, budget)
    upstream.update_endpoints(config.cached_endpoints.endpoints, is_snapshot=True)
    [pool] = upstream.pools.values()
    return UpstreamSetup(config, upstream, pool)


class OutcomeQueue(asyncio.Queue[AttemptOutcome]):
    """A queue of the outcomes of attempts, whose completion callback is `record`."""

    def record(self, outcome: AttemptOutcome, _response: HttpResponse | None) -> None:
        """Add the outcome of an attempt."""
        self.put_nowait(outcome)


async def wait_for_attempt_in_flight(sidecar: Sidecar) -> Attempt:
    """Wait until the attempt of the only request is in flight, and return it."""
    in_flight = sidecar.dispatcher.request_registry.in_flight
    await wait_until(lambda: sidecar.dispatcher.upstream.open_connection_count and in_flight)
    [request] = in_flight.values()
    await wait_until(lambda: request.attempt is not None and request.attempt.state is AttemptState.IN_FLIGHT)
    assert request.attempt is not None
    return request.attempt


def start_attempt(
    upstream: UpstreamManager,
    endpoint_name: str,
    on_completed: CompletionCallback,
    start_before_ns: int = 0,
    build_payload: Callable[[], bytes] = request_bytes,
) -> Attempt:
    """Start an attempt at an endpoint, which must accept new requests."""
    endpoint_id = derive_endpoint_id(endpoint_name)
    attempt = upstream.create_attempt(endpoint_id, build_payload, on_completed, start_before_ns)
    assert attempt is not None
    attempt.start()
    return attempt


def move_endpoint(sidecar: Sidecar, address: str, health: str = "up") -> None:
    """Change the address and health of the endpoint s-0 with a delta."""
    document = endpoint_list(2, endpoint_entry("s-0", address, health), is_snapshot=False)
    sidecar.update_endpoints(document, EndpointUpdateKind.DELTA)

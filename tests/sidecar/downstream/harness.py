"""The harness for tests of the downstream side: clients on plain sockets, and sweeps on demand."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial
from socket import SO_LINGER, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, create_connection, socket
from typing import Any, TypeAlias

from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from tests.sidecar.event_loop import wait_until
from tests.sidecar.messages import request_bytes
from tests.sidecar.scripted_endpoint import Script, ScriptedEndpoint, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar
from tests.sidecar.socket_options import RESET_ON_CLOSE, SMALL_BUFFER_BYTES

CLOSE_HEADER = b"Connection: close\r\n"
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
MALFORMED_REQUEST = b"nonsense\r\n\r\n"

CloseAction: TypeAlias = Callable[[Sidecar], None]
"""A way to make a sidecar close an idle connection."""

TIMEOUTS = DownstreamTimeouts(sweep_interval_seconds=1e6)
"""The time limits of production, but without a sweep during a test."""

run_sidecar_without_sweeps = partial(run_sidecar, timeouts=TIMEOUTS)


def set_time(sidecar: Sidecar, now_seconds: float) -> None:
    """Set the listener's clock to this time and stop it there."""
    sidecar.listener.now_seconds = lambda: now_seconds


def sweep_at(sidecar: Sidecar, now_seconds: float) -> None:
    """Enforce the time limits at this time."""
    set_time(sidecar, now_seconds)
    sidecar.listener.sweep()


def sweep_after(sidecar: Sidecar, seconds: float) -> None:
    """Enforce the time limits as if this much time had passed."""
    sweep_at(sidecar, sidecar.listener.now_seconds() + seconds)


def close_by_idle_timeout(sidecar: Sidecar) -> None:
    """Close a connection on which no further request arrives."""
    sweep_after(sidecar, TIMEOUTS.idle_seconds + 1)


def close_by_first_byte_timeout(sidecar: Sidecar) -> None:
    """Close a connection on which no request has arrived."""
    sweep_after(sidecar, TIMEOUTS.first_byte_seconds + 1)


def close_by_draining(sidecar: Sidecar) -> None:
    """Close the idle connections as a shutdown does."""
    sidecar.listener.begin_draining()
    sidecar.listener.close_idle_connections()


@contextlib.contextmanager
def connect_socket(sidecar: Sidecar) -> Iterator[socket]:
    """Connect a client whose bytes reach the sidecar's socket before the event loop's next iteration."""
    with create_connection(("127.0.0.1", sidecar.port)) as client:
        yield client


async def connect_slow_reader(sidecar: Sidecar, sockets: contextlib.ExitStack) -> socket:
    """Connect a client for which the kernel takes only a part of a long response before the client reads."""
    client = sockets.enter_context(socket())
    client.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.connect(("127.0.0.1", sidecar.port))
    client.setblocking(False)
    earlier_count = len(sidecar.client_transports)
    await wait_until(lambda: len(sidecar.client_transports) > earlier_count)
    accepted = sidecar.client_transports[-1].get_extra_info("socket")
    accepted.setsockopt(SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER_BYTES)
    return client


def reset_on_close(client: socket) -> None:
    """Make the close of a client's socket reset the connection."""
    client.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


async def accepted_connection(sidecar: Sidecar) -> DownstreamConnection:
    """Wait for a connection without a request, and return the newest."""

    def without_request() -> list[DownstreamConnection]:
        connections = sidecar.listener.accepting_connections
        return [connection for connection in connections if not connection.has_sent_request]

    await wait_until(without_request)
    return without_request()[-1]


async def receive_all(client: socket) -> bytes:
    """Return all bytes that arrive until the sidecar closes its side. Raises ConnectionResetError."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    received = bytearray()
    while data := await loop.sock_recv(client, 65536):
        received += data
    return bytes(received)


async def receive_exactly(client: socket, body_bytes: int) -> bytes:
    """Return a response with a body of this size. Raises ConnectionResetError."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    received = bytearray()
    while len(received.partition(b"\r\n\r\n")[2]) < body_bytes:
        data = await loop.sock_recv(client, 65536)
        assert data, "the sidecar closed the connection within the response"
        received += data
    return bytes(received)


def is_complete_response(received: bytes, status: bytes, body: bytes) -> bool:
    """Return whether these bytes start with this status and end with this body."""
    return received.startswith(b"HTTP/1.1 " + status) and received.endswith(b"\r\n\r\n" + body)


async def check_rejection(raw: bytes, expected_status: int) -> None:
    """Check that a request is rejected and its connection closed, and that other clients are served."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client, other_client = await sidecar.connect_client(), await sidecar.connect_client()
        status, headers, _ = await client.exchange(raw)
        assert (status, headers[b"connection"]) == (expected_status, b"close")
        assert await client.is_closed_without_data()
        assert (await other_client.exchange(request_bytes()))[0] == 200
        assert len(endpoint.received_requests) == 1


class ClientSession:
    """Both ends of a client's connection, and the endpoint that serves it."""

    def __init__(self, sidecar: Sidecar, endpoint: ScriptedEndpoint, sockets: contextlib.ExitStack) -> None:
        self.sidecar = sidecar
        self.endpoint = endpoint
        self.client = sockets.enter_context(connect_socket(sidecar))
        self._sockets = sockets

    async def accept(self) -> None:
        """Wait until the sidecar has accepted the connection."""
        self.connection = await accepted_connection(self.sidecar)

    def connect_further_client(self) -> None:
        """Connect another client, which stays connected until `disconnect`."""
        self._sockets.enter_context(connect_socket(self.sidecar))

    async def complete_request(self) -> None:
        """Send a first request, and wait until the connection is idle after its response."""
        self.client.sendall(request_bytes())
        await wait_until(lambda: self.endpoint.received_requests and self.connection.is_idle)

    async def wait_until_last_response(self) -> None:
        """Wait until the last response has been written."""
        await wait_until(
            lambda: (
                not self.connection.lifecycle.accepts_requests and not self.connection.has_pending_responses
            )
        )

    async def disconnect(self) -> None:
        """Close the clients' sockets, and wait until the sidecar holds no connection."""
        self._sockets.close()
        await wait_until(lambda: not len(self.sidecar.listener))


@contextlib.asynccontextmanager
async def run_client_session(script: Script = answer_ok, **changes: Any) -> AsyncIterator[ClientSession]:
    """Connect one client to a sidecar with one endpoint and without sweeps."""
    async with (
        run_endpoint(script) as endpoint,
        run_sidecar_without_sweeps(endpoint.address, **changes) as sidecar,
    ):
        with contextlib.ExitStack() as sockets:
            session = ClientSession(sidecar, endpoint, sockets)
            await session.accept()
            yield session

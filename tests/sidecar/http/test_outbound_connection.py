"""Tests of outbound connections over loopback sockets: the end of a response, and reuse of a connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import pytest

from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.response_outcome import outcome_of_response
from tests.sidecar.event_loop import TEST_TIMEOUT_SECONDS, async_test, wait_until
from tests.sidecar.messages import request_bytes
from tests.sidecar.scripted_endpoint import answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import run_sidecar
from tests.sidecar.socket_options import RESET_ON_CLOSE
from tests.sidecar.upstream.harness import HEAD_WITHOUT_LENGTH

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
DECLINED_HEAD = b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\n"


@contextlib.asynccontextmanager
async def open_connection() -> AsyncIterator[tuple[OutboundConnection, socket.socket]]:
    """Open a connection, and yield it with the blocking socket of its peer."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(OutboundConnection, *server.getsockname())
        peer, _ = server.accept()
        peer.settimeout(TEST_TIMEOUT_SECONDS)
        with peer:
            yield connection, peer
        connection.close()


class PendingExchange:
    """A connection with a request in flight, and the socket of its peer, which has received the request."""

    def __init__(self, connection: OutboundConnection, peer: socket.socket) -> None:
        self.connection = connection
        self.peer = peer
        self.response: asyncio.Future[HttpResponse | None] = asyncio.get_running_loop().create_future()
        self.on_response: Callable[[HttpResponse | None], None] = self.response.set_result
        assert connection.send(REQUEST, self._handle_response)
        assert peer.recv(100) == REQUEST

    def _handle_response(self, response: HttpResponse | None) -> None:
        self.on_response(response)  # looked up late, as a test may replace it


@contextlib.asynccontextmanager
async def pending_exchange() -> AsyncIterator[PendingExchange]:
    """Send a request on a new connection."""
    async with open_connection() as (connection, peer):
        yield PendingExchange(connection, peer)


def reset_connection(peer: socket.socket) -> None:
    """Close the peer's side with a reset."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()


@async_test
async def test_connection_closed_by_peer_is_not_reusable() -> None:
    """The event loop has not run since the peer's close, so no callback has reported it."""
    async with open_connection() as (connection, peer):
        assert connection.is_reusable()
        peer.close()
        assert not connection.is_reusable()


@async_test
async def test_send_on_reset_connection_returns_false() -> None:
    async with open_connection() as (connection, peer):
        reset_connection(peer)
        responses: list[HttpResponse | None] = []
        assert connection.send(REQUEST, responses.append) is False
        assert responses == []


@async_test
async def test_close_ends_request_in_flight_before_event_loop_runs() -> None:
    """If the event loop closed it in its next iteration, two copies of the request could be in flight."""
    async with open_connection() as (connection, peer):
        assert connection.send(REQUEST, lambda _response: None)
        connection.close()  # the event loop has not run since
        assert peer.recv(100) == REQUEST
        assert peer.recv(100) == b""


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 500 X\r\n\r\n",
        b"\x00 noise",
    ],
)
@async_test
async def test_unusable_response_ends_connection_before_callback(raw: bytes) -> None:
    """If the event loop closed it in its next iteration, a retry could be a second copy in flight."""
    async with pending_exchange() as exchange:
        received: list[bytes] = []
        # Called at the moment at which a retry would be sent.
        exchange.on_response = lambda _response: received.append(exchange.peer.recv(1))
        exchange.peer.settimeout(TEST_TIMEOUT_SECONDS / 4)
        exchange.peer.sendall(raw)
        await wait_until(lambda: received)
        assert received == [b""]


@async_test
async def test_connections_are_kept_alive_on_both_sides() -> None:
    """Without keep-alive every request would need a handshake."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        for _ in range(5):
            assert (await client.exchange(request_bytes())).status == 200
        assert endpoint.connection_count == 1


@pytest.mark.parametrize(
    "parts",
    [(HEAD_WITHOUT_LENGTH + b"done",), (HEAD_WITHOUT_LENGTH[:40], HEAD_WITHOUT_LENGTH[40:], b"do", b"ne")],
)
@async_test
async def test_response_without_length_ends_with_connection(parts: tuple[bytes, ...]) -> None:
    """If it counted as a lost connection, an executed request would fail or be retried."""
    async with pending_exchange() as exchange:
        for part in parts:
            exchange.peer.sendall(part)
            await asyncio.sleep(0)
        exchange.peer.shutdown(socket.SHUT_WR)
        assert await exchange.response == HttpResponse(200, [(b"x-shard", b"7")], b"done")
        assert not exchange.connection.is_reusable()
        assert exchange.connection.buffer_budget.used_bytes == 0
        assert exchange.peer.recv(1) == b""


@pytest.mark.parametrize("ends_stream", [False, True], ids=["reset only", "end and reset"])
@pytest.mark.parametrize("raw", [HEAD_WITHOUT_LENGTH, HEAD_WITHOUT_LENGTH + b"do", HEAD_WITHOUT_LENGTH[:-2]])
@async_test
async def test_reset_does_not_complete_response_without_length(raw: bytes, ends_stream: bool) -> None:
    """This holds even if the end of the stream came just before: the socket then reports an error."""
    async with pending_exchange() as exchange:
        exchange.peer.sendall(raw)
        if ends_stream:
            exchange.peer.shutdown(socket.SHUT_WR)
        reset_connection(exchange.peer)
        assert await exchange.response is None
        assert not exchange.connection.is_reusable()
        assert exchange.connection.buffer_budget.used_bytes == 0


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        HEAD_WITHOUT_LENGTH[:-2],
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndon",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone",
    ],
)
@async_test
async def test_end_of_connection_completes_no_other_response(raw: bytes) -> None:
    async with pending_exchange() as exchange:
        exchange.peer.sendall(raw)
        exchange.peer.shutdown(socket.SHUT_WR)
        assert await exchange.response is None


@pytest.mark.parametrize(
    ("raw", "outcome"),
    [
        (DECLINED_HEAD, AttemptOutcome.REJECTED),
        (DECLINED_HEAD + b"and so", AttemptOutcome.REJECTED),
        (b"HTTP/1.1 500 X\r\n\r\n", AttemptOutcome.SERVER_ERROR),
        (b"HTTP/1.1 404 X\r\n\r\n<html>", AttemptOutcome.CLIENT_ERROR),
    ],
)
@async_test
async def test_unsuccessful_response_is_complete_with_its_head(raw: bytes, outcome: AttemptOutcome) -> None:
    """The sidecar does not forward the body of an unsuccessful response.

    If it waited for the body, an endpoint that does not end it would delay the outcome, and the end of the
    body could change the outcome.
    """
    async with pending_exchange() as exchange:
        exchange.peer.sendall(raw)  # the peer does not end the body
        assert outcome_of_response(await exchange.response) == outcome
        assert not exchange.connection.is_reusable()
        assert exchange.peer.recv(1) == b""


@pytest.mark.parametrize("status_code", [204, 304])
@async_test
async def test_response_without_body_needs_no_length_and_keeps_connection(status_code: int) -> None:
    async with pending_exchange() as exchange:
        exchange.peer.sendall(b"HTTP/1.1 %d X\r\n\r\n" % status_code)
        response = await exchange.response
        assert response is not None
        assert (response.status, response.body) == (status_code, b"")
        assert exchange.connection.is_reusable()

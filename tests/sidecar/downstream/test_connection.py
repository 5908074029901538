"""Tests of the graceful close of a client's connection, and of lingering."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias

import pytest

from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.connection_lifecycle import CloseReason
from balancer.sidecar.downstream.flow_control import MAX_DISCARDED_BYTES_LINGERING
from tests.sidecar.downstream.harness import (
    CLOSE_HEADER,
    MALFORMED_REQUEST,
    TIMEOUTS,
    ClientSession,
    CloseAction,
    accepted_connection,
    close_by_draining,
    close_by_first_byte_timeout,
    close_by_idle_timeout,
    connect_socket,
    is_complete_response,
    receive_all,
    reset_on_close,
    run_client_session,
    run_sidecar_without_sweeps,
    set_time,
    sweep_after,
    sweep_at,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar


class ExpectedResponse(NamedTuple):
    """The status and body of the last response on a connection."""

    status: bytes
    body: bytes


SUCCESS = ExpectedResponse(b"200", b"done")
BAD_REQUEST = ExpectedResponse(b"400", b"malformed request\n")
REQUEST_TIMEOUT = ExpectedResponse(b"408", b"Request Timeout\n")

SessionCloseAction: TypeAlias = Callable[[ClientSession], Awaitable[ExpectedResponse]]
"""A way to make a sidecar close the connection of a session; it returns the last response that is due."""


async def close_by_malformed_request(session: ClientSession) -> ExpectedResponse:
    session.client.sendall(MALFORMED_REQUEST)
    return BAD_REQUEST


async def close_by_last_request(session: ClientSession) -> ExpectedResponse:
    session.client.sendall(request_bytes(extra_headers=CLOSE_HEADER))
    return SUCCESS


async def close_by_request_timeout(session: ClientSession) -> ExpectedResponse:
    session.client.sendall(request_bytes()[:-2])
    await wait_until(lambda: session.connection.has_partial_request)
    sweep_after(session.sidecar, 10)
    return REQUEST_TIMEOUT


async def close_idle_by_timeout(session: ClientSession) -> ExpectedResponse:
    await session.complete_request()
    close_by_idle_timeout(session.sidecar)
    return SUCCESS


async def close_idle_by_draining(session: ClientSession) -> ExpectedResponse:
    await session.complete_request()
    close_by_draining(session.sidecar)
    return SUCCESS


async def close_idle_by_eviction(session: ClientSession) -> ExpectedResponse:
    await session.complete_request()
    session.connect_further_client()
    return SUCCESS


@pytest.mark.parametrize(
    "late_bytes",
    [b"x" * 3_000, request_bytes(), b"x" * 200_000],
    ids=["some bytes", "a request", "many bytes"],
)
@pytest.mark.parametrize(
    "close",
    [
        close_by_malformed_request,
        close_by_last_request,
        close_by_request_timeout,
        close_idle_by_timeout,
        close_idle_by_draining,
        close_idle_by_eviction,
    ],
)
@async_test
async def test_bytes_after_close_neither_reset_connection_nor_are_forwarded(
    close: SessionCloseAction, late_bytes: bytes
) -> None:
    """Closing a connection while bytes are unread resets it (RFC 9112, section 9.6)."""
    async with run_client_session(limits={"sockets": 3}) as session:
        assert session.sidecar.config.max_downstream_connections == 1
        connection = session.connection
        expected_response = await close(session)
        await session.wait_until_last_response()
        forwarded_count = len(session.endpoint.received_requests)
        session.client.sendall(late_bytes)
        await wait_until(
            lambda: connection.flow_control.discarded_bytes >= len(late_bytes) or not connection.is_connected
        )
        received = await receive_all(session.client)
        assert is_complete_response(received, expected_response.status, expected_response.body)
        assert len(session.endpoint.received_requests) == forwarded_count
        await session.disconnect()


@async_test
async def test_long_last_response_is_complete_though_client_sends_more() -> None:
    """A reset would discard the part of the response that the client has not read yet."""
    body = b"x" * 1_000_000

    async def respond_with_large_body(_request: ReceivedRequest) -> bytes:
        return ok_response(body)

    async with run_client_session(respond_with_large_body) as session:
        session.client.sendall(request_bytes(extra_headers=CLOSE_HEADER))
        await wait_until(lambda: session.endpoint.received_requests)
        session.client.sendall(b"x" * 100_000)
        await session.wait_until_last_response()
        session.client.sendall(b"x" * 1_000)
        assert is_complete_response(await receive_all(session.client), b"200", body)


def close_by_eviction(sidecar: Sidecar) -> None:
    """Close an idle connection for new ones."""
    set_time(sidecar, 0.0)  # The clock stands still: no new connection has waited yet.
    for _ in range(2):
        sidecar.listener.on_connection_opened(DownstreamConnection(sidecar.listener))


@pytest.mark.parametrize(
    ("close", "earlier_requests"),
    [
        (close_by_idle_timeout, 1),
        (close_by_draining, 1),
        (close_by_first_byte_timeout, 0),
        (close_by_eviction, 1),
    ],
)
@async_test
async def test_request_that_arrived_unread_before_close_is_answered(
    close: CloseAction, earlier_requests: int
) -> None:
    """The request arrives and the connection is closed in the same iteration of the event loop."""
    async with run_client_session(limits={"sockets": 6}) as session:
        assert session.sidecar.config.max_downstream_connections == 2
        if earlier_requests:
            await session.complete_request()
        session.client.sendall(request_bytes(request_id="77", extra_headers=CLOSE_HEADER))
        close(session.sidecar)
        received = await receive_all(session.client)
        assert received.count(b"HTTP/1.1 200 OK") == earlier_requests + 1
        assert session.endpoint.received_requests[-1].headers[b"req-id"] == b"77"


@pytest.mark.parametrize("is_rejecting", [False, True])
@async_test
async def test_close_after_reset_by_client_raises_no_error(is_rejecting: bool) -> None:
    errors: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _loop, context: errors.append(context))
    async with run_client_session() as session:
        if not is_rejecting:
            await session.complete_request()
        reset_on_close(session.client)
        session.client.close()
        if is_rejecting:
            session.connection.data_received(MALFORMED_REQUEST)
        else:
            session.connection.close(CloseReason.IDLE)
        await wait_until(lambda: not len(session.sidecar.listener))
        assert not errors


@pytest.mark.parametrize("is_shutting_down", [False, True])
@async_test
async def test_lingering_connection_is_closed_after_timeout(is_shutting_down: bool) -> None:
    timeout_seconds = TIMEOUTS.linger_shutdown_seconds if is_shutting_down else TIMEOUTS.linger_seconds
    async with run_endpoint(answer_ok) as endpoint, run_sidecar_without_sweeps(endpoint.address) as sidecar:
        if is_shutting_down:
            sidecar.listener.begin_shutdown()
        with connect_socket(sidecar) as client:
            connection = await accepted_connection(sidecar)
            client.sendall(MALFORMED_REQUEST)
            await wait_until(lambda: connection.lifecycle.is_lingering)
            closed_at_seconds = sidecar.listener.now_seconds()
            sweep_at(sidecar, closed_at_seconds + 0.9 * timeout_seconds)
            assert connection.is_open
            client.sendall(b"x")  # bytes from the client do not extend the timeout
            await wait_until(lambda: connection.flow_control.discarded_bytes)
            sweep_at(sidecar, closed_at_seconds + 1.1 * timeout_seconds)
            await wait_until(lambda: not len(sidecar.listener))
            assert is_complete_response(await receive_all(client), BAD_REQUEST.status, BAD_REQUEST.body)


@async_test
async def test_bytes_read_while_lingering_are_limited() -> None:
    async with run_client_session() as session:
        client, connection = session.client, session.connection
        client.sendall(MALFORMED_REQUEST)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        flood = asyncio.ensure_future(loop.sock_sendall(client, b"x" * 60_000_000))
        await wait_until(lambda: connection.flow_control.is_reading_paused)
        assert (
            MAX_DISCARDED_BYTES_LINGERING
            < connection.flow_control.discarded_bytes
            < 2 * MAX_DISCARDED_BYTES_LINGERING
        )
        assert not connection.has_partial_request
        assert (await loop.sock_recv(client, 65536)).startswith(b"HTTP/1.1 400 ")
        sweep_after(session.sidecar, TIMEOUTS.linger_seconds + 1)
        with pytest.raises(ConnectionError):
            await flood
        assert not len(session.sidecar.listener)
    # The limit for clients that do not read is longer, so the linger timeout closed the connection.
    assert TIMEOUTS.unread_response_seconds > TIMEOUTS.linger_seconds

"""Tests of clients that disconnect: no further attempt starts for them, even if no event reports it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from enum import Enum
from functools import partial
from socket import SHUT_WR, socket

import pytest

from balancer.policy_api import Action, AttemptCompleted, AttemptOutcome, ClientDisconnected, Event
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.pool import EndpointPool
from tests.sidecar.downstream.harness import (
    CLOSE_HEADER,
    connect_socket,
    reset_on_close,
    run_sidecar_without_sweeps,
    set_time,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, Script, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar
from tests.sidecar.upstream.harness import received_request_count

DECLINED_RESPONSE = b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"


class Disconnect(Enum):
    """How a client disconnects."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"


class ConnectionState(Enum):
    """What a client has sent when it disconnects. No event reports it in time in any of these states."""

    ONE_REQUEST = "one request"
    LAST_REQUEST = "last request"
    READING_PAUSED_BY_FLOOD = "reading paused by flood"
    READING_PAUSED_BY_PIPELINE = "reading paused by pipeline"


def disconnect(client: socket, how: Disconnect) -> None:
    """Disconnect a client, unless its socket is closed already."""
    if client.fileno() < 0:
        return
    if how is Disconnect.HALF_CLOSE:
        client.shutdown(SHUT_WR)
        return
    if how is Disconnect.RESET:
        reset_on_close(client)
    client.close()


def disconnected_count(sidecar: Sidecar) -> int:
    """Return the number of requests for which the policy got the event `ClientDisconnected`."""
    return sum(isinstance(event, ClientDisconnected) for event in sidecar.events)


def only_connection(sidecar: Sidecar) -> DownstreamConnection:
    """Return the only connection of a client to the sidecar."""
    [connection] = sidecar.listener.accepting_connections
    return connection


async def send_requests(
    sidecar: Sidecar, client: socket, state: ConnectionState, attempt_count: Callable[[], int]
) -> int:
    """Bring a connection with attempts in flight into a state, and return the number of its requests."""
    if state is ConnectionState.READING_PAUSED_BY_PIPELINE:
        client.sendall(b"".join(request_bytes() for _ in range(MAX_PIPELINED_REQUESTS + 3)))
        await wait_until(
            lambda: (
                attempt_count() == MAX_PIPELINED_REQUESTS
                and only_connection(sidecar).flow_control.is_reading_paused
            )
        )
        return MAX_PIPELINED_REQUESTS
    client.sendall(request_bytes(extra_headers=b"" if state is ConnectionState.ONE_REQUEST else CLOSE_HEADER))
    await wait_until(lambda: attempt_count() == 1)
    if state is ConnectionState.READING_PAUSED_BY_FLOOD:
        client.setblocking(False)
        client.send(b"x" * 200_000)
        await wait_until(lambda: only_connection(sidecar).flow_control.is_reading_paused)
    return 1


@contextlib.asynccontextmanager
async def run_sidecar_with_two_endpoints(
    script: Script,
) -> AsyncIterator[tuple[Sidecar, Callable[[], int]]]:
    """Run a sidecar with two endpoints; yields it and a function that counts the requests of both."""
    async with (
        run_endpoint(script) as first,
        run_endpoint(script) as second,
        run_sidecar_without_sweeps(first.address, second.address) as sidecar,
    ):
        yield sidecar, partial(received_request_count, first, second)


@pytest.mark.parametrize("how", Disconnect)
@pytest.mark.parametrize("state", ConnectionState)
@async_test
async def test_first_attempt_is_not_sent_after_disconnect_while_connecting(
    state: ConnectionState, how: Disconnect
) -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar_without_sweeps(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        connect = upstream.connect
        connected_count = 0
        connections_released = asyncio.Event()

        async def connect_and_disconnect_client(pool: EndpointPool) -> OutboundConnection:
            nonlocal connected_count
            connection = await connect(pool)
            connected_count += 1
            await connections_released.wait()
            disconnect(client, how)
            # Without a check before sending, the attempt would be sent in this iteration of the event loop.
            return connection

        with connect_socket(sidecar) as client:
            upstream.connect = connect_and_disconnect_client
            request_count = await send_requests(sidecar, client, state, lambda: connected_count)
            connections_released.set()
            await wait_until(lambda: disconnected_count(sidecar) == request_count)
            await wait_until(lambda: not sidecar.dispatcher.request_registry.in_flight)
            assert not endpoint.received_requests
            completed = [event for event in sidecar.events if isinstance(event, AttemptCompleted)]
            expected = [(AttemptOutcome.NOT_SENT, True)] * request_count
            assert [(event.outcome, event.request_finished) for event in completed] == expected
            upstream.connect = connect
            other_client = await sidecar.connect_client()
            assert (await other_client.exchange(request_bytes(request_id="77")))[0] == 200
            assert [received.headers[b"req-id"] for received in endpoint.received_requests] == [b"77"]


@pytest.mark.parametrize("how", Disconnect)
@pytest.mark.parametrize("state", ConnectionState)
@async_test
async def test_request_is_not_retried_after_disconnect(
    monkeypatch: pytest.MonkeyPatch, state: ConnectionState, how: Disconnect
) -> None:
    responses_released = asyncio.Event()

    async def decline_when_released(_request: ReceivedRequest) -> bytes:
        await responses_released.wait()
        return DECLINED_RESPONSE

    async with run_sidecar_with_two_endpoints(decline_when_released) as (sidecar, attempt_count):
        with connect_socket(sidecar) as client:
            request_count = await send_requests(sidecar, client, state, attempt_count)
            handle = sidecar.balancer.handle

            def disconnect_and_handle(now_ns: int, event: Event) -> list[Action]:
                # The client disconnects before the policy decides on a retry.
                if isinstance(event, AttemptCompleted):
                    disconnect(client, how)
                return handle(now_ns, event)

            monkeypatch.setattr(sidecar.balancer, "handle", disconnect_and_handle)
            responses_released.set()
            await wait_until(lambda: not sidecar.dispatcher.request_registry.in_flight)
            # This count may be lower than `request_count`: the retry budget is small, so some requests of a
            # full pipeline are rejected.
            assert disconnected_count(sidecar)
            assert attempt_count() == request_count


@pytest.mark.parametrize("how", [Disconnect.HALF_CLOSE, Disconnect.RESET])
@pytest.mark.parametrize("extra_headers", [b"", CLOSE_HEADER], ids=["reading paused", "last request"])
@async_test
async def test_request_is_not_retried_after_disconnect_with_unread_responses(
    extra_headers: bytes, how: Disconnect
) -> None:
    """Responses that the client never reads must not delay the detection of its disconnect.

    They block writing, also on a connection that is closed after its last response.
    """
    response_released = asyncio.Event()
    posts: list[ReceivedRequest] = []

    async def respond_with_large_body_and_decline_posts(received: ReceivedRequest) -> bytes:
        if not received.body:
            return ok_response(b"x" * 1_000_000)
        posts.append(received)
        await response_released.wait()
        return DECLINED_RESPONSE

    async with run_sidecar_with_two_endpoints(respond_with_large_body_and_decline_posts) as (sidecar, _):
        sidecar.dispatcher.budgets.total.max_bytes = 1 << 30
        sidecar.dispatcher.budgets.responses.max_bytes = 1 << 30
        with connect_socket(sidecar) as client:
            gets = [request_bytes() for _ in range(MAX_PIPELINED_REQUESTS - 1)]
            client.sendall(b"".join(gets) + request_bytes("post", body=b"x", extra_headers=extra_headers))
            await wait_until(lambda: posts and len(sidecar.dispatcher.request_registry.in_flight) == 1)
            connection = only_connection(sidecar)
            assert connection.flow_control.is_write_blocked
            assert connection.flow_control.is_reading_paused == (not extra_headers)
            disconnect(client, how)
            if extra_headers and how is Disconnect.HALF_CLOSE:
                await wait_until(lambda: disconnected_count(sidecar))  # an event reports it
            response_released.set()
            await wait_until(lambda: not sidecar.dispatcher.request_registry.in_flight)
            assert len(posts) == 1
            assert disconnected_count(sidecar) == 1


MUCH_BYTES = 8_000_000
"""More bytes than the sockets of both sides take, so that the client's close waits behind unsent bytes."""


def fill_socket(client: socket, data: bytes) -> None:
    """Send as much of this as the sockets of both sides take while the sidecar does not read."""
    client.setblocking(False)
    view = memoryview(data)
    with contextlib.suppress(BlockingIOError):
        while view:
            view = view[client.send(view) :]
    assert view, "the sockets have taken all bytes, so the close is visible"


async def fill_connection(
    sidecar: Sidecar, client: socket, is_last: bool, attempt_count: Callable[[], int]
) -> None:
    """Start attempts for a client that has sent far more than the sidecar reads.

    Args:
        sidecar: the sidecar.
        client: the socket of the client.
        is_last: whether the client asks for a close after one request, and sends bytes that are no request;
            otherwise it sends a full pipeline and many further requests.
        attempt_count: returns the number of attempts so far.
    """
    request_count = 1 if is_last else MAX_PIPELINED_REQUESTS
    if is_last:
        client.sendall(request_bytes(extra_headers=CLOSE_HEADER))
    else:
        client.sendall(b"".join(request_bytes() for _ in range(request_count)))
    await wait_until(lambda: attempt_count() == request_count)
    further_request_count = MUCH_BYTES // len(request_bytes())
    further_requests = b"".join(request_bytes() for _ in range(further_request_count))
    much = b"x" * MUCH_BYTES if is_last else further_requests
    connection = only_connection(sidecar)
    while not connection.flow_control.is_reading_paused or not connection.has_unread_bytes():
        fill_socket(client, much)
        await asyncio.sleep(0)
    fill_socket(client, much)


@pytest.mark.parametrize("is_last", [True, False], ids=["last request", "pipeline"])
@pytest.mark.parametrize("how", [Disconnect.CLOSE, Disconnect.RESET])
@async_test
async def test_request_is_not_retried_after_client_with_much_unread_has_closed(
    is_last: bool, how: Disconnect
) -> None:
    """Guards against requests that are sent on after their client has left with much still unread.

    The close waits behind bytes that the client's machine cannot send while the sidecar does not read.
    """
    responses_released = asyncio.Event()

    async def decline_when_released(_request: ReceivedRequest) -> bytes:
        await responses_released.wait()
        return DECLINED_RESPONSE

    async with run_sidecar_with_two_endpoints(decline_when_released) as (sidecar, attempt_count):
        with connect_socket(sidecar) as client:
            await fill_connection(sidecar, client, is_last, attempt_count)
            request_count = attempt_count()
            disconnect(client, how)
            set_time(sidecar, sidecar.listener.now_seconds() + 0.1)
            responses_released.set()
            await wait_until(lambda: not sidecar.dispatcher.request_registry.in_flight)
            assert attempt_count() == request_count


@async_test
async def test_request_behind_a_pipeline_is_not_sent_after_its_client_with_much_unread_has_closed() -> None:
    """Guards against requests that are sent on one by one as earlier ones of the same client are answered."""
    responses_released = asyncio.Event()

    async def respond_when_released(_request: ReceivedRequest) -> bytes:
        await responses_released.wait()
        return ok_response()

    async with run_sidecar_with_two_endpoints(respond_when_released) as (sidecar, attempt_count):
        with connect_socket(sidecar) as client:
            await fill_connection(sidecar, client, is_last=False, attempt_count=attempt_count)
            disconnect(client, Disconnect.CLOSE)
            set_time(sidecar, sidecar.listener.now_seconds() + 0.1)
            responses_released.set()
            await wait_until(lambda: not len(sidecar.listener))
            await wait_until(lambda: not sidecar.dispatcher.request_registry.in_flight)
            assert attempt_count() == MAX_PIPELINED_REQUESTS


@async_test
async def test_client_with_much_unread_that_stays_gets_every_answer() -> None:
    """A client that may have left is answered all the same, as it may as well be there."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar_without_sweeps(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        client.writer.write(b"".join(request_bytes() for _ in range(5000)))
        statuses = [(await client.read_response()).status for _ in range(5000)]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= MAX_PIPELINED_REQUESTS

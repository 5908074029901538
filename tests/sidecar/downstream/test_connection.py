"""A client's connection: pipelining, time limits, graceful close and lingering."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias, cast

import pytest

from balancer.sidecar.downstream.connection import (
    MAX_DISCARDED_BYTES_LINGERING,
    CloseReason,
    DownstreamConnection,
)
from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from tests.sidecar.downstream.harness import (
    CLOSE_HEADER,
    MALFORMED_REQUEST,
    TIMEOUTS,
    ClientSession,
    Closing,
    accepted_connection,
    close_by_draining,
    close_by_first_byte_timeout,
    close_by_idle_timeout,
    connect_socket,
    is_whole_response,
    receive_all,
    reset_on_close,
    run_client_session,
    run_sidecar_without_sweeps,
    set_time,
    sweep_after,
    sweep_at,
)
from tests.sidecar.harness import (
    Client,
    ReceivedRequest,
    ScriptedEndpoint,
    Sidecar,
    answer_ok,
    async_test,
    ok_response,
    request_bytes,
    run_endpoint,
    run_sidecar,
    wait_until,
)

# ---- pipelining


@async_test
async def test_pipelined_requests_in_flight_are_limited() -> None:
    max_in_flight = 0

    async def count_in_flight(_request: ReceivedRequest) -> bytes:
        nonlocal max_in_flight
        max_in_flight = max(max_in_flight, len(sidecar.dispatcher.ledger.in_flight))
        return ok_response()

    async with run_endpoint(count_in_flight) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        client.writer.write(b"".join(request_bytes() for _ in range(300)))
        for _ in range(300):
            assert (await client.read_response())[0] in (200, 503)
        assert 1 <= max_in_flight <= MAX_PIPELINED_REQUESTS


class HeldPipeline(NamedTuple):
    """As many pipelined requests as are taken at once, all at the endpoint, which answers once released."""

    sidecar: Sidecar
    endpoint: ScriptedEndpoint
    client: Client
    released: asyncio.Event

    def times_told(self) -> list[float]:
        """Return what time each attempt told the endpoint to have left, in seconds."""
        return [float(request.headers[b"req-deadline"]) for request in self.endpoint.received_requests]

    async def wait_for_further_request(self) -> None:
        """Wait until the endpoint has more requests than are taken at once."""
        await wait_until(lambda: len(self.endpoint.received_requests) > MAX_PIPELINED_REQUESTS)


def stop_clocks(sidecar: Sidecar) -> None:
    """Stop the sidecar's clock, so that the times which attempts tell are exact."""
    now_ns = sidecar.dispatcher.now_ns()
    sidecar.dispatcher.now_ns = lambda: now_ns
    sidecar.dispatcher.upstream.now_ns = lambda: now_ns


@contextlib.asynccontextmanager
async def run_held_pipeline(further_requests: int = 0) -> AsyncIterator[HeldPipeline]:
    """Send pipelined requests with 8 s each at time 100, some more than are taken at once."""
    released = asyncio.Event()

    async def answer_when_released(_request: ReceivedRequest) -> bytes:
        await released.wait()
        return ok_response()

    async with (
        run_endpoint(answer_when_released) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        stop_clocks(sidecar)
        set_time(sidecar, 100.0)
        client = await sidecar.connect_client()
        count = MAX_PIPELINED_REQUESTS + further_requests
        client.writer.write(b"".join(request_bytes(deadline="8") for _ in range(count)))
        await wait_until(lambda: len(endpoint.received_requests) == MAX_PIPELINED_REQUESTS)
        yield HeldPipeline(sidecar, endpoint, client, released)


@async_test
async def test_pipelined_request_that_waited_for_room_has_less_time_left() -> None:
    async with run_held_pipeline(further_requests=1) as pipeline:
        set_time(pipeline.sidecar, 103.0)
        pipeline.released.set()
        await pipeline.wait_for_further_request()
        assert pipeline.times_told() == [7.99] * MAX_PIPELINED_REQUESTS + [4.99]


@async_test
async def test_request_read_after_a_pause_counts_from_the_begin_of_the_pause() -> None:
    """Its bytes wait in the socket, and nothing tells when they came."""
    async with run_held_pipeline() as pipeline:
        sidecar, client = pipeline.sidecar, pipeline.client
        [connection] = sidecar.listener.accepting_connections
        assert connection.is_reading_paused
        set_time(sidecar, 102.0)
        client.writer.write(request_bytes(deadline="8"))
        await wait_until(connection.has_unread_bytes)
        set_time(sidecar, 103.0)
        pipeline.released.set()
        await pipeline.wait_for_further_request()
        assert pipeline.times_told()[-1] == 4.99
        for _ in range(MAX_PIPELINED_REQUESTS + 1):
            assert (await client.read_response())[0] == 200
        client.writer.write(request_bytes(deadline="8"))  # no longer behind the pause
        assert (await client.read_response())[0] == 200
        assert pipeline.times_told()[-1] == 7.99


@async_test
async def test_request_that_is_read_in_small_parts_counts_from_when_it_had_arrived() -> None:
    """The socket had all of it when its first part was read; a read may return less than there is."""
    async with run_client_session() as session:
        stop_clocks(session.sidecar)
        session.client.sendall(b"x" * 10)
        assert session.connection.has_unread_bytes()
        raw = request_bytes(deadline="8")
        set_time(session.sidecar, 100.0)
        session.connection.data_received(raw[:10])
        set_time(session.sidecar, 103.0)
        session.connection.data_received(raw[10:])
        await wait_until(lambda: session.endpoint.received_requests)
        assert float(session.endpoint.received_requests[0].headers[b"req-deadline"]) == 4.99


@async_test
async def test_pipelined_request_whose_time_is_over_is_answered_and_not_sent() -> None:
    async with run_held_pipeline(further_requests=1) as pipeline:
        set_time(pipeline.sidecar, 109.0)
        pipeline.released.set()
        statuses = [(await pipeline.client.read_response())[0] for _ in range(MAX_PIPELINED_REQUESTS + 1)]
        assert statuses == [200] * MAX_PIPELINED_REQUESTS + [503]
        assert len(pipeline.endpoint.received_requests) == MAX_PIPELINED_REQUESTS


# ---- time limits


@async_test
async def test_silent_connection_and_partial_request_time_out() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        idle = await sidecar.connect_client()
        assert (await idle.exchange(request_bytes()))[0] == 200
        sidecar.listener.timeouts = DownstreamTimeouts(
            sweep_interval_seconds=0.05, first_byte_seconds=0.05, first_request_seconds=0.05
        )
        silent, partial_head, partial_body = [await sidecar.connect_client() for _ in range(3)]
        partial_head.writer.write(request_bytes()[:-2])
        partial_body.writer.write(request_bytes("post", body=b"x" * 100)[:-1])
        for client in (partial_head, partial_body):
            assert (await client.read_response())[0] == 408
            assert await client.is_closed()
        assert await silent.is_closed()
        assert (await idle.exchange(request_bytes()))[
            0
        ] == 200  # it has been idle for longer than the silent one


@async_test
async def test_client_that_reads_no_responses_is_disconnected() -> None:
    timeouts = DownstreamTimeouts(
        sweep_interval_seconds=0.05, unread_response_seconds=0.05, linger_seconds=0.05
    )

    async def respond_at_length(_request: ReceivedRequest) -> bytes:
        return ok_response(b"x" * 64_000)

    async with (
        run_endpoint(respond_at_length) as endpoint,
        run_sidecar(endpoint.address, timeouts=timeouts) as sidecar,
    ):
        client = await sidecar.connect_client()
        cast(asyncio.Transport, client.writer.transport).pause_reading()
        client.writer.write(b"".join(request_bytes() for _ in range(400)))
        await wait_until(lambda: endpoint.received_requests and not len(sidecar.listener))


# ---- graceful close


class ExpectedResponse(NamedTuple):
    """The last response on a connection."""

    status: bytes
    body: bytes


SUCCESS = ExpectedResponse(b"200", b"done")
BAD_REQUEST = ExpectedResponse(b"400", b"malformed request\n")
REQUEST_TIMEOUT = ExpectedResponse(b"408", b"Request Timeout\n")

SessionClosing: TypeAlias = Callable[[ClientSession], Awaitable[ExpectedResponse]]
"""A way to make a sidecar close the connection of a session, and the last response that is due."""


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
    close: SessionClosing, late_bytes: bytes
) -> None:
    """A close over unread bytes resets the connection (RFC 9112, section 9.6)."""
    async with run_client_session(limits={"sockets": 3}) as session:
        assert session.sidecar.config.max_downstream_connections == 1
        connection = session.connection
        expected_response = await close(session)
        await session.wait_until_last_response()
        forwarded_count = len(session.endpoint.received_requests)
        session.client.sendall(late_bytes)
        await wait_until(lambda: connection.discarded_bytes >= len(late_bytes) or not connection.is_connected)
        received = await receive_all(session.client)
        assert is_whole_response(received, expected_response.status, expected_response.body)
        assert len(session.endpoint.received_requests) == forwarded_count
        await session.disconnect()


@async_test
async def test_long_last_response_arrives_whole_though_client_sends_more() -> None:
    """A reset would discard what the client has not read of it yet."""
    body = b"x" * 1_000_000

    async def respond_at_length(_request: ReceivedRequest) -> bytes:
        return ok_response(body)

    async with run_client_session(respond_at_length) as session:
        session.client.sendall(request_bytes(extra_headers=CLOSE_HEADER))
        await wait_until(lambda: session.endpoint.received_requests)
        session.client.sendall(b"x" * 100_000)
        await session.wait_until_last_response()
        session.client.sendall(b"x" * 1_000)
        assert is_whole_response(await receive_all(session.client), b"200", body)


def close_by_eviction(sidecar: Sidecar) -> None:
    """Close an idle connection for newcomers."""
    set_time(sidecar, 0.0)  # so no newcomer has waited yet
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
    close: Closing, earlier_requests: int
) -> None:
    """The event loop does not turn between the arrival of the request and the close."""
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


# ---- lingering


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
            await wait_until(lambda: connection.is_lingering)
            closed_at_seconds = sidecar.listener.now_seconds()
            sweep_at(sidecar, closed_at_seconds + 0.9 * timeout_seconds)
            assert connection.is_open
            client.sendall(b"x")  # bytes that it sends do not prolong the time
            await wait_until(lambda: connection.discarded_bytes)
            sweep_at(sidecar, closed_at_seconds + 1.1 * timeout_seconds)
            await wait_until(lambda: not len(sidecar.listener))
            assert is_whole_response(await receive_all(client), BAD_REQUEST.status, BAD_REQUEST.body)


@async_test
async def test_bytes_read_while_lingering_are_limited() -> None:
    async with run_client_session() as session:
        client, connection = session.client, session.connection
        client.sendall(MALFORMED_REQUEST)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        flood = asyncio.ensure_future(loop.sock_sendall(client, b"x" * 60_000_000))
        await wait_until(lambda: connection.is_reading_paused)
        assert MAX_DISCARDED_BYTES_LINGERING < connection.discarded_bytes < 2 * MAX_DISCARDED_BYTES_LINGERING
        assert not connection.has_partial_request
        assert (await loop.sock_recv(client, 65536)).startswith(b"HTTP/1.1 400 ")
        sweep_after(session.sidecar, TIMEOUTS.linger_seconds + 1)
        with pytest.raises(ConnectionError):
            await flood
        assert not len(session.sidecar.listener)
    # A longer limit holds for clients that do not read, so it was the linger timeout.
    assert TIMEOUTS.unread_response_seconds > TIMEOUTS.linger_seconds

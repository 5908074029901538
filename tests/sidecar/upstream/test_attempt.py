"""Tests of an attempt over loopback sockets: what its outcome is, and whether its request is ever sent."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import AsyncIterator
from enum import Enum, auto
from typing import cast
from unittest.mock import AsyncMock

import pytest

from balancer.policy_api import AttemptCompleted, AttemptOutcome, ClientDisconnected, RequestReceived
from balancer.sidecar.discovery.endpoint_list import derive_endpoint_id
from balancer.sidecar.http.message import MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES, HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.attempt import AttemptState
from balancer.sidecar.upstream.manager import UpstreamManager
from balancer.sidecar.upstream.pool import CONNECTION_REUSE_DELAY_NS, EndpointPool
from balancer.time_units import SECOND_NS
from tests.sidecar.harness import (
    SETTINGS,
    TEST_TIMEOUT_SECONDS,
    ReceivedRequest,
    Script,
    ScriptedEndpoint,
    Sidecar,
    answer_ok,
    async_test,
    change_classes,
    is_attempt_completed,
    ok_response,
    request_bytes,
    run_endpoint,
    run_sidecar,
    status_response,
    unreachable_address,
    wait_until,
)
from tests.sidecar.upstream.harness import (
    CHUNKED_HEAD,
    HEAD_WITHOUT_LENGTH,
    ConnectGate,
    ConnectionEnd,
    ReuseDelayGate,
    move_endpoint,
    respond_with,
    run_raw_endpoint,
    start_attempt,
)


class ExpiredTime(Enum):
    """What of an attempt is over."""

    START_WINDOW = auto()
    REQUEST_DEADLINE = auto()
    ATTEMPT_TIMEOUT = auto()


def received_request_count(*endpoints: ScriptedEndpoint) -> int:
    """Return how many requests these endpoints have received together."""
    return sum(len(endpoint.received_requests) for endpoint in endpoints)


async def close_connection(_request: ReceivedRequest) -> bytes | None:
    """Script: close the connection without a response."""
    return None


RESPONSES_TO_EXECUTED_REQUESTS = [
    (close_connection, AttemptOutcome.CONNECTION_RESET),
    (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), AttemptOutcome.CONNECTION_RESET),
    (
        respond_with(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_RESPONSE_BODY_BYTES + 1)),
        AttemptOutcome.CONNECTION_RESET,
    ),
    (
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on"),
        AttemptOutcome.CONNECTION_RESET,
    ),
    (
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nabcd"),
        AttemptOutcome.CONNECTION_RESET,
    ),
    (respond_with(b"HTTP/1.1 200 OK\r\nX: " + b"x" * (MAX_HEAD_BYTES + 1)), AttemptOutcome.CONNECTION_RESET),
    (respond_with(b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 2000), AttemptOutcome.CONNECTION_RESET),
    (
        respond_with(CHUNKED_HEAD + b"1;" + b"x" * 3 * MAX_RESPONSE_BODY_BYTES),
        AttemptOutcome.CONNECTION_RESET,
    ),
    (respond_with(CHUNKED_HEAD[:-2] + b"Content-Length: 4\r\n\r\nabcd"), AttemptOutcome.CONNECTION_RESET),
    (respond_with(b"\x00\xff noise"), AttemptOutcome.CONNECTION_RESET),
    (respond_with(status_response(500)), AttemptOutcome.SERVER_ERROR),
    (respond_with(status_response(503)), AttemptOutcome.SERVER_ERROR),
    (respond_with(status_response(503, b"Srv-Declined: 0")), AttemptOutcome.SERVER_ERROR),
    (respond_with(status_response(404, b"Srv-Declined: 1")), AttemptOutcome.CLIENT_ERROR),
    (respond_with(status_response(429)), AttemptOutcome.SERVER_ERROR),
    (respond_with(ok_response(b"x" * (MAX_RESPONSE_BODY_BYTES + 1))), AttemptOutcome.CONNECTION_RESET),
    (respond_with(CHUNKED_HEAD + b"4000\r\n%s\r\n" % (b"x" * 0x4000) * 65), AttemptOutcome.CONNECTION_RESET),
]


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (OSError(errno.EMFILE, "no descriptor"), AttemptOutcome.NOT_SENT),
        (ConnectionRefusedError(errno.ECONNREFUSED, "refused"), AttemptOutcome.CONNECT_FAILED),
        (TimeoutError(), AttemptOutcome.CONNECT_FAILED),
    ],
)
@async_test
async def test_connect_error_determines_outcome(error: OSError, outcome: AttemptOutcome) -> None:
    """A lack of descriptors speaks of this machine, not of the endpoint."""
    async with run_sidecar(unreachable_address()) as sidecar:
        sidecar.dispatcher.upstream.connect = AsyncMock(side_effect=error)  # type: ignore[method-assign]
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 503
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == outcome


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL])
@async_test
async def test_connect_is_repeated_where_this_machine_is_short_for_a_moment(number: int) -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        connect, failures = upstream.connect, [OSError(number, "short")] * 2

        async def fail_at_first(pool: EndpointPool) -> OutboundConnection:
            if failures:
                raise failures.pop()
            return await connect(pool)

        upstream.connect = fail_at_first  # type: ignore[method-assign]
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 200
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.SUCCESS


@async_test
async def test_refused_connection_ends_attempt_as_connect_failed() -> None:
    async with run_sidecar(unreachable_address()) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 503
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.CONNECT_FAILED


@pytest.mark.parametrize(("script", "outcome"), RESPONSES_TO_EXECUTED_REQUESTS)
@async_test
async def test_request_that_may_have_been_executed_is_neither_resent_nor_rejected(
    script: Script, outcome: AttemptOutcome
) -> None:
    async with (
        run_endpoint(script) as first,
        run_endpoint(script) as second,
        run_sidecar(first.address, second.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        status_code, _, _ = await client.exchange(request_bytes("post"))
        assert status_code in (502, 504)
        assert received_request_count(first, second) == 1
        [event] = [event for event in sidecar.events if isinstance(event, AttemptCompleted)]
        assert event.outcome == outcome


@pytest.mark.parametrize(
    "raw",
    [
        CHUNKED_HEAD + b"4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + ok_response(),
        ok_response(b"done", b"Srv-Load: \xff\xfe"),
        ok_response(b"done", b"Srv-Load: TEXT rate=nan, lat_ms=-1, busy=1e999"),
        ok_response() + ok_response(b"more"),
        ok_response() + b"\x00 noise",
    ],
    ids=range(6),
)
@async_test
async def test_valid_response_is_passed_on_despite_surrounding_bytes(raw: bytes) -> None:
    async with run_endpoint(respond_with(raw)) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        for count in range(1, 3):
            status_code, _, body = await client.exchange(request_bytes("post"))
            assert (status_code, body, len(endpoint.received_requests)) == (200, b"done", count)
        event = await sidecar.wait_for_event(is_attempt_completed)
        assert event.outcome == AttemptOutcome.SUCCESS
        assert event.load_report == ()
        assert endpoint.connection_count == (
            2 if len(raw) > len(ok_response()) and raw.startswith(ok_response()) else 1
        )


@pytest.mark.parametrize("status_code", [503, 504])
@async_test
async def test_declined_request_is_rejected_as_never_executed(status_code: int) -> None:
    declined = respond_with(status_response(status_code, b"Srv-Declined: 1", b"Connection: close"))

    async with run_endpoint(declined) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 503
        event = await sidecar.wait_for_event(is_attempt_completed)
        assert event.outcome == AttemptOutcome.REJECTED
        assert not event.request_finished


@pytest.mark.parametrize(
    ("ending", "class_name", "status_code", "outcome"),
    [
        (ConnectionEnd.CLOSE, "post", 200, AttemptOutcome.SUCCESS),
        (ConnectionEnd.RESET, "post", 502, AttemptOutcome.CONNECTION_RESET),
        (ConnectionEnd.NEVER, "post", 504, AttemptOutcome.TIMEOUT),
        (ConnectionEnd.NEVER, "read", 503, AttemptOutcome.TIMEOUT),
    ],
)
@async_test
async def test_outcome_of_response_without_length(
    ending: ConnectionEnd, class_name: str, status_code: int, outcome: AttemptOutcome
) -> None:
    """The client gets it with its length. One that never ends is given up at the deadline."""
    async with (
        run_raw_endpoint(HEAD_WITHOUT_LENGTH + b"x" * 1000, ending) as (first, first_address),
        run_raw_endpoint(HEAD_WITHOUT_LENGTH + b"x" * 1000, ending) as (second, second_address),
        run_sidecar(first_address, second_address) as sidecar,
    ):
        client = await sidecar.connect_client()
        upstream = sidecar.dispatcher.upstream
        client.writer.write(request_bytes(class_name))
        if ending is ConnectionEnd.NEVER:
            await wait_until(lambda: upstream.buffer_budget.used_bytes)
            sidecar.dispatcher.expire_all_within(0)
        answered_status, headers, body = await client.read_response()
        assert answered_status == status_code
        if status_code == 200:
            assert headers == {b"x-shard": b"7", b"content-length": b"1000"}
            assert body == b"x" * 1000
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == outcome
        if ending is ConnectionEnd.NEVER:
            [used] = [endpoint for endpoint in (first, second) if endpoint.connections]
            # The attempt goes on in the background up to the latency objective, no longer.
            await used.connection_ended.wait()
        await wait_until(lambda: not upstream.open_connection_count)
        assert len(first.connections) + len(second.connections) == 1
        assert upstream.buffer_budget.used_bytes == 0
        assert not upstream.background_attempts
        assert not sidecar.dispatcher.ledger.in_flight


@async_test
async def test_attempt_is_not_sent_to_endpoint_that_drains_while_connecting() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        outcomes: list[AttemptOutcome] = []
        completed = asyncio.Event()

        def on_completed(outcome: AttemptOutcome, _response: HttpResponse | None) -> None:
            outcomes.append(outcome)
            completed.set()

        upstream = sidecar.dispatcher.upstream
        start_attempt(upstream, "s-0", on_completed)
        move_endpoint(sidecar, endpoint.address, "draining")
        await completed.wait()
        assert outcomes == [AttemptOutcome.CONNECT_FAILED]
        assert endpoint.received_requests == []
        assert upstream.create_attempt(derive_endpoint_id("s-0"), request_bytes, on_completed) is None


@async_test
async def test_attempt_is_not_sent_after_client_disconnected() -> None:
    """A connection that is established after the client left goes to the next request."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        gate = ConnectGate(sidecar, holds_established=False)
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post", request_id="9b1f"))
        await gate.reached.wait()
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.NOT_SENT
        assert not sidecar.dispatcher.is_duplicate(b"9b1f")
        assert not sidecar.dispatcher.ledger.in_flight
        gate.opened.set()
        next_client = await sidecar.connect_client()
        assert (await next_client.exchange(request_bytes("post", request_id="77"))).status == 200
        # The connection is kept: the next request has it.
        assert [received.headers[b"req-id"] for received in endpoint.received_requests] == [b"77"]
        assert not sidecar.dispatcher.upstream.background_attempts


@async_test
async def test_no_connection_is_opened_after_client_disconnected_during_reuse_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt waits for the reuse delay of a connection, and ends unsent."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        reuse_delay_gate = ReuseDelayGate(sidecar, monkeypatch)  # no connection becomes reusable
        client = await sidecar.connect_client()
        next_client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes())).status == 200
        client.writer.write(request_bytes())
        await sidecar.wait_for_event(
            lambda event: isinstance(event, RequestReceived) and event.request_id == 2
        )
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        await reuse_delay_gate.wait_for_attempts(1)
        reuse_delay_gate.release_all()
        await wait_until(lambda: not upstream.background_attempts)
        assert endpoint.connection_count == 1
        assert len(endpoint.received_requests) == 1
        assert (await next_client.exchange(request_bytes())).status == 200


@pytest.mark.parametrize("class_name", ["read", "post"])
@pytest.mark.parametrize("expired", [ExpiredTime.REQUEST_DEADLINE, ExpiredTime.ATTEMPT_TIMEOUT])
@async_test
async def test_attempt_that_expires_while_connecting_is_not_sent(
    expired: ExpiredTime, class_name: str
) -> None:
    """Reported as a timeout, a request that must not run twice would be answered as failed."""
    # No answer counts after the latency objective, so the attempt times out then.
    brief_class = {"LateWorth": 0, "AimNs": 20_000_000}
    brief = change_classes(brief_class, brief_class)
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar(
            endpoint.address, settings=brief if expired is ExpiredTime.ATTEMPT_TIMEOUT else SETTINGS
        ) as sidecar,
    ):
        gate = ConnectGate(sidecar)
        upstream = sidecar.dispatcher.upstream
        client = await sidecar.connect_client()
        client.writer.write(request_bytes(class_name, request_id="9b1f"))
        await gate.reached.wait()
        if expired is ExpiredTime.REQUEST_DEADLINE:
            sidecar.dispatcher.expire_all_within(0)
        assert (await client.read_response()).status == 503  # rejected: a retry does no harm
        completed = await sidecar.wait_for_event(is_attempt_completed)
        assert (completed.outcome, completed.request_finished) == (AttemptOutcome.NOT_SENT, False)
        assert not sidecar.dispatcher.ledger.in_flight
        assert not sidecar.dispatcher.is_duplicate(b"9b1f")
        # It says nothing of the endpoint, and its connection is kept.
        [state] = sidecar.balancer.membership.endpoints.values()
        assert (state.failure_rate, state.consecutive_failures) == (0.0, 0)
        assert (state.ejected_until_ns, state.in_flight) == (0, 0)
        gate.opened.set()
        await wait_until(lambda: not upstream.background_attempts)
        [pool] = upstream.pools.values()
        assert len(pool.idle_connections) == 1
        assert not endpoint.received_requests
        assert gate.connect_count == 1


@pytest.mark.parametrize("error", [None, ConnectionRefusedError(), TimeoutError()])
@async_test
async def test_connection_to_former_address_gets_no_request(error: OSError | None) -> None:
    """Nor does a failure of the former address count against the endpoint: the current one is tried."""
    async with (
        run_endpoint(answer_ok) as former,
        run_endpoint(answer_ok) as current,
        run_sidecar(former.address) as sidecar,
    ):
        gate = ConnectGate(sidecar, first_error=error)
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post"))
        await gate.reached.wait()
        move_endpoint(sidecar, current.address)
        gate.opened.set()
        assert (await client.read_response()).status == 200
        completed = await sidecar.wait_for_event(is_attempt_completed)
        assert (completed.outcome, completed.attempt_index) == (AttemptOutcome.SUCCESS, 0)
        assert len(former.received_requests) == 0
        assert len(current.received_requests) == 1
        assert gate.connect_count == 2
        [pool] = sidecar.dispatcher.upstream.pools.values()
        assert [connection.address for connection in pool.idle_connections] == [pool.address]


@pytest.mark.parametrize("reason", ["expired", "draining", "no room"])
@async_test
async def test_attempt_connecting_to_former_address_may_end_unsent(reason: str) -> None:
    async with (
        run_endpoint(answer_ok) as former,
        run_endpoint(answer_ok) as current,
        run_sidecar(former.address) as sidecar,
    ):
        gate = ConnectGate(sidecar)
        upstream = sidecar.dispatcher.upstream
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post"))
        await gate.reached.wait()
        move_endpoint(sidecar, current.address, "draining" if reason == "draining" else "up")
        if reason == "expired":
            sidecar.dispatcher.expire_all_within(0)
        elif reason == "no room":
            upstream.max_connections = 1
        gate.opened.set()
        assert (await client.read_response()).status == 503
        completed = await sidecar.wait_for_event(is_attempt_completed)
        assert completed.outcome == (
            AttemptOutcome.CONNECT_FAILED if reason == "draining" else AttemptOutcome.NOT_SENT
        )
        await wait_until(lambda: not upstream.open_connection_count)
        assert not former.received_requests
        assert not current.received_requests
        assert gate.connect_count == 1
        assert not upstream.background_attempts


@async_test
async def test_attempt_goes_to_current_address_after_waiting_for_reuse_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        run_endpoint(answer_ok) as former,
        run_endpoint(answer_ok) as current,
        run_sidecar(former.address) as sidecar,
    ):
        reuse_delay_gate = ReuseDelayGate(sidecar, monkeypatch)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 200
        client.writer.write(request_bytes("post"))
        await reuse_delay_gate.wait_for_attempts(1)
        move_endpoint(sidecar, current.address)
        reuse_delay_gate.release_first()
        assert (await client.read_response()).status == 200
        assert (len(former.received_requests), len(current.received_requests)) == (1, 1)


@pytest.mark.parametrize("late", [False, True])
@async_test
async def test_attempt_waiting_for_reuse_delay_is_sent_within_its_start_window_or_not_at_all(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        reuse_delay_gate = ReuseDelayGate(sidecar, monkeypatch)
        upstream = sidecar.dispatcher.upstream
        outcomes = asyncio.Queue[AttemptOutcome]()

        def on_completed(outcome: AttemptOutcome, _response: HttpResponse | None) -> None:
            outcomes.put_nowait(outcome)

        start_attempt(upstream, "s-0", on_completed)
        assert await outcomes.get() == AttemptOutcome.SUCCESS
        start_attempt(upstream, "s-0", on_completed, reuse_delay_gate.now_ns + 2 * CONNECTION_REUSE_DELAY_NS)
        await reuse_delay_gate.wait_for_attempts(1)
        reuse_delay_gate.now_ns += 2 * CONNECTION_REUSE_DELAY_NS - (not late)
        reuse_delay_gate.release_first()
        assert await outcomes.get() == (AttemptOutcome.NOT_SENT if late else AttemptOutcome.SUCCESS)
        [pool] = upstream.pools.values()
        assert len(endpoint.received_requests) == (1 if late else 2)
        assert endpoint.connection_count == 1
        assert len(pool.idle_connections) == 1


DEDUPLICATED = {"Effect": "dedup", "KeyScope": "all", "WindowNs": 2_000_000_000}
KEY_HEADER = b"Idempotency-Key: 5c0f\r\n"


@pytest.mark.parametrize("late", [False, True])
@async_test
async def test_retry_is_sent_within_deduplication_window_or_not_at_all(late: bool) -> None:
    """Decided within the window and sent after it, the endpoint would execute the request a second time."""
    may_close = asyncio.Event()

    async def close_first_connection(_request: ReceivedRequest) -> bytes | None:
        if received_request_count(first, second) > 1:
            return ok_response()
        await may_close.wait()
        return None

    async with (
        run_endpoint(close_first_connection) as first,
        run_endpoint(close_first_connection) as second,
        run_sidecar(first.address, second.address, settings=change_classes({}, DEDUPLICATED)) as sidecar,
    ):
        gate = ConnectGate(sidecar, holds_established=False)
        now_ns = sidecar.dispatcher.now_ns
        gate.opened.set()
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post", extra_headers=KEY_HEADER))
        await wait_until(lambda: first.received_requests or second.received_requests)
        gate.opened.clear()
        gate.reached.clear()
        may_close.set()
        await gate.reached.wait()  # the retry is decided, and has no connection yet
        if late:
            sidecar.dispatcher.now_ns = lambda: now_ns() + 2 * SECOND_NS
            sidecar.dispatcher.upstream.now_ns = lambda: now_ns() + 2 * SECOND_NS
        gate.opened.set()
        status_code, _, _ = await client.read_response()
        retry = await sidecar.wait_for_event(
            lambda event: is_attempt_completed(event) and event.attempt_index == 1
        )
        if late:
            assert (status_code, retry.outcome) == (502, AttemptOutcome.NOT_SENT)
        else:
            assert (status_code, retry.outcome) == (200, AttemptOutcome.SUCCESS)
        assert received_request_count(first, second) == (1 if late else 2)


@contextlib.asynccontextmanager
async def narrow_endpoint() -> AsyncIterator[tuple[socket.socket, str]]:
    """Listen with a small receive buffer, and return the listening socket with its address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, port = server.getsockname()
        yield server, f"{host}:{port}"


def narrow_send_buffers(upstream: UpstreamManager) -> None:
    """Give each new connection a small send buffer, so that a long request is sent in part."""
    connect = upstream.connect

    async def connect_narrow(pool: EndpointPool) -> OutboundConnection:
        connection = await connect(pool)
        assert connection.transport is not None
        connected_socket = connection.transport.get_extra_info("socket")
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connection

    upstream.connect = connect_narrow  # type: ignore[method-assign]


def receive_all(server: socket.socket) -> int:
    """Return how many bytes the first connection to this socket carries until its end."""
    peer, _ = server.accept()
    peer.settimeout(TEST_TIMEOUT_SECONDS / 4)
    received_bytes = 0
    with peer, contextlib.suppress(ConnectionResetError):
        while part := peer.recv(1 << 20):
            received_bytes += len(part)
    return received_bytes


async def send_until_start_window_is_over(upstream: UpstreamManager, request: bytes) -> None:
    """Start an attempt whose start window ends while a part of its request is unsent."""
    now_ns = upstream.now_ns()
    upstream.now_ns = lambda: now_ns  # the connection is established in time, however long that takes
    completed: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
    start_attempt(
        upstream,
        "s-0",
        lambda outcome, _response: completed.set_result(outcome),
        now_ns + SECOND_NS // 10,
        lambda: request,
    )
    assert await completed == AttemptOutcome.NOT_SENT


async def send_until_expired(sidecar: Sidecar, request: bytes, expired: ExpiredTime) -> None:
    """Send a client's request, whose time is over while a part of it is unsent."""
    upstream = sidecar.dispatcher.upstream
    in_flight = sidecar.dispatcher.ledger.in_flight
    client = await sidecar.connect_client()
    client.writer.write(request)
    await wait_until(lambda: upstream.open_connection_count and in_flight)
    [sent] = in_flight.values()
    await wait_until(lambda: sent.attempt is not None and sent.attempt.state is AttemptState.IN_FLIGHT)
    if expired is ExpiredTime.REQUEST_DEADLINE:
        sidecar.dispatcher.expire_all_within(0)
    else:
        assert sent.attempt is not None
        sent.attempt.expire()
    assert (await client.read_response()).status == 503
    assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.NOT_SENT


@pytest.mark.parametrize("expired", ExpiredTime)
@async_test
async def test_partly_sent_request_goes_no_further_after_its_time(expired: ExpiredTime) -> None:
    """Without an end the rest would go out whenever the endpoint reads on, also after the start window.

    A request that was never sent whole is reported as not sent, not as a timeout.
    """
    async with narrow_endpoint() as (server, address), run_sidecar(address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        narrow_send_buffers(upstream)
        request = request_bytes("post", body=b"x" * 60_000)
        if expired is ExpiredTime.START_WINDOW:
            await send_until_start_window_is_over(upstream, request)
        else:
            await send_until_expired(sidecar, request, expired)
        await wait_until(lambda: not upstream.open_connection_count)
        assert not upstream.background_attempts
        assert not sidecar.dispatcher.ledger.in_flight
        assert receive_all(server) < 60_000


@async_test
async def test_partly_sent_request_goes_no_further_after_client_disconnected() -> None:
    """The rest would reach the endpoint whenever that reads on, and begin an attempt that nobody wants."""
    async with narrow_endpoint() as (server, address), run_sidecar(address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        in_flight = sidecar.dispatcher.ledger.in_flight
        narrow_send_buffers(upstream)
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post", body=b"x" * 60_000))
        await wait_until(lambda: upstream.open_connection_count and in_flight)
        [sent] = in_flight.values()
        await wait_until(lambda: sent.attempt is not None and sent.attempt.state is AttemptState.IN_FLIGHT)
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        assert not in_flight  # at once, not at the deadline
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.NOT_SENT
        await wait_until(lambda: not upstream.open_connection_count)
        assert receive_all(server) < 60_000


class BrokenLoop:
    """Fails to make connections in a way that no code expects."""

    async def create_connection(self, *_arguments: object) -> None:
        """Raise what is no OSError."""
        raise RuntimeError("unable to perform operation")


@async_test
async def test_unexpected_error_of_a_connect_ends_the_attempt() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        usual_create_task = upstream.loop.create_task
        broken_loop = BrokenLoop()
        broken_loop.create_task = usual_create_task  # type: ignore[attr-defined]
        upstream.loop = cast(asyncio.AbstractEventLoop, broken_loop)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes())).status == 503
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.NOT_SENT
        assert not sidecar.dispatcher.ledger.in_flight
        assert upstream.open_connection_count == 0
        assert not upstream.background_attempts

"""Tests of the outcome of an attempt, by the result of its connect and by the response."""

from __future__ import annotations

import errno
from unittest.mock import AsyncMock

import pytest

from balancer.policy_api import AttemptCompleted, AttemptOutcome
from balancer.sidecar.http.message import MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.pool import EndpointPool
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes, status_response
from tests.sidecar.scripted_endpoint import Script, answer_ok, run_endpoint, unreachable_address
from tests.sidecar.sidecar_under_test import is_attempt_completed, run_sidecar
from tests.sidecar.upstream.harness import (
    CHUNKED_HEAD,
    HEAD_WITHOUT_LENGTH,
    ConnectionEnd,
    close_connection,
    event_loop_with_connector,
    received_request_count,
    respond_with,
    run_raw_endpoint,
)

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
    """A lack of descriptors is caused by this machine, not by the endpoint."""
    async with run_sidecar(unreachable_address()) as sidecar:
        sidecar.dispatcher.upstream.connect = AsyncMock(side_effect=error)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 503
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == outcome


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL])
@async_test
async def test_connect_is_retried_while_this_machine_is_short_of_a_resource(number: int) -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        connect = upstream.connect
        failures = [OSError(number, "short")] * 2

        async def fail_at_first(pool: EndpointPool) -> OutboundConnection:
            if failures:
                raise failures.pop()
            return await connect(pool)

        upstream.connect = fail_at_first
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 200
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.SUCCESS


@async_test
async def test_refused_connection_ends_attempt_as_connect_failed() -> None:
    async with run_sidecar(unreachable_address()) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 503
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.CONNECT_FAILED


async def fail_unexpectedly(*_arguments: object) -> None:
    """Raise an error that is not an OSError, instead of creating a connection."""
    raise RuntimeError("unable to perform operation")


@async_test
async def test_unexpected_error_of_a_connect_ends_the_attempt() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        upstream.loop = event_loop_with_connector(fail_unexpectedly)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes())).status == 503
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.NOT_SENT
        assert not sidecar.dispatcher.request_registry.in_flight
        assert upstream.open_connection_count == 0
        assert not upstream.background_attempts


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
    """The client gets the response with a content length. One that never ends fails at the deadline."""
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
            # The attempt continues in the background until the latency objective at most.
            await used.connection_ended.wait()
        await wait_until(lambda: not upstream.open_connection_count)
        assert len(first.connections) + len(second.connections) == 1
        assert upstream.buffer_budget.used_bytes == 0
        assert not upstream.background_attempts
        assert not sidecar.dispatcher.request_registry.in_flight

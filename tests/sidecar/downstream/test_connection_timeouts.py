"""Tests of the time limits for clients that send no request, send one incompletely or do not read."""

from __future__ import annotations

import asyncio
import contextlib
from socket import socket
from typing import cast

import pytest

from balancer.sidecar.downstream.timeouts import DEFAULT_TIMEOUTS, DownstreamTimeouts
from tests.sidecar.downstream.harness import (
    CLOSE_HEADER,
    TIMEOUTS,
    accepted_connection,
    connect_slow_reader,
    is_complete_response,
    run_sidecar_without_sweeps,
    sweep_after,
    sweep_at,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar
from tests.sidecar.socket_options import SMALL_BUFFER_BYTES

LONG_BODY = b"x" * 60_000

MAX_ERROR_DELAY_SECONDS = 3.0
"""How long a client that sends no proper request may wait for its error."""


async def respond_with_long_body(_request: ReceivedRequest) -> bytes:
    """Script: answer with a body of which the buffers of a slow reader take only a part."""
    return ok_response(LONG_BODY)


async def read_slowly(sidecar: Sidecar, client: socket) -> bytes:
    """Read to the end of the connection, as if some time passed after each piece."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    while part := await loop.sock_recv(client, SMALL_BUFFER_BYTES):
        received += part
        sweep_after(sidecar, 0.3 * TIMEOUTS.linger_seconds)
    return bytes(received)


@async_test
async def test_connection_without_request_and_partial_request_time_out() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        idle = await sidecar.connect_client()
        assert (await idle.exchange(request_bytes()))[0] == 200
        sidecar.listener.timeouts = DownstreamTimeouts(
            sweep_interval_seconds=0.05, first_byte_seconds=0.05, first_request_seconds=0.05
        )
        client_without_request, partial_head, partial_body = [
            await sidecar.connect_client() for _ in range(3)
        ]
        partial_head.writer.write(request_bytes()[:-2])
        partial_body.writer.write(request_bytes("post", body=b"x" * 100)[:-1])
        for client in (partial_head, partial_body):
            assert (await client.read_response())[0] == 408
            assert await client.is_closed_without_data()
        assert await client_without_request.is_closed_without_data()
        # This connection has waited for longer than the one without a request, but its limit is longer.
        assert (await idle.exchange(request_bytes()))[0] == 200


@async_test
async def test_client_that_reads_no_responses_is_disconnected() -> None:
    timeouts = DownstreamTimeouts(
        sweep_interval_seconds=0.05, unread_response_seconds=0.05, linger_seconds=0.05
    )

    async def respond_with_large_body(_request: ReceivedRequest) -> bytes:
        return ok_response(b"x" * 64_000)

    async with (
        run_endpoint(respond_with_large_body) as endpoint,
        run_sidecar(endpoint.address, timeouts=timeouts) as sidecar,
    ):
        client = await sidecar.connect_client()
        cast(asyncio.Transport, client.writer.transport).pause_reading()
        client.writer.write(b"".join(request_bytes() for _ in range(400)))
        await wait_until(lambda: endpoint.received_requests and not len(sidecar.listener))


@pytest.mark.parametrize("is_shutting_down", [False, True])
@async_test
async def test_closing_connection_stays_open_while_its_client_reads_the_response(
    is_shutting_down: bool,
) -> None:
    # Guards against: a shutdown cuts off a long response that its client is still reading.
    async with (
        run_endpoint(respond_with_long_body) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        if is_shutting_down:
            sidecar.listener.begin_shutdown()
        with contextlib.ExitStack() as sockets:
            client = await connect_slow_reader(sidecar, sockets)
            connection = await accepted_connection(sidecar)
            client.send(request_bytes(extra_headers=CLOSE_HEADER))
            await wait_until(lambda: connection.lifecycle.is_lingering and connection.has_unsent_response)
            received = await read_slowly(sidecar, client)
            assert is_complete_response(received, b"200", LONG_BODY)


@async_test
async def test_closing_connection_is_aborted_when_its_client_stops_reading() -> None:
    async with (
        run_endpoint(respond_with_long_body) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        with contextlib.ExitStack() as sockets:
            client = await connect_slow_reader(sidecar, sockets)
            connection = await accepted_connection(sidecar)
            client.send(request_bytes(extra_headers=CLOSE_HEADER))
            await wait_until(lambda: connection.lifecycle.is_lingering and connection.has_unsent_response)
            closed_at_seconds = sidecar.listener.now_seconds()
            sweep_at(sidecar, closed_at_seconds + 0.9 * TIMEOUTS.unread_response_seconds)
            assert connection.is_open
            sweep_at(sidecar, closed_at_seconds + 1.1 * TIMEOUTS.unread_response_seconds)
            await wait_until(lambda: not len(sidecar.listener))


@pytest.mark.parametrize("is_first_request", [False, True], ids=["later request", "first request"])
@async_test
async def test_request_that_stops_half_way_is_answered_within_three_seconds(is_first_request: bool) -> None:
    # Guards against: a client that stops in the middle of a later request gets its error after 6 s only.
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        connection = await accepted_connection(sidecar)
        if not is_first_request:
            assert (await client.exchange(request_bytes())).status == 200
        client.writer.write(request_bytes("post", body=b"x" * 100)[:-1])
        await wait_until(lambda: connection.has_partial_request)
        sweep_after(sidecar, MAX_ERROR_DELAY_SECONDS - DEFAULT_TIMEOUTS.sweep_interval_seconds)
        assert (await client.read_response()).status == 408


@async_test
async def test_later_request_may_arrive_slowly() -> None:
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        connection = await accepted_connection(sidecar)
        assert (await client.exchange(request_bytes())).status == 200
        request = request_bytes("post", body=b"x" * 100)
        began_at_seconds = sidecar.listener.now_seconds()
        for index, seconds in enumerate((2.0, 4.0)):
            client.writer.write(request[50 * index : 50 * (index + 1)])
            await wait_until(lambda: connection.has_partial_request and not connection.has_unread_bytes())
            sweep_at(sidecar, began_at_seconds + seconds)
        client.writer.write(request[100:])
        assert (await client.read_response()).status == 200

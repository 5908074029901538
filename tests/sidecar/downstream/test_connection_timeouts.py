"""Tests of the time limits for clients that send no request, send one incompletely or do not read."""

from __future__ import annotations

import asyncio
from typing import cast

from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import run_sidecar


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

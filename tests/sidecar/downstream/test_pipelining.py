"""Tests of pipelined requests on a client's connection: the limit on them, and their arrival times."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from balancer.sidecar.downstream.listener import READ_BUFFER_BYTES
from tests.sidecar.client import Client
from tests.sidecar.downstream.harness import (
    run_client_session,
    run_sidecar_without_sweeps,
    set_time,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, ScriptedEndpoint, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar


@async_test
async def test_pipelined_requests_in_flight_are_limited() -> None:
    max_in_flight = 0

    async def count_in_flight(_request: ReceivedRequest) -> bytes:
        nonlocal max_in_flight
        max_in_flight = max(max_in_flight, len(sidecar.dispatcher.request_registry.in_flight))
        return ok_response()

    async with run_endpoint(count_in_flight) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        client.writer.write(b"".join(request_bytes() for _ in range(300)))
        for _ in range(300):
            assert (await client.read_response())[0] in (200, 503)
        assert 1 <= max_in_flight <= MAX_PIPELINED_REQUESTS


class PendingPipeline(NamedTuple):
    """A full pipeline of requests, to which the endpoint responds once `released` is set."""

    sidecar: Sidecar
    endpoint: ScriptedEndpoint
    client: Client
    released: asyncio.Event

    def propagated_timeouts_seconds(self) -> list[float]:
        """Return the remaining time that each attempt propagated to the endpoint, in seconds."""
        return [float(request.headers[b"req-deadline"]) for request in self.endpoint.received_requests]

    async def wait_for_further_request(self) -> None:
        """Wait until the endpoint has received more requests than a full pipeline has."""
        await wait_until(lambda: len(self.endpoint.received_requests) > MAX_PIPELINED_REQUESTS)


def freeze_clock(sidecar: Sidecar) -> None:
    """Stop the sidecar's clock, so that the timeouts that attempts propagate are exact."""
    now_ns = sidecar.dispatcher.clock.monotonic_ns()
    sidecar.dispatcher.clock.monotonic_ns = lambda: now_ns


@contextlib.asynccontextmanager
async def run_pending_pipeline(further_requests: int = 0) -> AsyncIterator[PendingPipeline]:
    """Send a full pipeline and further requests at time 100 s, each with a timeout of 8 s."""
    released = asyncio.Event()

    async def respond_when_released(_request: ReceivedRequest) -> bytes:
        await released.wait()
        return ok_response()

    async with (
        run_endpoint(respond_when_released) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        freeze_clock(sidecar)
        set_time(sidecar, 100.0)
        client = await sidecar.connect_client()
        count = MAX_PIPELINED_REQUESTS + further_requests
        client.writer.write(b"".join(request_bytes(deadline="8") for _ in range(count)))
        await wait_until(lambda: len(endpoint.received_requests) == MAX_PIPELINED_REQUESTS)
        yield PendingPipeline(sidecar, endpoint, client, released)


@async_test
async def test_request_that_waited_for_full_pipeline_has_less_time_left() -> None:
    async with run_pending_pipeline(further_requests=1) as pipeline:
        set_time(pipeline.sidecar, 103.0)
        pipeline.released.set()
        await pipeline.wait_for_further_request()
        assert pipeline.propagated_timeouts_seconds() == [7.99] * MAX_PIPELINED_REQUESTS + [4.99]


@async_test
async def test_request_read_after_a_pause_counts_from_the_start_of_the_pause() -> None:
    """A request waits in the socket while reading is paused, and no event reports when it arrived.

    If its timeout counted from when it is read, the endpoint would get more time than the client waits.
    """
    async with run_pending_pipeline() as pipeline:
        sidecar, client = pipeline.sidecar, pipeline.client
        [connection] = sidecar.listener.accepting_connections
        assert connection.flow_control.is_reading_paused
        set_time(sidecar, 102.0)
        client.writer.write(request_bytes(deadline="8"))
        await wait_until(connection.has_unread_bytes)
        set_time(sidecar, 103.0)
        pipeline.released.set()
        await pipeline.wait_for_further_request()
        assert pipeline.propagated_timeouts_seconds()[-1] == 4.99
        for _ in range(MAX_PIPELINED_REQUESTS + 1):
            assert (await client.read_response())[0] == 200
        client.writer.write(request_bytes(deadline="8"))  # reading is not paused any more
        assert (await client.read_response())[0] == 200
        assert pipeline.propagated_timeouts_seconds()[-1] == 7.99


@async_test
async def test_request_that_is_read_in_small_parts_counts_from_when_it_had_arrived() -> None:
    """The whole request was in the socket when its first part was read; a read may return only a part."""
    async with run_client_session() as session:
        freeze_clock(session.sidecar)
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
    async with run_pending_pipeline(further_requests=1) as pipeline:
        set_time(pipeline.sidecar, 109.0)
        pipeline.released.set()
        statuses = [(await pipeline.client.read_response())[0] for _ in range(MAX_PIPELINED_REQUESTS + 1)]
        assert statuses == [200] * MAX_PIPELINED_REQUESTS + [503]
        assert len(pipeline.endpoint.received_requests) == MAX_PIPELINED_REQUESTS


@async_test
async def test_one_read_returns_a_limited_number_of_bytes() -> None:
    """Guards against hundreds of clients that each make the sidecar hold as much as one read returns."""
    async with run_client_session() as session:
        read_sizes: list[int] = []
        process = session.connection.data_received

        def record_size(data: bytes) -> None:
            read_sizes.append(len(data))
            process(data)

        session.connection.data_received = record_size  # type: ignore[method-assign]
        session.client.sendall(request_bytes("post", body=b"x" * 60_000))
        await wait_until(lambda: session.endpoint.received_requests and session.connection.is_idle)
        assert max(read_sizes) <= READ_BUFFER_BYTES
        assert sum(read_sizes) > 60_000

"""Tests of the connection pool of an endpoint: which connections are kept, and for how long."""

from __future__ import annotations

import asyncio

import pytest

from balancer.policy_api import ClientDisconnected, RequestReceived
from balancer.sidecar.upstream.pool import CONNECTION_REUSE_DELAY_NS, SURPLUS_IDLE_TIMEOUT_NS
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import run_sidecar
from tests.sidecar.upstream.harness import (
    HEAD_WITHOUT_LENGTH,
    ConnectGate,
    ConnectionEnd,
    create_upstream,
    move_endpoint,
    run_raw_endpoint,
)


@async_test
async def test_surplus_connections_close_once_idle_and_last_one_stays() -> None:
    """Each connection takes a part of the endpoint's capacity, so those of a burst must not stay for long."""
    async with run_endpoint(answer_ok) as endpoint:
        now_ns = SECOND_NS
        config, upstream, pool = create_upstream(endpoint.address, now_ns=lambda: now_ns)
        burst = [await upstream.connect(pool) for _ in range(3)]
        for connection in burst:
            pool.release(connection, now_ns)
        now_ns += SURPLUS_IDLE_TIMEOUT_NS // 2
        assert pool.acquire(now_ns) is burst[2]
        pool.release(burst[2], now_ns)
        assert pool.idle_connections == burst
        now_ns += SURPLUS_IDLE_TIMEOUT_NS
        assert pool.acquire(now_ns) is burst[2]
        pool.release(burst[2], now_ns)
        assert pool.idle_connections == [burst[2]]
        assert not burst[0].is_reusable()
        now_ns += config.connection_idle_timeout_ns  # the endpoint may close it at any moment
        assert pool.acquire(now_ns) is None


@async_test
async def test_connection_is_not_kept_after_response_without_length() -> None:
    async with (
        run_raw_endpoint(HEAD_WITHOUT_LENGTH + b"done", ConnectionEnd.CLOSE) as (endpoint, address),
        run_sidecar(address) as sidecar,
    ):
        client = await sidecar.connect_client()
        for count in range(1, 4):
            assert (await client.exchange(request_bytes("post"))).status_and_body == (200, b"done")
            [pool] = sidecar.dispatcher.upstream.pools.values()
            assert not pool.idle_connections
            assert len(endpoint.connections) == count


@async_test
async def test_connection_to_former_address_is_not_kept() -> None:
    """On a kept connection the next request would reach a machine that is no longer in the endpoint list."""
    may_answer = asyncio.Event()

    async def answer_later(_request: ReceivedRequest) -> bytes:
        await may_answer.wait()
        return ok_response(b"old")

    async with (
        run_endpoint(answer_later) as former,
        run_endpoint(answer_ok) as current,
        run_sidecar(former.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post"))
        await former.request_arrived.wait()
        move_endpoint(sidecar, current.address)
        may_answer.set()
        assert (await client.read_response()).status_and_body == (200, b"old")
        [pool] = sidecar.dispatcher.upstream.pools.values()
        assert not pool.idle_connections
        assert (await client.exchange(request_bytes("post"))).status_and_body == (200, b"done")
        assert len(former.received_requests) == 1
        assert len(current.received_requests) == 1
        assert len(pool.idle_connections) == 1


@async_test
async def test_connection_established_after_endpoint_drains_is_not_kept() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        gate = ConnectGate(sidecar)
        upstream = sidecar.dispatcher.upstream
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post"))
        await gate.reached.wait()
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        [pool] = upstream.pools.values()
        move_endpoint(sidecar, endpoint.address, "draining")
        gate.opened.set()
        await wait_until(lambda: not upstream.open_connection_count)
        assert not pool.idle_connections
        assert not endpoint.received_requests
        assert not upstream.background_attempts


@pytest.mark.parametrize(
    "second_response", [ok_response(b"again"), b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\n"]
)
@async_test
async def test_connection_is_not_reused_within_reuse_delay(second_response: bytes) -> None:
    """On a reused connection a late second response would be taken for the response to the next request."""
    may_send_second = asyncio.Event()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(writer)
        body = b"%d" % len(connections)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ok_response(body))
        await may_send_second.wait()
        writer.write(second_response)

    connections: list[asyncio.StreamWriter] = []

    server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with run_sidecar(f"{host}:{port}") as sidecar:
        upstream = sidecar.dispatcher.upstream
        now_ns = upstream.now_ns()
        upstream.now_ns = lambda: now_ns  # no connection becomes reusable
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status_and_body == (200, b"1")
        [pool] = upstream.pools.values()
        assert len(pool.idle_connections) == 1
        assert pool.seconds_until_reusable(now_ns) == CONNECTION_REUSE_DELAY_NS / SECOND_NS
        client.writer.write(request_bytes("post"))
        await sidecar.wait_for_event(
            lambda event: isinstance(event, RequestReceived) and event.request_id == 2
        )
        may_send_second.set()
        assert (await client.read_response()).status_and_body == (200, b"2")  # on a new connection
        assert len(connections) == 2
    for writer in connections:
        writer.close()
    server.close()


@pytest.mark.parametrize("lateness_ms", [9, 12])
@async_test
async def test_second_response_some_milliseconds_late_meets_no_request(lateness_ms: int) -> None:
    # Guards against: the late second response to one request is passed on to the client of the next.
    async with run_endpoint(answer_ok) as endpoint:
        now_ns = SECOND_NS
        _, upstream, pool = create_upstream(endpoint.address, now_ns=lambda: now_ns)
        connection = await upstream.connect(pool)
        pool.release(connection, now_ns)
        assert pool.acquire(now_ns + lateness_ms * MILLISECOND_NS) is None
        assert pool.idle_connections == [connection]

"""Tests of the downstream side over loopback sockets: forwarding, pipelining, clients that disconnect."""

from __future__ import annotations

import asyncio

import pytest

from balancer.policy_api import ClientDisconnected, EndpointUpdateKind
from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from tests.sidecar.configuration_documents import endpoint_entry, endpoint_list
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint, unreachable_address
from tests.sidecar.sidecar_under_test import run_sidecar
from tests.sidecar.upstream.harness import ConnectGate


@async_test
async def test_request_and_response_are_forwarded_unchanged() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        status_code, _, body = await client.exchange(
            request_bytes("post", body=b"x" * 60_000, request_id="9b1f")
        )
        assert (status_code, body) == (200, b"x" * 60_000)
        [received] = endpoint.received_requests
        assert received.request_line == b"POST /api?k=7f3a HTTP/1.1"
        assert received.body == b"x" * 60_000
        assert received.headers[b"req-id"] == b"9b1f"
        assert received.headers[b"content-length"] == b"60000"
        assert 0 < float(received.headers[b"req-deadline"]) <= 9


@async_test
async def test_split_and_pipelined_requests_are_answered_in_order() -> None:
    first_response_released = asyncio.Event()

    async def script(request: ReceivedRequest) -> bytes:
        if request.headers.get(b"req-extra") == b"n=0":
            await first_response_released.wait()
        else:
            first_response_released.set()
        return ok_response(b"answer " + request.headers[b"req-extra"][2:])

    async with run_endpoint(script) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        for byte in request_bytes(extra_headers=b"Req-Extra: n=0\r\n"):
            client.writer.write(bytes((byte,)))
            await client.writer.drain()
        numbers = range(1, MAX_PIPELINED_REQUESTS * 2)
        client.writer.write(
            b"".join(request_bytes(extra_headers=b"Req-Extra: n=%d\r\n" % number) for number in numbers)
        )
        for number in (0, *numbers):
            assert (await client.read_response()).body == b"answer %d" % number


@async_test
async def test_draining_sidecar_answers_pipelined_requests_before_it_closes() -> None:
    responses_released = asyncio.Event()

    async def respond_when_released(request: ReceivedRequest) -> bytes:
        await responses_released.wait()
        return ok_response(b"answer " + request.headers[b"req-extra"][2:])

    async with run_endpoint(respond_when_released) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        client.writer.write(
            b"".join(request_bytes(extra_headers=b"Req-Extra: n=%d\r\n" % number) for number in range(3))
        )
        await wait_until(lambda: len(endpoint.received_requests) >= 3)
        sidecar.listener.is_draining = True
        responses_released.set()
        responses = [await client.read_response() for _ in range(3)]
        assert [response.body for response in responses] == [b"answer 0", b"answer 1", b"answer 2"]
        assert [b"connection" in response.headers for response in responses] == [False, False, True]
        assert await client.is_closed_without_data()


@async_test
async def test_up_reports_whether_any_endpoint_is_known() -> None:
    request = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
    async with run_sidecar() as sidecar:
        started_at_seconds = sidecar.listener.now_seconds()
        sidecar.listener.now_seconds = lambda: started_at_seconds  # no time passes
        client = await sidecar.connect_client()
        assert (await client.exchange(request)).status == 503
        snapshot = endpoint_list(2, endpoint_entry("s-0", unreachable_address()))
        sidecar.update_endpoints(snapshot, EndpointUpdateKind.SNAPSHOT)
        assert (await client.exchange(request)).status == 200


@pytest.mark.parametrize("connection_state", ["last", "pipelined", "flooded"])
@async_test
async def test_client_disconnect_is_detected_while_reading_is_paused(connection_state: str) -> None:
    """The requests of the client must be abandoned without being sent.

    With a full pipeline, or a flood after the last request, reading is paused and no event reports the
    disconnect.
    """
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        gate = ConnectGate(sidecar, blocks_after_connect=False)
        client = await sidecar.connect_client()
        if connection_state == "pipelined":
            request_count = MAX_PIPELINED_REQUESTS
            client.writer.write(b"".join(request_bytes() for _ in range(request_count + 3)))
        else:
            request_count = 1
            client.writer.write(request_bytes(extra_headers=b"Connection: close\r\n"))
        await wait_until(lambda: gate.connect_count >= request_count)
        if connection_state == "flooded":
            client.writer.write(b"x" * 200_000)
        [transport] = sidecar.client_transports
        await wait_until(lambda: transport.is_reading() == (connection_state == "last"))
        if connection_state == "flooded":
            client.writer.transport.abort()
        else:
            client.writer.close()
        for _ in range(request_count):
            disconnected = await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
            sidecar.events.remove(disconnected)
        assert not sidecar.dispatcher.request_registry.in_flight
        gate.opened.set()
        next_client = await sidecar.connect_client()
        assert (await next_client.exchange(request_bytes(request_id="77"))).status == 200
        assert [request.headers[b"req-id"] for request in endpoint.received_requests] == [b"77"]

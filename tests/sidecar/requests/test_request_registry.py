"""Tests of duplicate requests, and of the deadline that an attempt carries, over loopback sockets."""

from __future__ import annotations

import pytest

from balancer.policy_api import AttemptOutcome, EndpointUpdateKind
from balancer.time_units import SECOND_NS
from tests.sidecar.configuration_documents import endpoint_entry, endpoint_list
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes, status_response
from tests.sidecar.runtime.clock_control import advance_clock, stop_clock
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint, unreachable_address
from tests.sidecar.sidecar_under_test import is_attempt_completed, run_sidecar
from tests.sidecar.upstream.harness import ConnectGate


@pytest.mark.parametrize("class_name", ["post", "read"])
@async_test
async def test_executed_request_id_is_not_sent_again(class_name: str) -> None:
    """A client that loses its connection before the response arrives may retry with the same id."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        first_client = await sidecar.connect_client()
        second_client = await sidecar.connect_client()
        assert (await first_client.exchange(request_bytes(class_name, request_id="9b1f"))).status == 200
        assert not sidecar.dispatcher.request_registry.in_flight
        status_code, _, _ = await second_client.exchange(request_bytes(class_name, request_id="9b1f"))
        # An idempotent request may be retried.
        assert status_code == (409 if class_name == "post" else 200)
        # The client of the first request has given up by then, so its id is removed.
        advance_clock(sidecar.dispatcher.clock, 9 * SECOND_NS)
        last_client = await sidecar.connect_client()
        assert (await last_client.exchange(request_bytes("post", request_id="77"))).status == 200
        assert list(sidecar.dispatcher.request_registry.executed_ids_expire_at_ns) == [b"77"]


@async_test
async def test_request_id_that_was_never_executed_may_be_sent_again() -> None:
    """A client retries a request after a rejection, or after its connection was closed."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(unreachable_address()) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post", request_id="9b1f"))).status == 503
        snapshot = endpoint_list(2, endpoint_entry("s-1", endpoint.address))
        sidecar.update_endpoints(snapshot, EndpointUpdateKind.SNAPSHOT)
        assert (await client.exchange(request_bytes("post", request_id="9b1f"))).status == 200


@pytest.mark.parametrize("waited_seconds", [3, 10])
@async_test
async def test_retry_carries_time_left_when_it_is_written(waited_seconds: int) -> None:
    """A retry without time left is not sent, even if its connection is ready before the deadline timer."""

    async def decline_first(_request: ReceivedRequest) -> bytes:
        if len(first.received_requests) + len(second.received_requests) > 1:
            return ok_response()
        gate.opened.clear()  # the retry has to wait for its connection
        return status_response(503, b"Srv-Declined: 1")

    async with (
        run_endpoint(decline_first) as first,
        run_endpoint(decline_first) as second,
        run_sidecar(first.address, second.address) as sidecar,
    ):
        gate = ConnectGate(sidecar)
        gate.opened.set()
        stop_clock(sidecar.dispatcher.clock)
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post"))
        await wait_until(lambda: gate.connect_count >= 2)
        advance_clock(sidecar.dispatcher.clock, waited_seconds * SECOND_NS)
        gate.opened.set()
        retry = await sidecar.wait_for_event(
            lambda event: is_attempt_completed(event) and event.attempt_index == 1
        )
        if waited_seconds < 9:
            assert (await client.read_response()).status == 200
            deadlines = sorted(
                float(request.headers[b"req-deadline"])
                for request in first.received_requests + second.received_requests
            )
            assert deadlines == [9 - 0.01 - waited_seconds, 9 - 0.01]
        else:
            assert (await client.read_response()).status == 503
            assert retry.outcome == AttemptOutcome.NOT_SENT
            assert len(first.received_requests) + len(second.received_requests) == 1


@async_test
async def test_attempt_carries_time_left_until_shutdown() -> None:
    """With the client's deadline, an endpoint would continue to work for a sidecar that has ended."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        gate = ConnectGate(sidecar)
        stop_clock(sidecar.dispatcher.clock)
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post"))
        await gate.reached.wait()
        sidecar.dispatcher.expire_all_within(4)
        gate.opened.set()
        assert (await client.read_response()).status == 200
        assert float(endpoint.received_requests[0].headers[b"req-deadline"]) == 4

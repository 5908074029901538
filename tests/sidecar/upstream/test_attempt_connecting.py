"""Tests of attempts that wait for a connection: whether the request is sent once there is one."""

from __future__ import annotations

import asyncio

import pytest

from balancer.policy_api import AttemptOutcome, ClientDisconnected, RequestReceived
from balancer.sidecar.discovery.endpoint_list import derive_endpoint_id
from balancer.sidecar.upstream.pool import CONNECTION_REUSE_DELAY_NS
from balancer.time_units import SECOND_NS
from tests.sidecar.configuration_documents import SETTINGS, settings_with_overrides
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import is_attempt_completed, run_sidecar
from tests.sidecar.upstream.harness import (
    ConnectGate,
    ExpiredTime,
    OutcomeQueue,
    ReuseDelayGate,
    move_endpoint,
    received_request_count,
    start_attempt,
)


@async_test
async def test_attempt_is_not_sent_to_endpoint_that_drains_while_connecting() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        upstream = sidecar.dispatcher.upstream
        outcomes = OutcomeQueue()
        start_attempt(upstream, "s-0", outcomes.record)
        move_endpoint(sidecar, endpoint.address, "draining")
        assert await outcomes.get() == AttemptOutcome.CONNECT_FAILED
        assert outcomes.empty()
        assert endpoint.received_requests == []
        assert upstream.create_attempt(derive_endpoint_id("s-0"), request_bytes, outcomes.record) is None


@async_test
async def test_attempt_is_not_sent_after_client_disconnected() -> None:
    """A connection that is established after the client has disconnected is used for the next request."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        gate = ConnectGate(sidecar, blocks_after_connect=False)
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post", request_id="9b1f"))
        await gate.reached.wait()
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.NOT_SENT
        assert not sidecar.dispatcher.is_duplicate(b"9b1f")
        assert not sidecar.dispatcher.request_registry.in_flight
        gate.opened.set()
        next_client = await sidecar.connect_client()
        assert (await next_client.exchange(request_bytes("post", request_id="77"))).status == 200
        # The connection is kept, and the next request uses it.
        assert [received.headers[b"req-id"] for received in endpoint.received_requests] == [b"77"]
        assert not sidecar.dispatcher.upstream.background_attempts


@async_test
async def test_no_connection_is_opened_after_client_disconnected_during_reuse_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt waits for the reuse delay of a connection, and ends without being sent."""
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
    """If a timeout were reported, a request that is not idempotent would fail although it was never sent."""
    # A response has no value after the latency objective, so the attempt times out then.
    short_class = {"LateWorth": 0, "AimNs": 20_000_000}
    short_settings = settings_with_overrides(short_class, short_class)
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar(
            endpoint.address, settings=short_settings if expired is ExpiredTime.ATTEMPT_TIMEOUT else SETTINGS
        ) as sidecar,
    ):
        gate = ConnectGate(sidecar)
        upstream = sidecar.dispatcher.upstream
        client = await sidecar.connect_client()
        client.writer.write(request_bytes(class_name, request_id="9b1f"))
        await gate.reached.wait()
        if expired is ExpiredTime.REQUEST_DEADLINE:
            sidecar.dispatcher.expire_all_within(0)
        assert (await client.read_response()).status == 503  # rejected, and so safe to retry
        completed = await sidecar.wait_for_event(is_attempt_completed)
        assert (completed.outcome, completed.request_finished) == (AttemptOutcome.NOT_SENT, False)
        assert not sidecar.dispatcher.request_registry.in_flight
        assert not sidecar.dispatcher.is_duplicate(b"9b1f")
        # The expiry does not count against the endpoint, and its connection is kept.
        [state] = sidecar.balancer.membership.endpoints.values()
        assert (state.failure_rate.overall, state.ejection.consecutive_failures) == (0.0, 0)
        assert (state.ejection.until_ns, state.in_flight) == (0, 0)
        gate.opened.set()
        await wait_until(lambda: not upstream.background_attempts)
        [pool] = upstream.pools.values()
        assert len(pool.idle_connections) == 1
        assert not endpoint.received_requests
        assert gate.connect_count == 1


@pytest.mark.parametrize("error", [None, ConnectionRefusedError(), TimeoutError()])
@async_test
async def test_connection_to_former_address_gets_no_request(error: OSError | None) -> None:
    """A failed connect to the former address does not count either; the current address is tried."""
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


@pytest.mark.parametrize("reason", ["expired", "draining", "no capacity"])
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
        elif reason == "no capacity":
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
        outcomes = OutcomeQueue()
        start_attempt(upstream, "s-0", outcomes.record)
        assert await outcomes.get() == AttemptOutcome.SUCCESS
        start_before_ns = reuse_delay_gate.now_ns + 2 * CONNECTION_REUSE_DELAY_NS
        start_attempt(upstream, "s-0", outcomes.record, start_before_ns)
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
    """The policy decides on the retry within the window, but its connection may be established after it.

    An endpoint that received the retry then would execute the request a second time.
    """
    may_close = asyncio.Event()

    async def close_first_connection(_request: ReceivedRequest) -> bytes | None:
        if received_request_count(first, second) > 1:
            return ok_response()
        await may_close.wait()
        return None

    async with (
        run_endpoint(close_first_connection) as first,
        run_endpoint(close_first_connection) as second,
        run_sidecar(
            first.address, second.address, settings=settings_with_overrides({}, DEDUPLICATED)
        ) as sidecar,
    ):
        gate = ConnectGate(sidecar, blocks_after_connect=False)
        now_ns = sidecar.dispatcher.clock.monotonic_ns
        gate.opened.set()
        client = await sidecar.connect_client()
        client.writer.write(request_bytes("post", extra_headers=KEY_HEADER))
        await wait_until(lambda: first.received_requests or second.received_requests)
        gate.opened.clear()
        gate.reached.clear()
        may_close.set()
        await gate.reached.wait()  # the policy has decided on the retry, which has no connection yet
        if late:
            sidecar.dispatcher.clock.monotonic_ns = lambda: now_ns() + 2 * SECOND_NS
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

"""Tests of the dispatcher over loopback sockets: deadlines, background attempts, disconnected clients."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from typing import cast

import pytest

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    Event,
    FailRequest,
    RejectRequest,
    RequestReceived,
    StartAttempt,
    TimerFired,
)
from balancer.sidecar.discovery.endpoint_list import derive_endpoint_id
from balancer.sidecar.requests.interfaces import Policy
from balancer.sidecar.runtime.metrics import Invariant, Metric
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.sidecar.configuration_documents import settings_with_overrides
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes, status_response
from tests.sidecar.runtime.clock_control import stop_clock
from tests.sidecar.scripted_endpoint import (
    ReceivedRequest,
    answer_ok,
    never_answer,
    run_endpoint,
    unreachable_address,
)
from tests.sidecar.sidecar_under_test import Sidecar, is_attempt_completed, run_sidecar


@pytest.mark.parametrize(("class_name", "status_code"), [("read", 503), ("post", 504)])
@async_test
async def test_attempt_ends_and_response_is_sent_at_deadline(class_name: str, status_code: int) -> None:
    async with run_endpoint(never_answer) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes(class_name, deadline="1"))).status == status_code
        await endpoint.received_requests[0].connection_closed.wait()
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.TIMEOUT


@pytest.mark.parametrize(
    ("deadline", "milliseconds_left"), [("0.030", 27), ("0.100", 90), ("1", 990), ("9", 8990)]
)
@async_test
async def test_deadline_margin_is_at_most_a_tenth_of_client_timeout(
    deadline: str, milliseconds_left: int
) -> None:
    """A margin of 10 ms would take too much of a client timeout of 30 ms."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        stop_clock(sidecar.dispatcher.clock)
        client.writer.write(request_bytes(deadline=deadline))
        received = await sidecar.wait_for_event(lambda event: isinstance(event, RequestReceived))
        assert received.expires_at_ns == sidecar.dispatcher.now_ns() + milliseconds_left * MILLISECOND_NS


@async_test
async def test_background_attempt_keeps_its_connection_for_next_request() -> None:
    """If the connection were closed at the deadline, the next request would have to wait for a handshake."""
    may_answer = asyncio.Event()

    async def answer_later(request: ReceivedRequest) -> bytes:
        await may_answer.wait()
        return ok_response(b"late" if request is endpoint.received_requests[0] else b"next")

    settings = settings_with_overrides({"AimNs": 8_000_000_000})
    async with (
        run_endpoint(answer_later) as endpoint,
        run_sidecar(endpoint.address, settings=settings) as sidecar,
    ):
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes(deadline="1", request_id="9b1f"))).status == 503
        assert len(endpoint.received_requests) == 1
        assert not endpoint.received_requests[0].connection_closed.is_set()
        assert sidecar.dispatcher.is_duplicate(b"9b1f")  # its attempt is still in flight
        assert len(sidecar.dispatcher.upstream.background_attempts) == 1
        may_answer.set()
        await wait_until(lambda: not sidecar.dispatcher.upstream.background_attempts)
        assert not sidecar.dispatcher.is_duplicate(b"9b1f")
        assert not sidecar.dispatcher.request_registry.in_flight
        assert (await client.exchange(request_bytes())).status_and_body == (200, b"next")
        assert endpoint.connection_count == 1
        assert len(endpoint.received_requests) == 2


@pytest.mark.parametrize(("latency_objective_ns", "continues"), [(1_500_000_000, True), (500_000_000, False)])
@async_test
async def test_background_attempt_ends_at_latency_objective(
    latency_objective_ns: int, continues: bool
) -> None:
    settings = settings_with_overrides({"AimNs": latency_objective_ns})
    async with (
        run_endpoint(never_answer) as endpoint,
        run_sidecar(endpoint.address, settings=settings) as sidecar,
    ):
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes(deadline="1"))).status == 503
        if not continues:
            assert not sidecar.dispatcher.upstream.background_attempts
            assert not sidecar.dispatcher.request_registry.in_flight
        [received] = endpoint.received_requests
        await received.connection_closed.wait()  # in both cases
        assert not sidecar.dispatcher.upstream.background_attempts
        assert not sidecar.dispatcher.request_registry.in_flight


@async_test
async def test_early_deadline_timer_starts_no_second_attempt() -> None:
    """The event loop rounds its timers, so the deadline timer may fire before the deadline.

    If the policy could then start another attempt, two attempts of the request would be in flight at once.
    """
    settings = settings_with_overrides({"AimNs": 8_000_000_000})
    async with (
        run_endpoint(never_answer) as first,
        run_endpoint(never_answer) as second,
        run_sidecar(first.address, second.address, settings=settings) as sidecar,
    ):
        # The policy's clock never reaches the deadline, but the event loop's timer fires.
        stop_clock(sidecar.dispatcher.clock)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes(deadline="0.2"))).status == 503
        assert len(sidecar.dispatcher.upstream.background_attempts) == 1
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.TIMEOUT
        further = await sidecar.wait_for_event(
            lambda event: isinstance(event, AttemptCompleted) and event.attempt_index == 1
        )
        assert further.outcome == AttemptOutcome.NOT_SENT
        assert first.connection_count + second.connection_count == 1


@async_test
async def test_attempt_keeps_its_connection_after_client_disconnected() -> None:
    may_answer = asyncio.Event()

    async def answer_later(_request: ReceivedRequest) -> bytes:
        await may_answer.wait()
        return ok_response()

    async with run_endpoint(answer_later) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        client.writer.write(request_bytes())
        await endpoint.request_arrived.wait()
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        may_answer.set()
        assert (await sidecar.wait_for_event(is_attempt_completed)).request_finished
        next_client = await sidecar.connect_client()
        assert (await next_client.exchange(request_bytes())).status == 200
        assert endpoint.connection_count == 1
        assert len(endpoint.received_requests) == 2


@async_test
async def test_request_is_not_retried_after_client_disconnected() -> None:
    may_answer = asyncio.Event()

    async def reject_request(_request: ReceivedRequest) -> bytes:
        await may_answer.wait()
        return b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

    async with (
        run_endpoint(reject_request) as first,
        run_endpoint(reject_request) as second,
        run_sidecar(first.address, second.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        client.writer.write(request_bytes())
        await wait_until(lambda: first.received_requests or second.received_requests)
        client.writer.close()
        await sidecar.wait_for_event(lambda event: isinstance(event, ClientDisconnected))
        may_answer.set()
        completed = await sidecar.wait_for_event(is_attempt_completed)
        assert (completed.outcome, completed.request_finished) == (AttemptOutcome.REJECTED, True)
        assert not sidecar.dispatcher.request_registry.in_flight
        assert len(first.received_requests) + len(second.received_requests) == 1


@async_test
async def test_stale_events_and_actions_are_ignored() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes())).status == 200
        completed = await sidecar.wait_for_event(is_attempt_completed)
        for stale_event in (
            completed,
            ClientDisconnected(completed.request_id),
            TimerFired(completed.request_id + 1),
            TimerFired(77),
        ):
            sidecar.dispatcher.dispatch(stale_event)
        # The request is finished, so the attempt must not start.
        sidecar.dispatcher.execute(StartAttempt(completed.request_id, completed.endpoint_id, 0))
        assert (await client.exchange(request_bytes())).status == 200
        assert len(endpoint.received_requests) == 2


@async_test
async def test_client_error_is_neither_retried_nor_counted_as_failure() -> None:
    """An invalid request fails at every endpoint, so its failure must not count against the endpoints."""

    async def answer_bad_request(_request: ReceivedRequest) -> bytes:
        return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"

    async with (
        run_endpoint(answer_bad_request) as first,
        run_endpoint(answer_bad_request) as second,
        run_sidecar(first.address, second.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        for request_count in range(1, 5):
            assert (await client.exchange(request_bytes())).status == 503
            assert len(first.received_requests) + len(second.received_requests) == request_count
        states = sidecar.balancer.membership.endpoints.values()
        for state in states:
            assert (state.failure_rate.overall, state.ejection.consecutive_failures, state.in_flight) == (
                0.0,
                0,
                0,
            )
        assert len(states) == 2


@async_test
async def test_response_of_the_sidecar_is_logged_with_its_request_and_endpoint(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG, logger="balancer.sidecar.requests")
    async with run_sidecar(unreachable_address()) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post", request_id="9b1f"))).status == 503
    [line] = [message for message in caplog.messages if message.startswith("request_answered ")]
    endpoint_id = derive_endpoint_id("s-0").hex()
    assert re.fullmatch(
        r"request_answered request=1 answer=rejected client_request_id=b'9b1f' attempts=[1-5] "
        rf"last_endpoint={endpoint_id} last_outcome=CONNECT_FAILED may_have_run=False",
        line,
    )


# ---- forbidden actions and exceptions of a policy


def replace_policy(sidecar: Sidecar, policy: Policy) -> None:
    """Replace the policy of a sidecar."""
    sidecar.balancer = cast(Balancer, policy)


class ViolatingPolicy:
    """Sends each request to one endpoint, and returns a forbidden action after the attempt.

    Args:
        endpoint_id: The endpoint of all attempts.
        after_attempt: Returns the action for the request with this id after its attempt has ended.
    """

    def __init__(self, endpoint_id: bytes, after_attempt: Callable[[int], Action]) -> None:
        self._endpoint_id = endpoint_id
        self._after_attempt = after_attempt

    def handle(self, _now_ns: int, event: Event) -> list[Action]:
        """Start an attempt for a new request and return the forbidden action after it.

        The request fails once an attempt is not sent.
        """
        if isinstance(event, RequestReceived):
            return [self.start_attempt(event.request_id)]
        if not isinstance(event, AttemptCompleted) or event.request_finished:
            return []
        if event.outcome == AttemptOutcome.NOT_SENT:
            return [FailRequest(event.request_id)]
        return [self._after_attempt(event.request_id)]

    def start_attempt(self, request_id: int) -> StartAttempt:
        """Return the action that starts an attempt of the request."""
        return StartAttempt(request_id, self._endpoint_id, 0, 0)


async def answer_error(_request: ReceivedRequest) -> bytes:
    """Script: answer with status 500."""
    return status_response(500)


@async_test
async def test_rejection_of_request_that_may_have_run_becomes_failure_and_is_counted() -> None:
    async with run_endpoint(answer_error) as endpoint, run_sidecar(endpoint.address) as sidecar:
        policy = ViolatingPolicy(derive_endpoint_id("s-0"), lambda request_id: RejectRequest(request_id, 0))
        replace_policy(sidecar, policy)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 502
        assert sidecar.dispatcher.metrics.value(Metric.VIOLATIONS, Invariant.REJECTION_SAFE) == 1


@async_test
async def test_forbidden_retry_is_not_sent_but_counted() -> None:
    async with run_endpoint(answer_error) as endpoint, run_sidecar(endpoint.address) as sidecar:
        endpoint_id = derive_endpoint_id("s-0")
        policy = ViolatingPolicy(endpoint_id, lambda request_id: StartAttempt(request_id, endpoint_id, 0, 0))
        replace_policy(sidecar, policy)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 502
        assert len(endpoint.received_requests) == 1
        assert sidecar.dispatcher.metrics.value(Metric.VIOLATIONS, Invariant.RETRY_ALLOWED) == 1


@async_test
async def test_failed_action_does_not_prevent_the_next_one() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        unknown_action = cast(Action, object())
        endpoint_id = derive_endpoint_id("s-0")

        class FaultyPolicy:
            def handle(self, _now_ns: int, event: Event) -> list[Action]:
                if isinstance(event, RequestReceived):
                    return [unknown_action, StartAttempt(event.request_id, endpoint_id, 0, 0)]
                return []

        replace_policy(sidecar, FaultyPolicy())
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes())).status == 200


@async_test
async def test_retry_within_the_group_of_the_first_endpoint_is_sent() -> None:
    """The guard takes the deduplication groups of the endpoints from the endpoint list."""
    responses = [status_response(500), ok_response()]

    async def answer_error_first(_request: ReceivedRequest) -> bytes:
        return responses.pop(0)

    deduplicated_class = {"Name": "post", "Effect": "dedup", "KeyScope": "cell", "WindowNs": 5 * SECOND_NS}
    async with (
        run_endpoint(answer_error_first) as endpoint,
        run_sidecar(endpoint.address, settings=settings_with_overrides({}, deduplicated_class)) as sidecar,
    ):
        endpoint_id = derive_endpoint_id("s-0")
        policy = ViolatingPolicy(endpoint_id, lambda request_id: StartAttempt(request_id, endpoint_id, 0, 0))
        replace_policy(sidecar, policy)
        client = await sidecar.connect_client()
        raw = request_bytes("post", extra_headers=b"Idempotency-Key: 7\r\n")
        assert (await client.exchange(raw)).status == 200
        assert sidecar.dispatcher.metrics.value(Metric.VIOLATIONS, Invariant.RETRY_ALLOWED) == 0


@async_test
async def test_refused_attempt_is_logged_with_its_request_and_endpoint(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG, logger="balancer.sidecar")
    async with run_endpoint(answer_error) as endpoint, run_sidecar(endpoint.address) as sidecar:
        endpoint_id = derive_endpoint_id("s-0")
        policy = ViolatingPolicy(endpoint_id, lambda request_id: StartAttempt(request_id, endpoint_id, 0, 0))
        replace_policy(sidecar, policy)
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 502
    fields = f"request=1 endpoint={endpoint_id.hex()}"
    assert f"attempt_refused {fields} reason=repeat_forbidden" in caplog.messages
    [violation] = [message for message in caplog.messages if message.startswith("invariant_violated ")]
    assert re.fullmatch(
        rf"invariant_violated invariant=repeat_allowed {fields} "
        r"class=post group=0/1 executing_group=0/1 after_window_ms=\+\d+\.\d",
        violation,
    )

"""Tests of the guard that checks each attempt and each rejection, whatever the policy decides."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, cast

import pytest

from balancer.policy_api import (
    AttemptOutcome,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    Idempotency,
    RequestClass,
    Settings,
)
from balancer.sidecar.requests.attempt_guard import MAX_START_DELAY_NS, AttemptGuard, AttemptRefusal
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.requests.in_flight_request import InFlightRequest
from balancer.sidecar.runtime.metrics import Invariant, Metric, Metrics
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.attempt import Attempt
from balancer.time_units import SECOND_NS
from tests.sidecar.event_loop import async_test

WINDOW_NS = SECOND_NS // 2
CLASSES = {
    "read": RequestClass("read", SECOND_NS, 9 * SECOND_NS, 1.0),
    "write": RequestClass("write", SECOND_NS, 9 * SECOND_NS, 1.0, idempotency=Idempotency.NOT_IDEMPOTENT),
    **{
        scope.name.lower(): RequestClass(
            scope.name.lower(),
            SECOND_NS,
            9 * SECOND_NS,
            1.0,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            deduplication_scope=scope,
            deduplication_window_ns=WINDOW_NS,
        )
        for scope in DeduplicationScope
    },
}
CLASS_NAMES = list(CLASSES)
SETTINGS = Settings(classes=tuple(CLASSES.values()), max_attempts=3)
ENDPOINTS = {
    b"first": (0, 0),
    b"same cell": (0, 0),
    b"same zone": (0, 1),
    b"elsewhere": (1, 0),
}


class StubSink:
    """A response sink that implements only the checks of whether the client has disconnected."""

    def __init__(self) -> None:
        self.client_disconnected = False
        self.client_uncertain = False

    def is_disconnected(self) -> bool:
        """Return the value that the test has set."""
        return self.client_disconnected

    def may_be_disconnected(self) -> bool:
        """Return the value that the test has set."""
        return self.client_uncertain


@dataclass(slots=True)
class GuardedRequest:
    """A guard, and a request that it checks."""

    guard: AttemptGuard
    metrics: Metrics
    request: InFlightRequest
    sink: StubSink

    def refusal(self, endpoint_id: bytes = b"first", now_ns: int = 0) -> AttemptRefusal | None:
        """Check with the guard whether an attempt may start, and record a refusal as the runner does."""
        refusal = self.guard.refusal(self.request, endpoint_id, now_ns)
        if refusal is not None:
            self.guard.record_refusal(refusal, self.request, endpoint_id, now_ns)
        return refusal

    def may_reject(self) -> bool:
        """Check with the guard whether the request may be rejected, and record a forbidden rejection."""
        is_allowed = self.guard.may_reject(self.request)
        if not is_allowed:
            self.guard.record_unsafe_rejection(self.request)
        return is_allowed

    def complete_attempt(self, outcome: AttemptOutcome) -> None:
        """Record an attempt at the first endpoint, at time 0, with this outcome."""
        self.request.attempt_count += 1
        self.request.attempt_group = self.guard.group_of(b"first")
        self.request.record_outcome(outcome)

    def violations(self, invariant: Invariant) -> int:
        """Return the number of recorded violations of an invariant."""
        return self.metrics.value(Metric.VIOLATIONS, invariant)


def guarded_request(class_name: str = "read") -> GuardedRequest:
    """Return a guard that knows the endpoints, and a request of this class without any attempt."""
    metrics = Metrics()
    guard = AttemptGuard(SETTINGS, metrics)
    guard.update_endpoints(
        (
            Endpoint(name, zone, 0, cell, EndpointHealth.READY, 1.0, 0)
            for name, (zone, cell) in ENDPOINTS.items()
        ),
        is_snapshot=True,
    )
    loop = asyncio.get_running_loop()
    client_request = ClientRequest(
        b"id", CLASS_NAMES.index(class_name), 0, 0, 9 * SECOND_NS, 0, False, b"", b""
    )
    sink = StubSink()
    request = InFlightRequest(
        1,
        cast(ResponseSink, sink),
        client_request,
        9 * SECOND_NS,
        OneShotTimer(loop),
        OneShotTimer(loop),
    )
    return GuardedRequest(guard, metrics, request, sink)


@async_test
async def test_first_attempt_may_start() -> None:
    assert guarded_request("write").refusal() is None


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"answered": True}, AttemptRefusal.ANSWERED),
        ({"expires_at_ns": 0}, AttemptRefusal.EXPIRED),
        ({"expires_at_ns": 0, "has_background_attempt": True}, AttemptRefusal.EXPIRED),
        ({"attempt_count": 3}, AttemptRefusal.ATTEMPTS_EXHAUSTED),
        ({"attempt": cast(Attempt, object())}, AttemptRefusal.IN_FLIGHT),
        ({"has_background_attempt": True}, AttemptRefusal.IN_FLIGHT),
    ],
)
@async_test
async def test_attempt_may_not_start(changes: dict[str, Any], expected: AttemptRefusal) -> None:
    refused = guarded_request()
    for name, value in changes.items():
        setattr(refused.request, name, value)
    assert refused.refusal() == expected
    assert refused.violations(Invariant.ONE_ATTEMPT) == (expected == AttemptRefusal.IN_FLIGHT)


@async_test
async def test_attempt_may_not_start_for_disconnected_client() -> None:
    disconnected = guarded_request()
    disconnected.sink.client_disconnected = True
    assert disconnected.refusal() == AttemptRefusal.CLIENT_DISCONNECTED
    # The guard only checks; the runner abandons the request.
    assert not disconnected.request.answered


@async_test
async def test_attempt_may_not_start_for_client_that_may_have_left() -> None:
    uncertain = guarded_request()
    uncertain.sink.client_uncertain = True
    assert uncertain.refusal() == AttemptRefusal.CLIENT_UNCERTAIN
    uncertain.request.answered = True
    assert uncertain.refusal() == AttemptRefusal.ANSWERED


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
@async_test
async def test_request_that_is_not_idempotent_is_retried_only_if_never_executed(
    outcome: AttemptOutcome,
) -> None:
    retried = guarded_request("write")
    retried.complete_attempt(outcome)
    never_executed = outcome in (
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.NOT_SENT,
    )
    assert (retried.refusal() is None) == never_executed
    assert retried.violations(Invariant.RETRY_ALLOWED) == (not never_executed)
    assert retried.may_reject() == never_executed


@pytest.mark.parametrize(
    ("class_name", "allowed"),
    [
        ("read", set(ENDPOINTS)),
        ("all", set(ENDPOINTS)),
        ("zone", {b"first", b"same cell", b"same zone"}),
        ("cell", {b"first", b"same cell"}),
        ("write", set()),
    ],
)
@async_test
async def test_retry_may_start_only_at_endpoints_that_drop_duplicates(
    class_name: str, allowed: set[bytes]
) -> None:
    retried = guarded_request(class_name)
    retried.complete_attempt(AttemptOutcome.TIMEOUT)
    assert {name for name in ENDPOINTS if retried.refusal(name) is None} == allowed


@async_test
async def test_group_of_first_endpoint_is_kept_after_it_is_removed() -> None:
    retried = guarded_request("cell")
    retried.complete_attempt(AttemptOutcome.CONNECTION_RESET)
    remaining = Endpoint(b"same cell", 0, 0, 0, EndpointHealth.READY, 1.0, 0)
    retried.guard.update_endpoints([remaining], is_snapshot=True)
    assert retried.refusal(b"same cell") is None
    assert retried.refusal(b"first") == AttemptRefusal.RETRY_FORBIDDEN


@async_test
async def test_group_of_endpoint_that_a_delta_removes_is_discarded() -> None:
    # Guards against: memory grows with every endpoint that has ever been listed.
    retried = guarded_request("all")
    removed = Endpoint(b"first", 0, 0, 0, EndpointHealth.REMOVED, 1.0, 0)
    retried.guard.update_endpoints([removed], is_snapshot=False)
    assert retried.guard.group_of(b"first") is None
    assert retried.guard.group_of(b"same cell") is not None


@async_test
async def test_retry_at_endpoint_removed_in_the_meantime_is_refused_but_no_violation() -> None:
    retried = guarded_request("cell")
    retried.complete_attempt(AttemptOutcome.TIMEOUT)
    removed = Endpoint(b"same cell", 0, 0, 0, EndpointHealth.REMOVED, 1.0, 0)
    retried.guard.update_endpoints([removed], is_snapshot=False)
    # The policy has not seen the removal yet.
    assert retried.refusal(b"same cell") == AttemptRefusal.RETRY_FORBIDDEN
    assert retried.violations(Invariant.RETRY_ALLOWED) == 0


@async_test
async def test_retry_after_window_is_refused_and_is_a_violation_only_after_start_delay() -> None:
    retried = guarded_request("all")
    retried.complete_attempt(AttemptOutcome.TIMEOUT)
    assert retried.refusal(now_ns=WINDOW_NS - 1) is None
    assert retried.refusal(now_ns=WINDOW_NS) == AttemptRefusal.RETRY_FORBIDDEN
    assert retried.violations(Invariant.RETRY_ALLOWED) == 0
    assert retried.refusal(now_ns=WINDOW_NS + MAX_START_DELAY_NS) == AttemptRefusal.RETRY_FORBIDDEN
    assert retried.violations(Invariant.RETRY_ALLOWED) == 1


@pytest.mark.parametrize(
    ("class_name", "is_safe"),
    [("read", True), ("all", True), ("zone", False), ("cell", False), ("write", False)],
)
@async_test
async def test_rejection_after_possible_execution(class_name: str, is_safe: bool) -> None:
    executed = guarded_request(class_name)
    executed.complete_attempt(AttemptOutcome.SERVER_ERROR)
    assert executed.may_reject() == is_safe
    assert executed.violations(Invariant.REJECTION_SAFE) == (not is_safe)

"""Tests of `balancer.policy.requests.retry`: which requests are retried, where, and how often."""

from __future__ import annotations

import pytest

from balancer.policy.requests import retry
from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    AttemptOutcome,
    DeduplicationScope,
    FailRequest,
    Idempotency,
    RejectRequest,
    StartAttempt,
)
from balancer.time_units import MILLISECOND_NS
from tests.builders import endpoint, endpoint_number, request_class, request_received, settings
from tests.policy.harness import BalancerHarness, actions_of


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize(
    "outcome", [outcome for outcome in AttemptOutcome if outcome != AttemptOutcome.SUCCESS]
)
def test_action_after_a_failure_depends_on_idempotency(
    idempotency: Idempotency, outcome: AttemptOutcome
) -> None:
    harness = BalancerHarness(
        settings(request_class(idempotency=idempotency, late_response_value=0.5)), endpoint_count=8
    )
    for _ in range(30):
        harness.complete(harness.start_attempt())
    attempt = harness.start_attempt()
    harness.now_ns += 50 * MILLISECOND_NS
    [action] = harness.complete(attempt, outcome, 50 * MILLISECOND_NS)
    if outcome == AttemptOutcome.NOT_SENT:
        assert isinstance(action, RejectRequest)
    elif outcome == AttemptOutcome.CLIENT_ERROR:
        # Any other endpoint would find the request invalid too; a rejection promises that a retry is safe.
        is_idempotent = idempotency == Idempotency.IDEMPOTENT
        assert isinstance(action, RejectRequest if is_idempotent else FailRequest)
    elif idempotency == Idempotency.NOT_IDEMPOTENT and outcome not in OUTCOMES_NEVER_EXECUTED:
        assert isinstance(action, FailRequest)
    else:
        assert isinstance(action, StartAttempt)
        assert action.endpoint_id != attempt.endpoint_id


@pytest.mark.parametrize(
    ("scope", "group_count"), [(DeduplicationScope.ZONE, 2), (DeduplicationScope.CELL, 4)]
)
def test_keyed_request_is_retried_within_its_deduplication_group_and_window(
    scope: DeduplicationScope, group_count: int
) -> None:
    keyed = request_class(
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window_ns=200 * MILLISECOND_NS,
        late_response_value=0.5,
    )
    harness = BalancerHarness(settings(keyed, zone_count=2), endpoint_count=0)
    harness.update_endpoints(*(endpoint(number, zone=number % 2, cell=number % 4) for number in range(1, 17)))

    def fail_attempt_after(duration_ns: int) -> tuple[StartAttempt, object]:
        for _ in range(30):
            harness.complete(harness.start_attempt())
        attempt = harness.start_attempt()
        harness.now_ns += duration_ns
        [action] = harness.complete(attempt, AttemptOutcome.SERVER_ERROR, duration_ns)
        return attempt, action

    first, second = fail_attempt_after(50 * MILLISECOND_NS)
    assert isinstance(second, StartAttempt)
    first_number, second_number = endpoint_number(first.endpoint_id), endpoint_number(second.endpoint_id)
    assert second_number % group_count == first_number % group_count
    _, response = fail_attempt_after(250 * MILLISECOND_NS)
    assert isinstance(response, FailRequest)  # a rejection would promise that a retry is safe


def test_retries_keep_to_the_budget_and_stop_during_overload() -> None:
    harness = BalancerHarness(settings(request_class(late_response_value=0.5)), endpoint_count=8)
    retries = 0
    for _ in range(200):
        attempt = harness.start_attempt()
        harness.now_ns += 5 * MILLISECOND_NS
        actions = harness.complete(attempt, AttemptOutcome.SERVER_ERROR, 5 * MILLISECOND_NS)
        retries += len(actions_of(StartAttempt, actions))
    assert 0 < retries <= 200 * retry.TOKENS_PER_REQUEST + retry.BUCKET_CAPACITY + 1
    harness.balancer.overload.queueing_delay = 9.0
    harness.balancer.retry.tokens = 5.0
    assert not actions_of(StartAttempt, harness.complete(harness.start_attempt(), AttemptOutcome.TIMEOUT))


def test_client_retry_that_comes_too_late_is_rejected(harness: BalancerHarness) -> None:
    """The response to a late retry has no value, and serving it takes capacity from requests in time."""
    harness.complete(harness.start_attempt(time_left_ns=1500 * MILLISECOND_NS))
    # The client has waited one of its two seconds, and the latency objective is half a second.
    expires_at_ns = harness.now_ns + 1000 * MILLISECOND_NS
    late_retry = request_received(900, expires_at_ns, is_retry=True)
    assert isinstance(harness.handle(late_retry)[0], RejectRequest)
    first_try = request_received(901, expires_at_ns)
    assert isinstance(harness.handle(first_try)[0], StartAttempt)

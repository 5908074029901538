"""Tests of `balancer.policy.balancer`: requests that need no final response."""

from __future__ import annotations

from balancer.policy_api import AttemptOutcome, StreamStarted
from balancer.time_units import SECOND_NS
from tests.builders import attempt_completed, request_class, settings
from tests.policy.harness import BalancerHarness


def test_started_stream_has_no_deadline_and_is_not_retried() -> None:
    harness = BalancerHarness(settings(request_class(late_answer_value=0.5)), endpoint_count=8)
    attempt = harness.start_attempt()
    assert harness.handle(StreamStarted(attempt.request_id)) == []
    harness.now_ns += 30 * SECOND_NS
    harness.tick()
    assert harness.threshold == 0
    assert not harness.balancer.requests
    reset = attempt_completed(
        attempt.request_id,
        attempt.endpoint_id,
        AttemptOutcome.CONNECTION_RESET,
        30 * SECOND_NS,
        request_finished=True,
    )
    assert harness.handle(reset) == []
    assert harness.balancer.accounting.in_flight == 0

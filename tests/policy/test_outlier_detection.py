"""Tests of `balancer.policy.endpoints.outlier_detection`: the ejection of endpoints and their return."""

from __future__ import annotations

import pytest

from balancer.policy.endpoints import outlier_detection
from balancer.policy.endpoints.ejection_state import EjectionState
from balancer.policy.endpoints.endpoint_estimates import UNRESPONSIVE_AFTER_NS
from balancer.policy.selection import subset
from balancer.policy_api import AttemptOutcome, StartAttempt, StartHealthCheck
from balancer.time_units import HOUR_NS, MILLISECOND_NS, SECOND_NS
from tests.builders import request_class, settings
from tests.policy.harness import BalancerHarness, actions_of


def test_at_most_half_of_the_subset_is_ejected() -> None:
    """If nearly all endpoints fail, the cause is common: requests are rejected, but half the subset stays."""
    harness = BalancerHarness(settings(max_attempts=1), endpoint_count=subset.MIN_SUBSET_SIZE_UNPRICED)
    for _ in range(300):
        harness.now_ns += 5 * MILLISECOND_NS
        action = harness.request()
        if isinstance(action, StartAttempt):
            harness.complete(action, AttemptOutcome.CONNECT_FAILED, 3 * MILLISECOND_NS)
    assert isinstance(harness.request(), StartAttempt)
    assert len(harness.subset) >= subset.MIN_SUBSET_SIZE_UNPRICED // 2


def test_half_of_the_endpoints_stay_when_the_target_size_exceeds_their_number() -> None:
    """Half of a target size of ninety would let all eight be ejected but one, which gets the whole load."""
    harness = BalancerHarness(settings(max_attempts=1), endpoint_count=8)
    attempts = [harness.start_attempt() for _ in range(60)]
    harness.tick()
    assert harness.balancer.subsets.target_size() > 2 * 8
    for attempt in attempts:
        harness.complete(attempt, AttemptOutcome.CONNECTION_RESET)
    assert len(harness.ejected_endpoints) > 4
    harness.balancer.subsets.select(harness.now_ns)
    assert len(harness.subset) == 4


def test_recent_success_protects_from_ejection() -> None:
    harness = BalancerHarness(settings(), endpoint_count=8)
    flaky = harness.endpoint(1)
    for _ in range(20):
        for outcome in (AttemptOutcome.SUCCESS, AttemptOutcome.CONNECTION_RESET):
            harness.now_ns += 10 * MILLISECOND_NS
            harness.record_outcome(flaky, outcome, 10 * MILLISECOND_NS)
        assert not flaky.ejection.until_ns
    # At hundreds of requests per second a partly failing endpoint often has several consecutive failures.
    for _ in range(outlier_detection.FAILURES_TO_EJECT):
        harness.record_outcome(flaky, AttemptOutcome.SERVER_ERROR)
    assert not flaky.ejection.until_ns
    for _ in range(outlier_detection.FAILURES_TO_EJECT):
        harness.now_ns += outlier_detection.SUCCESS_PROTECTION_NS
        harness.record_outcome(flaky, AttemptOutcome.CONNECTION_RESET)
    assert flaky.ejection.until_ns > harness.now_ns
    harness.now_ns += HOUR_NS
    flaky.ejection.end(0)  # no requests since: the reset is the last outcome
    harness.record_outcome(flaky, AttemptOutcome.CONNECTION_RESET)
    assert flaky.ejection.until_ns > harness.now_ns


@pytest.mark.parametrize(
    ("connects_fail_often", "failures_to_eject"),
    [(False, 1), (True, outlier_detection.FAILURES_TO_EJECT)],
)
def test_single_connect_failure_ejects_unless_connects_fail_often(
    connects_fail_often: bool, failures_to_eject: int
) -> None:
    """If a third of all connects fail, single failures eject half the endpoints and overload the others."""
    harness = BalancerHarness(
        settings(request_class(late_response_value=0.5), max_attempts=1), endpoint_count=8
    )
    for index in range(400):
        harness.now_ns += 20 * MILLISECOND_NS
        fails = connects_fail_often and index % 3 == 0
        outcome = AttemptOutcome.CONNECT_FAILED if fails else AttemptOutcome.SUCCESS
        harness.complete(harness.start_attempt(), outcome, 15 * MILLISECOND_NS)
    target = harness.endpoint(1)
    target.ejection = EjectionState()
    target.responses.last_success_ns = harness.now_ns
    harness.now_ns += SECOND_NS
    for _ in range(failures_to_eject):
        assert target.ejection.until_ns <= harness.now_ns
        harness.record_outcome(target, AttemptOutcome.CONNECT_FAILED, 150 * MILLISECOND_NS)
    assert target.ejection.until_ns > harness.now_ns


def test_endpoint_that_rejects_everything_is_ejected_and_no_sign_of_overload() -> None:
    """An endpoint may drain before the list says so; its fast rejections would attract more requests."""
    harness = BalancerHarness(settings(), endpoint_count=8)
    draining = harness.endpoint(1)
    harness.now_ns += SECOND_NS
    for _ in range(outlier_detection.REJECTIONS_TO_EJECT):
        assert not draining.ejection.until_ns
        harness.record_outcome(draining, AttemptOutcome.REJECTED)
    assert draining.ejection.until_ns > harness.now_ns
    attempt = harness.start_attempt()
    request = harness.balancer.requests[attempt.request_id]
    harness.record_outcome(draining, AttemptOutcome.REJECTED, request=request)
    assert sum(evidence.sample_count for evidence in harness.balancer.overload.queueing.evidence) == 0


def test_ejected_endpoint_returns_after_successful_health_check() -> None:
    harness = BalancerHarness(
        settings(health_checks_enabled=True, gossip_enabled=True, sidecar_count=2), endpoint_count=4
    )
    unresponsive = harness.endpoint(1)
    unresponsive.in_flight = outlier_detection.MIN_IN_FLIGHT_TO_EJECT
    unresponsive.responses.restart_wait(harness.now_ns)
    harness.tick()
    assert unresponsive.ejection.until_ns <= harness.now_ns
    harness.tick(UNRESPONSIVE_AFTER_NS / SECOND_NS)
    assert unresponsive.ejection.until_ns > harness.now_ns
    health_checks: list[StartHealthCheck] = []
    while not health_checks:
        harness.balancer.subsets.select(harness.now_ns)
        assert unresponsive not in harness.subset
        health_checks = actions_of(StartHealthCheck, harness.tick(0.1))
    assert health_checks == [StartHealthCheck(unresponsive.id)]
    harness.complete_health_check(unresponsive.id, AttemptOutcome.TIMEOUT, 500 * MILLISECOND_NS)
    assert unresponsive.ejection.until_ns > harness.now_ns + outlier_detection.MIN_EJECTION_NS
    while not actions_of(StartHealthCheck, harness.tick(0.1)):
        pass
    harness.complete_health_check(unresponsive.id, duration_ns=5 * MILLISECOND_NS)
    harness.balancer.subsets.select(harness.now_ns)
    assert unresponsive in harness.subset

"""Tests of `balancer.policy.membership`: endpoint lists, drains, restarts and the polling of discovery."""

from __future__ import annotations

from itertools import pairwise

from balancer.policy_api import (
    AttemptOutcome,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    RejectRequest,
    WatchEndpoints,
)
from balancer.time_units import SECOND_NS
from tests.builders import START_NS, endpoint, endpoint_id, settings
from tests.policy.harness import BalancerHarness, actions_of


def test_draining_and_removed_endpoints_get_no_requests() -> None:
    harness = BalancerHarness(settings(), endpoint_count=2)
    harness.update_endpoints(endpoint(1, EndpointHealth.DRAINING), kind=EndpointUpdateKind.DELTA)
    assert {harness.start_attempt().endpoint_id for _ in range(20)} == {endpoint_id(2)}
    harness.update_endpoints(endpoint(1), kind=EndpointUpdateKind.SNAPSHOT)  # 2 is missing: removed
    assert {harness.start_attempt().endpoint_id for _ in range(20)} == {endpoint_id(1)}
    harness.update_endpoints(kind=EndpointUpdateKind.SNAPSHOT)
    assert isinstance(harness.request(), RejectRequest)


def test_removed_endpoint_is_forgotten_with_its_last_attempt() -> None:
    harness = BalancerHarness(settings(), endpoint_count=2)
    attempts = [harness.start_attempt() for _ in range(4)]
    harness.update_endpoints(kind=EndpointUpdateKind.SNAPSHOT)
    assert len(harness.endpoints) == 2
    for attempt in attempts:
        harness.complete(attempt)
    assert not harness.endpoints


def test_restarted_endpoint_loses_its_history() -> None:
    harness = BalancerHarness(settings(), endpoint_count=1)
    [target] = harness.endpoints
    harness.complete(harness.start_attempt(), AttemptOutcome.SERVER_ERROR)
    assert target.failure_rate > 0
    harness.update_endpoints(endpoint(1, started_at_ns=harness.now), kind=EndpointUpdateKind.DELTA)
    assert target.failure_rate == 0
    assert not target.last_answer_ns


def test_endpoint_of_an_unknown_zone_is_used() -> None:
    harness = BalancerHarness(settings(), endpoint_count=0)
    harness.update_endpoints(endpoint(1, zone=9))
    harness.complete(harness.start_attempt())


def test_discovery_is_polled_in_time_and_again_after_a_failure() -> None:
    harness = BalancerHarness(settings(polls_discovery=True, discovery_poll_window_ns=10 * SECOND_NS))
    polls: list[int] = []
    for _ in range(80):
        if actions_of(WatchEndpoints, harness.tick(0.25)):
            polls.append(harness.now)
            harness.handle(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
    gaps = [later - earlier for earlier, later in pairwise([START_NS, *polls])]
    assert len(polls) >= 3
    assert max(gaps) < 10 * SECOND_NS
    harness.update_endpoints(kind=EndpointUpdateKind.DELTA)
    assert not any(actions_of(WatchEndpoints, harness.tick(0.25)) for _ in range(60))


def test_first_polls_are_spread_over_instances() -> None:
    first_polls = set()
    for seed in range(20):
        harness = BalancerHarness(settings(polls_discovery=True), seed=seed)
        while not actions_of(WatchEndpoints, harness.tick(0.25)):
            pass
        first_polls.add(harness.now)
    assert len(first_polls) > 5

"""Tests of `balancer.policy.endpoints.membership`: endpoint lists, draining endpoints and restarts."""

from __future__ import annotations

from balancer.policy_api import AttemptOutcome, EndpointHealth, EndpointUpdateKind, RejectRequest
from tests.builders import endpoint, endpoint_id, settings
from tests.policy.harness import BalancerHarness


def test_draining_and_removed_endpoints_get_no_requests() -> None:
    harness = BalancerHarness(settings(), endpoint_count=2)
    harness.update_endpoints(endpoint(1, EndpointHealth.DRAINING), kind=EndpointUpdateKind.DELTA)
    assert {harness.start_attempt().endpoint_id for _ in range(20)} == {endpoint_id(2)}
    harness.update_endpoints(endpoint(1), kind=EndpointUpdateKind.SNAPSHOT)  # removes 2, which is missing
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
    assert target.failure_rate.overall > 0
    harness.update_endpoints(endpoint(1, started_at_ns=harness.now_ns), kind=EndpointUpdateKind.DELTA)
    assert target.failure_rate.overall == 0
    assert not target.latency_ratio.updated_at_ns


def test_endpoint_of_an_unknown_zone_is_used() -> None:
    """The zone number of the list exceeds the number of zones in the settings; it counts as the last one."""
    harness = BalancerHarness(settings(), endpoint_count=0)
    harness.update_endpoints(endpoint(1, zone=9))
    harness.complete(harness.start_attempt())

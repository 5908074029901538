"""Tests of `balancer.policy.endpoints.discovery_polling`: when discovery is polled."""

from __future__ import annotations

from itertools import pairwise

from balancer.policy_api import EndpointUpdate, EndpointUpdateKind, WatchEndpoints
from balancer.time_units import SECOND_NS
from tests.builders import START_NS, settings
from tests.policy.harness import BalancerHarness, actions_of


def test_discovery_is_polled_in_time_and_again_after_a_failure() -> None:
    """Without a retry after a failed poll the sidecar would never learn of changes of the endpoint list."""
    harness = BalancerHarness(settings(polls_discovery=True, discovery_poll_window_ns=10 * SECOND_NS))
    polls: list[int] = []
    for _ in range(80):
        if actions_of(WatchEndpoints, harness.tick(0.25)):
            polls.append(harness.now_ns)
            harness.handle(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
    gaps = [later - earlier for earlier, later in pairwise([START_NS, *polls])]
    assert len(polls) >= 3
    assert max(gaps) < 10 * SECOND_NS
    harness.update_endpoints(kind=EndpointUpdateKind.DELTA)
    assert not any(actions_of(WatchEndpoints, harness.tick(0.25)) for _ in range(60))


def test_first_polls_of_sidecars_are_spread_over_time() -> None:
    """Sidecars that start together would otherwise all poll discovery at the same time."""
    first_polls = set()
    for seed in range(20):
        harness = BalancerHarness(settings(polls_discovery=True), seed=seed)
        while not actions_of(WatchEndpoints, harness.tick(0.25)):
            pass
        first_polls.add(harness.now_ns)
    assert len(first_polls) > 5

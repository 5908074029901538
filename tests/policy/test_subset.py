"""Tests of `balancer.policy.selection.subset`: the size and the stability of the subset."""

from __future__ import annotations

from collections import Counter

from balancer.policy.selection import subset
from balancer.policy_api import EndpointHealth, EndpointUpdateKind
from tests.builders import endpoint, endpoint_number, settings
from tests.policy.harness import BalancerHarness


def test_subset_grows_with_requests_in_flight() -> None:
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    for _ in range(50):
        harness.complete(harness.start_attempt())
    assert len(harness.subset) == subset.MIN_SUBSET_SIZE_PRICED
    for _ in range(12):
        harness.start_attempt()
    harness.tick()
    harness.start_attempt()
    assert len(harness.subset) > subset.MIN_SUBSET_SIZE_PRICED + 10


def test_subset_grows_within_a_control_cycle_during_a_burst() -> None:
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    # As just after the start of a sidecar, there has been no response yet.
    attempts = Counter(harness.start_attempt().endpoint_id for _ in range(40))
    assert len(attempts) > 3 * subset.MIN_SUBSET_SIZE_PRICED, attempts
    assert max(attempts.values()) <= 4, attempts


def test_subset_does_not_grow_during_overload() -> None:
    """In overload attempts accumulate; a growing subset would need connections that add to the load."""
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    harness.complete(harness.start_attempt())
    harness.balancer.overload.queueing_delay = 2.0
    for _ in range(20):
        harness.request()
    harness.tick()
    harness.balancer.subsets.select(harness.now_ns)
    assert len(harness.subset) == subset.MIN_SUBSET_SIZE_PRICED


def test_removed_endpoint_is_replaced_and_the_others_stay() -> None:
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    harness.start_attempt()
    before = {member.id for member in harness.subset}
    removed = next(iter(before))
    harness.update_endpoints(
        endpoint(endpoint_number(removed), EndpointHealth.REMOVED), kind=EndpointUpdateKind.DELTA
    )
    harness.start_attempt()
    after = {member.id for member in harness.subset}
    assert len(before & after) == len(before) - 1
    assert removed not in after

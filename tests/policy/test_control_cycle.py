"""Tests of `balancer.policy.overload.control_cycle`: when a measurement cycle ends."""

from __future__ import annotations

from balancer.policy.overload import measurement_cycle
from tests.policy.harness import BalancerHarness


def test_cycle_ends_by_count_as_well_as_by_time(harness: BalancerHarness) -> None:
    for _ in range(measurement_cycle.MAX_ATTEMPTS_PER_CYCLE - 1):
        harness.complete(harness.start_attempt())
    assert harness.balancer.gossip.cycle_count == 0
    harness.complete(harness.start_attempt())
    assert harness.balancer.gossip.cycle_count == 1

"""Tests of `balancer.policy.selection.connection_budget`: the share of a sidecar and its adaptation."""

from __future__ import annotations

import pytest

from balancer.policy.selection import connection_budget
from balancer.policy_api import AttemptOutcome
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import settings
from tests.policy.harness import BalancerHarness


def test_connections_keep_to_the_share_of_a_sidecar() -> None:
    """With key affinity and large subsets, many sidecars would fill the endpoints' connection tables."""
    harness = BalancerHarness(settings(key_affinity=True, sidecar_count=100), endpoint_count=50)
    share = int(connection_budget.INITIAL_FAN_IN * 50 / 100)
    used = {harness.start_attempt(key_hash=key_hash).endpoint_id for key_hash in range(1, 200)}
    assert len(used) == share
    assert len(harness.balancer.accounting.connected) == share


def test_connect_failures_reduce_the_fan_in_for_a_while() -> None:
    harness = BalancerHarness(settings(key_affinity=True, sidecar_count=100), endpoint_count=50)
    budget = harness.balancer.budget
    for _ in range(5):  # within a second: one full connection table refuses several
        harness.complete(harness.start_attempt(), AttemptOutcome.CONNECT_FAILED, MILLISECOND_NS)
    assert budget.fan_in == pytest.approx(
        connection_budget.INITIAL_FAN_IN * connection_budget.FAN_IN_DECREASE
    )
    for _ in range(20):
        harness.now_ns += SECOND_NS
        harness.complete(harness.start_attempt(), AttemptOutcome.CONNECT_FAILED, MILLISECOND_NS)
    assert budget.fan_in == connection_budget.MIN_FAN_IN
    for _ in range(10):
        harness.tick(2)
    assert budget.fan_in == pytest.approx(
        connection_budget.MIN_FAN_IN + 10 * connection_budget.FAN_IN_INCREASE
    )

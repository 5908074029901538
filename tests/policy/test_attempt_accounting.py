"""Tests of `balancer.policy.selection.attempt_accounting`: closing connections that are not used any more."""

from __future__ import annotations

from balancer.policy.selection import subset
from balancer.policy_api import CloseIdleConnections, EndpointId
from tests.builders import settings
from tests.policy.harness import BalancerHarness, actions_of


def test_idle_connections_outside_the_subset_are_closed() -> None:
    """Connections of a burst would otherwise stay in the endpoints' connection tables until they time out."""
    harness = BalancerHarness(settings(), endpoint_count=30)
    attempts = [harness.start_attempt() for _ in range(60)]
    connected_in_burst = len(harness.balancer.accounting.connected)
    for attempt in attempts[1:]:
        harness.complete(attempt)
    closed: list[EndpointId] = []
    for _ in range(400):
        closed += [action.endpoint_id for action in actions_of(CloseIdleConnections, harness.tick(0.25))]
    assert connected_in_burst > 20
    assert len(harness.balancer.accounting.connected) <= subset.MIN_SUBSET_SIZE_UNPRICED + 2
    assert len(set(closed)) == len(closed)
    assert len(closed) == connected_in_burst - len(harness.balancer.accounting.connected)
    assert attempts[0].endpoint_id not in closed  # its attempt is in flight

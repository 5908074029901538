"""Tests of `balancer.policy.selection.zone_router`: the choice between the zones."""

from __future__ import annotations

from balancer.policy_api import StartAttempt
from tests.builders import endpoint, endpoint_number, request_class, settings
from tests.policy.harness import BalancerHarness


def is_remote(attempt: StartAttempt) -> bool:
    """Return whether an attempt goes to an endpoint with an odd number: these are in zone 1 here."""
    return endpoint_number(attempt.endpoint_id) % 2 == 1


def two_local_and_seven_remote_endpoints(
    cross_zone_price: float, connection_price: float = 0.0
) -> BalancerHarness:
    harness = BalancerHarness(
        settings(zone_count=2, cross_zone_price=cross_zone_price, connection_price=connection_price),
        endpoint_count=0,
    )
    harness.update_endpoints(*(endpoint(number, zone=int(number > 2)) for number in range(1, 10)))
    return harness


def start_local_attempts(harness: BalancerHarness, count: int) -> list[bool]:
    """Start attempts, and return for each whether it goes to endpoint 1 or 2, which are local here."""
    return [endpoint_number(harness.start_attempt().endpoint_id) <= 2 for _ in range(count)]


def test_local_zone_is_preferred_and_spillover_needs_enough_weight() -> None:
    low, high = request_class(priority_weight=1.0), request_class(priority_weight=9.0)
    harness = BalancerHarness(settings(low, high, zone_count=2, cross_zone_price=0.4), endpoint_count=0)
    harness.update_endpoints(*(endpoint(number, zone=number % 2) for number in range(1, 17)))
    assert not any(is_remote(harness.start_attempt(1)) for _ in range(8))
    harness.balancer.overload.spillover.ratio = 1.0
    assert all(is_remote(harness.start_attempt(1)) for _ in range(8))
    # The weight of class 0 does not exceed the price of crossing zones.
    assert not any(is_remote(harness.start_attempt(0)) for _ in range(8))


def test_less_loaded_remote_endpoints_take_what_local_ones_would_queue() -> None:
    """If the load of remote endpoints did not count, seven of them would be idle.

    The two local endpoints would get all requests, up to their connection limits.
    """
    harness = two_local_and_seven_remote_endpoints(cross_zone_price=0.016, connection_price=0.06)
    local = start_local_attempts(harness, 45)
    assert all(local[:2])  # idle local ones come first
    assert 8 <= sum(local) <= 12
    assert max(target.in_flight for target in harness.endpoints) <= 6


def test_higher_cross_zone_price_needs_a_larger_difference_in_load() -> None:
    harness = two_local_and_seven_remote_endpoints(cross_zone_price=0.3)
    assert all(start_local_attempts(harness, 6))
    assert not all(start_local_attempts(harness, 6))

"""Tests of `balancer.policy.balancer`: cycles, streams and the choice between the zones."""

from __future__ import annotations

from balancer.policy import overload
from balancer.policy_api import AttemptOutcome, StartAttempt, StreamStarted
from balancer.time_units import SECOND_NS
from tests.builders import attempt_completed, endpoint, endpoint_number, request_class, settings
from tests.policy.harness import BalancerHarness


def is_remote(attempt: StartAttempt) -> bool:
    """Tell whether an attempt goes to one of the odd numbers: those are in zone 1 here."""
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
    """Start attempts and tell for each whether it is local."""
    return [endpoint_number(harness.start_attempt().endpoint_id) <= 2 for _ in range(count)]


def test_cycle_ends_by_count_as_well_as_by_time(harness: BalancerHarness) -> None:
    for _ in range(overload.MAX_ATTEMPTS_PER_CYCLE - 1):
        harness.complete(harness.start_attempt())
    assert harness.balancer.gossip.cycle_count == 0
    harness.complete(harness.start_attempt())
    assert harness.balancer.gossip.cycle_count == 1


def test_started_stream_has_no_deadline_and_is_not_retried() -> None:
    harness = BalancerHarness(settings(request_class(late_answer_value=0.5)), endpoint_count=8)
    attempt = harness.start_attempt()
    assert harness.handle(StreamStarted(attempt.request_id)) == []
    harness.now += 30 * SECOND_NS
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
    assert harness.balancer.subsets.in_flight == 0


def test_local_zone_is_preferred_and_spillover_needs_enough_weight() -> None:
    low, high = request_class(priority_weight=1.0), request_class(priority_weight=9.0)
    harness = BalancerHarness(settings(low, high, zone_count=2, cross_zone_price=0.4), endpoint_count=0)
    harness.update_endpoints(*(endpoint(number, zone=number % 2) for number in range(1, 17)))
    assert not any(is_remote(harness.start_attempt(1)) for _ in range(8))
    harness.balancer.overload.spillover_ratio = 1.0
    assert all(is_remote(harness.start_attempt(1)) for _ in range(8))
    assert not any(is_remote(harness.start_attempt(0)) for _ in range(8))  # not worth the price


def test_less_loaded_remote_endpoints_take_what_local_ones_would_queue() -> None:
    """Otherwise two local endpoints hold all requests, up to their connection limits, while seven idle."""
    harness = two_local_and_seven_remote_endpoints(cross_zone_price=0.016, connection_price=0.06)
    local = start_local_attempts(harness, 45)
    assert all(local[:2])  # idle local ones come first
    assert 8 <= sum(local) <= 12
    assert max(target.in_flight for target in harness.endpoints) <= 6


def test_higher_cross_zone_price_needs_a_larger_difference_in_load() -> None:
    harness = two_local_and_seven_remote_endpoints(cross_zone_price=0.3)
    assert all(start_local_attempts(harness, 6))
    assert not all(start_local_attempts(harness, 6))

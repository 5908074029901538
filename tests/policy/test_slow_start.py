"""Tests of `balancer.policy.selection.slow_start`: how much of the traffic goes to warming endpoints."""

from __future__ import annotations

from collections import Counter

from balancer.policy_api import AttemptOutcome, StartAttempt
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import START_NS, endpoint, endpoint_number, request_class, settings
from tests.policy.harness import BalancerHarness, actions_of


def test_warming_endpoint_gets_traffic_by_its_capacity() -> None:
    """Many independent sidecars together must not overload an endpoint that has just started."""
    attempts_to_warming = 0
    for seed in range(100):
        harness = BalancerHarness(
            settings(sidecar_index=seed, sidecar_count=100), endpoint_count=0, seed=seed
        )
        harness.update_endpoints(
            *(
                endpoint(number, started_at_ns=START_NS - SECOND_NS if number == 1 else 0)
                for number in range(1, 9)
            )
        )
        attempts_to_warming += sum(harness.serve_request() == 1 for _ in range(40))
    fair_share, capacity = 4000 / 8, 0.3 + 0.7 / 8
    assert 0 < attempts_to_warming <= fair_share * capacity * 1.3


def test_mostly_warming_subset_keeps_to_its_capacity() -> None:
    """After a bulk restart a fixed share of the requests would exceed the capacity of each endpoint."""
    attempts = Counter[int]()
    for seed in range(100):
        harness = BalancerHarness(
            settings(sidecar_index=seed, sidecar_count=100, warming_overload_multiple=2.5),
            endpoint_count=0,
            seed=seed,
        )
        harness.update_endpoints(
            *(
                endpoint(number, started_at_ns=START_NS - SECOND_NS if number <= 6 else 0)
                for number in range(1, 9)
            )
        )
        for _ in range(12):
            attempts[harness.serve_request()] += 1
    # The two warm endpoints get all other requests, so they get at most 600 each on average.
    fair_share = 1200 * (0.3 + 0.7 / 8) / 2
    assert all(0 < attempts[number] < fair_share for number in range(1, 7)), attempts
    assert attempts[0] == 0  # none is rejected, as the warm endpoints serve the rest


def test_warming_endpoint_gets_a_minimum_rate_without_warm_ones() -> None:
    harness = BalancerHarness(settings(), endpoint_count=0)
    # A start time in the future, from a clock that differs, counts as a start just now.
    harness.update_endpoints(endpoint(1, started_at_ns=START_NS + 9 * SECOND_NS))
    assert not harness.serve_request()  # not at once, as all sidecars would send one
    served = 0
    for _ in range(12):
        harness.tick(0.25)
        served += bool(harness.serve_request())
    assert served == 3  # one request per second and endpoint from all sidecars together


def test_tokens_are_added_at_the_recent_rate_while_warm_endpoints_are_unresponsive() -> None:
    """By current responses alone the warming endpoint would be idle while the warm ones send none."""
    harness = BalancerHarness(settings(), endpoint_count=8)
    for _ in range(40):
        harness.serve_requests(8)
        harness.tick(0.25)
    harness.update_endpoints(
        *(endpoint(number, started_at_ns=harness.now_ns if number == 1 else 0) for number in range(1, 9))
    )
    attempts_to_warming = 0
    for tick_index in range(16):  # four seconds without a response of a warm endpoint
        harness.tick(0.25)
        for key_hash in range(1, 21):  # from many users, so that some are admitted
            action = harness.request(key_hash=100 * tick_index + key_hash)
            if isinstance(action, StartAttempt) and endpoint_number(action.endpoint_id) == 1:
                attempts_to_warming += 1
                harness.complete(action)
    mean_capacity = 0.3 + 0.7 / 4
    assert 3 <= attempts_to_warming <= 16 * mean_capacity * 1.2


def test_no_tokens_accumulate_before_a_bulk_restart() -> None:
    """Accumulated tokens of all sidecars, spent at once, would overload endpoints that just restarted."""
    harness = BalancerHarness(settings(), endpoint_count=8)
    harness.serve_requests(100)
    harness.update_endpoints(
        *(endpoint(number, started_at_ns=harness.now_ns if number < 5 else 0) for number in range(1, 9))
    )
    assert harness.serve_request() >= 5


def test_rejected_attempts_add_no_tokens() -> None:
    """With many retries, a fixed share of the attempts would exceed the capacity of warming endpoints."""
    harness = BalancerHarness(
        settings(request_class(late_response_value=0.5), max_attempts=1), endpoint_count=0
    )
    harness.update_endpoints(
        *(
            endpoint(number, started_at_ns=START_NS - SECOND_NS if number == 1 else 0)
            for number in range(1, 9)
        )
    )
    for _ in range(400):
        action = harness.request()
        if isinstance(action, StartAttempt):
            assert endpoint_number(action.endpoint_id) != 1
            harness.complete(action, AttemptOutcome.REJECTED, MILLISECOND_NS)


def test_warming_endpoints_get_no_further_attempts_of_a_request() -> None:
    """A retry needs a warm endpoint."""
    harness = BalancerHarness(settings(request_class(late_response_value=0.5)), endpoint_count=0)
    warming = (endpoint(number, started_at_ns=START_NS - 4 * SECOND_NS) for number in range(2, 9))
    harness.update_endpoints(endpoint(1), *warming)
    for _ in range(40):
        action = harness.request()
        if isinstance(action, StartAttempt) and endpoint_number(action.endpoint_id) == 1:
            actions = harness.complete(action, AttemptOutcome.SERVER_ERROR, 5 * MILLISECOND_NS)
            assert not actions_of(StartAttempt, actions)

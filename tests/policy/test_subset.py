"""Tests of `balancer.policy.subset`: the size of the subset, its connections and the pick of an endpoint."""

from __future__ import annotations

from collections import Counter

import pytest

from balancer.policy import subset
from balancer.policy_api import (
    AttemptOutcome,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointHealth,
    EndpointId,
    EndpointUpdateKind,
    Idempotency,
)
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import endpoint, endpoint_id, endpoint_number, request_class, settings
from tests.policy.harness import BalancerHarness, actions_of

# The size of the subset.


def test_subset_grows_with_requests_in_flight() -> None:
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    for _ in range(50):
        harness.complete(harness.start_attempt())
    assert len(harness.subset) == subset.MIN_SUBSET_SIZE
    for _ in range(12):
        harness.start_attempt()
    harness.tick()
    harness.start_attempt()
    assert len(harness.subset) > subset.MIN_SUBSET_SIZE + 10


def test_subset_grows_within_a_cycle_during_a_burst() -> None:
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    # As at a start: nothing has been answered yet.
    attempts = Counter(harness.start_attempt().endpoint_id for _ in range(40))
    assert len(attempts) > 3 * subset.MIN_SUBSET_SIZE, attempts
    assert max(attempts.values()) <= 4, attempts


def test_subset_does_not_grow_during_overload() -> None:
    """Requests pile up then, and each new connection would only cost the endpoints more."""
    harness = BalancerHarness(settings(connection_price=0.05), endpoint_count=40)
    harness.complete(harness.start_attempt())
    harness.balancer.overload.queueing_delay = 2.0
    for _ in range(20):
        harness.request()
    harness.tick()
    harness.balancer.subsets.select(harness.now)
    assert len(harness.subset) == subset.MIN_SUBSET_SIZE


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


# Connections.


def test_instances_agree_on_few_endpoints_for_a_key() -> None:
    """An endpoint that served a key does less work for it; with own subsets each would serve all keys."""
    endpoints_by_key: dict[int, set[EndpointId]] = {7: set(), 8: set(), 9: set()}
    for instance in range(12):
        harness = BalancerHarness(
            settings(key_affinity=True, instance_index=instance, instance_count=12),
            endpoint_count=40,
            seed=instance,
        )
        for key_hash, endpoints in endpoints_by_key.items():
            attempt = harness.start_attempt(key_hash=key_hash)
            endpoints.add(attempt.endpoint_id)
            harness.complete(attempt)
    assert all(len(endpoints) <= subset.ENDPOINTS_PER_KEY for endpoints in endpoints_by_key.values())
    assert len(set.union(*endpoints_by_key.values())) > subset.ENDPOINTS_PER_KEY


def test_connections_keep_to_the_share_of_an_instance() -> None:
    """With keys and a grown subset each of many instances would fill the endpoints' connection tables."""
    harness = BalancerHarness(settings(key_affinity=True, instance_count=100), endpoint_count=50)
    share = int(subset.INITIAL_FAN_IN * 50 / 100)
    used = {harness.start_attempt(key_hash=key_hash).endpoint_id for key_hash in range(1, 200)}
    assert len(used) == share
    assert len(harness.balancer.subsets.connected) == share


def test_connect_failures_reduce_the_fan_in_for_a_while() -> None:
    harness = BalancerHarness(settings(key_affinity=True, instance_count=100), endpoint_count=50)
    subsets = harness.balancer.subsets
    for _ in range(5):  # within a second: one full connection table refuses several
        harness.complete(harness.start_attempt(), AttemptOutcome.CONNECT_FAILED, MILLISECOND_NS)
    assert subsets.fan_in == pytest.approx(subset.INITIAL_FAN_IN * subset.FAN_IN_DECREASE)
    for _ in range(20):
        harness.now += SECOND_NS
        harness.complete(harness.start_attempt(), AttemptOutcome.CONNECT_FAILED, MILLISECOND_NS)
    assert subsets.fan_in == subset.MIN_FAN_IN
    for _ in range(10):
        harness.tick(2)
    assert subsets.fan_in == pytest.approx(subset.MIN_FAN_IN + 10 * subset.FAN_IN_INCREASE)


def test_idle_connections_outside_the_subset_are_closed() -> None:
    """Otherwise those of a burst stay in the endpoints' connection tables until they time out."""
    harness = BalancerHarness(settings(), endpoint_count=30)
    attempts = [harness.start_attempt() for _ in range(60)]
    connected_in_burst = len(harness.balancer.subsets.connected)
    for attempt in attempts[1:]:
        harness.complete(attempt)
    closed: list[EndpointId] = []
    for _ in range(400):
        closed += [action.endpoint_id for action in actions_of(CloseIdleConnections, harness.tick(0.25))]
    assert connected_in_burst > 20
    assert len(harness.balancer.subsets.connected) <= subset.MIN_FREE_SUBSET_SIZE + 2
    assert len(set(closed)) == len(closed)
    assert len(closed) == connected_in_burst - len(harness.balancer.subsets.connected)
    assert attempts[0].endpoint_id not in closed  # its attempt is in flight


# The pick of an endpoint.


def test_idle_endpoints_are_picked_first() -> None:
    harness = BalancerHarness(settings(), endpoint_count=20)
    picked = {harness.start_attempt().endpoint_id for _ in range(subset.MIN_FREE_SUBSET_SIZE)}
    assert len(picked) == subset.MIN_FREE_SUBSET_SIZE


def test_fastest_idle_endpoint_is_picked() -> None:
    harness = BalancerHarness(settings(), endpoint_count=8)
    fastest = endpoint_id(5)
    for _ in range(
        2
    ):  # the first answers give the mean of the class, the next ones each endpoint's ratio to it
        attempts = [harness.start_attempt() for _ in range(8)]
        assert len({attempt.endpoint_id for attempt in attempts}) == 8
        for attempt in attempts:
            duration_ms = 20 if attempt.endpoint_id == fastest else 60
            harness.complete(attempt, duration_ns=duration_ms * MILLISECOND_NS)
        harness.tick()
    for _ in range(20):
        attempt = harness.start_attempt()
        assert attempt.endpoint_id == fastest
        harness.complete(attempt, duration_ns=20 * MILLISECOND_NS)


def test_slow_endpoint_gets_less_traffic() -> None:
    harness = BalancerHarness(settings(), endpoint_count=8)
    slow = endpoint_id(1)
    picks = Counter[EndpointId]()
    for index in range(600):
        if index % 10 == 0:
            harness.tick(0.25)
        attempt = harness.start_attempt()
        picks[attempt.endpoint_id] += 1
        duration_ms = 300 if attempt.endpoint_id == slow else 60
        harness.complete(attempt, duration_ns=duration_ms * MILLISECOND_NS)
    assert picks[slow] < 600 / 8 / 2
    assert len(picks) == 8


def test_fast_failing_endpoint_loses_traffic() -> None:
    """It is never busy with our requests, so a choice by load alone would favour it."""
    harness = BalancerHarness(settings(), endpoint_count=8)
    failing = endpoint_id(1)
    picks = Counter[EndpointId]()
    for _ in range(400):
        harness.now += 20 * MILLISECOND_NS
        attempt = harness.start_attempt()
        picks[attempt.endpoint_id] += 1
        if attempt.endpoint_id == failing:
            harness.complete(attempt, AttemptOutcome.SERVER_ERROR, 2 * MILLISECOND_NS)
            harness.handle(ClientDisconnected(attempt.request_id))
        else:
            harness.complete(attempt, duration_ns=60 * MILLISECOND_NS)
    assert picks[failing] < 400 / 8 / 3, picks


def test_failing_endpoint_is_used_when_the_others_are_full() -> None:
    """While some endpoints drain, the rest would otherwise hold all requests, and be slower for it."""
    harness = BalancerHarness(settings(), endpoint_count=4)
    failing = harness.endpoint(1)
    for _ in range(40):
        harness.now += 50 * MILLISECOND_NS
        attempt = harness.start_attempt()
        if attempt.endpoint_id == failing.id:
            harness.complete(attempt, AttemptOutcome.SERVER_ERROR)
            harness.handle(ClientDisconnected(attempt.request_id))
        else:
            harness.complete(attempt)
    harness.now += 2 * SECOND_NS  # longer than a success protects from ejection
    for _ in range(12):
        harness.record_outcome(
            failing, AttemptOutcome.SERVER_ERROR, 5 * MILLISECOND_NS, request_finished=True
        )
    assert failing.ejected_until_ns <= harness.now
    harness.tick()
    first_picks = [harness.start_attempt().endpoint_id for _ in range(12)]
    assert failing.id not in first_picks
    assert failing.id in [harness.start_attempt().endpoint_id for _ in range(300)]


def test_fast_failing_idle_endpoint_is_not_preferred_to_busy_ones() -> None:
    """At hundreds of requests a second all others always hold some, and it is the only idle one."""
    harness = BalancerHarness(settings(), endpoint_count=4)
    failing = harness.endpoint(1)
    for _ in range(8):
        harness.complete(harness.start_attempt())
    failing.failure_rate = 0.6
    failing.last_answer_ns = harness.now
    harness.balancer.overload.latency.means_ns = [50 * MILLISECOND_NS]
    picks = Counter(harness.start_attempt().endpoint_id for _ in range(12))
    assert picks[failing.id] <= 1, picks


def test_non_idempotent_requests_avoid_failing_endpoints() -> None:
    non_idempotent = request_class(idempotency=Idempotency.NOT_IDEMPOTENT)
    harness = BalancerHarness(settings(request_class(), non_idempotent), endpoint_count=4)
    failing = harness.endpoint(1)
    failing.failure_rate = 0.3
    failing.last_answer_ns = harness.now
    picker = harness.balancer.picker
    idempotent_time_ns = picker.expected_time_ns(failing, 0, harness.now)
    assert picker.expected_time_ns(failing, 1, harness.now) > 3 * idempotent_time_ns

"""Tests of `balancer.policy.selection.endpoint_picker`: the pick by key, load, latency and failures."""

from __future__ import annotations

from collections import Counter

from balancer.policy.selection import endpoint_picker, subset
from balancer.policy_api import AttemptOutcome, ClientDisconnected, EndpointId, Idempotency
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import endpoint_id, request_class, settings
from tests.policy.harness import BalancerHarness


def test_sidecars_agree_on_few_endpoints_for_a_key() -> None:
    """An endpoint that served a key needs less work for it; by subsets alone each would serve all keys."""
    endpoints_by_key: dict[int, set[EndpointId]] = {7: set(), 8: set(), 9: set()}
    for sidecar in range(12):
        harness = BalancerHarness(
            settings(key_affinity=True, sidecar_index=sidecar, sidecar_count=12),
            endpoint_count=40,
            seed=sidecar,
        )
        for key_hash, endpoints in endpoints_by_key.items():
            attempt = harness.start_attempt(key_hash=key_hash)
            endpoints.add(attempt.endpoint_id)
            harness.complete(attempt)
    assert all(len(endpoints) <= endpoint_picker.ENDPOINTS_PER_KEY for endpoints in endpoints_by_key.values())
    assert len(set.union(*endpoints_by_key.values())) > endpoint_picker.ENDPOINTS_PER_KEY


def test_idle_endpoints_are_picked_first() -> None:
    harness = BalancerHarness(settings(), endpoint_count=20)
    picked = {harness.start_attempt().endpoint_id for _ in range(subset.MIN_SUBSET_SIZE_UNPRICED)}
    assert len(picked) == subset.MIN_SUBSET_SIZE_UNPRICED


def test_fastest_idle_endpoint_is_picked() -> None:
    harness = BalancerHarness(settings(), endpoint_count=8)
    fastest = endpoint_id(5)
    # The first responses give the mean latency of the class, the next ones each endpoint's ratio to it.
    for _ in range(2):
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
    """A fast-failing endpoint seldom has attempts in flight, so a pick by their number would prefer it."""
    harness = BalancerHarness(settings(), endpoint_count=8)
    failing = endpoint_id(1)
    picks = Counter[EndpointId]()
    for _ in range(400):
        harness.now_ns += 20 * MILLISECOND_NS
        attempt = harness.start_attempt()
        picks[attempt.endpoint_id] += 1
        if attempt.endpoint_id == failing:
            harness.complete(attempt, AttemptOutcome.SERVER_ERROR, 2 * MILLISECOND_NS)
            harness.handle(ClientDisconnected(attempt.request_id))
        else:
            harness.complete(attempt, duration_ns=60 * MILLISECOND_NS)
    assert picks[failing] < 400 / 8 / 3, picks


def test_failing_endpoint_is_used_when_the_others_are_full() -> None:
    """While some endpoints are draining, the others would otherwise get all requests and become slower."""
    harness = BalancerHarness(settings(), endpoint_count=4)
    failing = harness.endpoint(1)
    for _ in range(40):
        harness.now_ns += 50 * MILLISECOND_NS
        attempt = harness.start_attempt()
        if attempt.endpoint_id == failing.id:
            harness.complete(attempt, AttemptOutcome.SERVER_ERROR)
            harness.handle(ClientDisconnected(attempt.request_id))
        else:
            harness.complete(attempt)
    harness.now_ns += 2 * SECOND_NS  # the last success no longer prevents ejection
    for _ in range(12):
        harness.record_outcome(
            failing, AttemptOutcome.SERVER_ERROR, 5 * MILLISECOND_NS, request_finished=True
        )
    assert not failing.ejection.is_active(harness.now_ns)
    harness.tick()
    first_picks = [harness.start_attempt().endpoint_id for _ in range(12)]
    assert failing.id not in first_picks
    assert failing.id in [harness.start_attempt().endpoint_id for _ in range(300)]


def test_fast_failing_idle_endpoint_is_not_preferred_to_busy_ones() -> None:
    """At hundreds of requests per second all other endpoints are busy, and only the failing one is idle."""
    harness = BalancerHarness(settings(), endpoint_count=4)
    failing = harness.endpoint(1)
    for _ in range(8):
        harness.complete(harness.start_attempt())
    failing.failure_rate.overall = 0.6
    failing.failure_rate.updated_at_ns = harness.now_ns
    failing.latency_ratio.mark_updated(harness.now_ns)
    harness.balancer.overload.latency.means_ns = [50 * MILLISECOND_NS]
    picks = Counter(harness.start_attempt().endpoint_id for _ in range(12))
    assert picks[failing.id] <= 1, picks


def test_non_idempotent_requests_avoid_failing_endpoints() -> None:
    non_idempotent = request_class(idempotency=Idempotency.NOT_IDEMPOTENT)
    harness = BalancerHarness(settings(request_class(), non_idempotent), endpoint_count=4)
    failing = harness.endpoint(1)
    failing.failure_rate.overall = 0.3
    failing.failure_rate.updated_at_ns = harness.now_ns
    failing.latency_ratio.mark_updated(harness.now_ns)
    picker = harness.balancer.picker
    idempotent_time_ns = picker.expected_time_ns(failing, 0, harness.now_ns)
    assert picker.expected_time_ns(failing, 1, harness.now_ns) > 3 * idempotent_time_ns

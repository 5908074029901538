"""Tests of `balancer.policy.overload.detector`: which samples show overload and raise the threshold."""

from __future__ import annotations

import pytest

from balancer.gossip_codec import QueueingEvidence
from balancer.policy.overload.queueing_delay import AttemptCounts
from balancer.policy_api import AttemptOutcome, ClientDisconnected
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import (
    endpoint,
    endpoint_number,
    settings,
    two_priority_settings,
)
from tests.policy.harness import BalancerHarness


def complete_slowly(harness: BalancerHarness, outcome: AttemptOutcome, count: int = 30) -> None:
    """Serve some requests quickly, then end many attempts at once with this outcome after 400 ms."""
    harness.serve_requests(10)
    harness.tick()
    attempts = [harness.start_attempt() for _ in range(count)]
    for attempt in attempts:
        harness.complete(attempt, outcome, 400 * MILLISECOND_NS)
    harness.tick()


def two_local_and_seven_remote_endpoints() -> BalancerHarness:
    harness = BalancerHarness(settings(zone_count=2), endpoint_count=0)
    harness.update_endpoints(*(endpoint(number, zone=int(number > 2)) for number in range(1, 10)))
    return harness


def test_response_that_took_no_time_is_accepted(harness: BalancerHarness) -> None:
    """With a coarse clock an attempt may start and end at the same reading."""
    attempt = harness.start_attempt()
    harness.complete(attempt, AttemptOutcome.SUCCESS, 0)
    assert not harness.balancer.requests


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED])
def test_timeouts_and_rejections_raise_the_threshold(
    harness: BalancerHarness, outcome: AttemptOutcome
) -> None:
    complete_slowly(harness, outcome)
    assert harness.threshold > 0


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.SERVER_ERROR],
)
def test_failures_of_endpoints_are_no_overload(outcome: AttemptOutcome) -> None:
    """Failures at a few broken endpoints must not cause rejections of what the others can serve."""
    harness = BalancerHarness(two_priority_settings(max_attempts=1))
    complete_slowly(harness, outcome)
    assert harness.threshold == 0


def time_out_many_attempts(
    harness: BalancerHarness, timeout_ns: int | None = None, *, clients_disconnect: bool = False
) -> None:
    """Let sixty attempts time out, by default in the time that a response takes without queueing."""
    harness.serve_requests(40)
    harness.tick()
    if timeout_ns is None:
        timeout_ns = int(harness.balancer.overload.latency.baselines_ns[0])
    harness.now_ns += SECOND_NS  # past the time for which a success protects from ejection
    attempts = [harness.start_attempt(time_left_ns=timeout_ns) for _ in range(60)]
    for attempt in attempts:
        if clients_disconnect:
            harness.handle(ClientDisconnected(attempt.request_id))
        harness.complete(attempt, AttemptOutcome.TIMEOUT, timeout_ns)


@pytest.mark.parametrize("clients_disconnect", [False, True])
def test_timeouts_shorter_than_a_response_are_no_overload_and_eject_nothing(clients_disconnect: bool) -> None:
    harness = BalancerHarness(two_priority_settings(max_attempts=1))
    time_out_many_attempts(harness, clients_disconnect=clients_disconnect)
    ejected = harness.ejected_endpoints
    harness.tick()
    assert harness.threshold == 0
    assert not ejected
    assert all(target.failure_rate.overall == 0 for target in harness.endpoints)


def test_timeouts_after_enough_time_are_overload_and_eject() -> None:
    harness = BalancerHarness(two_priority_settings(max_attempts=1))
    time_out_many_attempts(harness, 400 * MILLISECOND_NS)
    ejected = harness.ejected_endpoints
    harness.tick()
    assert harness.threshold > 0
    assert ejected


def test_single_late_response_is_no_overload(harness: BalancerHarness) -> None:
    harness.serve_requests(20)
    for _ in range(30):
        harness.tick()
    harness.complete(harness.start_attempt(), duration_ns=3 * SECOND_NS)
    harness.tick()
    assert harness.threshold == 0


def test_attempts_in_flight_show_overload_before_their_responses(harness: BalancerHarness) -> None:
    harness.serve_requests(20)
    harness.tick()
    for _ in range(20):
        harness.start_attempt()
    for _ in range(2):
        harness.tick(0.25)
    assert harness.balancer.overload.queueing_delay > harness.balancer.overload.threshold
    assert harness.threshold > 0


@pytest.mark.parametrize(("streams_per_connection", "new_connections"), [(1, 18), (100, 6)])
def test_time_to_connect_is_no_queueing_delay(streams_per_connection: int, new_connections: int) -> None:
    """Just after a start all connections are new, and the first responses over them take longer."""
    harness = BalancerHarness(two_priority_settings(streams_per_connection=streams_per_connection))
    attempts = [harness.start_attempt() for _ in range(18)]
    requests = harness.balancer.requests
    assert sum(requests[attempt.request_id].needs_connection for attempt in attempts) == new_connections
    for attempt in attempts[:6]:
        harness.complete(attempt, duration_ns=350 * MILLISECOND_NS)
    harness.tick(0.3)
    assert harness.threshold == 0


def test_slow_responses_over_used_connections_raise_the_threshold(harness: BalancerHarness) -> None:
    for attempt in [harness.start_attempt() for _ in range(18)]:
        harness.complete(attempt, duration_ns=100 * MILLISECOND_NS)
    for _ in range(9):
        harness.tick()
    attempts = [harness.start_attempt() for _ in range(18)]
    requests = harness.balancer.requests
    assert not any(requests[attempt.request_id].needs_connection for attempt in attempts)
    for attempt in attempts:
        harness.complete(attempt, duration_ns=450 * MILLISECOND_NS)
    harness.tick()
    assert harness.threshold > 0


def test_overload_at_the_start_raises_the_threshold_at_once(harness: BalancerHarness) -> None:
    for attempt in [harness.start_attempt() for _ in range(18)]:
        harness.complete(attempt, duration_ns=600 * MILLISECOND_NS)
    harness.tick()
    assert harness.threshold > 0


@pytest.mark.parametrize(("remote_attempts", "rejects"), [(30, True), (0, False)])
def test_delays_of_a_zone_count_by_its_share_of_attempts(remote_attempts: int, rejects: bool) -> None:
    harness = two_local_and_seven_remote_endpoints()
    for _ in range(40):
        harness.start_attempt()
    detector = harness.balancer.overload
    detector.queueing.attempts = AttemptCounts(total=40.0, remote=float(remote_attempts))
    detector.queueing.evidence = [
        QueueingEvidence(delay_sum=1.0, sample_count=10.0, attempt_count=10.0, answer_count=10.0),
        QueueingEvidence(delay_sum=30.0, sample_count=30.0, attempt_count=30.0, answer_count=10.0),
    ]
    detector.spillover.ratio = 0.0
    harness.balancer.control_cycle.update_admission_and_spillover(harness.now_ns)
    assert (harness.threshold > 0) is rejects


def test_attempts_are_counted_by_zone() -> None:
    harness = two_local_and_seven_remote_endpoints()
    attempts = [harness.start_attempt() for _ in range(45)]
    counts = harness.balancer.overload.queueing.attempts
    assert counts.total == 45
    assert counts.remote == sum(endpoint_number(attempt.endpoint_id) > 2 for attempt in attempts)


def test_late_responses_while_queues_shorten_do_not_raise_the_threshold(harness: BalancerHarness) -> None:
    """While queues shorten there are more responses than attempts, and those to old attempts are late."""
    balancer = harness.balancer
    balancer.overload.queueing.evidence[0] = QueueingEvidence(
        delay_sum=20.0, sample_count=20.0, attempt_count=10.0, answer_count=20.0
    )
    balancer.admission.arrivals.keyless[0] = 100.0
    balancer.control_cycle.update_admission_and_spillover(harness.now_ns)
    assert harness.threshold == 0
    balancer.overload.queueing.evidence[0] = QueueingEvidence(
        delay_sum=20.0, sample_count=20.0, attempt_count=20.0, answer_count=10.0
    )
    balancer.control_cycle.update_admission_and_spillover(harness.now_ns)
    assert harness.threshold > 0


def test_attempts_at_ejected_endpoints_give_no_delay_samples() -> None:
    harness = BalancerHarness(settings(), endpoint_count=4)
    for _ in range(20):
        harness.complete(harness.start_attempt())
    harness.tick()
    at_ejected, at_other = harness.start_attempt(), harness.start_attempt()
    ejected = harness.balancer.membership.endpoints[at_ejected.endpoint_id]
    ejected.ejection.until_ns = harness.now_ns + 9 * SECOND_NS
    harness.now_ns += SECOND_NS
    harness.balancer.control_cycle.run(harness.now_ns)
    assert not harness.balancer.requests[at_ejected.request_id].recorded_delay
    assert harness.balancer.requests[at_other.request_id].recorded_delay

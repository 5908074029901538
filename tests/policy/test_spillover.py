"""Tests of `balancer.policy.overload.spillover`: when requests go to other zones."""

from __future__ import annotations

from balancer.gossip_codec import QueueingEvidence
from balancer.policy_api import AttemptOutcome, ClientDisconnected, StartAttempt
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import endpoint, endpoint_number, request_class, request_received, settings
from tests.policy.harness import BalancerHarness


def test_spillover_follows_the_difference_in_queueing_delay() -> None:
    harness = BalancerHarness(
        settings(
            request_class(late_answer_value=0.5),
            health_checks_enabled=True,
            zone_count=2,
            load_report_fields=("rif",),
            cross_zone_price=0.1,
        ),
        endpoint_count=0,
    )
    harness.update_endpoints(*(endpoint(number, zone=number % 2) for number in range(1, 17)))
    harness.handle(request_received(1, harness.now_ns + 3 * SECOND_NS))
    balancer = harness.balancer
    balancer.overload.queueing.evidence = [
        QueueingEvidence(delay_sum=6.0, sample_count=10.0, attempt_count=10.0, answer_count=10.0),
        QueueingEvidence(delay_sum=0.0, sample_count=10.0, attempt_count=10.0, answer_count=10.0),
    ]
    balancer.control_cycle.update_admission_and_spillover(harness.now_ns + SECOND_NS)
    raised_ratio = balancer.overload.spillover.ratio
    assert 0 < raised_ratio < 0.5
    balancer.overload.queueing.evidence = [
        QueueingEvidence(delay_sum=1.0, sample_count=10.0, attempt_count=10.0, answer_count=10.0),
        QueueingEvidence(delay_sum=3.0, sample_count=10.0, attempt_count=10.0, answer_count=10.0),
    ]
    balancer.control_cycle.update_admission_and_spillover(harness.now_ns + SECOND_NS)
    assert balancer.overload.spillover.ratio < raised_ratio


def test_remote_connect_failures_reduce_spillover() -> None:
    """An unreachable zone shows no delays, so by these alone it would get more and more traffic."""
    harness = BalancerHarness(settings(zone_count=2), endpoint_count=0)
    harness.update_endpoints(*(endpoint(number, zone=number % 2) for number in range(1, 17)))
    harness.balancer.overload.spillover.ratio = 1.0
    for _ in range(10):
        action = harness.request()
        if isinstance(action, StartAttempt) and endpoint_number(action.endpoint_id) % 2:
            harness.complete(action, AttemptOutcome.CONNECT_FAILED, MILLISECOND_NS)
            harness.handle(ClientDisconnected(action.request_id))
    assert harness.balancer.overload.spillover.ratio < 0.6

"""Tests of `balancer.policy.overload.admission`: priorities, arrivals by level, admission threshold."""

from __future__ import annotations

import pytest

from balancer.policy.overload import admission, priority_levels
from balancer.policy_api import RejectRequest, StartAttempt, Tenant
from balancer.time_units import HOUR_NS
from tests.builders import request_received, settings, two_priority_settings
from tests.policy.harness import BalancerHarness


def test_priority_weight_outranks_user_level(harness: BalancerHarness) -> None:
    priority = harness.balancer.admission.classify(request_received(1, 0, key_hash=7), harness.now_ns)
    level, position_in_level = divmod(priority, 1)
    harness.balancer.admission.threshold = float(level + 1)  # just above the level of this key
    assert isinstance(harness.request(0, key_hash=7), RejectRequest)
    harness.balancer.admission.threshold = float(level)
    assert isinstance(harness.request(0, key_hash=7), StartAttempt)
    harness.balancer.admission.threshold = float(priority_levels.USER_LEVELS)  # above all of the low priority
    assert isinstance(harness.request(0, key_hash=7), RejectRequest)
    assert isinstance(harness.request(1, key_hash=7), StartAttempt)
    assert 0 <= level < priority_levels.USER_LEVELS
    assert position_in_level == 0.5


def test_user_levels_agree_between_sidecars_and_change_hourly() -> None:
    one = BalancerHarness(two_priority_settings(instance_index=1, instance_count=9))
    other = BalancerHarness(two_priority_settings(instance_index=2, instance_count=9))

    def levels(harness: BalancerHarness, at_ns: int) -> list[int]:
        control = harness.balancer.admission
        return [int(control.classify(request_received(1, 0, key_hash=key), at_ns)) for key in range(1, 40)]

    assert levels(one, one.now_ns) == levels(other, other.now_ns)
    assert levels(one, one.now_ns) != levels(one, one.now_ns + HOUR_NS)


def test_threshold_rises_by_share_of_admitted_traffic(harness: BalancerHarness) -> None:
    harness.serve_requests(400, first_key=1000)
    harness.balancer.admission.raise_threshold(0.25)
    rejected = sum(
        isinstance(harness.request(0, key_hash=1000 + offset), RejectRequest) for offset in range(400)
    )
    assert 80 <= rejected <= 120


def test_keyed_and_keyless_traffic_of_one_class_is_rejected_by_one_share(harness: BalancerHarness) -> None:
    """The same levels hold both kinds of traffic.

    If the threshold passed their arrivals one after the other, it would reject half instead of a quarter.
    """
    control = harness.balancer.admission
    harness.serve_requests(400, first_key=1000)
    harness.serve_requests(400)
    control.raise_threshold(0.25)
    assert control.threshold == pytest.approx(0.25 * priority_levels.USER_LEVELS, abs=4)
    for _ in range(50):
        control.raise_threshold(0.5)
    assert control.threshold == pytest.approx(
        admission.MAX_REJECTED_SHARE * priority_levels.USER_LEVELS, abs=4
    )
    control.lower_threshold(0.4)
    assert control.threshold == pytest.approx(0.5 * priority_levels.USER_LEVELS, abs=5)


def test_lowest_priority_is_rejected_first(harness: BalancerHarness) -> None:
    harness.serve_requests(50)
    harness.serve_requests(50, class_index=1)
    harness.balancer.admission.raise_threshold(0.5)
    assert harness.threshold == pytest.approx(priority_levels.USER_LEVELS, abs=1)


def test_threshold_never_rejects_everything(harness: BalancerHarness) -> None:
    harness.serve_requests(50, class_index=1)
    for _ in range(50):
        harness.balancer.admission.raise_threshold(0.5)
    highest_level = 2 * priority_levels.USER_LEVELS
    assert (
        harness.threshold
        <= highest_level - (1 - admission.MAX_REJECTED_SHARE) * priority_levels.USER_LEVELS + 1
    )


def test_threshold_falls_by_share_of_arrivals_and_at_least_one_level(harness: BalancerHarness) -> None:
    """A high threshold would take minutes to fall by shares of the admitted traffic alone."""
    control = harness.balancer.admission
    harness.serve_requests(100)
    control.threshold = 120.0
    control.lower_threshold(0.1)
    assert control.threshold == pytest.approx(120 - 12.8)
    control.lower_threshold(0.0)
    assert control.threshold == pytest.approx(120 - 12.8 - 1)


def test_threshold_falls_in_a_cycle_without_attempts(harness: BalancerHarness) -> None:
    harness.balancer.admission.threshold = 50.0
    harness.tick()
    assert harness.threshold < 50


@pytest.mark.parametrize("tenants", [(), tuple(Tenant(name, 100.0) for name in "abc")])
def test_keyless_traffic_is_rejected_evenly_over_the_fleet(tenants: tuple[Tenant, ...]) -> None:
    """Requests without keys have one user level for each sidecar and tenant.

    If the level depended on the tenant alone, each of three tenants would put a third of the traffic on one.
    """

    def is_admitted(instance_index: int, threshold: int) -> bool:
        config = settings(instance_index=instance_index, instance_count=200, tenants=tenants)
        harness = BalancerHarness(config, endpoint_count=2)
        harness.balancer.admission.threshold = float(threshold)
        action = harness.request(tenant_index=instance_index % 3 if tenants else 0)
        return isinstance(action, StartAttempt)

    admitted = [
        sum(is_admitted(instance_index, threshold) for instance_index in range(200))
        for threshold in (0, 32, 64, 96, 128)
    ]
    assert admitted[0] == 200
    assert admitted[4] == 0
    deviations = [abs(admitted[quarter] - 200 * (4 - quarter) / 4) for quarter in range(5)]
    assert max(deviations) < 25, admitted

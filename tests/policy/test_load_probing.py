"""Tests of `balancer.policy.selection.load_probing`: health checks that find a lightly loaded endpoint."""

from __future__ import annotations

from collections import Counter
from typing import Unpack

import pytest

from balancer.policy_api import (
    Action,
    EndpointHealth,
    EndpointId,
    EndpointUpdateKind,
    RejectRequest,
    StartAttempt,
    StartHealthCheck,
    TimerFired,
)
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import (
    START_NS,
    SettingsOverrides,
    endpoint,
    endpoint_number,
    request_class,
    request_received,
    settings,
)
from tests.policy.harness import BalancerHarness, actions_of

PROBE_TIMER = TimerFired(2)
"""The timer that ends a round of probes of request 1."""


def probed_endpoints(actions: list[Action]) -> list[EndpointId]:
    return [action.endpoint_id for action in actions_of(StartHealthCheck, actions)]


def probing_harness(**overrides: Unpack[SettingsOverrides]) -> BalancerHarness:
    """Build a harness that may probe, with eight endpoints in each of two zones."""
    probing: SettingsOverrides = {
        "health_checks_enabled": True,
        "zone_count": 2,
        "load_report_fields": ("rif",),
    }
    probing.update(overrides)
    harness = BalancerHarness(settings(request_class(late_response_value=0.5), **probing), endpoint_count=0)
    harness.update_endpoints(*(endpoint(number, zone=number % 2) for number in range(1, 17)))
    return harness


def receive_request(harness: BalancerHarness, time_left_ns: int = 3 * SECOND_NS) -> list[Action]:
    """Deliver request 1."""
    return harness.handle(request_received(1, harness.now_ns + time_left_ns))


def test_fastest_probed_endpoint_gets_the_request() -> None:
    """A sidecar with few requests cannot infer the load of an endpoint from its own attempts in flight."""
    harness = probing_harness()
    probed = probed_endpoints(receive_request(harness))
    assert len(probed) == 2
    assert all(endpoint_number(identifier) % 2 == 0 for identifier in probed)
    harness.now_ns += 5 * MILLISECOND_NS
    actions = harness.complete_health_check(probed[0], duration_ns=9 * MILLISECOND_NS)
    assert not actions_of(StartAttempt, actions)
    [attempt] = harness.complete_health_check(probed[1], duration_ns=2 * MILLISECOND_NS)
    assert isinstance(attempt, StartAttempt)
    assert attempt.endpoint_id == probed[1]


def test_other_endpoints_are_probed_when_the_first_are_unresponsive() -> None:
    harness = probing_harness()
    unresponsive = probed_endpoints(receive_request(harness))
    harness.now_ns += 20 * MILLISECOND_NS
    probed = probed_endpoints(harness.handle(PROBE_TIMER))
    assert probed
    assert not set(probed) & set(unresponsive)
    # The remote zone is probed as well, since no local endpoint is known to be idle.
    assert {endpoint_number(identifier) % 2 for identifier in probed} == {0, 1}
    harness.now_ns += 5 * MILLISECOND_NS
    harness.complete_health_check(probed[0], duration_ns=3 * MILLISECOND_NS)
    [attempt] = harness.handle(PROBE_TIMER)
    assert isinstance(attempt, StartAttempt)
    assert attempt.endpoint_id == probed[0]


def test_probing_without_responses_ends_with_an_attempt() -> None:
    harness = probing_harness()
    receive_request(harness)
    attempts: list[StartAttempt] = []
    for _ in range(8):
        harness.now_ns += 30 * MILLISECOND_NS
        attempts = actions_of(StartAttempt, harness.handle(PROBE_TIMER))
        if attempts:
            break
    assert attempts
    assert harness.now_ns - START_NS <= 250 * MILLISECOND_NS


def test_request_that_expired_during_probing_is_rejected() -> None:
    harness = probing_harness()
    receive_request(harness)
    harness.now_ns += 4 * SECOND_NS  # the sidecar was paused, and the client has given up
    [action] = harness.handle(PROBE_TIMER)
    assert isinstance(action, RejectRequest)


def test_no_probing_if_a_pause_of_the_sidecar_could_outlast_the_request() -> None:
    """If the sidecar were paused for two seconds during a round, the client would give up the request."""
    harness = probing_harness()
    actions = receive_request(harness, time_left_ns=2 * SECOND_NS)
    assert not probed_endpoints(actions)
    assert isinstance(actions[0], StartAttempt)


def test_endpoint_that_drains_while_probed_gets_nothing() -> None:
    harness = probing_harness()
    probed = probed_endpoints(receive_request(harness))
    numbers = [endpoint_number(identifier) for identifier in probed]
    draining = (endpoint(number, EndpointHealth.DRAINING, zone=number % 2) for number in numbers)
    harness.update_endpoints(*draining, kind=EndpointUpdateKind.DELTA)
    actions = [action for identifier in probed for action in harness.complete_health_check(identifier)]
    actions += harness.handle(PROBE_TIMER)
    attempts = actions_of(StartAttempt, actions)
    assert not any(attempt.endpoint_id in probed for attempt in attempts)


def test_least_loaded_endpoint_gets_the_request_when_all_are_busy() -> None:
    """The fastest local endpoint must not get all requests while remote ones are idle, whatever its load."""
    harness = probing_harness()
    receive_request(harness)
    harness.update_endpoints(*(endpoint(number, zone=number % 2) for number in range(1, 5)))
    harness.balancer.overload.spillover.ratio = 0.0
    attempts: list[StartAttempt] = []
    for request_id in range(2, 12):
        actions = harness.handle(request_received(request_id, harness.now_ns + 3 * SECOND_NS))
        while probed := probed_endpoints(actions):
            harness.now_ns += 2 * MILLISECOND_NS
            actions = [
                action for identifier in probed for action in harness.complete_health_check(identifier)
            ]
            actions += harness.handle(TimerFired(request_id + 1))
        attempts += actions_of(StartAttempt, actions)
    in_flight = Counter(attempt.endpoint_id for attempt in attempts)
    assert in_flight.total() == 10, in_flight
    assert len(in_flight) == 4, in_flight
    assert max(in_flight.values()) <= 4, in_flight


@pytest.mark.parametrize(
    "overrides",
    [
        SettingsOverrides(gossip_enabled=True),
        SettingsOverrides(health_checks_enabled=False),
        SettingsOverrides(load_report_fields=()),
    ],
)
def test_no_probing_with_gossip_or_without_health_checks_or_load_reports(
    overrides: SettingsOverrides,
) -> None:
    harness = probing_harness(**overrides)
    assert probed_endpoints(receive_request(harness)) == []

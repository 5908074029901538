"""Tests of the timing of calls to discovery: however a call ends, the next one fetches a change in time."""

from __future__ import annotations

import pytest

from balancer.policy.balancer import Balancer
from balancer.policy.endpoints import discovery_polling
from balancer.policy.overload import measurement_cycle
from balancer.policy_api import WatchEndpoints
from balancer.sidecar.discovery import profile as discovery_profile
from balancer.sidecar.discovery.profile import POLLED_DISCOVERY, PUSHED_DISCOVERY
from balancer.time_units import SECOND_NS
from tests.builders import settings as policy_settings
from tests.policy.harness import BalancerHarness
from tests.sidecar.discovery.scripted_discovery import DISCOVERY_FAILED

MAX_UPDATE_DELAY_SECONDS = 6.0  # from when discovery is reachable to when the sidecar has to know a change
MAX_UPDATE_DELAY_AFTER_ADDRESS_CHANGE_SECONDS = 4.0
MARGIN_SECONDS = 0.5
MAX_SUCCESSFUL_CALL_SECONDS = 0.5  # includes connecting, the response, and delays of the event loop


def longest_delays_seconds(polled: bool, poll_window_ns: int) -> dict[str, float]:
    """Return the longest time from when discovery is reachable to when a change is received, by outcome.

    In the worst case, the call with this outcome started just before, and the next call succeeds.
    """
    policy = Balancer(policy_settings(polls_discovery=polled, discovery_poll_window_ns=poll_window_ns), 1)
    if polled:
        profile = POLLED_DISCOVERY
        pause = (policy.membership.polling.spread_ns + measurement_cycle.CYCLE_NS) / SECOND_NS
        immediate_retry = 0.0
    else:
        profile = PUSHED_DISCOVERY
        pause = immediate_retry = profile.max_retry_pause_seconds
    call = profile.long_poll_timeout_seconds + profile.grace_seconds
    connect = profile.grace_seconds
    delays = {
        "connect refused": pause,
        "connect timed out": connect + pause,
        "another status": call + pause,
        "closed or reset before the response": call + pause,
        "truncated or malformed response": call + immediate_retry,
        "malformed response, and the next call fails at once": call + pause,
        "timed out, before or in the response": call + immediate_retry,
        "timed out, and the next call fails at once": call + pause,
        "response without end": call + immediate_retry,
        "no changes": discovery_profile.UNCHANGED_PAUSE_SECONDS,
        "first call of a process timed out": (pause if polled else 0.0) + call + immediate_retry,
        "new address fails": profile.snapshot_timeout_seconds + profile.max_retry_pause_seconds,
        "single fetch of the whole list fails": discovery_profile.FETCH_TIMEOUT_SECONDS + pause,
    }
    return {outcome: seconds + MAX_SUCCESSFUL_CALL_SECONDS for outcome, seconds in delays.items()}


@pytest.mark.parametrize("polled", [False, True], ids=["pushed", "polled"])
@pytest.mark.parametrize("poll_window_ns", [SECOND_NS, 10 * SECOND_NS, 60 * SECOND_NS])
def test_change_is_received_within_the_maximum_delay(polled: bool, poll_window_ns: int) -> None:
    delays = longest_delays_seconds(polled, poll_window_ns)
    longest_allowed = MAX_UPDATE_DELAY_SECONDS - MARGIN_SECONDS
    assert not {outcome: seconds for outcome, seconds in delays.items() if seconds > longest_allowed}


def test_three_snapshot_calls_fit_in_the_time_after_an_address_change() -> None:
    polled, pushed = POLLED_DISCOVERY, PUSHED_DISCOVERY
    pauses = [polled.first_retry_pause_seconds * 2**retry for retry in range(2)]
    assert max(pauses) <= polled.max_retry_pause_seconds
    assert 3 * polled.snapshot_timeout_seconds + sum(pauses) < MAX_UPDATE_DELAY_AFTER_ADDRESS_CHANGE_SECONDS
    pushed_seconds = 3 * pushed.snapshot_timeout_seconds + 2 * pushed.max_retry_pause_seconds
    assert pushed_seconds < MAX_UPDATE_DELAY_AFTER_ADDRESS_CHANGE_SECONDS


def next_watch_delay_ns(harness: BalancerHarness) -> int:
    """Advance the clock of the policy until it starts a watch, and return how long that took."""
    start_ns = harness.now_ns
    while True:
        actions = harness.tick(measurement_cycle.CYCLE_NS / SECOND_NS / 5)
        if any(isinstance(action, WatchEndpoints) for action in actions):
            return harness.now_ns - start_ns
        assert harness.now_ns - start_ns <= discovery_polling.MAX_POLL_SPREAD_NS, "the watch is overdue"


@pytest.mark.parametrize("poll_window_ns", [10 * SECOND_NS, 60 * SECOND_NS])
def test_watch_delays_are_bounded_and_spread(poll_window_ns: int) -> None:
    first_delays_ns: set[int] = set()
    retry_delays_ns: set[int] = set()
    for seed in range(40):
        settings = policy_settings(polls_discovery=True, discovery_poll_window_ns=poll_window_ns)
        harness = BalancerHarness(settings, seed=seed)
        first_delays_ns.add(next_watch_delay_ns(harness))
        harness.handle(DISCOVERY_FAILED)
        retry_delays_ns.add(next_watch_delay_ns(harness))
    assert len(first_delays_ns) > 10
    assert len(retry_delays_ns) > 10
    # Without a minimum, many sidecars would overload discovery while it is down.
    assert min(retry_delays_ns) >= 0.2 * SECOND_NS

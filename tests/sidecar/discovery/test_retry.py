"""Tests of retries of failed calls to discovery: the backoff, and the retry policy of a watch."""

from __future__ import annotations

from random import Random

import pytest

from balancer.sidecar.discovery.call import (
    DiscoveryCallError,
    DiscoveryTimeoutError,
    MalformedDiscoveryResponseError,
)
from balancer.sidecar.discovery.profile import POLLED_DISCOVERY, PUSHED_DISCOVERY, DiscoveryProfile
from balancer.sidecar.discovery.retry import Backoff, WatchRetryPolicy
from balancer.sidecar.runtime.address import Address

ADDRESS = Address("127.0.0.1", 9)
FAILURE = DiscoveryCallError(ADDRESS, "a test")
TIMEOUT = DiscoveryTimeoutError(ADDRESS, "a test")
MALFORMED = MalformedDiscoveryResponseError(ADDRESS, "a test")


def test_backoff_doubles_its_pauses_up_to_the_maximum() -> None:
    backoff = Backoff(first_seconds=0.25, max_seconds=1.5, jitter=0.0, random=Random(1))
    assert [backoff.next_pause_seconds() for _ in range(5)] == [0.25, 0.5, 1.0, 1.5, 1.5]


def test_backoff_shortens_each_pause_by_random_jitter() -> None:
    backoff = Backoff(first_seconds=1.0, max_seconds=1.0, jitter=0.5, random=Random(1))
    pauses = [backoff.next_pause_seconds() for _ in range(50)]
    assert all(0.5 < pause <= 1.0 for pause in pauses)
    assert len(set(pauses)) == 50


def test_polled_watch_is_retried_after_timeouts_and_once_after_a_malformed_response() -> None:
    policy = WatchRetryPolicy(POLLED_DISCOVERY, Random(1))
    pauses = [policy.pause_seconds_after(error, False) for error in (TIMEOUT, TIMEOUT, MALFORMED, MALFORMED)]
    assert pauses == [0.0, 0.0, 0.0, None]
    assert policy.pause_seconds_after(FAILURE, False) is None
    assert policy.pause_seconds_after(TIMEOUT, False) == 0.0
    assert policy.pause_seconds_after(MALFORMED, False) == 0.0
    policy.record_success()
    assert policy.pause_seconds_after(MALFORMED, False) == 0.0


@pytest.mark.parametrize(
    ("profile", "needs_snapshot"),
    [(PUSHED_DISCOVERY, False), (POLLED_DISCOVERY, True)],
    ids=["pushed", "polled without a snapshot"],
)
def test_pushed_watch_and_first_snapshot_are_retried_after_a_pause(
    profile: DiscoveryProfile, needs_snapshot: bool
) -> None:
    policy = WatchRetryPolicy(profile, Random(1))
    for error in (FAILURE, TIMEOUT, MALFORMED):
        pause_seconds = policy.pause_seconds_after(error, needs_snapshot)
        assert pause_seconds is not None
        assert 0.02 < pause_seconds <= profile.max_retry_pause_seconds

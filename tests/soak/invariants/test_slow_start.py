"""Tests of the invariants of the load on account servers."""

from __future__ import annotations

import pytest

from soak.history.events import ServerIncarnation
from soak.invariants.slow_start import check_slow_start, check_traffic_share, slow_start_budget
from tests.soak.histories import SENT_AT_SECONDS, attempt, deployment, history


def test_slow_start_budget() -> None:
    assert slow_start_budget(25) == 25 + 3 * 5 + 3
    assert slow_start_budget(100) == 100 + 2 * 10 + 2


@pytest.mark.parametrize(
    ("count", "needs_warm_up", "is_broken"), [(50, True, False), (70, True, True), (70, False, False)]
)
def test_slow_start(count: int, needs_warm_up: bool, is_broken: bool) -> None:
    """In its first 2 s, the server may get 52 requests.

    Its capacity rises from 0.1 to 0.28 of 100 requests per second. That allows 38 requests in 2 s, and the
    slack makes 52 of them.
    """
    incarnation = ServerIncarnation("s9", "zone-a", 0, SENT_AT_SECONDS, needs_warm_up=needs_warm_up)
    attempts = [attempt(after_seconds=2.0 * index / count, server="s9") for index in range(count)]
    recorded_history = history(incarnation, *attempts)
    assert bool(list(check_slow_start(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(("started_at_seconds", "is_broken"), [(50.0, True), (95.0, False)])
def test_server_that_has_been_healthy_for_long_gets_requests(
    started_at_seconds: float, is_broken: bool
) -> None:
    # The faults end at 100 s; the warm-up takes 10 s and the settling margin is 2.5 s.
    starved = ServerIncarnation("s9", "zone-a", 0, started_at_seconds, needs_warm_up=True)
    attempts = [
        attempt(server=f"s{index % 3}", received_at_seconds=100.0 + index / 10, started_at_seconds=100.0)
        for index in range(90)
    ]
    recorded_history = history(starved, *attempts)
    assert bool(list(check_traffic_share(recorded_history, deployment()))) == is_broken

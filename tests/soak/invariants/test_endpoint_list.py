"""Tests of the invariant of the endpoint list: departing account servers get no new attempts."""

from __future__ import annotations

import pytest

from soak.history.events import EndpointHealth, EndpointNotification
from soak.invariants.endpoint_list import check_drains
from tests.soak.histories import SENT_AT_SECONDS, attempt, deployment, history, request

DRAINING = EndpointHealth.DRAINING
REMOVED = EndpointHealth.REMOVED
UP = EndpointHealth.UP


# Each notification has its age in seconds when the attempt is sent; the grace time is 1 s.
@pytest.mark.parametrize(
    ("notifications", "is_broken"),
    [
        ([], False),
        ([(DRAINING, 0.5)], False),
        ([(DRAINING, 2.0)], True),
        ([(DRAINING, 2.0), (REMOVED, 0.5)], True),
        ([(DRAINING, 2.0), (UP, 0.5)], False),
    ],
)
def test_drain(notifications: list[tuple[EndpointHealth, float]], is_broken: bool) -> None:
    events = [
        EndpointNotification("n0", "s0", health, SENT_AT_SECONDS - before_seconds)
        for health, before_seconds in notifications
    ]
    of_other_sidecar = EndpointNotification("n1", "s0", DRAINING, 1.0)
    recorded_history = history(request(), attempt(), *events, of_other_sidecar)
    assert bool(list(check_drains(recorded_history, deployment()))) == is_broken

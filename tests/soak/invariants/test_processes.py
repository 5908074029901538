"""Tests of the invariants of the sidecar processes."""

from __future__ import annotations

from typing import Any

import pytest

from soak.history.events import MalformedPeer
from soak.history.history import History
from soak.invariants.processes import check_malformed_peers, check_processes, check_recovery
from tests.soak.histories import SENT_AT_SECONDS, deployment, history, request, sidecar_incarnation


@pytest.mark.parametrize(
    ("changes", "is_broken"),
    [
        ({}, False),
        ({"exit_status": 1}, True),
        ({"stop_requested_at_seconds": None}, True),
        ({"ready_at_seconds": None, "stop_requested_at_seconds": None, "ended_at_seconds": None}, True),
        ({"ready_at_seconds": 12.0}, True),
        ({"max_descriptors": 10_000}, True),
        ({"max_memory_megabytes": 10_000.0}, True),
        ({"log": "ERROR x: invariant_violated invariant=y"}, True),
        ({"log": "WARNING x: invariant_violated invariant=y"}, True),
        # A configuration that cannot be read is one of the injected faults.
        ({"log": "ERROR x: reload_failed error=OSError"}, False),
        ({"killed_at_seconds": 50.0, "stop_requested_at_seconds": None, "exit_status": -9}, False),
    ],
)
def test_process(changes: dict[str, Any], is_broken: bool) -> None:
    recorded_history = history(sidecar_incarnation(**changes))
    assert bool(list(check_processes(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("fields", "is_broken"),
    [
        ({"ended_at_seconds": SENT_AT_SECONDS + 2.5}, False),
        ({"ended_at_seconds": SENT_AT_SECONDS + 3.5}, True),
        ({"first_bytes": "HTTP/1.1 400 Bad Request"}, False),
        ({"first_bytes": "HTTP/1.1 200 OK"}, True),
    ],
)
def test_malformed_peer(fields: dict[str, Any], is_broken: bool) -> None:
    recorded_history = History(
        malformed_peers=[MalformedPeer("n0", "sends nothing", SENT_AT_SECONDS, **fields)]
    )
    assert bool(list(check_malformed_peers(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("status", "count", "is_broken"), [(200, 20, False), (503, 20, True), (200, 0, True)]
)
def test_recovery(status: int, count: int, is_broken: bool) -> None:
    requests = [
        request(request_id=f"n0-{index}", sent_at_seconds=108.0, status=status) for index in range(count)
    ]
    recorded_history = history(sidecar_incarnation(), *requests)
    assert bool(list(check_recovery(recorded_history, deployment()))) == is_broken

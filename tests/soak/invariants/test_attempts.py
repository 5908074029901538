"""Tests of the invariants of the attempts that reach account servers."""

from __future__ import annotations

from typing import Any

import pytest

from soak.deployment import DeduplicationScope
from soak.history.events import AttemptEnd
from soak.invariants.attempts import (
    check_deadline_propagation,
    check_disconnected_clients,
    check_request_integrity,
    check_retries,
)
from tests.soak.histories import SENT_AT_SECONDS, attempt, deployment, history, request, unanswered


@pytest.mark.parametrize(
    ("request_class", "first", "second", "is_broken"),
    [
        # An idempotent request may be retried at any server, but not while the first attempt is in flight.
        ("read", {}, {"after_seconds": 0.2, "server": "s2"}, False),
        ("read", {"ended_at_seconds": SENT_AT_SECONDS + 0.9}, {"after_seconds": 0.2}, True),
        # A request that is not idempotent may be retried only after the server has rejected it.
        ("invoice", {}, {"after_seconds": 0.2}, True),
        ("invoice", {"end": AttemptEnd.REJECTED}, {"after_seconds": 0.2}, False),
        # A request with an idempotency key may be retried in its zone for 0.3 s, its deduplication window.
        ("change", {}, {"after_seconds": 0.2, "server": "s1"}, False),
        ("change", {}, {"after_seconds": 0.2, "server": "s2"}, True),
        ("change", {}, {"after_seconds": 0.7, "server": "s1"}, True),
    ],
)
def test_retry(request_class: str, first: dict[str, Any], second: dict[str, Any], is_broken: bool) -> None:
    recorded_history = history(request(request_class), attempt(**first), attempt(**second))
    violations = list(
        check_retries(recorded_history, deployment(deduplication_scope=DeduplicationScope.ZONE))
    )
    assert bool(violations) == is_broken


def test_attempts_beyond_the_limit_and_of_no_client_are_found() -> None:
    many = [attempt(after_seconds=0.1 * index) for index in range(5)]
    assert list(check_retries(history(request(), *many), deployment()))
    assert list(check_retries(history(attempt()), deployment()))


@pytest.mark.parametrize(("after_seconds", "is_broken"), [(0.15, False), (0.4, True)])
def test_attempt_for_disconnected_client(after_seconds: float, is_broken: bool) -> None:
    disconnected = unanswered(disconnected_at_seconds=SENT_AT_SECONDS + 0.1)
    recorded_history = history(disconnected, attempt(after_seconds=after_seconds))
    assert bool(list(check_disconnected_clients(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(("announced_seconds", "is_broken"), [(0.8, False), (0.95, False), (1.1, True)])
def test_deadline_propagation(announced_seconds: float, is_broken: bool) -> None:
    recorded_history = history(
        request(), attempt(after_seconds=0.2, propagated_timeout_seconds=announced_seconds)
    )
    assert bool(list(check_deadline_propagation(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(("received", "is_broken"), [("sent", False), ("something else", True)])
def test_server_receives_what_the_client_has_sent(received: str, is_broken: bool) -> None:
    recorded_history = history(request(content_digest="sent"), attempt(content_digest=received))
    assert bool(list(check_request_integrity(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(("was_read_slowly", "is_broken"), [(False, True), (True, False)])
def test_announced_time_counts_from_the_first_byte_where_the_server_reads_slowly(
    was_read_slowly: bool, is_broken: bool
) -> None:
    slow_attempt = attempt(0.01, received_at_seconds=SENT_AT_SECONDS + 0.6, was_read_slowly=was_read_slowly)
    violations = list(check_deadline_propagation(history(request(), slow_attempt), deployment()))
    assert bool(violations) == is_broken

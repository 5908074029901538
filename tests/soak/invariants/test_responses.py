"""Tests of the invariants of the responses that clients get."""

from __future__ import annotations

from typing import Any

import pytest

from soak.deployment import DeduplicationScope
from soak.history.events import (
    AttemptEnd,
    ClientRequest,
    ConnectionEnd,
    HarnessLag,
    InjectedFault,
    SidecarIncarnation,
)
from soak.invariants.responses import check_final_responses, check_rejections, check_response_origin
from tests.soak.histories import (
    SENT_AT_SECONDS,
    attempt,
    deployment,
    history,
    request,
    sidecar_incarnation,
    unanswered,
)

DEADLINE_SECONDS = SENT_AT_SECONDS + 1.0
CLOSED: dict[str, Any] = {"end": ConnectionEnd.CLOSED, "ended_at_seconds": SENT_AT_SECONDS + 0.01}


@pytest.mark.parametrize(
    ("client_request", "is_broken"),
    [
        (request(), False),
        (request(answered_at_seconds=DEADLINE_SECONDS + 0.4), False),
        (request(answered_at_seconds=DEADLINE_SECONDS + 0.6), True),
        # The responses to earlier requests on the connection come first.
        (
            request(answered_at_seconds=DEADLINE_SECONDS + 0.6, blocked_until_seconds=DEADLINE_SECONDS + 0.5),
            False,
        ),
        (unanswered(), True),
        (unanswered(disconnected_at_seconds=SENT_AT_SECONDS + 0.1), False),
        # Only a connection that has been idle for long may be closed at the same time as a request is sent.
        (unanswered(**CLOSED), True),
        (unanswered(**CLOSED, is_first_on_connection=False, connection_idle_seconds=0.1), True),
        (unanswered(**CLOSED, is_first_on_connection=False, connection_idle_seconds=3.0), False),
        # The connection ended within a response, which the account server may have truncated.
        (
            unanswered(end=ConnectionEnd.TRUNCATED_RESPONSE, ended_at_seconds=SENT_AT_SECONDS + 0.1),
            False,
        ),
        # Its client was still reading it.
        (
            unanswered(
                end=ConnectionEnd.TRUNCATED_RESPONSE,
                ended_at_seconds=SENT_AT_SECONDS + 0.1,
                reading_seconds=0.9,
            ),
            True,
        ),
        (request(answered_at_seconds=DEADLINE_SECONDS + 0.6, reading_seconds=0.9), False),
    ],
)
def test_final_response(client_request: ClientRequest, is_broken: bool) -> None:
    violations = list(check_final_responses(history(client_request, sidecar_incarnation()), deployment()))
    assert bool(violations) == is_broken


@pytest.mark.parametrize(
    ("incarnation", "is_broken"),
    [
        (
            sidecar_incarnation(
                killed_at_seconds=SENT_AT_SECONDS + 0.5,
                stop_requested_at_seconds=None,
                ended_at_seconds=SENT_AT_SECONDS + 0.5,
            ),
            False,
        ),
        (
            sidecar_incarnation(
                killed_at_seconds=SENT_AT_SECONDS + 0.5,
                stop_requested_at_seconds=SENT_AT_SECONDS - 1,
                ended_at_seconds=SENT_AT_SECONDS + 0.5,
            ),
            True,
        ),
        (
            sidecar_incarnation(
                stop_requested_at_seconds=SENT_AT_SECONDS - 1, ended_at_seconds=SENT_AT_SECONDS + 0.5
            ),
            True,
        ),
    ],
    ids=["killed", "killed after SIGTERM", "ended after SIGTERM"],
)
def test_final_response_of_process_that_ends(incarnation: SidecarIncarnation, is_broken: bool) -> None:
    client_request = unanswered(end=ConnectionEnd.RESET, ended_at_seconds=SENT_AT_SECONDS + 0.5)
    violations = list(check_final_responses(history(client_request, incarnation), deployment()))
    assert bool(violations) == is_broken


def test_lag_of_the_harness_excuses_a_late_response() -> None:
    recorded_history = history(request(answered_at_seconds=DEADLINE_SECONDS + 0.6), sidecar_incarnation())
    recorded_history.lags.append(HarnessLag(DEADLINE_SECONDS, DEADLINE_SECONDS + 0.2))
    assert not list(check_final_responses(recorded_history, deployment()))


@pytest.mark.parametrize(("body", "is_broken"), [("n0-1 s0-1", False), ("n0-2 s0-1", True)])
def test_response_origin(body: str, is_broken: bool) -> None:
    recorded_history = history(request(body=body), attempt())
    assert bool(list(check_response_origin(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(("lag_seconds", "is_broken"), [(0.003, True), (0.01, False)])
def test_response_is_excused_only_where_the_harness_delayed_a_duplicate(
    lag_seconds: float, is_broken: bool
) -> None:
    recorded_history = history(request(body="n0-2 s0-1"), attempt())
    recorded_history.lags.append(HarnessLag(SENT_AT_SECONDS, SENT_AT_SECONDS + lag_seconds))
    recorded_history.faults.append(
        InjectedFault(
            "account servers send duplicate responses", "8 servers", 9.0, 11.0, sends_duplicate_responses=True
        )
    )
    assert bool(list(check_response_origin(recorded_history, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("request_class", "end", "is_broken"),
    [
        ("read", AttemptEnd.CLOSED_BY_SIDECAR, False),
        ("change", AttemptEnd.CLOSED_BY_SIDECAR, True),
        ("invoice", AttemptEnd.CLOSED_BY_SIDECAR, True),
        ("invoice", AttemptEnd.REJECTED, False),
    ],
)
def test_rejection_after_attempt(request_class: str, end: AttemptEnd, is_broken: bool) -> None:
    rejected = request(request_class, status=503, answered_at_seconds=SENT_AT_SECONDS + 0.5)
    recorded_history = history(rejected, attempt(end=end))
    violations = list(
        check_rejections(recorded_history, deployment(deduplication_scope=DeduplicationScope.CELL))
    )
    assert bool(violations) == is_broken

"""Tests of the events that explain a violation."""

from __future__ import annotations

from soak.invariants.evidence import relevant_events
from soak.invariants.responses import check_final_responses
from tests.soak.histories import attempt, deployment, history, sidecar_incarnation, unanswered


def test_evidence_of_a_violation_has_its_attempts_and_processes() -> None:
    given = history(unanswered(), attempt(), attempt(request_id="n0-2"), sidecar_incarnation())
    [violation] = check_final_responses(given, deployment())
    events = relevant_events(given, violation)
    assert events == [given.requests["n0-1"], given.attempts[0], given.sidecars[0]]

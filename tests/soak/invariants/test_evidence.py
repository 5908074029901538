"""Tests of the events that are reported to explain a violation."""

from __future__ import annotations

from soak.invariants.evidence import relevant_events
from soak.invariants.responses import check_final_responses
from tests.soak.histories import attempt, deployment, history, sidecar_incarnation, unanswered


def test_evidence_of_a_violation_has_its_attempts_and_processes() -> None:
    recorded_history = history(unanswered(), attempt(), attempt(request_id="n0-2"), sidecar_incarnation())
    [violation] = check_final_responses(recorded_history, deployment())
    events = relevant_events(recorded_history, violation)
    assert events == [
        recorded_history.requests["n0-1"],
        recorded_history.attempts[0],
        recorded_history.sidecars[0],
    ]

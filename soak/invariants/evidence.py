"""Collects the events that explain a violation."""

from __future__ import annotations

import math

from soak.history.events import ClientRequest, SidecarIncarnation
from soak.history.history import History
from soak.invariants.tolerances import OBSERVATION_ORDER_SECONDS
from soak.invariants.violation import Violation

EVIDENCE_WINDOW_SECONDS = 3.0
"""Seconds before a violation in which faults are reported with it: the longest duration of a fault."""


def relevant_events(history: History, violation: Violation) -> list[object]:
    """Return the events of a violation, its requests' attempts and processes, and the faults around it."""
    events: list[object] = list(violation.events)
    start_seconds = violation.at_seconds - EVIDENCE_WINDOW_SECONDS
    for subject in violation.events:
        if isinstance(subject, ClientRequest):
            start_seconds = min(start_seconds, subject.sent_at_seconds - OBSERVATION_ORDER_SECONDS)
            events += history.attempts_of(subject.request_id)
            events += [
                incarnation
                for incarnation in history.sidecars
                if _ran_during(incarnation, subject, violation.at_seconds)
            ]
    events += history.faults_within(start_seconds, violation.at_seconds)
    return events


def _ran_during(incarnation: SidecarIncarnation, request: ClientRequest, until_seconds: float) -> bool:
    """Return whether the process could have had the request in flight."""
    ended_at_seconds = math.inf if incarnation.ended_at_seconds is None else incarnation.ended_at_seconds
    return (
        incarnation.sidecar == request.sidecar
        and incarnation.started_at_seconds <= until_seconds
        and ended_at_seconds >= request.sent_at_seconds
    )

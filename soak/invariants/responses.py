"""Invariants of the responses that clients get."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

from soak.deployment import Deployment
from soak.history.events import ClientRequest, ConnectionEnd
from soak.history.history import History
from soak.invariants.exemptions import is_keep_alive_race, was_killed, was_stopped
from soak.invariants.tolerances import LATE_RESPONSE_SECONDS, OBSERVATION_ORDER_SECONDS
from soak.invariants.violation import Invariant, Violation, request_violation

MIN_MISMATCH_LAG_SECONDS = 0.004
"""Seconds from which on a lag of the soak may delay a duplicate response beyond the allowed time.

An account server may send a duplicate only within a few milliseconds of the response.
"""
MISMATCH_LAG_WINDOW_SECONDS = 0.5
"""Seconds before a response in which such a lag may have delayed a duplicate response."""
PROCESS_END_SECONDS = 0.5
"""Seconds around the end of a process in which it may end the connections of its clients."""
REJECTION_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""The statuses with which a sidecar rejects a request, with the promise that it was not executed."""


def check_final_responses(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """Each request gets a final response in time, unless its client disconnects or its process is killed."""
    for request in history.requests.values():
        was_sent = request.sent_at_seconds != 0.0
        if not was_sent or request.disconnected_at_seconds is not None or was_killed(history, request):
            continue
        violation = _final_response_violation(history, request)
        if violation is not None:
            yield violation


def _final_response_violation(history: History, request: ClientRequest) -> Violation | None:
    limit_seconds = max(request.deadline_seconds, request.blocked_until_seconds) + LATE_RESPONSE_SECONDS
    limit_seconds += 2 * request.reading_seconds
    limit_seconds += history.lag_seconds_within(request.sent_at_seconds, limit_seconds)
    if request.answered_at_seconds is not None:
        if request.answered_at_seconds <= limit_seconds:
            return None
        lateness_seconds = request.answered_at_seconds - request.deadline_seconds
        return request_violation(
            Invariant.FINAL_RESPONSE,
            f"response came {lateness_seconds:.2f} s late",
            request.answered_at_seconds,
            request,
        )
    if request.end is None:
        return request_violation(Invariant.FINAL_RESPONSE, "no response came", limit_seconds, request)
    ended_at_seconds = request.ended_at_seconds or request.sent_at_seconds
    if request.end == ConnectionEnd.TRUNCATED_RESPONSE:
        return _cut_response_violation(history, request, ended_at_seconds)
    if is_keep_alive_race(history, request):
        return None
    after_seconds = ended_at_seconds - request.sent_at_seconds
    message = f"connection {request.end.value} {after_seconds:.3f} s after the request"
    return request_violation(Invariant.FINAL_RESPONSE, message, ended_at_seconds, request)


def _cut_response_violation(
    history: History, request: ClientRequest, ended_at_seconds: float
) -> Violation | None:
    """Return the violation of a response that ended early although its client was still reading it slowly.

    At the exit time of a shutdown a process ends whatever its clients still read.
    """
    start_seconds = ended_at_seconds - PROCESS_END_SECONDS
    end_seconds = ended_at_seconds + PROCESS_END_SECONDS
    process_ended = was_stopped(history, request.sidecar, start_seconds, end_seconds)
    if not request.reading_seconds or process_ended:
        return None
    message = "the connection ended within a response that its client was still reading"
    return request_violation(Invariant.FINAL_RESPONSE, message, ended_at_seconds, request)


def check_response_origin(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """The body of each successful response was sent by an account server for the same request."""
    bodies_by_request: dict[str, set[str]] = {}
    for attempt in history.attempts:
        bodies_by_request.setdefault(attempt.request_id, set()).add(attempt.body)
    for request in history.requests.values():
        if request.status != HTTPStatus.OK:
            continue
        if request.body in bodies_by_request.get(request.request_id, set()):
            continue
        at_seconds = request.answered_at_seconds or request.sent_at_seconds
        if not _may_be_late_duplicate_response(history, at_seconds):
            message = "no account server sent this response for the request"
            yield request_violation(Invariant.RESPONSE_ORIGIN, message, at_seconds, request)


def _may_be_late_duplicate_response(history: History, at_seconds: float) -> bool:
    """Return whether a lag of the soak may have delayed a duplicate response for longer than is allowed.

    A sidecar may take such a duplicate for the response to the next request on the connection. It then takes
    the actual response to that request for the response to the one after it.
    """
    start_seconds = at_seconds - MISMATCH_LAG_WINDOW_SECONDS
    if history.longest_lag_seconds_within(start_seconds, at_seconds) < MIN_MISMATCH_LAG_SECONDS:
        return False
    return any(fault.sends_duplicate_responses for fault in history.faults_within(start_seconds, at_seconds))


def check_rejections(history: History, deployment: Deployment) -> Iterator[Violation]:
    """No request is rejected that may have executed and is not safe to retry at every server.

    A rejection promises that a retry is safe.
    """
    attempts_by_request = history.attempts_by_request()
    for request in history.requests.values():
        if request.status not in REJECTION_STATUSES or request.answered_at_seconds is None:
            continue
        if deployment.request_class(request.request_class).is_always_safe_to_retry:
            continue
        latest_seconds = request.answered_at_seconds - OBSERVATION_ORDER_SECONDS
        executed = [
            attempt
            for attempt in attempts_by_request.get(request.request_id, [])
            if attempt.may_have_executed and attempt.received_at_seconds < latest_seconds
        ]
        if executed:
            message = f"rejected after {len(executed)} attempts that may have executed"
            yield request_violation(Invariant.REJECTION, message, request.answered_at_seconds, request)

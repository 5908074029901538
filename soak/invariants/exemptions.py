"""Exemptions of requests and connections from invariants: the end of a process, and keep-alive races.

In a keep-alive race the client writes a request while the sidecar closes the idle connection.
"""

from __future__ import annotations

import math

from soak.history.events import ClientRequest
from soak.history.history import History
from soak.history.keep_alive_race import KEEP_ALIVE_RACE_SECONDS, seconds_until_end
from soak.invariants.tolerances import LATE_RESPONSE_SECONDS

MIN_IDLE_BEFORE_CLOSE_SECONDS = 1.9
"""Seconds for which a connection has to be idle before a sidecar may close it, except during a shutdown."""


def was_killed(history: History, request: ClientRequest) -> bool:
    """Return whether the process with the request was killed before its response was due.

    A process that was killed after SIGTERM does not count, because it had the time to respond.
    """
    return any(
        incarnation.sidecar == request.sidecar
        and incarnation.killed_at_seconds is not None
        and incarnation.stop_requested_at_seconds is None
        and incarnation.started_at_seconds <= request.sent_at_seconds
        and request.sent_at_seconds <= (incarnation.ended_at_seconds or math.inf)
        and incarnation.killed_at_seconds <= request.deadline_seconds + LATE_RESPONSE_SECONDS
        for incarnation in history.sidecars
    )


def was_stopped(history: History, sidecar: str, start_seconds: float, end_seconds: float) -> bool:
    """Return whether a process of the sidecar ended, was killed or was asked to stop in an interval."""
    for incarnation in history.sidecars:
        if incarnation.sidecar != sidecar:
            continue
        stop_times_seconds = (
            incarnation.stop_requested_at_seconds,
            incarnation.killed_at_seconds,
            incarnation.ended_at_seconds,
        )
        if any(start_seconds <= at_seconds <= end_seconds for at_seconds in stop_times_seconds if at_seconds):
            return True
    return False


def is_keep_alive_race(history: History, request: ClientRequest) -> bool:
    """Return whether the sidecar closed the idle connection while the request was being written.

    The sidecar has not read such a request, so the client may retry it.
    """
    if request.is_first_on_connection:
        return False
    ended_at_seconds = request.sent_at_seconds + seconds_until_end(request)
    incarnation = history.incarnation_at(request.sidecar, request.sent_at_seconds)
    is_stopping = (
        incarnation is None or (incarnation.stop_requested_at_seconds or math.inf) <= ended_at_seconds
    )
    if not is_stopping and request.connection_idle_seconds < MIN_IDLE_BEFORE_CLOSE_SECONDS:
        return False
    limit_seconds = KEEP_ALIVE_RACE_SECONDS
    limit_seconds += history.lag_seconds_within(request.sent_at_seconds, ended_at_seconds)
    return seconds_until_end(request) <= limit_seconds

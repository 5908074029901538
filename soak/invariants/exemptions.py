"""What exempts a request or a connection from an invariant: its process ended, or a keep-alive race."""

from __future__ import annotations

import math

from soak.history.events import ClientRequest
from soak.history.history import History
from soak.invariants.tolerances import LATE_RESPONSE_SECONDS

KEEP_ALIVE_RACE_SECONDS = 0.05
"""Seconds. An idle connection that ends this soon after a request was written raced with the request."""
MIN_IDLE_BEFORE_CLOSE_SECONDS = 1.9
"""Seconds. A connection may be closed once it has been idle this long; at once during a shutdown."""


def was_killed(history: History, request: ClientRequest) -> bool:
    """Return whether the process with the request was killed before its response was due."""
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
    """Return whether a process of the sidecar ended, or was asked to stop, within a time."""
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
    """Return whether the request met the close of an idle connection: it was not read and may be retried."""
    if request.is_first_on_connection:
        return False
    ended_at_seconds = (
        request.sent_at_seconds if request.ended_at_seconds is None else request.ended_at_seconds
    )
    incarnation = history.incarnation_at(request.sidecar, request.sent_at_seconds)
    is_stopping = (
        incarnation is None or (incarnation.stop_requested_at_seconds or math.inf) <= ended_at_seconds
    )
    if not is_stopping and request.connection_idle_seconds < MIN_IDLE_BEFORE_CLOSE_SECONDS:
        return False
    limit_seconds = KEEP_ALIVE_RACE_SECONDS
    limit_seconds += history.lag_seconds_within(request.sent_at_seconds, ended_at_seconds)
    return ended_at_seconds - request.sent_at_seconds <= limit_seconds

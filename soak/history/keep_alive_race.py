"""Keep-alive races: a client writes a request while the sidecar closes the idle connection."""

from __future__ import annotations

from soak.history.events import ClientRequest

KEEP_ALIVE_RACE_SECONDS = 0.05
"""Seconds after the writing of a request within which the end of an idle connection is a race with it."""


def seconds_until_end(request: ClientRequest) -> float:
    """Return how long after a request was written its connection ended; 0 if that is unknown."""
    if request.ended_at_seconds is None:
        return 0.0
    return request.ended_at_seconds - request.sent_at_seconds

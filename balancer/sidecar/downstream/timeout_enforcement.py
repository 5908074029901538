"""Closes clients' connections that exceed a time limit, or whose client has disconnected undetected."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.connection_lifecycle import CloseReason
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from balancer.sidecar.http.request import HttpRequestError


class EffectiveTimeouts(NamedTuple):
    """The time limits of one sweep, in seconds."""

    timeouts: DownstreamTimeouts
    """The configured limits, which do not depend on the state of the listener."""
    idle_seconds: float
    """Limit between two requests; shorter while more than half of the allowed connections are open."""
    linger_seconds: float
    """Limit for lingering once the last response is sent, which is shorter during shutdown."""


def enforce_timeouts(
    connection: DownstreamConnection, effective: EffectiveTimeouts, now_seconds: float
) -> None:
    """Close a connection if it has exceeded a limit, or if its client has disconnected without an event.

    Args:
        connection: the connection.
        effective: the limits of the current sweep.
        now_seconds: the event loop's time.
    """
    if not connection.is_connected:
        return
    if _is_disconnect_undetected(connection):
        connection.abort(CloseReason.CLIENT_DISCONNECTED)
        return
    connection.check_response_progress()
    waited_seconds = connection.seconds_waited(now_seconds)
    if connection.lifecycle.is_lingering or not connection.is_open:
        if waited_seconds > _linger_timeout_seconds(connection, effective):
            connection.abort(CloseReason.LINGERED)
    elif connection.flow_control.is_write_blocked:
        if waited_seconds > effective.timeouts.unread_response_seconds:
            connection.abort(CloseReason.UNREAD_RESPONSES)
    elif connection.is_idle:
        if waited_seconds > _idle_timeout_seconds(connection, effective):
            connection.close_unless_unread(CloseReason.IDLE)
    elif _is_request_overdue(connection, effective.timeouts, waited_seconds, now_seconds):
        connection.reject_request(HttpRequestError(HTTPStatus.REQUEST_TIMEOUT))


def _is_disconnect_undetected(connection: DownstreamConnection) -> bool:
    """Return whether the client has disconnected while reading is paused, when no event reports it."""
    return connection.flow_control.is_reading_paused and connection.is_open and connection.is_disconnected()


def _linger_timeout_seconds(connection: DownstreamConnection, effective: EffectiveTimeouts) -> float:
    """Return how long a closing connection may wait; an abort drops a response that is still unsent."""
    if connection.has_unsent_response:
        return effective.timeouts.unread_response_seconds
    return effective.linger_seconds


def _idle_timeout_seconds(connection: DownstreamConnection, effective: EffectiveTimeouts) -> float:
    if connection.has_sent_request:
        return effective.idle_seconds
    return effective.timeouts.first_byte_seconds


def _is_request_overdue(
    connection: DownstreamConnection,
    timeouts: DownstreamTimeouts,
    waited_seconds: float,
    now_seconds: float,
) -> bool:
    """Return whether a partial request has been arriving for too long, with no earlier one before it."""
    if connection.has_pending_responses or connection.has_waiting_requests:
        return False
    if not connection.has_sent_request:
        return waited_seconds > timeouts.first_request_seconds
    is_stalled = connection.seconds_since_last_arrival(now_seconds) > timeouts.stalled_request_seconds
    return is_stalled or waited_seconds > timeouts.request_seconds

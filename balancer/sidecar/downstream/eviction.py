"""The order in which client connections are evicted for a new one above the limit on connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import Enum, auto
from typing import NamedTuple

from balancer.sidecar.downstream.connection import DownstreamConnection


class EvictionAction(Enum):
    """How a connection is evicted."""

    ABORT = auto()
    """Close both sides at once, which frees its descriptor. The sidecar's side has been closed before."""
    CLOSE = auto()
    """Close the sidecar's side."""
    REJECT_REQUEST = auto()
    """Respond to the request that is arriving, and close the sidecar's side after the response."""


class Eviction(NamedTuple):
    """A connection and how to evict it."""

    connection: DownstreamConnection
    action: EvictionAction


class EvictionCandidates(NamedTuple):
    """The open connections, in groups that are each in the order of last use, least recently used first."""

    lingering: Iterable[DownstreamConnection]
    """Connections of which the sidecar's side is closed."""
    without_request: Iterable[DownstreamConnection]
    """Connections that have not sent a valid request yet, except the new one."""
    with_request: Iterable[DownstreamConnection]
    """Connections that have sent a valid request."""
    new: DownstreamConnection
    """The new connection."""


def eviction_order(
    candidates: EvictionCandidates, now_seconds: float, grace_seconds: float
) -> Iterator[Eviction]:
    """Yield the connections that may be evicted, in the order of preference.

    1. Connections that linger, and whose responses are all sent.
    2. Connections that have sent nothing, after their grace period.
    3. Connections between two requests, whose responses are all sent.
    4. Connections that have sent nothing.
    5. Connections that linger with a response that their client does not read.
    6. The connection whose request has been arriving for longest, after the grace period. It gets a
       response, which must not be cut off while the client still sends. So while one such connection lingers,
       no other is chosen.
    7. The new connection, unread.

    Never evicted are connections with an accepted request, with bytes that are still unread, and with a
    response that their client reads.

    A client may take a moment from connecting to sending its request. Without the grace period, it could be
    evicted for a client that has not sent a request either, while other connections rest.

    Args:
        candidates: the open connections.
        now_seconds: the event loop's time.
        grace_seconds: how long a connection may go without a complete request before it is preferred.
    """

    def is_overdue(connection: DownstreamConnection) -> bool:
        # The time is compared first, because the socket is polled to see whether a connection rests. In a
        # flood of new connections, each of them would cause a poll of all others.
        return connection.seconds_waited(now_seconds) > grace_seconds and _is_resting(connection)

    yield from _evictions(candidates.lingering, _has_finished, EvictionAction.ABORT)
    yield from _evictions(candidates.without_request, is_overdue, EvictionAction.CLOSE)
    yield from _evictions(candidates.with_request, _is_resting, EvictionAction.CLOSE)
    yield from _evictions(candidates.without_request, _is_resting, EvictionAction.CLOSE)
    yield from _evictions(candidates.lingering, _is_unread, EvictionAction.ABORT)
    yield from _rejections(candidates, now_seconds, grace_seconds)
    yield Eviction(candidates.new, EvictionAction.CLOSE)


def _evictions(
    connections: Iterable[DownstreamConnection],
    may_be_evicted: Callable[[DownstreamConnection], bool],
    action: EvictionAction,
) -> Iterator[Eviction]:
    return (Eviction(connection, action) for connection in connections if may_be_evicted(connection))


def _rejections(
    candidates: EvictionCandidates, now_seconds: float, grace_seconds: float
) -> Iterator[Eviction]:
    """Yield the connection whose request has been arriving for longest, if it may be rejected."""
    if any(connection.lifecycle.is_request_evicted for connection in candidates.lingering):
        return
    overdue = [
        connection
        for connection in (*candidates.without_request, *candidates.with_request)
        if connection.seconds_waited(now_seconds) > grace_seconds and _is_receiving(connection)
    ]
    if overdue:
        longest = max(overdue, key=lambda connection: connection.seconds_waited(now_seconds))
        yield Eviction(longest, EvictionAction.REJECT_REQUEST)


def _has_finished(connection: DownstreamConnection) -> bool:
    return not connection.has_unsent_response and not connection.lifecycle.is_request_evicted


def _is_unread(connection: DownstreamConnection) -> bool:
    return connection.has_unsent_response and not connection.response_progress.is_being_read


def _is_resting(connection: DownstreamConnection) -> bool:
    return connection.is_idle and not _is_served(connection)


def _is_receiving(connection: DownstreamConnection) -> bool:
    return connection.has_partial_request and not _is_served(connection)


def _is_served(connection: DownstreamConnection) -> bool:
    """Return whether a response is pending or unsent, or may become pending with bytes that wait."""
    is_answering = connection.has_pending_responses or connection.has_unsent_response
    return is_answering or connection.has_waiting_requests or connection.has_unread_bytes()

"""The open connections of clients, and which of them makes room for a new one."""

from __future__ import annotations

from itertools import islice

from balancer.sidecar.downstream.connection import DownstreamConnection


class ConnectionRegistry:
    """The open connections in three groups, each in the order of last use, oldest first."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._without_request: dict[DownstreamConnection, None] = {}
        """Those that have not sent a valid request yet."""
        self._with_request: dict[DownstreamConnection, None] = {}
        """Those that have."""
        self._lingering: dict[DownstreamConnection, None] = {}
        """Those that are closed but for the client's side."""
        self._open_count = 0
        """File descriptors: all of these, and aborted connections that the loop has yet to close."""

    def __len__(self) -> int:
        return self._open_count

    @property
    def excess(self) -> int:
        """By how many connections the limit is exceeded; negative if it is not."""
        return self._open_count - self._max_connections

    @property
    def is_crowded(self) -> bool:
        """Whether more than half of the connections allowed are open."""
        return self._open_count > self._max_connections // 2

    def accepting(self) -> list[DownstreamConnection]:
        """Return the connections that may send requests."""
        return [*self._without_request, *self._with_request]

    def all(self) -> list[DownstreamConnection]:
        """Return all connections that are not being aborted."""
        return [*self._lingering, *self._without_request, *self._with_request]

    def add(self, connection: DownstreamConnection) -> None:
        """Add a new connection."""
        self._open_count += 1
        self._without_request[connection] = None

    def mark_used(self, connection: DownstreamConnection) -> None:
        """Note that a connection has just sent a valid request."""
        self._without_request.pop(connection, None)
        self._with_request.pop(connection, None)
        self._with_request[connection] = None

    def mark_lingering(self, connection: DownstreamConnection) -> None:
        """Note that our side of a connection has been closed."""
        self._drop(connection)
        self._lingering[connection] = None

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is gone."""
        self._drop(connection)
        self._open_count -= 1

    def pop_lingering(self, count: int) -> list[DownstreamConnection]:
        """Remove and return this many of the connections that have lingered for longest, or all of them.

        Their descriptors are in use until `remove`.
        """
        oldest = list(islice(self._lingering, max(0, count)))
        for connection in oldest:
            del self._lingering[connection]
        return oldest

    def select_eviction(
        self, newcomer: DownstreamConnection, now_seconds: float, grace_seconds: float
    ) -> DownstreamConnection:
        """Return the connection to close for a newcomer, which is that one itself if no other can be closed.

        First comes the oldest that ought to have sent a request by now, then the one that has been idle for
        longest, then the oldest without a request. A client may take a moment from connecting to its request:
        closed for newer ones that are no further, it would lose its turn while connections of clients that
        once sent a request stand idle.
        """
        silent = self._oldest_silent()
        if silent is not None and silent.seconds_waited(now_seconds) > grace_seconds:
            return silent
        return self._longest_idle() or silent or newcomer

    def _oldest_silent(self) -> DownstreamConnection | None:
        for connection in self._without_request:
            if not connection.has_pending_responses and not connection.has_unread_bytes():
                return connection
        return None

    def _longest_idle(self) -> DownstreamConnection | None:
        for connection in self._with_request:
            if connection.is_idle and not connection.has_unread_bytes():
                return connection
        return None

    def _drop(self, connection: DownstreamConnection) -> None:
        for group in (self._with_request, self._without_request, self._lingering):
            group.pop(connection, None)

"""The open connections of clients, and the choice of the one to evict for a new connection."""

from __future__ import annotations

from itertools import islice

from balancer.sidecar.downstream.connection import DownstreamConnection


class ConnectionRegistry:
    """The open connections in three groups, each in the order of last use, least recently used first.

    Args:
        max_connections: the limit on open connections, from which `excess` and `is_above_half_capacity` are
            computed.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._without_request: dict[DownstreamConnection, None] = {}
        """Connections that have not sent a valid request yet."""
        self._with_request: dict[DownstreamConnection, None] = {}
        """Connections that have sent a valid request."""
        self._lingering: dict[DownstreamConnection, None] = {}
        """Connections of which the sidecar's side is closed."""
        self._open_count = 0
        """Number of descriptors in use: by all of the above, and by aborted connections until `remove`."""

    def __len__(self) -> int:
        """Return the number of connections whose file descriptor is in use."""
        return self._open_count

    @property
    def excess(self) -> int:
        """Return by how many connections the limit is exceeded; negative if it is not."""
        return self._open_count - self._max_connections

    @property
    def is_above_half_capacity(self) -> bool:
        """Return whether more than half of the allowed connections are open."""
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
        """Record that a connection has just sent a valid request."""
        self._without_request.pop(connection, None)
        self._with_request.pop(connection, None)
        self._with_request[connection] = None

    def mark_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the sidecar's side of a connection has been closed."""
        self._drop(connection)
        self._lingering[connection] = None

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed."""
        self._drop(connection)
        self._open_count -= 1

    def pop_lingering(self, count: int) -> list[DownstreamConnection]:
        """Remove and return this many of the connections that have lingered for longest, or all of them.

        Their descriptors stay in use, and are counted, until `remove`.
        """
        oldest = list(islice(self._lingering, max(0, count)))
        for connection in oldest:
            del self._lingering[connection]
        return oldest

    def select_eviction(
        self, new_connection: DownstreamConnection, now_seconds: float, grace_seconds: float
    ) -> DownstreamConnection:
        """Return the connection to close for a new one: the new one itself if no other can be closed.

        The order of preference is:

        - the oldest connection without a request, if its grace period is over;
        - the connection that has been idle for longest since its last request;
        - the oldest connection without a request.

        A client may take a moment from connecting to sending its request. Without the grace period, it could
        be evicted for a client that has not sent a request either, while connections that have carried a
        request stay open and idle.

        Args:
            new_connection: the new connection.
            now_seconds: the event loop's time.
            grace_seconds: how long a connection may go without a request before it is evicted first.
        """
        without_request = self._oldest_without_request()
        if without_request is not None and without_request.seconds_waited(now_seconds) > grace_seconds:
            return without_request
        return self._longest_idle() or without_request or new_connection

    def _oldest_without_request(self) -> DownstreamConnection | None:
        """Return the oldest connection that has sent no valid request and can be closed, if there is one.

        A connection with pending responses or unread bytes can't be closed.
        """
        for connection in self._without_request:
            if not connection.has_pending_responses and not connection.has_unread_bytes():
                return connection
        return None

    def _longest_idle(self) -> DownstreamConnection | None:
        """Return the connection that has been idle for longest since its last request, if there is one."""
        for connection in self._with_request:
            if connection.is_idle and not connection.has_unread_bytes():
                return connection
        return None

    def _drop(self, connection: DownstreamConnection) -> None:
        self._with_request.pop(connection, None)
        self._without_request.pop(connection, None)
        self._lingering.pop(connection, None)

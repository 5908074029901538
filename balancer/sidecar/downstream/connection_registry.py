"""The open connections of clients, and how many of them to evict for a new connection."""

from __future__ import annotations

from itertools import islice

from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.eviction import (
    Eviction,
    EvictionAction,
    EvictionCandidates,
    eviction_order,
)


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

    def mark_aborted(self, connection: DownstreamConnection) -> None:
        """Record that a connection is being aborted; its descriptor is in use and counted until `remove`."""
        self._drop(connection)

    def select_evictions(
        self, new_connection: DownstreamConnection, now_seconds: float, grace_seconds: float
    ) -> list[Eviction]:
        """Return the connections to evict for a new one; none if the limit is not exceeded.

        These are as many as exceed the limit, the most preferred first, but at most one that is not aborted.
        The descriptor of a connection that is only closed is not free at once: closing more would not help.

        Args:
            new_connection: the new connection, which has been added.
            now_seconds: the event loop's time.
            grace_seconds: how long a connection may go without a complete request before it is preferred.
        """
        if self.excess <= 0:
            return []
        candidates = EvictionCandidates(
            lingering=self._lingering,
            without_request=[other for other in self._without_request if other is not new_connection],
            with_request=self._with_request,
            new=new_connection,
        )
        evictions: list[Eviction] = []
        for eviction in islice(eviction_order(candidates, now_seconds, grace_seconds), self.excess):
            evictions.append(eviction)
            if eviction.action is not EvictionAction.ABORT:
                break
        return evictions

    def _drop(self, connection: DownstreamConnection) -> None:
        self._with_request.pop(connection, None)
        self._without_request.pop(connection, None)
        self._lingering.pop(connection, None)

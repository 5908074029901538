"""The idle connections to one endpoint."""

from __future__ import annotations

from balancer.policy_api import EndpointHealth, EndpointId
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.address import Address
from balancer.time_units import SECOND_NS

CONNECTION_REUSE_DELAY_NS = SECOND_NS // 125
"""Time for which a connection that was used carries no further request: 8 ms.

A second response to one request may come some milliseconds after the first. Taken for the response to a
request that was written in the meantime, it would be forwarded, or state that the request was not executed.
"""

SURPLUS_IDLE_TIMEOUT_NS = 4 * SECOND_NS
"""Idle time after which a surplus connection, which a burst has left, is closed.

Each connection takes a part of the endpoint's capacity; a new handshake costs as much work as holding one
connection for two to six seconds.
"""


class EndpointPool:
    """The address and health of one endpoint, and the idle connections to it, the longest idle first.

    All points in time are those of one clock, which the callers read.

    Args:
        endpoint_id: the endpoint.
        address: its address.
        health: its health.
        max_idle_ns: the idle time after which a connection is not used again, as the endpoint may close it at
            any moment.

    Attributes:
        is_ready: whether the endpoint accepts new requests; an attribute, as each attempt reads it twice.
    """

    def __init__(
        self, endpoint_id: EndpointId, address: Address, health: EndpointHealth, max_idle_ns: int
    ) -> None:
        self.endpoint_id = endpoint_id
        self.address = address
        self.idle_connections: list[OutboundConnection] = []
        self._max_idle_ns = max_idle_ns
        self._set_health(health)

    def update(self, address: Address, health: EndpointHealth) -> None:
        """Apply the endpoint's entry in an endpoint update."""
        has_moved = address != self.address
        self.address = address
        self._set_health(health)
        if has_moved or not self.is_ready:
            self.close_idle_connections()

    def mark_removed(self) -> None:
        """Record that a snapshot does not list the endpoint."""
        self._set_health(EndpointHealth.REMOVED)
        self.close_idle_connections()

    def acquire(self, now_ns: int) -> OutboundConnection | None:
        """Remove and return the most recently used connection that may be reused now, or None.

        The most recently used one goes first so that the surplus grows old and is closed.
        """
        reusable_since_ns = now_ns - CONNECTION_REUSE_DELAY_NS
        usable_after_ns = now_ns - self._max_idle_ns
        for index in range(len(self.idle_connections) - 1, -1, -1):
            connection = self.idle_connections[index]
            if connection.idle_since_ns > reusable_since_ns:
                continue
            del self.idle_connections[index]
            if connection.idle_since_ns > usable_after_ns and connection.is_reusable():
                return connection
            connection.close()
        return None

    def release(self, connection: OutboundConnection, now_ns: int) -> None:
        """Keep a connection for the next request, or close it if it is not fit for one."""
        is_current = self.is_ready and connection.address == self.address
        if not is_current or not connection.is_reusable():
            connection.close()
            return
        connection.idle_since_ns = now_ns
        self.idle_connections.append(connection)
        while self.idle_connections[0].idle_since_ns < now_ns - SURPLUS_IDLE_TIMEOUT_NS:
            self.close_longest_idle()  # never the one that was released just now

    def seconds_until_reusable(self, now_ns: int) -> float:
        """Return in how many seconds the first idle connection may be reused; 0 if none is idle."""
        remaining_delay_ns = min(
            (
                connection.idle_since_ns + CONNECTION_REUSE_DELAY_NS - now_ns
                for connection in self.idle_connections
            ),
            default=0,
        )
        return remaining_delay_ns / SECOND_NS

    def discard(self, connection: OutboundConnection) -> None:
        """Remove a connection that is lost, if it was idle here."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest. There must be one."""
        self.idle_connections.pop(0).close()

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        idle_connections = self.idle_connections
        self.idle_connections = []
        for connection in idle_connections:
            connection.close()

    def _set_health(self, health: EndpointHealth) -> None:
        self.health = health
        self.is_ready = health == EndpointHealth.READY

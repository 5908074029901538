"""The connection pool of one endpoint."""

from __future__ import annotations

from balancer.policy_api import EndpointHealth, EndpointId
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.address import Address
from balancer.time_units import MILLISECOND_NS, SECOND_NS

CONNECTION_REUSE_DELAY_NS = 16 * MILLISECOND_NS
"""How long a connection is not reused after a response.

An endpoint may send a second response to a request some milliseconds after the first. If another request had
been written in the meantime, the second response would be taken for the response to that request. It would be
forwarded to the wrong client, or wrongly state that the request was not executed. One that arrives even later
is detected only if it comes before the next request has reached the endpoint's machine.
"""

SURPLUS_IDLE_TIMEOUT_NS = 4 * SECOND_NS
"""The idle time after which a surplus connection is closed, such as those that remain after a burst.

Each open connection takes a part of the endpoint's capacity. A new handshake costs the endpoint as much work
as keeping one connection open for two to six seconds.
"""


class EndpointPool:
    """The address and health of one endpoint, and the idle connections to it.

    The callers pass the current time, always from the same clock.

    Args:
        endpoint_id: The endpoint.
        address: The address of the endpoint.
        health: The health of the endpoint.
        max_idle_ns: The idle time after which a connection is not reused, because the endpoint may close it
            at any moment.

    Attributes:
        idle_connections: The idle connections, the longest idle first.
        is_ready: Whether the endpoint accepts new requests. It is an attribute rather than a property because
            each attempt reads it twice.
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

        The most recently used one is preferred, so that surplus connections stay idle and are closed.
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
        """Keep a connection for the next request, or close it if it cannot be reused."""
        is_current = self.is_ready and connection.address == self.address
        if not is_current or not connection.is_reusable():
            connection.close()
            return
        connection.idle_since_ns = now_ns
        self.idle_connections.append(connection)
        while self.idle_connections[0].idle_since_ns < now_ns - SURPLUS_IDLE_TIMEOUT_NS:
            self.close_longest_idle()  # the connection that was just released is never old enough

    def seconds_until_reusable(self, now_ns: int) -> float:
        """Return the number of seconds until an idle connection may be reused; 0 if none is idle."""
        remaining_delay_ns = min(
            (
                connection.idle_since_ns + CONNECTION_REUSE_DELAY_NS - now_ns
                for connection in self.idle_connections
            ),
            default=0,
        )
        return remaining_delay_ns / SECOND_NS

    def discard(self, connection: OutboundConnection) -> None:
        """Remove a lost connection from the idle ones, if it is one of them."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest. There must be an idle connection."""
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

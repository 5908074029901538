"""Counts of the attempts in flight, and the connections that were opened for them."""

from collections.abc import Container

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy_api import EndpointHealth, EndpointId

PEAK_DECAY = 0.99
"""Share of the peak that is kept per control cycle: its time constant is about half a minute.

The subsets grow with the peak, and a slow decay saves new connections, which are costly.
"""


class AttemptAccounting:
    """Counts the attempts in flight and records which endpoints have connections to this sidecar."""

    def __init__(self, streams_per_connection: int) -> None:
        self._streams_per_connection = streams_per_connection
        self.in_flight = 0
        self.peak_in_flight = 0.0
        """Largest number of attempts in flight at once, with exponential decay."""
        self.connected: dict[EndpointId, EndpointState] = {}

    def record_start(self, endpoint: EndpointState, now_ns: int) -> bool:
        """Record the start of an attempt and return whether it needs a new connection."""
        endpoint.start_attempt(now_ns)
        self.in_flight += 1
        needs_connection = endpoint.connections.reserve(endpoint.in_flight, self._streams_per_connection)
        if needs_connection:
            self.connected[endpoint.id] = endpoint
        return needs_connection

    def record_end(self, endpoint: EndpointState) -> None:
        """Record the end of an attempt, with any outcome."""
        endpoint.end_attempt()
        self.in_flight -= 1

    def raise_peak(self) -> None:
        """Set the peak to the number of attempts in flight now."""
        self.peak_in_flight = self.in_flight

    def end_cycle(self, is_overloaded: bool) -> None:
        """Let the peak decay, and raise it to the attempts in flight unless there is overload.

        During overload it does not rise, as new connections would add to the load.
        """
        self.peak_in_flight *= PEAK_DECAY
        if not is_overloaded:
            self.peak_in_flight = max(self.in_flight, self.peak_in_flight)

    def release_connections(self, retained: Container[EndpointId]) -> list[EndpointId]:
        """Release the connections to endpoints that are not retained and have no attempts in flight.

        Connections that get no more attempts would fill the connection tables of the endpoints.

        Returns:
            The ids of the endpoints whose idle connections have to be closed. An endpoint that is not ready
            closes its connections itself.
        """
        surplus = [
            endpoint
            for endpoint in self.connected.values()
            if endpoint.id not in retained and not endpoint.in_flight
        ]
        for endpoint in surplus:
            del self.connected[endpoint.id]
            endpoint.connections.close()
        return [endpoint.id for endpoint in surplus if endpoint.health == EndpointHealth.READY]

"""How long a client's connection may wait, by what it waits for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DownstreamTimeouts:
    """The time limits of the listener and its connections, in seconds."""

    sweep_interval_seconds: float = 0.25
    """Between two checks of all connections. One timer for all costs less than one for each."""

    first_byte_seconds: float = 2.25
    """For an idle connection that has not sent a valid request yet."""

    eviction_grace_seconds: float = 0.5
    """From accepting a connection until it may be evicted for not having sent a request.

    Up to then it is taken for one of a usual client, which may take a moment from connecting to its request.
    """

    first_request_seconds: float = 2.25
    """For a connection's first request to arrive whole."""

    request_seconds: float = 6.0
    """The same for a later request: this client has shown that it can send one."""

    idle_seconds: float = 30.0
    """Between two requests."""

    idle_crowded_seconds: float = 2.25
    """The same while more than half of the connections allowed are open."""

    unread_response_seconds: float = 5.0
    """For a client that does not read its responses."""

    linger_seconds: float = 2.0
    """From closing our side until the client closes its own, which has to read its last responses first."""

    linger_shutdown_seconds: float = 0.25
    """The same during shutdown, which must not wait for clients that leave their side open."""

    first_endpoint_list_seconds: float = 2.0
    """From the start until a sidecar that knows no endpoint reports itself ready all the same.

    Where discovery is up, a list comes within this time; where it is down, the application must not wait for
    it, and rejecting requests until a list comes does no harm.
    """


DEFAULT_TIMEOUTS = DownstreamTimeouts()

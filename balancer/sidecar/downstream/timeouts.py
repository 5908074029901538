"""The time limits of clients' connections, one for each state in which a connection waits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DownstreamTimeouts:
    """The time limits of the listener and its connections, in seconds."""

    sweep_interval_seconds: float = 0.25
    """Time between two sweeps over all connections. One timer for all is cheaper than one for each."""

    first_byte_seconds: float = 2.25
    """Limit for an idle connection that has not sent a valid request yet."""

    eviction_grace_seconds: float = 0.5
    """Time from accepting a connection until it may be evicted for not having sent a request.

    A well-behaved client may take some time between connecting and sending its request.
    """

    first_request_seconds: float = 2.25
    """Limit for the first request of a connection to arrive completely."""

    request_seconds: float = 6.0
    """Limit for a later request to arrive completely.

    It is longer, because the client has shown that it can send a valid request.
    """

    stalled_request_seconds: float = 2.25
    """Limit for a later request of which no further byte arrives: its client has stopped in the middle."""

    idle_seconds: float = 30.0
    """Limit between two requests."""

    reduced_idle_seconds: float = 2.25
    """Limit between two requests while more than half of the allowed connections are open."""

    unread_response_seconds: float = 5.0
    """Limit for a client that reads nothing of its responses. It restarts whenever the client reads."""

    linger_seconds: float = 2.0
    """Limit from when the last response is sent, on a closed connection, until the client closes its side."""

    linger_shutdown_seconds: float = 0.25
    """The linger limit during shutdown, which must not wait for clients that keep their side open."""

    first_endpoint_list_seconds: float = 2.0
    """Time from the start after which a sidecar reports itself ready even if it knows no endpoint.

    While discovery is up, an endpoint list arrives within this time. While it is down, the application must
    not wait for it; the sidecar rejects requests until a list arrives, and clients can safely retry those.
    """


DEFAULT_TIMEOUTS = DownstreamTimeouts()
"""The time limits of a sidecar in production."""

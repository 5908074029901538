"""The interfaces between the listener, its connections and the dispatcher of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.request import RequestHead
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.runtime.metrics import Metrics

if TYPE_CHECKING:
    from balancer.sidecar.downstream.connection import DownstreamConnection


class RequestDispatcher(Protocol):
    """Takes valid requests and responds to each of them once."""

    has_endpoints: bool
    """Whether the endpoint list has ever been non-empty."""
    metrics: Metrics
    """The counters of the sidecar."""

    def is_duplicate(self, client_request_id: bytes, /) -> bool:
        """Return whether a request with this id is in flight, or was perhaps executed already."""

    def submit(self, response_sink: ResponseSink, request: ClientRequest, waited_seconds: float, /) -> int:
        """Take a request that arrived this long ago, and return its id.

        The response may come before this returns.
        """

    def on_client_disconnected(self, request_id: int, /) -> None:
        """Abandon a request whose client has left."""


class TimeSource(Protocol):
    """Tells the event loop's time."""

    def now_seconds(self) -> float:
        """Return the event loop's time, in seconds."""


class ConnectionManager(TimeSource, Protocol):
    """What a connection needs of the listener that accepted it."""

    is_draining: bool
    """Whether a connection ends with the response after which it would be idle."""

    @property
    def dispatcher(self) -> RequestDispatcher:
        """Return what takes the valid requests."""

    def validate_request(self, head: RequestHead, body: bytes) -> ClientRequest:
        """Return the request as the dispatcher takes it. Raises HttpRequestError."""

    def readiness_response(self) -> HttpResponse:
        """Return the response to a readiness check."""

    def on_connection_opened(self, connection: DownstreamConnection) -> None:
        """Register a new connection and make room for it."""

    def on_request_accepted(self, connection: DownstreamConnection) -> None:
        """Record that a connection has sent a valid request."""

    def on_connection_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the sidecar's side of a connection is closed."""

    def on_connection_closed(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed."""

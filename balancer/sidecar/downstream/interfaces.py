"""The interfaces between the listener, its connections and the dispatcher of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balancer.sidecar.downstream.request_turns import TurnScheduler
from balancer.sidecar.http.buffer_budget import MessageBudgets
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
    budgets: MessageBudgets
    """The limits on the memory of messages."""

    def is_duplicate(self, client_request_id: bytes, /) -> bool:
        """Return whether a request with this id is in flight or may have been executed already."""

    def submit(
        self, response_sink: ResponseSink, request: ClientRequest, waited_seconds: float, /
    ) -> int | None:
        """Accept a request that arrived this many seconds ago, and return the dispatcher's id of it.

        The result is None if there is no memory for the request, which is rejected then. The response may be
        sent before this method returns.
        """

    def on_client_disconnected(self, request_id: int, /) -> None:
        """Abandon a request whose client has disconnected."""


class TimeSource(Protocol):
    """A clock that reads the event loop's time."""

    def now_seconds(self) -> float:
        """Return the event loop's time, in seconds."""


class ConnectionManager(TimeSource, TurnScheduler, Protocol):
    """The part of the listener that its connections use."""

    read_buffer: memoryview
    """The buffer into which each connection reads, one after the other."""
    is_draining: bool
    """Whether each connection is closed after the response that leaves it idle."""

    @property
    def dispatcher(self) -> RequestDispatcher:
        """Return the dispatcher of valid requests."""

    def validate_request(self, head: RequestHead, body: bytes) -> ClientRequest:
        """Validate a request, and convert it for the dispatcher. Raises HttpRequestError."""

    def readiness_response(self) -> HttpResponse:
        """Return the response to a readiness check."""

    def on_connection_opened(self, connection: DownstreamConnection) -> None:
        """Register a new connection, and close one if the limit on connections is exceeded."""

    def on_request_accepted(self, connection: DownstreamConnection) -> None:
        """Record that a connection has sent a valid request."""

    def on_connection_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the sidecar's side of a connection is closed."""

    def on_connection_closed(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed."""

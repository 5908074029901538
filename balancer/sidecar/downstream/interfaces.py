"""What the listener needs of the rest of the sidecar."""

from __future__ import annotations

from typing import Protocol

from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.runtime.metrics import Metrics


class RequestDispatcher(Protocol):
    """Takes valid requests and responds to each of them once."""

    has_endpoints: bool
    """Whether any endpoint is known."""
    metrics: Metrics
    """The counters of the sidecar."""

    def is_duplicate(self, client_request_id: bytes, /) -> bool:
        """Whether a request with this id is in flight, or may have been executed and must not be again."""

    def submit(self, response_sink: ResponseSink, request: ClientRequest, waited_seconds: float, /) -> int:
        """Take a request that arrived so long ago, and return its id.

        The response may come before this returns.
        """

    def on_client_disconnected(self, request_id: int, /) -> None:
        """Abandon a request whose client has left."""

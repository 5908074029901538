"""A client's request as the sidecar has received it, and the receiver of its final response."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from balancer.sidecar.http.message import HttpResponse

REQUEST_OVERHEAD_BYTES = 4 * 1024
"""Memory of a request in flight beside its message: its state, its timers and its attempt."""

COPIES_IN_FLIGHT = 2
"""How often the message of a request in flight may be stored."""


class ResponseSink(Protocol):
    """Receives the final response to one request.

    Exactly one of `send_response`, `reject` and `fail` is called, once; none if the client disconnects first.
    """

    def send_response(self, response: HttpResponse) -> None:
        """Send an endpoint's successful response to the client."""

    def reject(self, retry_after_ns: int) -> None:
        """Respond that the request was rejected and is safe to retry.

        Args:
            retry_after_ns: How long the client should wait before it retries; 0 for no advice.
        """

    def fail(self, timed_out: bool) -> None:
        """Respond that the request failed and may have been executed.

        Args:
            timed_out: Whether it failed because its last attempt timed out.
        """

    def is_disconnected(self) -> bool:
        """Return whether the client has closed the connection or its sending side of it."""

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have left although its connection seems to be open."""


class ClientRequest(NamedTuple):
    """A validated request of a client."""

    client_request_id: bytes
    """The id that the client gave the request in its `Req-Id` header."""
    class_index: int
    """The position of the request's class in `Settings.classes`."""
    tenant_index: int
    """The position of the request's tenant in `Settings.tenants`."""
    key_hash: int
    """Hash of the key in the query of the request's target; 0 if there is none."""
    timeout_ns: int
    """How long the client waits for the response."""
    work_hint_ns: int
    """The work that the request is expected to cause; 0 if unknown."""
    is_retry: bool
    """Whether the client marked the request as a retry."""
    head: bytes
    """The request line and the headers to forward, without `Req-Deadline` and the empty line."""
    body: bytes

    @property
    def memory_bytes(self) -> int:
        """Return how much memory the request takes while it is in flight, in bytes.

        The message is stored once here and, while an endpoint reads it slowly, once at its connection.
        """
        return REQUEST_OVERHEAD_BYTES + COPIES_IN_FLIGHT * (len(self.head) + len(self.body))

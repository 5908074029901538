"""A client's request as the sidecar has received it, and the receiver of its answer."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from balancer.sidecar.http.message import HttpResponse


class ResponseSink(Protocol):
    """Receives the final answer of one request: one of the first three methods is called, once."""

    def send_response(self, response: HttpResponse) -> None:
        """Pass on an endpoint's successful response."""

    def reject(self, retry_after_ns: int) -> None:
        """Answer that the request was rejected and may be sent again.

        Args:
            retry_after_ns: How long the client should wait before it does; 0 for no advice.
        """

    def fail(self, timed_out: bool) -> None:
        """Answer that the request failed, perhaps after it was executed.

        Args:
            timed_out: Whether it failed as its time was over.
        """

    def is_disconnected(self) -> bool:
        """Return whether the client has left, or has closed its side of the connection."""


class ClientRequest(NamedTuple):
    """A validated request of a client."""

    client_request_id: bytes
    """The client's own id of it, from its `Req-Id` header."""
    class_index: int
    """The position of its class in `Settings.classes`."""
    tenant_index: int
    """The position of its tenant in `Settings.tenants`."""
    key_hash: int
    """Hash of what the request is about; 0 if it has no key."""
    timeout_ns: int
    """How long the client waits for the answer."""
    work_hint_ns: int
    """Expected work; 0 if unknown."""
    is_retry: bool
    """Whether the client marked it as a retry of its own."""
    head: bytes
    """The request line and the headers to pass on, without `Req-Deadline` and the empty line."""
    body: bytes

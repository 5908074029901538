"""A client's request on its way through the sidecar, and where its answer goes."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from balancer.sidecar.http.message import HttpResponse


class ResponseSink(Protocol):
    """Takes the final answer of one request. One of the first three methods is called, once."""

    def send_response(self, response: HttpResponse) -> None:
        """Pass on an endpoint's successful response."""

    def reject(self, retry_after_ns: int) -> None:
        """Answer that the request was rejected and may be sent again, after this time (0: no advice)."""

    def fail(self, timed_out: bool) -> None:
        """Answer that the request failed, perhaps after it was executed; `timed_out`: by its time."""

    def is_disconnected(self) -> bool:
        """Whether the client has left, or has ended its side of the connection."""


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

"""A client's request on its way through the sidecar, and where its answer goes."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from balancer.sidecar.http_message import HttpResponse


class ResponseSink(Protocol):
    """Where the final answer of a request goes."""

    def send_response(self, answer: HttpResponse) -> None: ...

    def reject(self, stay_away: int) -> None: ...

    def fail(self, timed_out: bool) -> None: ...

    def is_disconnected(self) -> bool: ...


class ClientRequest(NamedTuple):
    """A request as the client sent it, checked."""

    client_request_id: bytes  # its Req-Id
    class_index: int
    tenant_index: int
    key_hash: int
    timeout_ns: int
    work_hint_ns: int
    is_retry: bool
    head: bytes  # the request line and the headers that go on, but for the deadline and the empty line
    body: bytes

"""HTTP/1.1 messages on both sides of the sidecar, downstream and upstream, and the limits on their parts."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

MAX_HEAD_BYTES = 32 * 1024
"""Limit in bytes on the head of a request or response, so that no peer can exhaust the memory."""

MAX_REQUEST_BODY_BYTES = 64 * 1024
"""Limit in bytes on the body of a request: the maximum that the protocol allows for bodies."""

MAX_RESPONSE_BODY_BYTES = 1024 * 1024
"""Limit in bytes on the body of a response.

The protocol allows 64 KiB, but account servers sometimes send several times as much, and such responses are
forwarded because clients can use them. The memory limit bounds the bytes that all responses in flight buffer
together.
"""

Headers: TypeAlias = list[tuple[bytes, bytes]]
"""Names and values of headers, in the order of the message."""


class HttpResponse(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case, or None."""
        return next((value for header_name, value in self.headers if header_name == name), None)

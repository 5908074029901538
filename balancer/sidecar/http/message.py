"""HTTP/1.1 messages as both sides of the sidecar see them, and the limits of their parts."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

MAX_HEAD_BYTES = 32 * 1024
"""Limit in bytes on the head of a request or response, so that no peer can fill the memory."""

MAX_REQUEST_BODY_BYTES = 64 * 1024
"""Limit in bytes on the body of a request, the length that the protocol allows for bodies."""

MAX_RESPONSE_BODY_BYTES = 1024 * 1024
"""Limit in bytes on the body of a response.

The protocol allows 64 KiB, but account servers at times send several times as much, and a response that
clients can use is forwarded. What all responses in flight may buffer together is limited by the memory limit.
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

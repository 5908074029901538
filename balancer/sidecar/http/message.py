"""HTTP/1.1 messages as both sides of the sidecar see them, and the limits of their parts."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

MAX_HEAD_BYTES = 32 * 1024
MAX_REQUEST_BODY_BYTES = 64 * 1024
# The protocol allows 64 KiB, but account servers send several times as much at times; an answer that clients
# can take is passed on. What all responses in flight may hold together is bounded by the memory limit.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024

Headers: TypeAlias = list[tuple[bytes, bytes]]


class HttpResponse(NamedTuple):
    """A whole response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)

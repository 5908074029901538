"""Parses the responses on a client's connection."""

from __future__ import annotations

from dataclasses import dataclass

MIN_FINAL_STATUS = 200
"""Lowest status of a final response. Responses with a lower status are interim and a final one follows."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete final response."""

    status: int
    body: bytes


class ResponseParser:
    """Takes bytes as they arrive and returns complete responses in their order.

    Attributes:
        announces_close: whether a response has announced that the connection is closed after it.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self.announces_close = False

    @property
    def has_partial_response(self) -> bool:
        """Whether bytes have arrived that are not part of a complete response."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._buffer += data

    def next_response(self) -> Response | None:
        """Return the next final response, or None if it is not complete."""
        while True:
            head, separator, rest = self._buffer.partition(b"\r\n\r\n")
            if not separator:
                return None
            lines = head.split(b"\r\n")
            status = int(lines[0].split()[1])
            if status >= MIN_FINAL_STATUS:
                break
            self._buffer = rest
        body_bytes = self._parse_headers(lines[1:])
        if len(rest) < body_bytes:
            return None
        self._buffer = rest[body_bytes:]
        return Response(status, rest[:body_bytes])

    def _parse_headers(self, lines: list[bytes]) -> int:
        """Return the length of the body in bytes, and set `announces_close` if the headers say so."""
        body_bytes = 0
        for line in lines:
            name, _, value = line.lower().partition(b":")
            if name == b"content-length":
                body_bytes = int(value)
            elif name == b"connection" and b"close" in value:
                self.announces_close = True
        return body_bytes

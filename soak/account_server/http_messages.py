"""The subset of HTTP that an account server needs to parse requests and build responses."""

from __future__ import annotations

from collections.abc import Mapping

HEAD_END = b"\r\n\r\n"
"""The delimiter between the head and the body of a message."""
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
"""The response to a health check or load probe."""
ERROR_RESPONSE = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
"""The response of a server that fails after executing the request."""
REJECTION_RESPONSE = b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
"""The response of a server that rejects a request; `Srv-Declined` states that it was not executed."""
GARBAGE_RESPONSE = b"HTTP/9 garbage\x00\r\n"
"""Bytes that are not a valid HTTP response."""


def request_size_bytes(data: bytes) -> int | None:
    """Return the size of the first request in bytes, or None if its head is incomplete."""
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return None
    head_bytes = head_end + len(HEAD_END)
    headers = parse_headers(data[:head_bytes])
    stated_length = headers.get("content-length", "0")
    # A length that is no number belongs to a request that no client has sent, which is recorded as it is.
    return head_bytes + (int(stated_length) if stated_length.isdecimal() else 0)


def requested_response_bytes(message: bytes) -> int:
    """Return the size of the response that a request asks for in its query; 0 if it does not."""
    _path, _separator, size = message.partition(b"\r\n")[0].partition(b"&size=")
    digits = size.partition(b" ")[0]
    return int(digits) if digits.isdigit() else 0


def parse_headers(message: bytes) -> Mapping[str, str]:
    """Return the header fields of a message, with their names in lower case."""
    head = message.partition(HEAD_END)[0].decode("latin-1")
    fields = (line.partition(":") for line in head.split("\r\n")[1:])
    return {name.strip().lower(): value.strip() for name, _, value in fields}


def success_response(body: bytes) -> bytes:
    """Return a successful response that states the length of its body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def success_response_without_length(body: bytes) -> bytes:
    """Return a successful response without a length; its body ends when the connection is closed."""
    return b"HTTP/1.1 200 OK\r\n\r\n" + body

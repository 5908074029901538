"""HTTP/1.1 messages of the tests, as they go on the wire."""

from __future__ import annotations

import itertools


_request_ids = itertools.count(0x9B1F)


def ok_response(body: bytes = b"done", *headers: bytes) -> bytes:
    """Return a response with status 200."""
    lines = [b"HTTP/1.1 200 OK", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def status_response(status: int, *headers: bytes) -> bytes:
    """Return a response with this status and an empty body."""
    return b"\r\n".join([b"HTTP/1.1 %d X" % status, *headers, b"Content-Length: 0"]) + b"\r\n\r\n"


def request_bytes(
    class_name: str = "read",
    deadline: str = "9",
    body: bytes = b"",
    extra_headers: bytes = b"",
    request_id: str = "",
) -> bytes:
    """Return a client's request; without `request_id` it has one of its own. The deadline is in seconds."""
    method = b"POST" if class_name == "post" else b"GET"
    content_length = b"Content-Length: %d\r\n" % len(body) if body else b""
    return (
        b"%s /api?k=7f3a HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\n"
        b"Req-Deadline: %s\r\n%s%s\r\n%s"
    ) % (
        method,
        (request_id or f"{next(_request_ids):x}").encode(),
        class_name.encode(),
        deadline.encode(),
        extra_headers,
        content_length,
        body,
    )


def parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Return header lines as a map from name to value, both in lower case."""
    headers: dict[bytes, bytes] = {}
    for line in lines:
        if line:
            name, value = line.lower().split(b": ", 1)
            headers[name] = value
    return headers

"""HTTP/1.1 messages for the tests, as bytes."""

from __future__ import annotations

import itertools

_FIRST_REQUEST_ID = 0x9B1F
_request_ids = itertools.count(_FIRST_REQUEST_ID)


def ok_response(body: bytes = b"done", *headers: bytes) -> bytes:
    """Return a response with status 200, this body and these further header lines."""
    lines = [b"HTTP/1.1 200 OK", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def status_response(status: int, *headers: bytes) -> bytes:
    """Return a response with this status, these header lines and an empty body."""
    return b"\r\n".join([b"HTTP/1.1 %d X" % status, *headers, b"Content-Length: 0"]) + b"\r\n\r\n"


def request_bytes(
    class_name: str = "read",
    deadline: str = "9",
    body: bytes = b"",
    extra_headers: bytes = b"",
    request_id: str = "",
) -> bytes:
    """Return a client's request.

    Args:
        class_name: The request class; the class "post" is sent with the method POST.
        deadline: How long the client waits, in seconds, as the header field carries it.
        body: The body, which may be empty.
        extra_headers: Further header lines, each ended by CRLF.
        request_id: The id of the request; a new one if it is empty.
    """
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
    """Return the values of header lines by name, both in lower case."""
    headers: dict[bytes, bytes] = {}
    for line in lines:
        if line:
            name, value = line.lower().split(b": ", 1)
            headers[name] = value
    return headers

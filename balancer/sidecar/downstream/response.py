"""Responses to clients: the sidecar's own, those of endpoints, and their encoding."""

from __future__ import annotations

from http import HTTPStatus

from balancer.sidecar.http.message import Headers, HttpResponse
from balancer.sidecar.http.request import HttpRequestError
from balancer.time_units import SECOND_NS

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""The interim response to a request with `Expect: 100-continue` (RFC 9110, section 15.2.1)."""

_UNFORWARDED_HEADERS = frozenset(
    (
        # Hop-by-hop headers, which concern one connection only (RFC 9110, section 7.6.1).
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        # Written by `encode_response`.
        b"content-length",
        # Headers for the sidecar itself.
        b"srv-load",
        b"srv-declined",
    )
)
"""Names of the headers of an endpoint's response that are not forwarded to clients, in lower case."""

_STATUS_LINES = {
    int(status): b"HTTP/1.1 %d %s" % (status, status.phrase.encode("ascii")) for status in HTTPStatus
}
"""The status line of a response (RFC 9112, section 4), without its CRLF, by status code."""


def forwarded_response(response: HttpResponse) -> HttpResponse:
    """Return an endpoint's successful response without the headers that are not forwarded."""
    headers = [header for header in response.headers if header[0] not in _UNFORWARDED_HEADERS]
    return HttpResponse(HTTPStatus.OK, headers, response.body)


def rejected_response(retry_after_ns: int) -> HttpResponse:
    """Return the response to a rejected request, which was not executed; without Retry-After if it is 0."""
    headers: Headers = []
    if retry_after_ns:
        headers.append((b"Retry-After", b"%.3f" % (retry_after_ns / SECOND_NS)))
    return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, headers, b"refused; trying again is harmless\n")


def failed_response(timed_out: bool) -> HttpResponse:
    """Return the response to a request that failed and may have been executed."""
    status = HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY
    return HttpResponse(status, [], b"failed; it may have run\n")


def request_error_response(error: HttpRequestError) -> HttpResponse:
    """Return the response to an invalid request."""
    return HttpResponse(error.status, [], error.reason.encode() + b"\n")


def encode_response(response: HttpResponse, close: bool) -> bytes:
    """Encode a response; `close` announces that the connection is closed after it (RFC 9112, section 9.6)."""
    lines = [_STATUS_LINES[response.status]]
    lines += [b"%s: %s" % header for header in response.headers]
    lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body

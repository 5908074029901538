"""The head of a client's HTTP/1.1 request: a strict grammar and its parser (RFC 9110, RFC 9112).

A request that two parsers could interpret differently is rejected (RFC 9112, section 11.2, on request
smuggling), and only the header fields that the sidecar knows are kept: the endpoint must parse the same
request from the bytes as the sidecar.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import NamedTuple

from balancer.errors import ProtocolError
from balancer.sidecar.http.message import MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES

END_OF_HEAD = b"\r\n\r\n"
"""The end of the last header line and the empty line."""

# Names of the header fields of the sidecar's own protocol, in lower case.

REQUEST_CLASS_FIELD = b"req-kind"
"""The request class, by its name in the settings."""
REQUEST_ID_FIELD = b"req-id"
"""The client's id of the request."""
TENANT_FIELD = b"req-owner"
"""The tenant, by its name in the settings."""
DEADLINE_FIELD = b"req-deadline"
"""How long the client waits for the response, in decimal seconds."""
RETRY_FIELD = b"req-retry"
"""`1` if the client retries the request."""
WORK_HINT_FIELD = b"req-cost"
"""The client's estimate of the work, in microseconds."""
IDEMPOTENCY_KEY_FIELD = b"idempotency-key"
"""The key by which endpoints recognise a retry of a request."""

FORWARDED_FIELDS = (
    b"host",
    REQUEST_CLASS_FIELD,
    TENANT_FIELD,
    REQUEST_ID_FIELD,
    RETRY_FIELD,
    WORK_HINT_FIELD,
    b"req-extra",
)
"""The fields that are forwarded to the endpoint as the client sent them."""

_KNOWN_FIELDS = frozenset(FORWARDED_FIELDS) | {
    b"connection",
    b"content-length",
    b"expect",
    IDEMPOTENCY_KEY_FIELD,
    DEADLINE_FIELD,
    b"transfer-encoding",
    b"upgrade",
}
"""The fields that are kept. Each of them may appear once at most; all other fields are dropped."""

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
"""token (RFC 9110, section 5.6.2)."""

_REQUEST_LINE = re.compile(rb"(?:\r\n)?(" + _TOKEN + rb") ([\x21-\x7e]++) HTTP/1\.([01])\r\n")
"""request-line (RFC 9112, section 3), after at most one empty line (section 2.2), with single spaces only."""

_HEADER_SECTION = re.compile(rb"(?:" + _TOKEN + rb":[\t\x20-\x7e\x80-\xff]*+\r\n)*+\r\n")
"""Any number of field-lines (RFC 9112, section 5), then the empty line.

A field-line is a token, a colon without a space before it (section 5.1), a field-value (RFC 9110, section
5.5) and CRLF. Folded lines (RFC 9112, section 5.2), bare CR or LF (section 2.2) and control characters are
excluded.
"""

_REQUEST_START = re.compile(rb"\r?+\n?+(?:" + _TOKEN + rb"|\Z)")
"""The first bytes of an incomplete request: the optional empty line, then a method."""

_ORIGIN_FORM = re.compile(rb"/[^#]*+")
"""request-target in origin-form (RFC 9112, section 3.2.1): a path and perhaps a query, no fragment."""

_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
"""Content-Length (RFC 9110, section 8.6): digits only, so few that int() converts them quickly."""


class HttpRequestError(ProtocolError):
    """A request that is rejected with a response of its own; the connection ends after it.

    Attributes:
        status: the status code of the response.
        reason: one plain line for the body of the response; by default the status code's reason phrase.
    """

    def __init__(self, status: HTTPStatus, reason: str = "") -> None:
        self.status = status
        self.reason = reason or status.phrase
        super().__init__(f"request rejected with {status.value}: {self.reason}")


def bad_request(reason: str) -> HttpRequestError:
    """Return an error with status 400 (Bad Request)."""
    return HttpRequestError(HTTPStatus.BAD_REQUEST, reason)


class RequestHead(NamedTuple):
    """The request line and the known header fields of a request."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    """Values of the known fields, by lower-case name."""
    content_length: int
    """Length of the body in bytes."""
    keeps_alive: bool
    """Whether the client keeps the connection open after the response."""
    expects_continue: bool
    """Whether the client waits for a 100 (Continue) response before it sends the body."""

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]


def check_partial_head(partial: bytes | bytearray) -> None:
    """Check that an incomplete head can still become a valid one. Raises HttpRequestError."""
    if len(partial) > MAX_HEAD_BYTES:
        has_request_line = b"\n" in partial
        raise HttpRequestError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if has_request_line
            else HTTPStatus.REQUEST_URI_TOO_LONG
        )
    if not _REQUEST_START.match(partial):
        raise _malformed_request()
    has_request_line = partial.find(b"\n", 2) > 0  # an earlier line end is that of the optional empty line
    if has_request_line and not _REQUEST_LINE.match(partial):
        raise _malformed_request()


def parse_request_head(raw: bytes) -> RequestHead:
    """Parse a complete head, with the empty line that ends it. Raises HttpRequestError."""
    if len(raw) > MAX_HEAD_BYTES:
        is_target_too_long = raw.find(b"\r\n", 2) > MAX_HEAD_BYTES
        raise HttpRequestError(
            HTTPStatus.REQUEST_URI_TOO_LONG
            if is_target_too_long
            else HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        )
    request_line = _REQUEST_LINE.match(raw)
    if request_line is None or not _HEADER_SECTION.fullmatch(raw, request_line.end()):
        raise _malformed_request()
    method, target, minor_version = request_line.groups()
    if not _ORIGIN_FORM.fullmatch(target):
        raise bad_request("the target is no path")
    fields = _parse_fields(raw[request_line.end() : -len(END_OF_HEAD)])
    content_length = _parse_content_length(fields)
    keeps_alive = minor_version == b"1" and not _has_close_option(fields)
    return RequestHead(method, target, fields, content_length, keeps_alive, _parse_expectation(fields))


def _parse_fields(header_section: bytes) -> dict[bytes, bytes]:
    """Return the known fields of a header section that is valid by its grammar."""
    fields: dict[bytes, bytes] = {}
    for line in header_section.split(b"\r\n"):
        name, _, value = line.partition(b":")
        name = name.lower()
        if name in _KNOWN_FIELDS:
            if name in fields:
                raise bad_request(f"{name.decode()} comes twice")
            fields[name] = value.strip(b" \t")
    return fields


def _has_close_option(fields: dict[bytes, bytes]) -> bool:
    """Return whether the Connection field (RFC 9110, section 7.6.1) has the option close (RFC 9112, 9.6)."""
    value = fields.get(b"connection")
    if value is None:
        return False
    return b"close" in [option.strip() for option in value.lower().split(b",")]


def _parse_content_length(fields: dict[bytes, bytes]) -> int:
    """Return the length of the body (RFC 9112, section 6.3). Raises HttpRequestError if it is ambiguous."""
    if b"upgrade" in fields:  # the following bytes would not be HTTP (RFC 9110, section 7.8)
        raise bad_request("upgrades are not served")
    stated_length = fields.get(b"content-length")
    transfer_coding = fields.get(b"transfer-encoding")
    if transfer_coding is not None:
        if stated_length is not None:
            raise bad_request("Content-Length with Transfer-Encoding")
        is_chunked = transfer_coding.lower() == b"chunked"
        raise HttpRequestError(HTTPStatus.LENGTH_REQUIRED if is_chunked else HTTPStatus.NOT_IMPLEMENTED)
    if stated_length is None:
        return 0
    if not _CONTENT_LENGTH.fullmatch(stated_length):
        raise bad_request("Content-Length makes no sense")
    length = int(stated_length)
    if length > MAX_REQUEST_BODY_BYTES:
        raise HttpRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
    return length


def _parse_expectation(fields: dict[bytes, bytes]) -> bool:
    """Return whether the client expects 100 (Continue), the only defined expectation (RFC 9110, 10.1.1)."""
    expectation = fields.get(b"expect")
    if expectation is None:
        return False
    if expectation.lower() != b"100-continue":
        raise HttpRequestError(HTTPStatus.EXPECTATION_FAILED)
    return True


def _malformed_request() -> HttpRequestError:
    return bad_request("malformed request")

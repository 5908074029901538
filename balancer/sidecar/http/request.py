"""The head of a client's HTTP/1.1 request: a strict grammar and its parser (RFC 9110, RFC 9112).

Whatever two parsers could read in two ways is rejected (RFC 9112, section 11.2, on request smuggling), and of
the header fields only those that the sidecar knows are kept: an endpoint must not see another request in the
bytes than the sidecar saw.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import NamedTuple

from balancer.errors import ProtocolError
from balancer.sidecar.http.message import MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES

END_OF_HEAD = b"\r\n\r\n"

# Header fields of the sidecar's own protocol, in lower case.
REQUEST_CLASS_FIELD = b"req-kind"
REQUEST_ID_FIELD = b"req-id"
TENANT_FIELD = b"req-owner"
DEADLINE_FIELD = b"req-deadline"
RETRY_FIELD = b"req-retry"
WORK_HINT_FIELD = b"req-cost"
IDEMPOTENCY_KEY_FIELD = b"idempotency-key"

FORWARDED_FIELDS = (
    b"host",
    REQUEST_CLASS_FIELD,
    TENANT_FIELD,
    REQUEST_ID_FIELD,
    RETRY_FIELD,
    WORK_HINT_FIELD,
    b"req-extra",
)
"""The fields that go on to the endpoint as the client sent them."""

_KNOWN_FIELDS = frozenset(FORWARDED_FIELDS) | {
    b"connection",
    b"content-length",
    b"expect",
    IDEMPOTENCY_KEY_FIELD,
    DEADLINE_FIELD,
    b"transfer-encoding",
    b"upgrade",
}
"""The fields that are kept. Each of them may come once; all others are dropped."""

# token (RFC 9110, section 5.6.2).
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
# request-line (RFC 9112, section 3), after at most one empty line (section 2.2). Single spaces only.
_REQUEST_LINE = re.compile(rb"(?:\r\n)?(" + _TOKEN + rb") ([\x21-\x7e]++) HTTP/1\.([01])\r\n")
# field-line (RFC 9112, section 5) of a token, a colon without a space before it (section 5.1) and a
# field-value (RFC 9110, section 5.5), each ended by CRLF; then the empty line. Excluded are folded lines
# (RFC 9112, section 5.2), bare CR or LF (section 2.2) and control characters.
_HEADER_SECTION = re.compile(rb"(?:" + _TOKEN + rb":[\t\x20-\x7e\x80-\xff]*+\r\n)*+\r\n")
# What the first bytes of a request may be while more are to come: the optional empty line, then a method.
_REQUEST_START = re.compile(rb"\r?+\n?+(?:" + _TOKEN + rb"|\Z)")
# request-target in origin-form (RFC 9112, section 3.2.1): a path and perhaps a query, no fragment.
_ORIGIN_FORM = re.compile(rb"/[^#]*+")
# Content-Length (RFC 9110, section 8.6): digits alone, of a length that int() takes in no time.
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")


class HttpRequestError(ProtocolError):
    """A request that is rejected with a response of its own; the connection ends after it.

    Attributes:
        status: the status code of the response.
        reason: one plain line for the response's body; by default the status code's reason phrase.
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
        """The target without its query."""
        return self.target.partition(b"?")[0]


def check_partial_head(partial: bytes | bytearray) -> None:
    """Raise HttpRequestError if no further bytes can make this beginning a valid head."""
    if len(partial) > MAX_HEAD_BYTES:
        has_request_line = b"\n" in partial
        raise HttpRequestError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if has_request_line
            else HTTPStatus.REQUEST_URI_TOO_LONG
        )
    if not _REQUEST_START.match(partial):
        raise _malformed_request()
    has_request_line = partial.find(b"\n", 2) > 0  # a line end before it is that of the optional empty line
    if has_request_line and not _REQUEST_LINE.match(partial):
        raise _malformed_request()


def parse_request_head(raw: bytes) -> RequestHead:
    """Parse a whole head, with the empty line that ends it. Raises HttpRequestError."""
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
    """Whether the Connection field (RFC 9110, section 7.6.1) has the close option (RFC 9112, section 9.6)."""
    value = fields.get(b"connection")
    if value is None:
        return False
    return b"close" in [option.strip() for option in value.lower().split(b",")]


def _parse_content_length(fields: dict[bytes, bytes]) -> int:
    """Return the length of the body (RFC 9112, section 6.3), stated in the one way that is unambiguous."""
    if b"upgrade" in fields:  # what follows would not be HTTP (RFC 9110, section 7.8)
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
    """Whether the client expects 100 (Continue), the only expectation there is (RFC 9110, section 10.1.1)."""
    expectation = fields.get(b"expect")
    if expectation is None:
        return False
    if expectation.lower() != b"100-continue":
        raise HttpRequestError(HTTPStatus.EXPECTATION_FAILED)
    return True


def _malformed_request() -> HttpRequestError:
    return bad_request("malformed request")

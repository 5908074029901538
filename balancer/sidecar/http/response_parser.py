"""Parses the responses of account servers, and enforces the limits on them.

There are limits on the head, the body and the bytes on the wire of each response. A `BufferBudget` limits the
memory that all responses in flight take together, however small the pieces are in which they arrive.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from balancer.errors import ProtocolError
from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES, Headers, HttpResponse

FIRST_FINAL_STATUS = 200
"""The lowest status of a final response; lower ones are interim responses (RFC 9110, section 15.2)."""

STATUSES_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
"""Statuses of responses that have no body, whatever their headers state (RFC 9112, section 6.3)."""

MAX_WIRE_BYTES_PER_BODY_BYTE = 2
"""Limit on the bytes on the wire for each byte of the body limit: chunked encoding adds bytes to a body."""

HEADER_OVERHEAD_BYTES = 160
"""Memory of a stored header beyond its bytes: two bytes objects, a tuple and its place in the list."""

MAX_HEADERS = MAX_HEAD_BYTES // len(b"n:\r\n")
"""Limit on the number of headers: a head within its limit in bytes has no more (RFC 9112, section 5)."""

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
"""Headers that determine where a body ends."""


class ResponseError(ProtocolError):
    """A response that cannot be used; its connection cannot be used any further either."""


class MalformedResponseError(ResponseError):
    """The bytes are not an HTTP/1.1 response.

    Attributes:
        reason: the parser's description of the error.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed response: {reason}")
        self.reason = reason


class AmbiguousLengthError(ResponseError):
    """The head has more than one header that determines the length of the body.

    Attributes:
        header_values: the values of these headers.
    """

    def __init__(self, header_values: tuple[bytes, ...]) -> None:
        super().__init__(f"response has {len(header_values)} headers for the body length, expected one")
        self.header_values = header_values


class ResponseTooLargeError(ResponseError):
    """The head, the trailers, the body or the entire response exceeds its limit.

    Attributes:
        size_bytes: the size of the part, as stated or as received so far.
        max_bytes: the limit.
    """

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"response part of {size_bytes} bytes exceeds its limit of {max_bytes} bytes")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes


class TooManyHeadersError(ResponseError):
    """The response has more headers than a head within its limit can have.

    Attributes:
        max_headers: the limit.
    """

    def __init__(self, max_headers: int) -> None:
        super().__init__(f"response has more than {max_headers} headers")
        self.max_headers = max_headers


class BufferBudgetExceededError(ResponseError):
    """The buffer budget of all responses in flight has no capacity for further bytes of this one.

    Attributes:
        size_bytes: the number of bytes that do not fit.
        used_bytes: the number of bytes in use at the time.
        max_bytes: the limit of the budget.
    """

    def __init__(self, size_bytes: int, budget: BufferBudget) -> None:
        super().__init__(
            f"no buffer capacity for {size_bytes} bytes: {budget.used_bytes} of {budget.max_bytes} are in use"
        )
        self.size_bytes = size_bytes
        self.used_bytes = budget.used_bytes
        self.max_bytes = budget.max_bytes


class ResponseParser:
    """Parses one response at a time; a connection has one parser, and begins a response for each request.

    The methods `on_...` are the callbacks of httptools. An error raised in one of them ends the parsing.

    Args:
        budget: the budget for the buffered bodies.

    Attributes:
        received_bytes: number of bytes of the response that have been received.
        keeps_alive: whether the connection may carry a further request; valid once the response is complete.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self._reserved_bytes = 0
        self.begin_response(MAX_RESPONSE_BODY_BYTES)

    def begin_response(self, max_body_bytes: int) -> None:
        """Discard the last response, and expect the next one, with a body of at most this many bytes."""
        self._http_parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self._response: HttpResponse | None = None
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._max_received_bytes = MAX_HEAD_BYTES
        """Limit on `received_bytes`; it grows once the head is complete."""
        self._header_bytes = 0
        """Size of the headers of the current head, then of the trailers."""
        self._is_head_complete = False
        """Whether the head of the final response is complete."""
        self._accounted_header_count = 0
        """Number of headers whose memory is reserved in the budget."""
        self._trailer_bytes = 0
        """Number of bytes since the last byte of the body; httptools buffers incomplete trailers."""
        self._is_close_delimited = False
        self.received_bytes = 0
        self.keeps_alive = False

    def release_buffer(self) -> None:
        """Drop what is stored of the response, and release the bytes that are reserved for it in the budget.

        No more bytes may be fed until `begin_response`. A connection may rest for long after its response.
        """
        self.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body = bytearray()
        self._headers = []
        self._response = None
        self._is_close_delimited = False

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parse bytes that have been received. Returns the response once it is complete.

        Bytes after a complete response make the connection unusable for a further request, but the response
        stays valid. Raises ResponseError.
        """
        # httptools buffers an incomplete header and skips chunk extensions, and calls no callback for either.
        # The number of raw bytes is therefore limited as well.
        self.received_bytes += len(data)
        earlier_body_bytes = len(self._body)
        error: ResponseError | None = None
        try:
            self._http_parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as parser_error:
            error = _response_error(parser_error)
        if self.received_bytes > self._max_received_bytes:
            error = error or ResponseTooLargeError(self.received_bytes, self._max_received_bytes)
        if error is not None:
            if self._response is None:
                raise error
            self.keeps_alive = False
        if self._response is None:
            self._account_for_head(len(data) if len(self._body) == earlier_body_bytes else 0)
        return self._response

    def _account_for_head(self, size_bytes: int) -> None:
        """Reserve memory for the head or the trailers of an incomplete response. Raises ResponseError.

        Args:
            size_bytes: the number of bytes just received, if none of them belongs to the body.
        """
        header_count = len(self._headers) - self._accounted_header_count
        self._accounted_header_count += header_count
        self._reserve(size_bytes + header_count * HEADER_OVERHEAD_BYTES)
        if not size_bytes:
            self._trailer_bytes = 0
        elif self._is_head_complete:
            self._trailer_bytes += size_bytes
            if self._trailer_bytes > MAX_HEAD_BYTES:
                raise ResponseTooLargeError(self._trailer_bytes, MAX_HEAD_BYTES)

    def _reserve(self, size_bytes: int) -> None:
        """Reserve bytes in the budget until `release_buffer`. Raises BufferBudgetExceededError."""
        if not self.budget.reserve(size_bytes):
            raise BufferBudgetExceededError(size_bytes, self.budget)
        self._reserved_bytes += size_bytes

    def response_at_end_of_connection(self) -> HttpResponse | None:
        """Return the response that the peer's close completes, or None if it completes none."""
        if not self._is_close_delimited:
            return None
        return self._build_response()

    def _build_response(self) -> HttpResponse:
        return HttpResponse(self._status, self._headers, bytes(self._body))

    # ---- callbacks of httptools

    def on_message_begin(self) -> None:
        """Handle the start of a response; a second one makes the connection unusable for further requests."""
        if self._response is not None:
            self.keeps_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the head or a trailer of a chunked body."""
        if self._response is not None:
            return  # a header of a second response
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            raise ResponseTooLargeError(self._header_bytes, MAX_HEAD_BYTES)
        if len(self._headers) >= MAX_HEADERS:
            raise TooManyHeadersError(MAX_HEADERS)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the body ends. Raises ResponseError if its length is ambiguous or too large."""
        if self._response is not None:
            return
        self._status = self._http_parser.get_status_code()
        self._header_bytes = 0
        if self._status < FIRST_FINAL_STATUS:
            return
        self._is_head_complete = True
        self._max_received_bytes = MAX_HEAD_BYTES + MAX_WIRE_BYTES_PER_BODY_BYTE * self._max_body_bytes
        lengths = [value for name, value in self._headers if name in FRAMING_HEADERS]
        if lengths:
            self._check_stated_length(lengths)
        elif self._status not in STATUSES_WITHOUT_BODY:
            self._begin_body_without_length()

    def _check_stated_length(self, lengths: list[bytes]) -> None:
        if len(lengths) > 1:
            raise AmbiguousLengthError(tuple(lengths))
        if lengths[0].isdigit() and int(lengths[0]) > self._max_body_bytes:
            raise ResponseTooLargeError(int(lengths[0]), self._max_body_bytes)

    def _begin_body_without_length(self) -> None:
        """Expect a body that the close of the connection ends (RFC 9112, section 6.3).

        An unsuccessful response is complete with its head, because the peer may never close the connection.
        """
        if self._status == HTTPStatus.OK:
            self._is_close_delimited = True
        else:
            self._response = HttpResponse(self._status, self._headers, b"")

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body in one byte array: an object for each part takes far more memory."""
        if self._response is not None:
            return  # the body of a second response, or of one that is complete with its head
        body_bytes = len(self._body) + len(body)
        if body_bytes > self._max_body_bytes:
            raise ResponseTooLargeError(body_bytes, self._max_body_bytes)
        self._reserve(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Complete the response, unless the message is an interim response or a second one."""
        if self._response is not None:
            return
        if self._status < FIRST_FINAL_STATUS:
            self._headers = []
            self._accounted_header_count = 0
        else:
            self._response = self._build_response()
            # After this callback, httptools has discarded the length and always returns False.
            self.keeps_alive = self._http_parser.should_keep_alive()


def _response_error(error: Exception) -> ResponseError:
    """Return the error that a callback raised, or else one with the error of httptools."""
    callback_error = error.__context__
    if isinstance(callback_error, ResponseError):
        return callback_error
    return MalformedResponseError(str(callback_error or error))

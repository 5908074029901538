"""Splits the bytes of a connection into requests, and determines when each of them arrived."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from balancer.sidecar.http.request import END_OF_HEAD, RequestHead, check_partial_head, parse_request_head

ARRIVAL_RESOLUTION_SECONDS = 0.01
"""Bytes that arrive within this time, in seconds, share one arrival time.

A client may send its bytes one by one, and each stored arrival time takes memory.
"""


class ReceivedRequest(NamedTuple):
    """A complete request that is valid by the grammar of HTTP."""

    head: RequestHead
    body: bytes
    arrived_at_seconds: float
    """Arrival time of its last byte, by the times passed to `RequestReader.feed`.

    It may be too early by less than ARRIVAL_RESOLUTION_SECONDS.
    """


class _Segment(NamedTuple):
    """Consecutive bytes that share one arrival time."""

    end_position: int
    """Position of the end of the segment, counted from the first byte that was fed."""
    arrived_at_seconds: float
    """Arrival time of the first of its bytes."""


class RequestReader:
    """Buffers the bytes of a connection until they are returned as requests."""

    __slots__ = (
        "_buffer",
        "_consumed_bytes",
        "_fed_bytes",
        "_head",
        "_is_continue_expected",
        "_search_start",
        "_segments",
    )

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._segments: deque[_Segment] = deque()
        """The segments with bytes that have not been consumed, oldest first."""
        self._fed_bytes = 0
        self._consumed_bytes = 0
        self._search_start = 0
        """Position in the buffer from which the end of the head is searched for."""
        self._head: RequestHead | None = None
        """The head of the request whose body is still arriving."""
        self._is_continue_expected = False

    @property
    def is_empty(self) -> bool:
        """Return whether no part of a request is buffered."""
        return not self._buffer and self._head is None

    @property
    def has_unparsed_bytes(self) -> bool:
        """Return whether bytes are buffered that may hold or complete a request for `next_request`."""
        return bool(self._buffer)

    @property
    def buffered_byte_count(self) -> int:
        """Return how many bytes are buffered."""
        return len(self._buffer)

    @property
    def last_arrival_seconds(self) -> float:
        """Return when the last bytes arrived that are not consumed; some must be buffered."""
        return self._segments[-1].arrived_at_seconds

    def feed(self, data: bytes, arrived_at_seconds: float) -> None:
        """Append bytes that arrived at this time."""
        self._buffer += data
        self._fed_bytes += len(data)
        if self._segments:
            last_arrival_seconds = self._segments[-1].arrived_at_seconds
            if arrived_at_seconds - last_arrival_seconds < ARRIVAL_RESOLUTION_SECONDS:
                self._segments.pop()
                arrived_at_seconds = last_arrival_seconds
        self._segments.append(_Segment(self._fed_bytes, arrived_at_seconds))

    def clear(self) -> None:
        """Drop all buffered bytes."""
        self._buffer.clear()
        self._segments.clear()
        self._consumed_bytes = self._fed_bytes
        self._search_start = 0
        self._head = None
        self._is_continue_expected = False

    def next_request(self) -> ReceivedRequest | None:
        """Remove and return the first request, or None until it is complete. Raises HttpRequestError."""
        request = self._take_complete_request()
        if request is None:
            # The request ends with bytes that are still to come, so the earlier arrival times have no use.
            while len(self._segments) > 1:
                self._segments.popleft()
        return request

    def _take_complete_request(self) -> ReceivedRequest | None:
        buffer = self._buffer
        head = self._head or self._read_head()
        if head is None:
            return None
        if len(buffer) < head.content_length:
            if self._head is None:
                self._head = head
                self._is_continue_expected = head.expects_continue
            return None
        body = bytes(buffer[: head.content_length])
        arrived_at_seconds = self._consume(head.content_length)
        self._head = None
        return ReceivedRequest(head, body, arrived_at_seconds)

    def take_continue_expectation(self) -> bool:
        """Return whether the client waits for 100 (Continue) before it sends the rest of its request.

        This is true at most once for a request: on the first call after `next_request` has found its head.
        """
        is_expected = self._is_continue_expected
        self._is_continue_expected = False
        return is_expected

    def _read_head(self) -> RequestHead | None:
        buffer = self._buffer
        end = buffer.find(END_OF_HEAD, self._search_start)
        if end < 0:
            self._search_start = max(0, len(buffer) - len(END_OF_HEAD) + 1)
            check_partial_head(buffer)
            return None
        end += len(END_OF_HEAD)
        head = parse_request_head(bytes(buffer[:end]))
        self._consume(end)
        self._search_start = 0
        return head

    def _consume(self, size_bytes: int) -> float:
        """Remove bytes from the front of the buffer, and return the arrival time of the last of them."""
        del self._buffer[:size_bytes]
        self._consumed_bytes += size_bytes
        segments = self._segments
        while segments[0].end_position < self._consumed_bytes:
            segments.popleft()
        return segments[0].arrived_at_seconds

"""Cuts the bytes of a connection into requests."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from balancer.sidecar.http.request import END_OF_HEAD, RequestHead, check_partial_head, parse_request_head

ARRIVAL_RESOLUTION_SECONDS = 0.01
"""Bytes that arrive within this time count as arrived together: a client may send them one by one."""


class ReceivedRequest(NamedTuple):
    """A whole request, valid by its grammar."""

    head: RequestHead
    body: bytes
    arrived_at_seconds: float
    """When its last byte had arrived at the latest, by the time that `RequestReader.feed` was given."""


class _Segment(NamedTuple):
    """Bytes that arrived together."""

    end_position: int
    """Of all bytes that were fed."""
    arrived_at_seconds: float


class RequestReader:
    """Holds what has arrived on a connection and is not part of a whole request yet."""

    __slots__ = (
        "_buffer",
        "_fed_bytes",
        "_head",
        "_is_continue_expected",
        "_search_start",
        "_segments",
        "_taken_bytes",
    )

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._segments: deque[_Segment] = deque()
        """Those that are not taken whole, oldest first."""
        self._fed_bytes = 0
        self._taken_bytes = 0
        self._search_start = 0
        """The end of the head is not in the buffer before this position."""
        self._head: RequestHead | None = None
        """The head of the request whose body is still arriving."""
        self._is_continue_expected = False

    @property
    def is_empty(self) -> bool:
        """Whether no part of a request is held."""
        return not self._buffer and self._head is None

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether bytes are held that `next_request` may find a request in."""
        return bool(self._buffer)

    def feed(self, data: bytes, arrived_at_seconds: float) -> None:
        """Add what has arrived, and when."""
        self._buffer += data
        self._fed_bytes += len(data)
        if self._segments:
            last_arrival_seconds = self._segments[-1].arrived_at_seconds
            if arrived_at_seconds - last_arrival_seconds < ARRIVAL_RESOLUTION_SECONDS:
                self._segments.pop()
                arrived_at_seconds = last_arrival_seconds
        self._segments.append(_Segment(self._fed_bytes, arrived_at_seconds))

    def clear(self) -> None:
        """Drop what is held."""
        self._buffer.clear()
        self._segments.clear()
        self._taken_bytes = self._fed_bytes
        self._search_start = 0
        self._head = None
        self._is_continue_expected = False

    def next_request(self) -> ReceivedRequest | None:
        """Remove and return the first request, or None until it is whole. Raises HttpRequestError."""
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
        arrived_at_seconds = self._take(head.content_length)
        self._head = None
        return ReceivedRequest(head, body, arrived_at_seconds)

    def take_continue_expectation(self) -> bool:
        """Whether a client waits for 100 (Continue) before it sends the rest of its request.

        True at most once for a request: on the first call after `next_request` has found its head.
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
        self._take(end)
        self._search_start = 0
        return head

    def _take(self, size_bytes: int) -> float:
        """Remove bytes from the buffer, and return when the last byte taken so far had arrived."""
        del self._buffer[:size_bytes]
        self._taken_bytes += size_bytes
        segments = self._segments
        while segments[0].end_position < self._taken_bytes:
            segments.popleft()
        return segments[0].arrived_at_seconds

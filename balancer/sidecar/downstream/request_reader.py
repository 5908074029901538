"""Cuts the bytes of a connection into requests."""

from __future__ import annotations

from typing import NamedTuple

from balancer.sidecar.http_request import END_OF_HEAD, RequestHead, check_partial_head, parse_request_head


class ReceivedRequest(NamedTuple):
    """A whole request, valid by its grammar."""

    head: RequestHead
    body: bytes


class RequestReader:
    """Holds what has arrived on a connection and is not part of a whole request yet."""

    __slots__ = ("_buffer", "_head", "_is_continue_expected", "_search_start")

    def __init__(self) -> None:
        self._buffer = bytearray()
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

    def feed(self, data: bytes) -> None:
        """Add what has arrived."""
        self._buffer += data

    def clear(self) -> None:
        """Drop what is held."""
        self._buffer.clear()
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
        del buffer[: head.content_length]
        self._head = None
        return ReceivedRequest(head, body)

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
        del buffer[:end]
        self._search_start = 0
        return head

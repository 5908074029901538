"""An HTTP/1.1 connection of which the sidecar is the client."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeAlias, cast

from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import MAX_RESPONSE_BODY_BYTES, HttpResponse
from balancer.sidecar.http.response_parser import ResponseError, ResponseParser
from balancer.sidecar.runtime.address import Address
from balancer.sidecar.runtime.sockets import (
    discard_send_queue_on_close,
    shut_down_socket,
    unacknowledged_byte_count,
    untransmitted_byte_count,
)

log = logging.getLogger(__name__)

MAX_SEGMENT_BYTES = 1460
"""The largest request that leaves this machine at once, as one segment of an Ethernet.

For a longer one the kernel is asked how much of it has left, which costs a system call.
"""

ResponseCallback: TypeAlias = Callable[[HttpResponse | None], None]
"""Receives the response, or None if the connection was lost or the response is unusable."""


class OutboundConnection(asyncio.Protocol):
    """Carries one request at a time, and never retries a request by itself.

    On its way a request may be unsent (the kernel has not taken all of it), untransmitted (the kernel waits
    for space at the peer's machine) or undelivered (the peer's machine has not acknowledged all of it).

    Args:
        on_lost: called when the connection is lost, at least one iteration of the event loop after `close`.
        budget: limits the bytes that the bodies of responses in flight may buffer; by default the connection
            has a budget of its own, with the size of the largest response.
    """

    def __init__(
        self,
        on_lost: Callable[[OutboundConnection], None] | None = None,
        budget: BufferBudget | None = None,
    ) -> None:
        self._on_lost = on_lost
        self._parser = ResponseParser(budget or BufferBudget(MAX_RESPONSE_BODY_BYTES))
        self._on_response: ResponseCallback | None = None
        """The callback of the request in flight, or None."""
        self._is_request_long = False
        """Whether the last request is longer than `MAX_SEGMENT_BYTES`."""
        self._file_descriptor = -1
        self._poll = select.poll()
        self.transport: asyncio.Transport | None = None
        """The transport, from when the connection is established until it is lost."""
        self.is_established = False
        """Whether the connection was established; stays true after it is lost."""
        self.is_request_truncated = False
        """Whether the connection was closed before the last byte of the last request was sent.

        Such a request is never executed. It stays false if the connection was lost, as it is unknown then.
        """
        self.max_body_bytes = MAX_RESPONSE_BODY_BYTES
        """Limit in bytes on the body of the response to the next request."""
        self.address: Address | None = None
        """The address of the peer, which the owner of the connection sets."""
        self.idle_since_ns = 0
        """When the owner last returned the connection to a pool, by the owner's clock."""

    @property
    def buffer_budget(self) -> BufferBudget:
        """Return the budget for the bodies of this connection's responses."""
        return self._parser.budget

    @property
    def response_started(self) -> bool:
        """Return whether any byte of the response to the last request has been received."""
        return self._parser.received_bytes > 0

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether the kernel has not taken the whole request yet.

        If the connection is closed while it has not, the request is never executed.
        """
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    @property
    def has_untransmitted_bytes(self) -> bool:
        """Return whether a part of the request has not left this machine.

        Unless a part is unsent as well, the request may be executed even if the connection is closed now,
        because the kernel may transmit the rest at any moment.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > 0:
            return True
        return self._is_request_long and untransmitted_byte_count(self._file_descriptor) > 0

    @property
    def undelivered_byte_count(self) -> int:
        """Return how many bytes of the request the peer's machine has not acknowledged.

        A response acknowledges what its sender has received, so if the number is positive when a response is
        read, the response was sent before its request had arrived.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        unsent_bytes = transport.get_write_buffer_size()
        if not self._is_request_long:
            return unsent_bytes
        return unsent_bytes + unacknowledged_byte_count(self._file_descriptor)

    def is_reusable(self) -> bool:
        """Return whether the connection is open, and nothing is left of the last request and its response.

        Another request must not be written while a part of the last one is unsent: the peer would take it for
        a part of that one.

        The socket is polled, because the peer may have closed its side without the event loop having read
        that from the kernel yet. A request written after the close would be answered with a reset, and would
        have to be treated as possibly executed.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.has_unsent_bytes:
            return False
        return not self._poll.poll(0)

    def send(self, data: bytes, on_response: ResponseCallback) -> bool:
        """Write a request. `on_response` is called once, unless `close` is called before.

        Returns False if the last byte of the request was certainly not sent; then `on_response` is not
        called. The request is written to the socket directly, because the transport does not report how many
        bytes the kernel accepted.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        self._parser.begin_response(self.max_body_bytes)
        self._is_request_long = len(data) > MAX_SEGMENT_BYTES
        try:
            written_bytes = os.write(self._file_descriptor, data)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            self.close()
            return False
        self._on_response = on_response
        if written_bytes < len(data):
            # From now on the request may have been sent completely when the connection is lost.
            transport.write(data[written_bytes:])
        return True

    def close(self) -> None:
        """Close the connection. A request in flight is abandoned without calling its callback.

        What the kernel has not transmitted of that request is discarded.
        """
        was_in_flight = self._on_response is not None
        self._on_response = None
        self._parser.release_buffer()
        self._close_transport(was_in_flight)

    # ---- callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        # uvloop's transports are not subclasses of asyncio's, so their type can't be checked.
        self.transport = cast(asyncio.Transport, transport)
        self.is_established = True
        self._file_descriptor = self.transport.get_extra_info("socket").fileno()
        self._poll.register(self._file_descriptor, select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._on_response is None:
            self.close()  # no request is in flight, so the bytes belong to no response
            return
        try:
            response = self._parser.feed(data)
        except ResponseError:
            self._complete_request(None, keep_open=False)
            return
        if response is not None:
            self._complete_request(response, keep_open=self._parser.keeps_alive)

    def eof_received(self) -> None:
        """Handle the close of the peer's side, after which the transport closes.

        The close may complete a response. A reset is not reported here, but may have followed immediately, so
        the socket is checked for an error.
        """
        response = self._parser.response_at_end_of_connection()
        if response is not None and not self._has_socket_error():
            self._complete_request(response, keep_open=False)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the loss to the request in flight and to the owner."""
        self.transport = None
        self._complete_request(None, keep_open=False)
        if self._on_lost is not None:
            self._on_lost(self)

    def _has_socket_error(self) -> bool:
        return any(events & select.POLLERR for _, events in self._poll.poll(0))

    def _complete_request(self, response: HttpResponse | None, *, keep_open: bool) -> None:
        """Report the response, or None if there is none, to the request in flight if there is one.

        If a part of the request is not delivered, the connection is closed (RFC 9112, section 9.5): the next
        request would wait until the peer has read the rest of this one, which it may do slowly or never.

        A successful response counts as unusable in this case. The peer executes a request only once its last
        byte has arrived, so this response belongs to an earlier request on the connection.
        """
        on_response = self._on_response
        self._on_response = None
        self._parser.release_buffer()
        undelivered_bytes = self.undelivered_byte_count if response is not None else 0
        if response is not None and undelivered_bytes:
            self._log_early_response(response, undelivered_bytes)
            keep_open = False
            if response.status == HTTPStatus.OK:
                response = None
        if not keep_open:
            self.is_request_truncated = self.has_unsent_bytes
            self._close_transport(was_in_flight=on_response is not None)
        if on_response is not None:
            on_response(response)

    def _log_early_response(self, response: HttpResponse, undelivered_bytes: int) -> None:
        host, port = self.address or ("unknown", 0)
        log.debug(
            "response_before_request_sent address=%s:%d status=%d undelivered_bytes=%d",
            host,
            port,
            response.status,
            undelivered_bytes,
        )

    def _close_transport(self, was_in_flight: bool) -> None:
        transport = self.transport
        if transport is None:
            return
        if was_in_flight and not transport.is_closing():
            # The event loop closes the socket only in its next iteration. If a retry were written before
            # that, two copies of the request would be in flight.
            if untransmitted_byte_count(self._file_descriptor):
                discard_send_queue_on_close(self._file_descriptor)
            shut_down_socket(self._file_descriptor, socket.SHUT_RDWR)
        transport.abort()

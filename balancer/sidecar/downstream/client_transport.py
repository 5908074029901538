"""The transport of a client's connection, with direct access to the state of its socket."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from typing import cast

from balancer.sidecar.runtime.sockets import shut_down_socket


class ClientTransport:
    """A wrapper of the event loop's transport, usable before it is attached and after it is detached.

    Attributes:
        is_reading_paused: whether nothing is read from the client for now.
        written_byte_count: how many bytes have been written so far.
    """

    __slots__ = (
        "_file_descriptor",
        "_hang_up_poll",
        "_transport",
        "is_reading_paused",
        "written_byte_count",
    )

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._file_descriptor = -1
        self._hang_up_poll = select.poll()
        self.is_reading_paused = False
        self.written_byte_count = 0

    def attach(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport of a connection that has just been accepted."""
        # uvloop's transports are not subclasses of asyncio's, so their type can't be checked.
        self._transport = cast(asyncio.Transport, transport)
        self._file_descriptor = self._transport.get_extra_info("socket").fileno()
        self._hang_up_poll.register(self._file_descriptor, select.POLLRDHUP)

    def detach(self) -> None:
        """Drop the transport after the connection is lost."""
        self._transport = None

    @property
    def is_connected(self) -> bool:
        """Return whether a transport is attached, even if the event loop is closing it."""
        return self._transport is not None

    def is_open(self) -> bool:
        """Return whether a transport is attached that is not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def is_peer_closed(self) -> bool:
        """Return whether the peer has closed its side or reset the connection.

        The socket is polled because the event loop does not report the close while reading is paused, and
        otherwise not before its next iteration.
        """
        # poll(2) reports errors and hang-ups in addition to the registered events.
        return not self.is_open() or bool(self._hang_up_poll.poll(0))

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that the event loop has not read yet."""
        if self._transport is None:
            return False
        readable_poll = select.poll()
        readable_poll.register(self._file_descriptor, select.POLLIN)
        return bool(readable_poll.poll(0))

    def read_into(self, buffer: memoryview) -> int:
        """Read bytes from the socket directly, and return their number; 0 if there are none or it is closed.

        Only while reading is paused, as the event loop reads otherwise.
        """
        if not self.is_open():
            return 0
        try:
            return os.readv(self._file_descriptor, [buffer])
        except OSError:  # includes BlockingIOError; a reset stays visible to `is_peer_closed`
            return 0

    @property
    def unsent_byte_count(self) -> int:
        """Return how many written bytes the kernel has not taken yet; an abort drops them."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def write(self, data: bytes) -> None:
        """Send bytes, or drop them if no transport is attached."""
        if self._transport is not None:
            self.written_byte_count += len(data)
            self._transport.write(data)

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading; no effect if the connection is not open."""
        if paused == self.is_reading_paused or not self.is_open():
            return
        assert self._transport is not None
        self.is_reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close_sending_side(self) -> None:
        """Close the sidecar's side after all written bytes have been sent. The peer's side stays open."""
        if self._transport is None:
            return
        if self.unsent_byte_count:
            self._transport.write_eof()
        else:
            # The event loop would close the side only in a later iteration, and a request that it reads
            # before that would be lost.
            shut_down_socket(self._file_descriptor, socket.SHUT_WR)

    def abort(self) -> None:
        """Close the connection at once, dropping the bytes that have not been sent."""
        if self._transport is not None:
            self._transport.abort()

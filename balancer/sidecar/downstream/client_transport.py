"""The transport of a client's connection and what can be asked of its socket."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import cast

from balancer.sidecar.runtime.sockets import shut_down_socket


class ClientTransport:
    """A transport of the event loop that may not be there yet, or no more."""

    __slots__ = ("_file_descriptor", "_hang_up_poll", "_transport", "is_reading_paused")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._file_descriptor = -1
        self._hang_up_poll = select.poll()
        self.is_reading_paused = False

    def attach(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport of a connection that has just been accepted."""
        # uvloop's transports have the methods but are no subclasses of asyncio's: nothing to check by type.
        self._transport = cast(asyncio.Transport, transport)
        self._file_descriptor = self._transport.get_extra_info("socket").fileno()
        self._hang_up_poll.register(self._file_descriptor, select.POLLRDHUP)

    def detach(self) -> None:
        """Forget the transport: the connection is lost."""
        self._transport = None

    @property
    def is_connected(self) -> bool:
        """Whether there is a transport, though the event loop may be closing it."""
        return self._transport is not None

    def is_open(self) -> bool:
        """Whether there is a transport that is not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def is_peer_closed(self) -> bool:
        """Whether the peer has closed its side or is gone.

        The socket is asked, as no event tells of it where nothing is read, or not yet.
        """
        # Errors and hang-ups are always reported.
        return not self.is_open() or bool(self._hang_up_poll.poll(0))

    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""
        if self._transport is None:
            return False
        readable_poll = select.poll()
        readable_poll.register(self._file_descriptor, select.POLLIN)
        return bool(readable_poll.poll(0))

    def write(self, data: bytes) -> None:
        """Send these bytes; without a connection they are dropped."""
        if self._transport is not None:
            self._transport.write(data)

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading, if that is a change and the connection is open."""
        if paused == self.is_reading_paused or not self.is_open():
            return
        assert self._transport is not None
        self.is_reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close_sending_side(self) -> None:
        """Close our side once what was written has left. The peer's side stays open."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.write_eof()
        else:
            # The loop would do it in a later turn and might read a request before, which would be lost.
            shut_down_socket(self._file_descriptor, socket.SHUT_WR)

    def abort(self) -> None:
        """Close the connection at once, whatever has not been sent."""
        if self._transport is not None:
            self._transport.abort()

"""Operations on sockets that asyncio transports would delay, and the errors of scarce resources."""

from __future__ import annotations

import contextlib
import errno
import socket

RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors of socket(2), accept(2) and open(2): the process or the machine temporarily lacks a resource."""


def shut_down_socket(file_descriptor: int, how: int) -> None:
    """Shut down the sending side (socket.SHUT_WR) or both sides (SHUT_RDWR) of a connection immediately.

    The event loop would do so only in a later iteration.
    """
    # An OSError means that the peer has reset the connection; the event loop reports that later.
    with contextlib.suppress(OSError):
        borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=file_descriptor)
        try:
            borrowed.shutdown(how)
        finally:
            borrowed.detach()

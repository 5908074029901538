"""Operations on the sockets of asyncio transports that the event loop would delay, and errors of sockets."""

from __future__ import annotations

import contextlib
import errno
import socket

RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""The process or the machine lacks a resource for the moment (socket(2), accept(2), open(2))."""


def shut_down_socket(file_descriptor: int, how: int) -> None:
    """Shut the sending side (socket.SHUT_WR) or both sides (SHUT_RDWR) of a connection at once.

    The event loop would do it in a later turn only.
    """
    with contextlib.suppress(OSError):  # the peer has reset the connection: its event is to come
        borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=file_descriptor)
        try:
            borrowed.shutdown(how)
        finally:
            borrowed.detach()

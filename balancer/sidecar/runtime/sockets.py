"""Operations on sockets that asyncio transports lack or would delay, and the errors of scarce resources."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import socket
import sys
import termios

RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors of socket(2), accept(2) and open(2): the process or the machine temporarily lacks a resource."""


_EMPTY_INT = bytes(4)
"""The buffer of an ioctl(2) that returns an int."""


def unacknowledged_byte_count(file_descriptor: int) -> int:
    """Return how many bytes of a connection's send queue in the kernel the peer's machine has not received.

    The kernel keeps bytes until they are acknowledged, which a peer delays that has no space for them.
    Returns 0 if the socket does not provide the number (SIOCOUTQ in tcp(7), which equals TIOCOUTQ).
    """
    try:
        count = fcntl.ioctl(file_descriptor, termios.TIOCOUTQ, _EMPTY_INT)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


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

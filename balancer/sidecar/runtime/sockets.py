"""Operations on sockets that asyncio transports lack or would delay, and the errors of scarce resources."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Iterator

RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors of socket(2), accept(2) and open(2): the process or the machine temporarily lacks a resource."""

_SIOCOUTQNSD = 0x894B
"""The request of ioctl(2) for the untransmitted bytes of a send queue, from linux/sockios.h."""

_EMPTY_INT = bytes(4)
"""The buffer of an ioctl(2) that returns an int."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER that lets a close discard the send queue and reset the connection (socket(7))."""


def unacknowledged_byte_count(file_descriptor: int) -> int:
    """Return how many bytes in a connection's send queue the peer's machine has not acknowledged.

    Returns 0 if the socket does not provide the number (SIOCOUTQ in tcp(7), which equals TIOCOUTQ).
    """
    return _read_int(file_descriptor, termios.TIOCOUTQ)


def untransmitted_byte_count(file_descriptor: int) -> int:
    """Return how many bytes in a connection's send queue the kernel has not transmitted yet.

    The kernel waits while the peer's machine has no space for them. Unlike unacknowledged bytes, there are
    none while the peer only delays its acknowledgement. Returns 0 if the socket does not provide the number.
    """
    return _read_int(file_descriptor, _SIOCOUTQNSD)


def _read_int(file_descriptor: int, request: int) -> int:
    try:
        value = fcntl.ioctl(file_descriptor, request, _EMPTY_INT)
    except OSError:
        return 0
    return int.from_bytes(value, sys.byteorder)


def discard_send_queue_on_close(file_descriptor: int) -> None:
    """Let the close of a connection reset it; otherwise the kernel still sends what is in the send queue."""
    # An OSError means that the peer has reset the connection, which has discarded the send queue.
    with contextlib.suppress(OSError), _borrow_socket(file_descriptor) as borrowed:
        borrowed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def shut_down_socket(file_descriptor: int, how: int) -> None:
    """Shut down the sending side (socket.SHUT_WR) or both sides (SHUT_RDWR) of a connection immediately.

    The event loop would do so only in a later iteration.
    """
    # An OSError means that the peer has reset the connection; the event loop reports that later.
    with contextlib.suppress(OSError), _borrow_socket(file_descriptor) as borrowed:
        borrowed.shutdown(how)


@contextlib.contextmanager
def _borrow_socket(file_descriptor: int) -> Iterator[socket.socket]:
    """Yield a socket object for a connection, which stays open afterwards."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=file_descriptor)
    try:
        yield borrowed
    finally:
        borrowed.detach()

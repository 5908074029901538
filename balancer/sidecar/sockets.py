"""Operations on the sockets of asyncio transports that the event loop would delay."""

from __future__ import annotations

import contextlib
import socket


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

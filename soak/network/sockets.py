"""Addresses, and a function that closes a connection by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct

Address = tuple[str, int]
"""A host and a port."""

ZERO_LINGER_TIME = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that enables lingering for 0 seconds: closing resets the connection (socket(7))."""


def reset_transport(transport: asyncio.Transport) -> None:
    """Close a connection by a reset, unless it is being closed already."""
    if transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER_TIME)
    transport.abort()

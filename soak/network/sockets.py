"""Addresses, and a function that closes a connection by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct

Address = tuple[str, int]
"""A host and a port."""

ETHERNET_SEGMENT_BYTES = 1460
"""Size of the segments of a narrow connection."""
NARROW_BUFFER_BYTES = 4096
"""Size of the receive buffer of a narrow connection; the kernel allows for twice as much."""

ZERO_LINGER_TIME = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that enables lingering for 0 seconds: closing resets the connection (socket(7))."""


def reset_transport(transport: asyncio.Transport) -> None:
    """Close a connection by a reset, unless it is being closed already."""
    if transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER_TIME)
    transport.abort()


def make_narrow(unconnected: socket.socket) -> None:
    """Give the connections of a socket small segments and a small receive buffer.

    The kernel of the peer then takes only a part of a long message at once, as it does between two machines.
    """
    unconnected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BUFFER_BYTES)
    unconnected.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)


def limit_read_rate(transport: asyncio.Transport, byte_count: int, bytes_per_second: int) -> None:
    """Read nothing for as long as reading this many bytes, which have just arrived, takes at a rate."""
    if not transport.is_closing():
        transport.pause_reading()
        asyncio.get_running_loop().call_later(byte_count / bytes_per_second, _resume_reading, transport)


def _resume_reading(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.resume_reading()

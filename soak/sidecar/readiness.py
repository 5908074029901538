"""The readiness check of a sidecar."""

from __future__ import annotations

import asyncio

from soak.network.sockets import Address

RESPONSE_TIMEOUT_SECONDS = 1.0
"""Seconds; a process that takes longer to respond is not ready."""
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n"
"""The request of the readiness check."""
SUCCESS_STATUS = b" 200 "
"""Part of the status line of a ready sidecar."""


async def is_ready(address: Address) -> bool:
    """Return whether the sidecar at this address responds that it is ready."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(READINESS_REQUEST)
            return SUCCESS_STATUS in await reader.readline()
    except OSError:
        return False
    finally:
        if writer is not None:
            writer.close()

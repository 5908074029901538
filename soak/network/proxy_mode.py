"""The modes of a fault proxy."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProxyMode:
    """What a proxy does to its connections; by default it forwards everything immediately."""

    delay_seconds: float = 0.0
    """Delay of each piece of data, in each direction."""
    piece_bytes: int = 0
    """The largest piece that is forwarded at once; 0 for no limit."""
    slow_read_bytes_per_second: int = 0
    """How fast bytes are read from the sidecar; 0 for no limit."""
    is_black_hole: bool = False
    """Whether neither data nor the end of a connection is forwarded; new connections are accepted."""
    reset_probability: float = 0.0
    """Probability for each piece of data that the connection is reset instead of forwarding it."""
    server_connect_delay_seconds: float = 0.0
    """How long the proxy waits, after accepting a connection, before it connects to the server."""


class ProxyModeSwitch:
    """The current mode of a proxy, with a notification of changes."""

    def __init__(self) -> None:
        self._mode = ProxyMode()
        self._changed = asyncio.Event()

    @property
    def mode(self) -> ProxyMode:
        """The current mode."""
        return self._mode

    def set(self, mode: ProxyMode) -> None:
        """Change the mode and wake up the tasks that wait for a change."""
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait until another mode is set."""
        await self._changed.wait()

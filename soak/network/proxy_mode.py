"""What a fault proxy does to its connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProxyMode:
    """What a proxy does to its connections; by default it forwards everything at once."""

    delay_seconds: float = 0.0
    """Delay of each piece of data, in both directions."""
    piece_bytes: int = 0
    """The largest piece that is forwarded at once; 0: no limit."""
    is_black_hole: bool = False
    """Forwards neither data nor the end of a connection; new connections are accepted."""
    reset_probability: float = 0.0
    """Probability for each piece of data that its connection is reset instead."""
    accept_delay_seconds: float = 0.0
    """How long a new connection waits before it is served."""


class ProxyModeSwitch:
    """The present mode of a proxy."""

    def __init__(self) -> None:
        self._mode = ProxyMode()
        self._changed = asyncio.Event()

    @property
    def mode(self) -> ProxyMode:
        """What happens to the connections now."""
        return self._mode

    def set(self, mode: ProxyMode) -> None:
        """Change the mode and wake up whoever waits for a change."""
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait until another mode is set."""
        await self._changed.wait()

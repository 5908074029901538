"""A TCP proxy in front of an account server that delays, fragments, drops or resets what passes."""

from __future__ import annotations

import asyncio
from random import Random

from soak.history.clock import HarnessClock
from soak.network.arrival_log import ArrivalLog
from soak.network.proxied_connection import ProxiedConnection, ProxyState
from soak.network.proxy_mode import ProxyMode, ProxyModeSwitch
from soak.network.sockets import Address


class FaultProxy:
    """Listens at an address of its own and forwards connections to the server behind it.

    Args:
        clock: the clock of the soak.
        random: decides which data is reset, and how long pauses are.
        host: where to listen. No outgoing connection should use this address, lest it takes the port while
            the proxy is stopped.
    """

    def __init__(self, clock: HarnessClock, random: Random, host: str) -> None:
        self.address: Address = (host, 0)
        self._mode_switch = ProxyModeSwitch()
        self._state = ProxyState(clock, random, self._mode_switch, backend=(host, 0))
        self._listener: asyncio.Server | None = None

    def set_mode(self, mode: ProxyMode) -> None:
        """Change what happens to the connections."""
        self._mode_switch.set(mode)

    async def start(self, backend: Address) -> None:
        """Listen in front of a server: the first time at a free port, later at the same one."""
        self._state.backend = backend
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._make_protocol, *self.address)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Reject new connections and reset the open ones, as when the process behind crashes."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self._state.connections):
            connection.reset()

    def arrivals_from(self, port: int) -> ArrivalLog | None:
        """Return what arrived on the connection that reaches the server from this port."""
        return self._state.arrivals_by_port.get(port)

    def _make_protocol(self) -> asyncio.Protocol:
        connection = ProxiedConnection(self._state)
        self._state.connections.add(connection)
        return connection.make_sidecar_side()

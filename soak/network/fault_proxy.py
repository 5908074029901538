"""A TCP proxy in front of an account server that delays, fragments or drops data and resets connections."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from soak.history.clock import HarnessClock
from soak.network.arrival_log import ArrivalLog
from soak.network.proxied_connection import ProxiedConnection, ProxyState
from soak.network.proxy_mode import ProxyMode, ProxyModeSwitch
from soak.network.sockets import Address, make_narrow


class FaultProxy:
    """Listens at an address of its own and forwards connections to the server behind it.

    Args:
        clock: the clock of the soak.
        random: draws whether a piece of data causes a reset, and the length of pauses.
        host: where to listen. No outgoing connection should use this host, as it could take the port while
            the proxy is stopped.
        is_narrow: whether its connections have the segments of an Ethernet and a small receive buffer. The
            kernel of a sidecar then takes only a part of a long request, as it does between two machines.
    """

    def __init__(self, clock: HarnessClock, random: Random, host: str, is_narrow: bool = False) -> None:
        self.address: Address = (host, 0)
        self.is_narrow = is_narrow
        self._mode_switch = ProxyModeSwitch()
        self._state = ProxyState(clock, random, self._mode_switch, backend=(host, 0), is_narrow=is_narrow)
        self._listener: asyncio.Server | None = None

    def set_mode(self, mode: ProxyMode) -> None:
        """Set what the proxy does to its connections."""
        self._mode_switch.set(mode)

    async def start(self, backend: Address) -> None:
        """Listen in front of a server, at a free port the first time and at the same port after that."""
        self._state.backend = backend
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._make_protocol, sock=self._open_socket())
        self.address = self._listener.sockets[0].getsockname()[:2]

    def _open_socket(self) -> socket.socket:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.is_narrow:
            make_narrow(listening)
        listening.bind(self.address)
        return listening

    def stop(self) -> None:
        """Refuse new connections and reset the open ones, as a crash of the server would."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self._state.connections):
            connection.reset()

    def arrivals_from(self, port: int) -> ArrivalLog | None:
        """Return the arrival log of the connection that reaches the server from this port, or None."""
        return self._state.arrivals_by_port.get(port)

    def _make_protocol(self) -> asyncio.Protocol:
        connection = ProxiedConnection(self._state)
        self._state.connections.add(connection)
        return connection.make_sidecar_side()

"""A stand-in for the discovery agent of one sidecar. A new configuration can change its address."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from soak.discovery.connection import AgentConnection, AgentState
from soak.discovery.endpoint_directory import EndpointDirectory
from soak.discovery.notification_deadlines import NotificationDeadlines
from soak.history.clock import HarnessClock
from soak.history.events import EndpointHealth
from soak.history.history import History
from soak.network.sockets import Address

OLD_ADDRESS_CLOSE_DELAY_SECONDS = 1.5
"""Seconds after a change of address at which the connections to the old address are closed."""


class DiscoveryAgent:
    """Serves the endpoint list to one sidecar, and tracks which changes the sidecar has to know."""

    def __init__(
        self,
        sidecar: str,
        host: str,
        is_polled: bool,
        directory: EndpointDirectory,
        clock: HarnessClock,
        history: History,
        random: Random,
    ) -> None:
        self.sidecar = sidecar
        self.address: Address = (host, 0)
        self._host = host
        self._directory = directory
        self._deadlines = NotificationDeadlines(sidecar, is_polled, clock, history)
        self._state = AgentState(directory, random, on_list_sent=self._deadlines.record_all)
        self._listener: asyncio.Server | None = None
        self._outage_count = 0
        directory.add_listener(self._on_change)

    @property
    def is_down(self) -> bool:
        """Whether the agent refuses connections now."""
        return self._outage_count > 0

    def known_endpoints(self) -> dict[str, Any]:
        """Return the complete list in discovery's format, to be used in a configuration."""
        return self._directory.snapshot()

    async def start(self) -> None:
        """Listen at a free port."""
        self._listener = await self._listen((self._host, 0))
        self.address = self._listener.sockets[0].getsockname()[:2]

    async def listen_at_new_address(self) -> None:
        """Listen at a new address; the old one accepts no connections and its open ones are closed later.

        The agent must not be down.
        """
        self._deadlines.extend_for_new_address()
        old_listener = self._listener
        old_connections = set(self._state.connections)
        await self.start()
        if old_listener is not None:
            old_listener.close()
        asyncio.get_running_loop().call_later(OLD_ADDRESS_CLOSE_DELAY_SECONDS, _close_all, old_connections)

    def stop_watch_responses(self) -> None:
        """Stop responding on the open connections; new ones are served."""
        self._deadlines.extend_for_unresponsive_watch()
        for connection in self._state.connections:
            connection.stop_responding()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for connection in list(self._state.connections):
            connection.reset()

    def go_down(self) -> None:
        """Refuse connections until `recover` has been called as often as `go_down`."""
        self._outage_count += 1
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    async def recover(self) -> None:
        """End one outage; after the last one, listen at the same address again.

        The deadlines of pending changes then start again, before any of them can be recorded as overdue.
        """
        self._outage_count -= 1
        if self.is_down:
            return
        self._deadlines.restart()
        self._listener = await self._listen(self.address)

    def record_process_start(self) -> None:
        """Record that a new process has to know all draining and removed servers from its start."""
        for server, health in self._directory.draining_or_removed_servers().items():
            self._deadlines.add(server, health)

    def record_overdue(self) -> None:
        """Record the changes that the sidecar has to know by now although they were never sent."""
        if not self.is_down:
            self._deadlines.record_overdue()

    def _on_change(self, server: str, health: EndpointHealth) -> None:
        self.record_overdue()
        self._deadlines.add(server, health)

    async def _listen(self, address: Address) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: AgentConnection(self._state), *address)


def _close_all(connections: set[AgentConnection]) -> None:
    for connection in connections:
        connection.close()

"""The endpoint list of the fleet, with its versions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from soak.account_server.server import AccountServer
from soak.history.events import EndpointHealth

ChangeListener = Callable[[str, EndpointHealth], None]
"""Called with the name of a server and its new health."""

FULL_CAPACITY_SHARE = 1.0
"""The share of its capacity that each server provides to this deployment: all of it."""


@dataclass(slots=True)
class _EndpointEntry:
    """A server, its health and the version of the list in which its entry last changed."""

    server: AccountServer
    health: EndpointHealth
    version: int

    def to_json(self) -> dict[str, Any]:
        """Return the entry in discovery's format."""
        identity = self.server.identity
        host, port = self.server.address
        return {
            "host": identity.name,
            "dial": f"{host}:{port}",
            "site": identity.zone,
            "class": "kind",
            "block": identity.cell,
            "health": self.health.value,
            "share": FULL_CAPACITY_SHARE,
            "born_ms": self.server.started_at_ms,
        }


class EndpointDirectory:
    """The endpoint list that all agents of the fleet serve."""

    def __init__(self) -> None:
        self.version = 1
        self.changed = asyncio.Event()
        """Set at the next change, and then replaced by a new event for the change after it."""
        self._entries: dict[str, _EndpointEntry] = {}
        self._listeners: list[ChangeListener] = []

    def add_listener(self, listener: ChangeListener) -> None:
        """Register a listener, which is called at each change before the watches are woken up."""
        self._listeners.append(listener)

    def set_health(self, server: AccountServer, health: EndpointHealth) -> None:
        """Add a server or change its entry, and wake up the watches."""
        self.version += 1
        self._entries[server.identity.name] = _EndpointEntry(server, health, self.version)
        for listener in self._listeners:
            listener(server.identity.name, health)
        self.changed.set()
        self.changed = asyncio.Event()

    def draining_or_removed_servers(self) -> dict[str, EndpointHealth]:
        """Return the health of the servers that are draining or removed, by name."""
        return {
            name: entry.health for name, entry in self._entries.items() if entry.health != EndpointHealth.UP
        }

    def snapshot(self, omits_draining: bool = False) -> dict[str, Any]:
        """Return the complete list in discovery's format."""
        included_health = (
            {EndpointHealth.UP} if omits_draining else {EndpointHealth.UP, EndpointHealth.DRAINING}
        )
        entries = (entry for entry in self._entries.values() if entry.health in included_health)
        return self._document(entries, is_complete=True)

    def changes_since(self, version: int) -> dict[str, Any]:
        """Return the entries that changed after a version, in discovery's format."""
        entries = (entry for entry in self._entries.values() if entry.version > version)
        return self._document(entries, is_complete=False)

    def _document(self, entries: Iterable[_EndpointEntry], is_complete: bool) -> dict[str, Any]:
        hosts = [entry.to_json() for entry in entries]
        return {"seq": self.version, "whole": is_complete, "hosts": hosts}

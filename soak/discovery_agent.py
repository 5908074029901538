"""Discovery: the endpoint list of the fleet, and the agent beside each sidecar that tells it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from soak.account_server import AccountServer
from soak.fault_proxy import Address, reset_transport
from soak.history import HarnessClock, History, Notice

SILENT_WATCH_SECONDS = 6.0
"""What a silent watch does not bring counts as told this long after it fell silent, or after the change."""
NEW_ADDRESS_SECONDS = 4.0
"""What a new address has counts as told this long after the SIGHUP."""
WHOLE_LIST_PROBABILITY = 0.2
"""That a watch answers with the whole list, from which draining servers are left out."""
OLD_ADDRESS_SECONDS = 1.5
"""An address that discovery has left closes its connections after this time."""


class Health(StrEnum):
    """The health of a server as the list names it."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class _Entry:
    server: AccountServer
    health: Health
    version: int


class EndpointDirectory:
    """The endpoint list of the fleet, with its versions."""

    def __init__(self, clock: HarnessClock) -> None:
        self.version = 1
        self.changed = asyncio.Event()
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._listeners: list[Callable[[str, Health], None]] = []

    def add_listener(self, listener: Callable[[str, Health], None]) -> None:
        """Call this with the server and its health at each change."""
        self._listeners.append(listener)

    def set_health(self, server: AccountServer, health: Health) -> None:
        """Add a server or change its entry, and let the watches know."""
        self.version += 1
        self._entries[server.identity.name] = _Entry(server, health, self.version)
        for listener in self._listeners:
            listener(server.identity.name, health)
        self.changed.set()
        self.changed = asyncio.Event()

    def departing(self) -> dict[str, Health]:
        """Return the servers that drain or are removed."""
        return {name: entry.health for name, entry in self._entries.items() if entry.health != Health.UP}

    def snapshot(self, leaves_out_draining: bool = False) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        shown = (Health.UP,) if leaves_out_draining else (Health.UP, Health.DRAINING)
        return self._list(lambda entry: entry.health in shown, whole=True)

    def changes_since(self, version: int) -> dict[str, Any]:
        """Return the entries that changed after a version."""
        return self._list(lambda entry: entry.version > version, whole=False)

    def _list(self, is_shown: Callable[[_Entry], bool], whole: bool) -> dict[str, Any]:
        hosts = [_host(entry) for entry in self._entries.values() if is_shown(entry)]
        return {"seq": self.version, "whole": whole, "hosts": hosts}


def _host(entry: _Entry) -> dict[str, Any]:
    identity = entry.server.identity
    host, port = entry.server.proxy.address
    return {
        "host": identity.name,
        "dial": f"{host}:{port}",
        "site": identity.zone,
        "class": "kind",
        "block": identity.cell,
        "health": entry.health.value,
        "share": 1.0,
        "born_ms": entry.server.born_ms,
    }


class _AgentConnection(asyncio.Protocol):
    """One connection of a sidecar to its agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self._agent = agent
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self.is_silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._agent.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Answer a call once it is whole."""
        self._buffer += data
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        self._buffer = rest
        target = head.split(b" ")[1].decode("latin-1")
        self._task = asyncio.get_running_loop().create_task(self._answer(target))

    def connection_lost(self, _error: Exception | None) -> None:
        """End the call that is under way."""
        self._agent.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_transport(self._transport)

    async def _answer(self, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        since = int(query.get("from", ["0"])[0])
        hold_seconds = int(query.get("hold_ms", ["0"])[0]) / 1000
        directory = self._agent.directory
        if since and directory.version <= since:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(directory.changed.wait(), hold_seconds)
        if self.is_silent:
            return
        tells_whole = not since or self._agent.random.random() < WHOLE_LIST_PROBABILITY
        has_news = directory.version > since
        if tells_whole and has_news:
            answer = directory.snapshot(leaves_out_draining=bool(since))
        else:
            answer = directory.changes_since(since)
        body = json.dumps(answer, indent=1 if self._agent.random.random() < 0.2 else None).encode()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self._agent.note_told()


class DiscoveryAgent:
    """The agent of one sidecar; its address changes with a new configuration."""

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
        self._host = host
        self._is_polled = is_polled
        self._due_not_before = 0.0
        self.directory = directory
        self.random = random
        self.connections: set[_AgentConnection] = set()
        self.address: Address = (host, 0)
        self._clock = clock
        self._history = history
        self._listener: asyncio.Server | None = None
        self._down_count = 0
        self._untold: dict[str, tuple[Health, float]] = {}
        directory.add_listener(self._note_change)

    @property
    def is_down(self) -> bool:
        """Whether discovery refuses connections now."""
        return self._down_count > 0

    async def start(self) -> None:
        """Listen at a free port."""
        self._listener = await self._listen((self._host, 0))
        self.address = self._listener.sockets[0].getsockname()[:2]

    async def move(self) -> None:
        """Listen at a new address; the old one takes no new connections and closes the open ones later.

        Only while discovery is not down.
        """
        self._due_not_before = max(self._due_not_before, self._clock.now() + NEW_ADDRESS_SECONDS)
        old_listener, old_connections = self._listener, set(self.connections)
        await self.start()
        if old_listener is not None:
            old_listener.close()
        asyncio.get_running_loop().call_later(OLD_ADDRESS_SECONDS, _close_all, old_connections)

    def silence(self) -> None:
        """Let the open connections never answer again; new ones are answered."""
        self._due_not_before = max(self._due_not_before, self._clock.now() + SILENT_WATCH_SECONDS)
        for connection in self.connections:
            connection.is_silent = True

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for connection in list(self.connections):
            connection.reset()

    def go_down(self) -> None:
        """Refuse connections until `come_back` was called as often."""
        self._down_count += 1
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    async def come_back(self) -> None:
        """Listen at the same address again; what is known then counts as told."""
        self._down_count -= 1
        if self.is_down:
            return
        self._listener = await self._listen(self.address)
        due_at = self._due_at()
        self._untold = {name: (health, due_at) for name, (health, _) in self._untold.items()}

    def note_told(self) -> None:
        """Note that the list as it is now was written to the sidecar."""
        now = self._clock.now()
        for server, (health, _) in self._untold.items():
            self._history.notices.append(Notice(self.sidecar, server, health.value, now))
        self._untold.clear()

    def note_process_start(self) -> None:
        """Note that a new process counts as told of what the agent has, from its first moment."""
        due_at = self._due_at()
        for server, health in self.directory.departing().items():
            self._untold[server] = (health, due_at)

    def note_overdue(self) -> None:
        """Note what counts as told by now though it was never written."""
        if self.is_down:
            return
        now = self._clock.now()
        for server, (health, due_at) in list(self._untold.items()):
            if due_at <= now:
                self._history.notices.append(Notice(self.sidecar, server, health.value, due_at))
                del self._untold[server]

    async def _listen(self, address: Address) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: _AgentConnection(self), *address)

    def _note_change(self, server: str, health: Health) -> None:
        self.note_overdue()
        self._untold[server] = (health, self._due_at())

    def _due_at(self) -> float:
        """Return when what changes now counts as told at the latest.

        What the agent has counts at once where lists are pushed; where they are polled, calls take time.
        """
        patience = SILENT_WATCH_SECONDS if self._is_polled else 0.0
        return max(self._clock.now() + patience, self._due_not_before)


def _close_all(connections: set[_AgentConnection]) -> None:
    for connection in connections:
        connection.close()

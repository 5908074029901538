"""A connection of a sidecar to its discovery agent."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from soak.discovery.endpoint_directory import EndpointDirectory
from soak.network.sockets import reset_transport

COMPLETE_LIST_PROBABILITY = 0.2
"""Probability that a watch gets the complete list, without the draining servers, instead of the changes."""
INDENTED_JSON_PROBABILITY = 0.2
"""Probability that the JSON of a response is indented; the response then arrives in more pieces."""
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class AgentState:
    """The state that a discovery agent shares with its connections."""

    directory: EndpointDirectory
    random: Random
    on_list_sent: Callable[[], None]
    """Called when the current list has been sent to the sidecar."""
    connections: set[AgentConnection] = field(default_factory=set)
    """The open connections."""


@dataclass(frozen=True, slots=True)
class _ListQuery:
    """The parameters of a call for the endpoint list."""

    since_version: int
    """The version of the list that the sidecar has; 0 if it has none."""
    long_poll_timeout_seconds: float
    """The timeout of the long poll: how long the call may wait for a change."""

    @classmethod
    def parse(cls, target: str) -> _ListQuery:
        """Parse the target of a request."""
        parameters = parse_qs(urlsplit(target).query)
        since_version = int(parameters.get("from", ["0"])[0])
        long_poll_timeout_milliseconds = int(parameters.get("hold_ms", ["0"])[0])
        return cls(since_version, long_poll_timeout_milliseconds / MILLISECONDS_PER_SECOND)


class AgentConnection(asyncio.Protocol):
    """One connection of a sidecar to its agent; it carries one call at a time."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_unresponsive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._state.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Respond to a call once it is complete."""
        self._buffer += data
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        self._buffer = rest
        target = head.split(b" ")[1].decode("latin-1")
        self._task = asyncio.get_running_loop().create_task(self._respond(_ListQuery.parse(target)))

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the connection and cancel the call in progress."""
        self._state.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def stop_responding(self) -> None:
        """Send no further response."""
        self._is_unresponsive = True

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_transport(self._transport)

    async def _respond(self, query: _ListQuery) -> None:
        directory = self._state.directory
        if query.since_version and directory.version <= query.since_version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(directory.changed.wait(), query.long_poll_timeout_seconds)
        if self._is_unresponsive:
            return
        document = self._draw_document(query.since_version)
        is_indented = self._state.random.random() < INDENTED_JSON_PROBABILITY
        body = json.dumps(document, indent=1 if is_indented else None).encode()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self._state.on_list_sent()

    def _draw_document(self, since_version: int) -> dict[str, Any]:
        """Return the complete list or the changes since a version, in discovery's format."""
        directory = self._state.directory
        is_first_call = not since_version
        is_complete = is_first_call or self._state.random.random() < COMPLETE_LIST_PROBABILITY
        if is_complete and directory.version > since_version:
            return directory.snapshot(omits_draining=not is_first_call)
        return directory.changes_since(since_version)

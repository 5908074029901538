"""Runs a complete sidecar in the event loop of the test."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    EndpointUpdateKind,
    Event,
)
from balancer.sidecar.configuration import parse_configuration
from balancer.sidecar.discovery.client import DiscoveryClient
from balancer.sidecar.discovery.endpoint_list import parse_endpoint_list
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.listener import Listener
from balancer.sidecar.downstream.timeouts import DEFAULT_TIMEOUTS, DownstreamTimeouts
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.sidecar.runtime.clock import Clock
from tests.sidecar.client import Client
from tests.sidecar.configuration_documents import configuration


class _ObservedConnection(DownstreamConnection):
    """A client connection whose transport the test can access."""

    def __init__(self, listener: Listener, transports: list[asyncio.Transport]) -> None:
        super().__init__(listener)
        self._observed_transports = transports

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._observed_transports.append(cast(asyncio.Transport, transport))
        super().connection_made(transport)


class Sidecar:
    """A sidecar in the event loop of the test, which records the events that its policy handles."""

    def __init__(self, document: dict[str, Any], timeouts: DownstreamTimeouts = DEFAULT_TIMEOUTS) -> None:
        self.timeouts = timeouts
        self.config = parse_configuration(json.loads(json.dumps(document)))
        self.events: list[Event] = []
        self.event_recorded = asyncio.Event()
        self.client_transports: list[asyncio.Transport] = []
        """Transports of the client connections, oldest first."""

    async def start(
        self, clock: Clock | None = None, dispatcher_loop: asyncio.AbstractEventLoop | None = None
    ) -> None:
        """Start listening on a free port of 127.0.0.1.

        Args:
            clock: The clock of the dispatcher; the real one by default.
            dispatcher_loop: The event loop whose timers the dispatcher uses; the running one by default.
        """
        loop = asyncio.get_running_loop()
        self.balancer = Balancer(self.config.settings, self.config.seed)
        self.dispatcher = Dispatcher(self.config, dispatcher_loop or loop, clock or Clock(), policy=self)
        self.listener = Listener(self.config, self.dispatcher, loop, self.timeouts)
        self.discovery = DiscoveryClient(self.config.discovery_client(), self.dispatcher, loop)
        self.dispatcher.attach_discovery(self.discovery)
        self.dispatcher.start(self.config.cached_endpoints)
        self.server = await loop.create_server(self._accept_client, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Record an event and pass it to the balancer. The dispatcher uses this object as its policy."""
        self.events.append(event)
        self.event_recorded.set()
        return self.balancer.handle(now_ns, event)

    async def wait_for_event(self, is_wanted: Callable[[Any], bool]) -> Any:
        """Return the first matching event; wait for it if none has been recorded so far."""
        while True:
            for event in self.events:
                if is_wanted(event):
                    return event
            self.event_recorded.clear()
            await self.event_recorded.wait()

    def update_endpoints(self, document: dict[str, Any], kind: EndpointUpdateKind) -> None:
        """Pass the dispatcher an endpoint list, as the discovery client does."""
        self.dispatcher.on_endpoint_update(parse_endpoint_list(document, self.config.name_indices), kind)

    async def connect_client(self) -> Client:
        """Open a connection as a client."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    def _accept_client(self) -> DownstreamConnection:
        return _ObservedConnection(self.listener, self.client_transports)


@contextlib.asynccontextmanager
async def run_sidecar(
    *addresses: str,
    clock: Clock | None = None,
    dispatcher_loop: asyncio.AbstractEventLoop | None = None,
    timeouts: DownstreamTimeouts = DEFAULT_TIMEOUTS,
    **overrides: Any,
) -> AsyncIterator[Sidecar]:
    """Run a sidecar with cached endpoints at these addresses; `overrides` replace keys of the document."""
    sidecar = Sidecar(configuration(*addresses, **overrides), timeouts)
    await sidecar.start(clock, dispatcher_loop)
    try:
        yield sidecar
    finally:
        sidecar.server.close()
        sidecar.discovery.set_watching(False)


def is_attempt_completed(event: Event) -> bool:
    """Return whether an event reports the end of an attempt."""
    return isinstance(event, AttemptCompleted)

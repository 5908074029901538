"""The listener for the application's clients: admission, eviction, readiness and graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.connection_lifecycle import CloseReason
from balancer.sidecar.downstream.connection_registry import ConnectionRegistry
from balancer.sidecar.downstream.eviction import EvictionAction
from balancer.sidecar.downstream.interfaces import RequestDispatcher
from balancer.sidecar.downstream.request_validator import RequestValidator
from balancer.sidecar.downstream.timeout_enforcement import EffectiveTimeouts, enforce_timeouts
from balancer.sidecar.downstream.timeouts import DEFAULT_TIMEOUTS, DownstreamTimeouts
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.request import HttpRequestError, RequestHead
from balancer.sidecar.requests.client_request import ClientRequest
from balancer.sidecar.runtime.timers import OneShotTimer

READ_BUFFER_BYTES = 16 * 1024
"""Number of bytes that one read from a client may return.

Reading can pause only between two reads, so each connection may hold this many bytes that wait.
"""


class Listener:
    """Admits clients' connections, up to a limit, and enforces the time limits on each of them.

    A graceful shutdown has three steps, which the caller starts in this order: `begin_shutdown`,
    `begin_draining` and `close_idle_connections`.

    Attributes:
        dispatcher: takes the valid requests.
        timeouts: the time limits of the connections.
        now_seconds: returns the event loop's time, in seconds.
        read_buffer: the buffer into which each connection reads, one after the other.
        is_draining: whether each connection is closed after the response that leaves it idle.
    """

    def __init__(
        self,
        config: SidecarConfiguration,
        dispatcher: RequestDispatcher,
        loop: asyncio.AbstractEventLoop,
        timeouts: DownstreamTimeouts = DEFAULT_TIMEOUTS,
    ) -> None:
        self.dispatcher = dispatcher
        self.timeouts = timeouts
        self.now_seconds = loop.time
        self._loop = loop
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.is_draining = False
        self._is_shutting_down = False
        self._validator = RequestValidator(config)
        self._connections = ConnectionRegistry(config.max_downstream_connections)
        self._all_closed = asyncio.Event()
        self._sweep_timer = OneShotTimer(loop)
        self._started_at_seconds = self.now_seconds()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def linger_timeout_seconds(self) -> float:
        """Return how long a connection may linger after the sidecar's side has been closed."""
        if self._is_shutting_down:
            return self.timeouts.linger_shutdown_seconds
        return self.timeouts.linger_seconds

    @property
    def started_at_seconds(self) -> float:
        """Return when the listener was created, by `now_seconds`."""
        return self._started_at_seconds

    @property
    def accepting_connections(self) -> list[DownstreamConnection]:
        """Return the connections that may send requests, those that have not sent one first."""
        return self._connections.accepting()

    def call_soon(self, callback: Callable[[], None], /) -> asyncio.Handle:
        """Call back once, after the events that are ready now."""
        return self._loop.call_soon(callback)

    # ---- requests

    def validate_request(self, head: RequestHead, body: bytes) -> ClientRequest:
        """Validate a request, and convert it for the dispatcher. Raises HttpRequestError."""
        request = self._validator.validate(head, body)
        if self.dispatcher.is_duplicate(request.client_request_id):
            # Two copies of one request must not be executed, neither concurrently nor one after the other.
            raise HttpRequestError(HTTPStatus.CONFLICT, "a request with this Req-Id was taken already")
        return request

    def readiness_response(self) -> HttpResponse:
        """Return 200 if an endpoint is known or the wait for the first endpoint list is over, else 503."""
        seconds_since_start = self.now_seconds() - self._started_at_seconds
        if self.dispatcher.has_endpoints or seconds_since_start >= self.timeouts.first_endpoint_list_seconds:
            return HttpResponse(HTTPStatus.OK, [], b"up\n")
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, [], b"no endpoint is known yet\n")

    # ---- events of the connections

    def on_connection_opened(self, connection: DownstreamConnection) -> None:
        """Admit a connection. Above the limit another one is closed, or this one if no other can be."""
        self._connections.add(connection)
        self._enforce_connection_limit(connection)
        if not self._sweep_timer.is_running:
            self._sweep_timer.start(self.timeouts.sweep_interval_seconds, self.sweep)

    def on_request_accepted(self, connection: DownstreamConnection) -> None:
        """Record that a connection has sent a valid request."""
        self._connections.mark_used(connection)

    def on_connection_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the sidecar's side of a connection is closed."""
        self._connections.mark_lingering(connection)

    def on_connection_closed(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.remove(connection)
        if not len(self._connections):
            self._all_closed.set()

    def _enforce_connection_limit(self, new_connection: DownstreamConnection) -> None:
        grace_seconds = self.timeouts.eviction_grace_seconds
        for connection, action in self._connections.select_evictions(
            new_connection, self.now_seconds(), grace_seconds
        ):
            if action is EvictionAction.ABORT:
                self._connections.mark_aborted(connection)
                connection.abort(CloseReason.LINGERED)
            elif action is EvictionAction.REJECT_REQUEST:
                connection.evict_request()
            else:
                connection.close(CloseReason.EVICTED)

    def sweep(self) -> None:
        """Enforce the time limits on all connections, and schedule the next sweep if there are any."""
        now_seconds = self.now_seconds()
        effective = self._effective_timeouts()
        for connection in self._connections.all():
            enforce_timeouts(connection, effective, now_seconds)
        if len(self._connections):
            self._sweep_timer.start(effective.timeouts.sweep_interval_seconds, self.sweep)

    def _effective_timeouts(self) -> EffectiveTimeouts:
        timeouts = self.timeouts
        is_above_half_capacity = self._connections.is_above_half_capacity
        return EffectiveTimeouts(
            timeouts=timeouts,
            idle_seconds=timeouts.reduced_idle_seconds if is_above_half_capacity else timeouts.idle_seconds,
            linger_seconds=self.linger_timeout_seconds,
        )

    # ---- graceful shutdown

    def begin_shutdown(self) -> None:
        """Shorten the time for which connections may linger, so that no client delays the shutdown."""
        self._is_shutting_down = True

    def begin_draining(self) -> None:
        """From now on, close each connection after the response that leaves it idle."""
        self.is_draining = True

    def close_idle_connections(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in self._connections.accepting():
            if connection.is_idle:
                connection.close_unless_unread(CloseReason.DRAINING)

    async def wait_until_closed(self) -> None:
        """Wait until all connections are closed; then no response is pending any more."""
        while len(self._connections):
            self._all_closed.clear()
            await self._all_closed.wait()

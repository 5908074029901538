"""The listening socket: accepts connections, and retries after accept(2) has failed."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import TypeAlias

from balancer.sidecar.runtime.address import Address
from balancer.sidecar.runtime.metrics import Metric, Metrics
from balancer.sidecar.runtime.timers import OneShotTimer

LISTEN_BACKLOG = 512
"""Number of connections that may wait to be accepted; more than the sidecar may have open."""

MAX_ACCEPTED_PER_ITERATION = 64
"""Maximum number of connections accepted in one iteration of the event loop.

The limit lets the event loop serve the open connections in between.
"""

RETRY_DELAY_SECONDS = 0.01
"""Seconds from a failure to accept until the next attempt.

Waiting connections are neither closed nor served until then, so the delay is far shorter than clients'
timeouts.
"""

ProtocolFactory: TypeAlias = Callable[[float | None], asyncio.BaseProtocol]
"""Creates the protocol of a connection; `Acceptor` describes its argument."""

log = logging.getLogger(__name__)


def open_listening_socket(address: Address) -> socket.socket:
    """Return a socket that listens at this address. Raises OSError."""
    host, _port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
    listening.setblocking(False)
    return listening


class Acceptor:
    """Accepts the connections of a listening socket, and attaches a new protocol to each.

    The event loop's own server closes new connections unread when descriptors run out, and the requests on
    them are lost. This class leaves them in the backlog until descriptors are free again.

    Args:
        listening: the listening socket, which this object owns.
        loop: the event loop.
        make_protocol: creates the protocol of each connection. Its argument is the event loop's time, in
            seconds, since which bytes of the client may have been waiting unread; None if the connection
            was accepted without a delay.
        metrics: counts the failures.
    """

    def __init__(
        self,
        listening: socket.socket,
        loop: asyncio.AbstractEventLoop,
        make_protocol: ProtocolFactory,
        metrics: Metrics,
    ) -> None:
        self._listening = listening
        self._loop = loop
        self._make_protocol = make_protocol
        self._metrics = metrics
        self._retry_timer = OneShotTimer(loop)
        self._opening_tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False
        self._blocked_since_seconds: float | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self._loop.add_reader(self._listening, self._accept_waiting)

    async def close(self) -> None:
        """Accept the connections in the backlog, then stop accepting and close the socket.

        Returns once the protocols of all accepted connections are attached.
        """
        if not self._is_closed:
            self._accept_up_to(LISTEN_BACKLOG)
            self._is_closed = True
            self._retry_timer.cancel()
            self._loop.remove_reader(self._listening)
            self._listening.close()
        if self._opening_tasks:
            await asyncio.wait(self._opening_tasks)

    def _accept_waiting(self) -> None:
        self._accept_up_to(MAX_ACCEPTED_PER_ITERATION)

    def _accept_up_to(self, count: int) -> None:
        """Accept up to this many of the waiting connections; stop when none is left or accepting fails."""
        for _ in range(count):
            try:
                connection, _address = self._listening.accept()
            except (BlockingIOError, InterruptedError):
                self._blocked_since_seconds = None
                return
            except ConnectionAbortedError:
                continue  # this client has disconnected; others may be waiting
            except OSError as error:
                self._retry_later(error)
                return
            self._open(connection)

    def _retry_later(self, error: OSError) -> None:
        """Stop watching the socket, which stays readable, and accept again after a delay."""
        error_name = errno.errorcode.get(error.errno or 0, "other")
        self._metrics.count(Metric.ACCEPT_FAILURES, error_name)
        if self._blocked_since_seconds is None:
            self._blocked_since_seconds = self._loop.time()
        log.info("accept_failed error=%s retry_seconds=%.2f", error_name, RETRY_DELAY_SECONDS)
        self._loop.remove_reader(self._listening)
        self._retry_timer.start(RETRY_DELAY_SECONDS, self._resume)

    def _resume(self) -> None:
        if not self._is_closed:
            self.start()

    def _open(self, connection: socket.socket) -> None:
        make_protocol = partial(self._make_protocol, self._blocked_since_seconds)
        task = self._loop.create_task(self._attach(connection, make_protocol))
        self._opening_tasks.add(task)
        task.add_done_callback(self._opening_tasks.discard)

    async def _attach(
        self, connection: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        connection.setblocking(False)
        try:
            # Small writes must not wait for the acknowledgement of earlier ones.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(make_protocol, connection)
        except OSError as error:  # the client has reset the connection in the meantime
            log.info("accepted_connection_lost error=%r", error)
            connection.close()

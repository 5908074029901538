"""The listening socket: accepts connections, and goes on where accept(2) fails."""

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
"""Connections that may wait to be accepted."""

MAX_ACCEPTED_PER_TURN = 64
"""Connections accepted in one turn of the event loop: those that are open are to be served meanwhile."""

RETRY_DELAY_SECONDS = 0.01
"""After a failure to accept. Connections that wait are neither closed nor answered until then."""

ProtocolFactory: TypeAlias = Callable[[float | None], asyncio.Protocol]

log = logging.getLogger(__name__)


def open_listening_socket(address: Address) -> socket.socket:
    """Return a socket that listens at this address. Raises OSError."""
    host, _port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
    listening.setblocking(False)
    return listening


class Acceptor:
    """Accepts the connections of a listening socket, each for a protocol of its own.

    The event loop's own server closes new connections unread where descriptors are short, and the requests on
    them are lost. Here they wait in the backlog until there are descriptors again.

    Args:
        listening: the socket; this object owns it.
        loop: the event loop.
        make_protocol: makes the protocol of each connection. It is given since when its bytes may have waited
            (by the loop's time) where the connection had to wait, else None.
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
        """Begin to accept."""
        self._loop.add_reader(self._listening, self._accept_waiting)

    async def close(self) -> None:
        """Accept what waits already, then accept no more and close the socket.

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
        self._accept_up_to(MAX_ACCEPTED_PER_TURN)

    def _accept_up_to(self, count: int) -> None:
        """Accept the connections that wait, as far as that is possible now."""
        for _ in range(count):
            try:
                connection, _address = self._listening.accept()
            except (BlockingIOError, InterruptedError):
                self._blocked_since_seconds = None
                return
            except ConnectionAbortedError:
                continue  # this client has left; others may wait
            except OSError as error:
                self._retry_later(error)
                return
            self._open(connection)

    def _retry_later(self, error: OSError) -> None:
        """Leave the connections in the backlog for a moment: the socket stays readable, and would spin."""
        self._metrics.count(Metric.ACCEPT_FAILURES, errno.errorcode.get(error.errno or 0, "other"))
        if self._blocked_since_seconds is None:
            self._blocked_since_seconds = self._loop.time()
        log.info("accepting failed, retried in %.2f s: %s", RETRY_DELAY_SECONDS, error)
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

    async def _attach(self, connection: socket.socket, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        connection.setblocking(False)
        try:
            # Small writes must not wait for the acknowledgement of earlier ones.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(make_protocol, connection)
        except OSError as error:  # the client has reset the connection meanwhile
            log.info("a connection was lost as it was accepted: %s", error)
            connection.close()

"""The graceful shutdown of a sidecar.

Clients use the connections that they have until these close, and where sidecars restart in turn no other may
be running: so a sidecar serves on for nearly as long as it may live.
"""

from __future__ import annotations

import asyncio
import contextlib

from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.downstream.acceptor import Acceptor
from balancer.sidecar.downstream.listener import Listener
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.time_units import SECOND_NS

ACCEPT_NEW_CONNECTIONS_SECONDS = 0.6
"""After SIGTERM. Clients learn of it late: new connections come for 0.2 to 0.4 s more."""

KILL_DELAY_SECONDS = 0.7
"""SIGKILL may come this much more than the longest client timeout after SIGTERM."""

MAX_AWAITED_CLIENT_TIMEOUT_SECONDS = 3.0
"""Longer client timeouts count as this much."""

EXIT_MARGIN_SECONDS = 0.1
"""The process ends this much before SIGKILL may come."""

DRAIN_BEFORE_EXIT_SECONDS = 1.0
"""From this long before the end, a connection closes with its next response."""

CLOSE_IDLE_BEFORE_EXIT_SECONDS = 0.6
"""This long before the end, connections close that wait for a request."""

LAST_RESPONSES_BEFORE_EXIT_SECONDS = 0.1
"""This long before the end, every request that is still in flight is answered."""


class GracefulShutdown:
    """Serves on for a while, then lets the clients go and finishes every request.

    Its phases are: accept new connections; serve the open ones; close each with its next response; close the
    idle ones; answer whatever is left. It ends sooner if all clients leave.
    """

    def __init__(
        self,
        config: SidecarConfiguration,
        dispatcher: Dispatcher,
        listener: Listener,
        acceptor: Acceptor,
    ) -> None:
        self._dispatcher = dispatcher
        self._listener = listener
        self._acceptor = acceptor
        self._loop = asyncio.get_running_loop()
        self._exit_delay_seconds = _exit_delay_seconds(config)

    async def run(self) -> None:
        """Go through the phases.

        Returns when all connections are closed, but not before the first phase is over, or at the exit time.
        """
        exit_at_seconds = self._loop.time() + self._exit_delay_seconds
        self._dispatcher.expire_all_within(self._exit_delay_seconds - LAST_RESPONSES_BEFORE_EXIT_SECONDS)
        self._listener.begin_shutdown()
        await asyncio.sleep(ACCEPT_NEW_CONNECTIONS_SECONDS)
        await self._acceptor.close()
        await self._wait_until_closed(exit_at_seconds - DRAIN_BEFORE_EXIT_SECONDS)
        self._listener.begin_draining()
        await self._wait_until_closed(exit_at_seconds - CLOSE_IDLE_BEFORE_EXIT_SECONDS)
        self._listener.close_idle_connections()
        await self._wait_until_closed(exit_at_seconds)

    async def _wait_until_closed(self, until_seconds: float) -> None:
        """Wait until all connections are closed, but no longer than until this time of the loop.

        A client that never finishes sending its request, or reading its response, is not waited for.
        """
        seconds_left = max(0.0, until_seconds - self._loop.time())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._listener.wait_until_closed(), seconds_left)


def _exit_delay_seconds(config: SidecarConfiguration) -> float:
    """Return how long after SIGTERM the process has to end."""
    longest_timeout_ns = max(request_class.client_timeout_ns for request_class in config.settings.classes)
    client_timeout_seconds = min(MAX_AWAITED_CLIENT_TIMEOUT_SECONDS, longest_timeout_ns / SECOND_NS)
    seconds = client_timeout_seconds + KILL_DELAY_SECONDS - EXIT_MARGIN_SECONDS
    return max(ACCEPT_NEW_CONNECTIONS_SECONDS, seconds)

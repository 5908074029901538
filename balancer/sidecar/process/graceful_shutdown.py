"""The graceful shutdown of a sidecar.

Clients use their open connections until these close, and during a rolling restart no other sidecar may be
running. A sidecar therefore continues to serve until shortly before SIGKILL may arrive.
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
"""How long after SIGTERM new connections are accepted.

Clients notice the shutdown late and open new connections for 0.2 to 0.4 s.
"""

KILL_DELAY_SECONDS = 0.7
"""SIGKILL may arrive once the longest client timeout plus this time has passed since SIGTERM."""

MAX_AWAITED_CLIENT_TIMEOUT_SECONDS = 3.0
"""The upper bound on the client timeout that the exit time is computed from."""

EXIT_MARGIN_SECONDS = 0.1
"""The time between the exit of the process and the earliest SIGKILL."""

DRAIN_BEFORE_EXIT_SECONDS = 1.0
"""How long before the exit time draining begins: each connection then closes with its next response."""

CLOSE_IDLE_BEFORE_EXIT_SECONDS = 0.6
"""How long before the exit time the idle connections are closed."""

LAST_RESPONSES_BEFORE_EXIT_SECONDS = 0.1
"""How long before the exit time every request that is still in flight is answered."""


class GracefulShutdown:
    """Completes every request and closes all connections before the exit time.

    The phases are:

    1. Accept new connections, and serve all connections.
    2. Serve the open connections.
    3. Drain: close each connection with its next response.
    4. Close the idle connections.
    5. Answer the requests that are still in flight.

    After the first phase, the shutdown ends as soon as all connections are closed.
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
        """Run the phases of the shutdown.

        Returns once all connections are closed, though not before the end of the first phase, and at the
        latest at the exit time.
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
        """Wait until all connections are closed, but not beyond this time of the event loop.

        A client may stall in the middle of its request, or never read its response.
        """
        seconds_left = max(0.0, until_seconds - self._loop.time())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._listener.wait_until_closed(), seconds_left)


def _exit_delay_seconds(config: SidecarConfiguration) -> float:
    """Return how long after SIGTERM the exit time is."""
    longest_timeout_ns = max(request_class.client_timeout_ns for request_class in config.settings.classes)
    client_timeout_seconds = min(MAX_AWAITED_CLIENT_TIMEOUT_SECONDS, longest_timeout_ns / SECOND_NS)
    seconds = client_timeout_seconds + KILL_DELAY_SECONDS - EXIT_MARGIN_SECONDS
    return max(ACCEPT_NEW_CONNECTIONS_SECONDS, seconds)

"""The life of one sidecar: start, reload of the configuration on SIGHUP, graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
from functools import partial

from balancer.errors import ConfigurationError
from balancer.sidecar.configuration import (
    SidecarConfiguration,
    UnreadableConfigurationError,
    load_configuration,
)
from balancer.sidecar.discovery.client import DiscoveryClient
from balancer.sidecar.downstream.acceptor import Acceptor, open_listening_socket
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.listener import Listener
from balancer.sidecar.gossip_transport import GossipTransport
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.sidecar.runtime.clock import Clock
from balancer.sidecar.runtime.metrics import Metrics
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.time_units import SECOND_NS

RELOAD_DELAY_SECONDS = 0.02
"""From a SIGHUP to the reload: the signals of a burst cause one reload, and leave the loop time to serve."""

RELOAD_RETRY_SECONDS = 0.1
"""Until a file that could not be read is tried again."""

MAX_RELOAD_ATTEMPTS = 30
"""Of one reload: what the new address of discovery has counts as known 4 s after the SIGHUP."""

# The phases of a shutdown. Clients use the connections that they have until these close, and where sidecars
# restart in turn no other may be running: so one serves on for nearly as long as it may live.

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

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

log = logging.getLogger(__name__)


def block_signals() -> None:
    """Hold back the signals that the sidecar handles, in this thread and those that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Let this thread take the signals that the sidecar handles."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


class ConfigurationReloader:
    """Reads the configuration again on request. Only the address of discovery can change in service.

    A burst of requests causes one reload: one for each would keep the loop from everything else. A file that
    cannot be read is tried again for a while.
    """

    def __init__(self, discovery: DiscoveryClient, loop: asyncio.AbstractEventLoop) -> None:
        self._discovery = discovery
        self._timer = OneShotTimer(loop)
        self._attempts_left = 0

    def request_reload(self) -> None:
        """Reload soon, unless that is pending already."""
        self._attempts_left = MAX_RELOAD_ATTEMPTS
        if not self._timer.is_running:
            self._timer.start(RELOAD_DELAY_SECONDS, self._reload)

    def cancel(self) -> None:
        """Drop a reload that is pending."""
        self._timer.cancel()

    def _reload(self) -> None:
        is_first_attempt = self._attempts_left == MAX_RELOAD_ATTEMPTS
        self._attempts_left -= 1
        try:
            config = load_configuration(os.environ)
        except UnreadableConfigurationError as error:
            if is_first_attempt:
                _log_failed_reload(error)
            if self._attempts_left:
                self._timer.start(RELOAD_RETRY_SECONDS, self._reload)
        except ConfigurationError as error:
            _log_failed_reload(error)
        else:
            log.info("reloaded: discovery at %s:%d", *config.discovery_address)
            self._discovery.change_address(config.discovery_address)


def _log_failed_reload(error: ConfigurationError) -> None:
    log.error("reload failed, the old configuration stays: %s: %s", type(error).__name__, error)


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
        """Go through the phases; returns when all connections are closed, or when the time is over."""
        exit_at = self._loop.time() + self._exit_delay_seconds
        self._dispatcher.expire_all_within(self._exit_delay_seconds - LAST_RESPONSES_BEFORE_EXIT_SECONDS)
        self._listener.begin_shutdown()
        await asyncio.sleep(ACCEPT_NEW_CONNECTIONS_SECONDS)
        await self._acceptor.close()
        await self._wait_for_clients(exit_at - DRAIN_BEFORE_EXIT_SECONDS)
        self._listener.begin_draining()
        await self._wait_for_clients(exit_at - CLOSE_IDLE_BEFORE_EXIT_SECONDS)
        self._listener.close_idle_connections()
        await self._wait_for_clients(exit_at)

    async def _wait_for_clients(self, until: float) -> None:
        """Wait until all connections are closed, but no longer than until this time of the loop.

        A client that never finishes sending its request, or reading its response, is not waited for.
        """
        seconds_left = max(0.0, until - self._loop.time())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._listener.wait_until_closed(), seconds_left)


def _exit_delay_seconds(config: SidecarConfiguration) -> float:
    """Return how long after SIGTERM the process has to end."""
    longest_timeout_ns = max(request_class.client_timeout_ns for request_class in config.settings.classes)
    client_timeout_seconds = min(MAX_AWAITED_CLIENT_TIMEOUT_SECONDS, longest_timeout_ns / SECOND_NS)
    seconds = client_timeout_seconds + KILL_DELAY_SECONDS - EXIT_MARGIN_SECONDS
    return max(ACCEPT_NEW_CONNECTIONS_SECONDS, seconds)


async def run_sidecar(config: SidecarConfiguration) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    The caller has blocked the signals; they are taken once there is something to reload or to stop, and are
    blocked again on return.

    Raises:
        OSError: an address of the configuration could not be bound.
    """
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(config, loop, Clock())
    listener = Listener(config, dispatcher, loop)
    shutdown_requested = asyncio.Event()
    for shutdown_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(shutdown_signal, shutdown_requested.set)
    await _open_gossip(config, dispatcher)
    dispatcher.start(config.known_endpoints)
    discovery = DiscoveryClient(config.discovery_client(), dispatcher, loop)
    dispatcher.attach_discovery(discovery)
    reloader = ConfigurationReloader(discovery, loop)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    loop.add_signal_handler(signal.SIGUSR1, _log_metrics, dispatcher.metrics, logging.WARNING)
    discovery.start()
    listening = open_listening_socket(config.listen_address)
    acceptor = Acceptor(listening, loop, partial(DownstreamConnection, listener), dispatcher.metrics)
    acceptor.start()
    unblock_signals()  # the threads that resolve names run by now, and keep them blocked
    log.info("ready to serve at %s:%d", *config.listen_address)
    await shutdown_requested.wait()
    log.info(
        "shutdown begins: %d connections, %d requests in flight",
        len(listener),
        len(dispatcher.ledger.in_flight),
    )
    await GracefulShutdown(config, dispatcher, listener, acceptor).run()
    reloader.cancel()
    await discovery.stop()
    _log_metrics(dispatcher.metrics, logging.INFO)
    # The interpreter restores the default actions of signals as it ends: one that comes then must not kill.
    block_signals()


def _log_metrics(metrics: Metrics, level: int) -> None:
    log.log(level, "metrics %s", metrics.to_json())


async def _open_gossip(config: SidecarConfiguration, dispatcher: Dispatcher) -> None:
    if config.gossip_listen_address is None or not config.settings.gossip_enabled:
        return
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipTransport(config, dispatcher), local_addr=config.gossip_listen_address
    )

"""The lifecycle of a sidecar: start, service and shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
from functools import partial

from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.discovery.client import DiscoveryClient
from balancer.sidecar.downstream.acceptor import Acceptor, open_listening_socket
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.listener import Listener
from balancer.sidecar.gossip_transport import GossipTransport
from balancer.sidecar.process.configuration_reloader import ConfigurationReloader
from balancer.sidecar.process.graceful_shutdown import GracefulShutdown
from balancer.sidecar.process.signals import block_signals, unblock_signals
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.sidecar.runtime.clock import Clock
from balancer.sidecar.runtime.metrics import Metrics

log = logging.getLogger(__name__)


async def run_sidecar(config: SidecarConfiguration) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    The caller has to block the handled signals. They are unblocked once the sidecar listens, and are blocked
    again on return.

    Raises:
        OSError: A socket could not be opened, or an address of the configuration could not be bound.
    """
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(config, loop, Clock())
    listener = Listener(config, dispatcher, loop)
    shutdown_requested = asyncio.Event()
    for shutdown_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(shutdown_signal, shutdown_requested.set)
    await _open_gossip_socket(config, dispatcher)
    dispatcher.start(config.cached_endpoints)
    discovery = DiscoveryClient(config.discovery_client(), dispatcher, loop)
    dispatcher.attach_discovery(discovery)
    reloader = ConfigurationReloader(discovery, loop)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    loop.add_signal_handler(signal.SIGUSR1, _log_metrics, dispatcher.metrics, logging.WARNING)
    await discovery.catch_up()
    discovery.start()
    acceptor = _start_accepting(config, dispatcher, listener)
    unblock_signals()  # in this thread only: the threads that resolve host names have started already
    log.info("ready address=%s", config.listen_address)
    await shutdown_requested.wait()
    log.info(
        "shutdown_started connections=%d requests_in_flight=%d",
        len(listener),
        len(dispatcher.request_registry.in_flight),
    )
    await GracefulShutdown(config, dispatcher, listener, acceptor).run()
    reloader.cancel()
    await discovery.stop()
    _log_metrics(dispatcher.metrics, logging.INFO)
    # The interpreter restores the default actions of signals when it exits. A signal that arrives then must
    # not kill the process.
    block_signals()


async def _open_gossip_socket(config: SidecarConfiguration, dispatcher: Dispatcher) -> None:
    """Open the socket for gossip, if gossip is configured and enabled. Raises OSError."""
    if config.gossip_listen_address is None or not config.settings.gossip_enabled:
        return
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipTransport(config, dispatcher), local_addr=config.gossip_listen_address
    )


def _start_accepting(config: SidecarConfiguration, dispatcher: Dispatcher, listener: Listener) -> Acceptor:
    """Open the listening socket and start to accept the connections of clients. Raises OSError."""
    listening = open_listening_socket(config.listen_address)
    make_connection = partial(DownstreamConnection, listener)
    acceptor = Acceptor(listening, asyncio.get_running_loop(), make_connection, dispatcher.metrics)
    acceptor.start()
    return acceptor


def _log_metrics(metrics: Metrics, level: int) -> None:
    log.log(level, "metrics %s", metrics.to_json())

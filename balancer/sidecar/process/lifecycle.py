"""The life of one sidecar, from its start to its end."""

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

    The caller has blocked the signals; they are taken once there is something to reload or to stop, and are
    blocked again on return.

    Raises:
        OSError: An address of the configuration could not be bound.
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
    acceptor = _start_to_accept(config, dispatcher, listener)
    unblock_signals()  # the threads that resolve names run by now, and keep them blocked
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
    # The interpreter restores the default actions of signals as it ends: one that comes then must not kill.
    block_signals()


async def _open_gossip(config: SidecarConfiguration, dispatcher: Dispatcher) -> None:
    """Open the socket for messages of other sidecars, where there are any. Raises OSError."""
    if config.gossip_listen_address is None or not config.settings.gossip_enabled:
        return
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipTransport(config, dispatcher), local_addr=config.gossip_listen_address
    )


def _start_to_accept(config: SidecarConfiguration, dispatcher: Dispatcher, listener: Listener) -> Acceptor:
    """Open the listening socket and accept the clients' connections. Raises OSError."""
    listening = open_listening_socket(config.listen_address)
    make_connection = partial(DownstreamConnection, listener)
    acceptor = Acceptor(listening, asyncio.get_running_loop(), make_connection, dispatcher.metrics)
    acceptor.start()
    return acceptor


def _log_metrics(metrics: Metrics, level: int) -> None:
    log.log(level, "metrics %s", metrics.to_json())

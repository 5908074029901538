"""One real sidecar: start, signals, exit."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys

import uvloop

from balancer.errors import ConfigurationError
from balancer.sidecar.clock import Clock
from balancer.sidecar.configuration import SECOND, SidecarConfiguration, load
from balancer.sidecar.discovery_client import DiscoveryClient
from balancer.sidecar.dispatcher import Dispatcher
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.listener import Listener
from balancer.sidecar.gossip_transport import GossipTransport

# Stopping. Clients use the connections that they have until these close, and where sidecars restart in turn
# no other may be up: so one serves on for nearly as long as it may live. In seconds after SIGTERM, or before
# the end.
ACCEPT_ON = 0.6  # new connections come for 0.2 to 0.4 s more
KILLED_AFTER = 0.7  # and the longest deadline, taken for LONGEST at most: then SIGKILL may come
LONGEST = 3.0
SPARE = 0.1  # the end comes so much earlier
WIND_DOWN = 1.0  # before it, answers begin to close their connections
CLOSE_IDLE = 0.6  # those close that wait for a request
LAST_ANSWERS = 0.1  # whatever is still open is answered
BACKLOG = 512
RELOAD_AFTER = 0.02  # seconds after a SIGHUP
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

log = logging.getLogger("balancer")


class Reload:
    """Reads the configuration again. Of what it says, the address of discovery can change in service.

    Once for a row of signals: each read for itself, a flood of them kept the loop from everything else.
    """

    def __init__(self, discovery: DiscoveryClient, loop: asyncio.AbstractEventLoop) -> None:
        self._discovery, self._loop = discovery, loop
        self._due: asyncio.TimerHandle | None = None

    def ask(self) -> None:
        if self._due is None:
            self._due = self._loop.call_later(RELOAD_AFTER, self._reload)

    def cancel(self) -> None:
        if self._due is not None:
            self._due.cancel()

    def _reload(self) -> None:
        self._due = None
        try:
            config = load(os.environ)
        except ConfigurationError as problem:
            log.error("the old configuration stays: %s", problem)
            return
        self._discovery.change_address(config.discovery_address)


async def serve(config: SidecarConfiguration) -> None:
    """Serve until SIGTERM or SIGINT; then finish what was taken."""
    loop = asyncio.get_running_loop()
    host = Dispatcher(config, loop, Clock())
    frontend = Listener(config, host, loop)
    told_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    if config.gossip_listen_address is not None and config.settings.gossip_enabled:
        await loop.create_datagram_endpoint(
            lambda: GossipTransport(config, host), local_addr=config.gossip_listen_address
        )
    host.start(config.known_endpoints)
    discovery = DiscoveryClient(config, host, loop)
    reload = Reload(discovery, loop)
    loop.add_signal_handler(signal.SIGHUP, reload.ask)
    discovery.start()
    server = await loop.create_server(
        lambda: DownstreamConnection(frontend), *config.listen_address, backlog=BACKLOG
    )
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # the threads that resolve names run by now
    await told_to_stop.wait()
    await stop(config, host, frontend, server)
    reload.cancel()
    # The interpreter gives signals back their defaults as it ends: one that comes then must not kill.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def stop(
    config: SidecarConfiguration, host: Dispatcher, frontend: Listener, server: asyncio.AbstractServer
) -> None:
    """Serve on, then let the clients go and finish what was taken; sooner if all clients have left."""
    loop = asyncio.get_running_loop()
    longest = min(LONGEST, max(cls.client_timeout_ns for cls in config.settings.classes) / SECOND)
    accepted = loop.time() + ACCEPT_ON
    end = max(accepted, loop.time() + longest + KILLED_AFTER - SPARE)
    host.expire_all_within(end - LAST_ANSWERS - loop.time())
    frontend.begin_shutdown()
    await asyncio.sleep(ACCEPT_ON)
    server.close()
    for before, step in (
        (WIND_DOWN, frontend.begin_draining),
        (CLOSE_IDLE, frontend.close_idle_connections),
        (0.0, None),
    ):
        # Whoever never finishes sending its request, or reading its answer, is not waited for.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(frontend.wait_until_closed(), max(0.0, end - before - loop.time()))
        if step is not None:
            step()


def main() -> int:
    logging.basicConfig(level=logging.WARNING, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except ConfigurationError as problem:
        print(f"balancer: {problem}", file=sys.stderr)
        return 2
    # Until there is something to reload or to stop; threads started meanwhile keep it so. This one alone
    # takes signals then, and can refuse them again at its end.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    gc.freeze()  # what is loaded by now stays: the collector need not go over it again
    try:
        uvloop.run(serve(config))
    except OSError as problem:
        print(f"balancer: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

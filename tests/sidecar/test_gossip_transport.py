"""Tests of the gossip transport over UDP sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

from balancer.policy_api import GossipReceived, SendGossip
from balancer.sidecar.gossip_transport import GossipTransport
from tests.sidecar.event_loop import async_test
from tests.sidecar.sidecar_under_test import run_sidecar


@contextlib.contextmanager
def udp_socket() -> Iterator[socket.socket]:
    """Open a non-blocking UDP socket on a free port of 127.0.0.1."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", 0))
        bound.setblocking(False)
        yield bound


@async_test
async def test_gossip_is_sent_by_index_and_received_from_configured_sidecars_only() -> None:
    loop = asyncio.get_running_loop()
    with udp_socket() as configured, udp_socket() as unknown_sender:
        peers = ["127.0.0.1:9", f"127.0.0.1:{configured.getsockname()[1]}"]
        async with run_sidecar(peers=peers, peers_all=peers[1], peer_listen="127.0.0.1:1") as sidecar:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: GossipTransport(sidecar.config, sidecar.dispatcher), local_addr=("127.0.0.1", 0)
            )
            address = transport.get_extra_info("sockname")
            sidecar.dispatcher.execute(SendGossip(1, b"to one"))
            sidecar.dispatcher.execute(SendGossip(-1, b"to all"))
            sidecar.dispatcher.execute(SendGossip(1, b"x" * 257))
            sidecar.dispatcher.execute(SendGossip(1, b"last"))
            payloads = [await loop.sock_recv(configured, 999) for _ in range(3)]
            assert payloads == [b"to one", b"to all", b"last"]
            unknown_sender.sendto(b"no peer", address)
            configured.sendto(b"a peer", address)
            event = await sidecar.wait_for_event(lambda event: isinstance(event, GossipReceived))
            assert event == GossipReceived(1, b"a peer")
            transport.close()

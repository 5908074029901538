"""Gossip between sidecars: messages in UDP datagrams, which may be delayed, lost or duplicated."""

from __future__ import annotations

import asyncio
from typing import cast

from balancer.policy_api import GossipReceived
from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.sidecar.runtime.address import Address

MAX_GOSSIP_BYTES = 256
"""The longest payload of a message; a longer one is neither sent nor accepted."""


class GossipTransport(asyncio.DatagramProtocol):
    """Sends messages to the configured sidecars, and accepts messages from these only."""

    def __init__(self, config: SidecarConfiguration, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._addresses = config.gossip_addresses
        self._broadcast_address = config.gossip_broadcast_address
        self._index_by_address = {address: index for index, address in enumerate(config.gossip_addresses)}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach to the dispatcher: messages can be sent from now on."""
        # uvloop's transports are not subclasses of asyncio's, so their type can't be checked.
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._dispatcher.attach_gossip(self)

    def send(self, recipient_index: int, payload: bytes) -> None:
        """Send a message to the sidecar with this index, or to the broadcast address if it is negative.

        The message is dropped if it is too long or there is no such address.
        """
        address = self._address_of(recipient_index)
        if self._transport is not None and address is not None and len(payload) <= MAX_GOSSIP_BYTES:
            self._transport.sendto(payload, address)

    def _address_of(self, recipient_index: int) -> Address | None:
        if recipient_index < 0:
            return self._broadcast_address
        if recipient_index < len(self._addresses):
            return self._addresses[recipient_index]
        return None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message of a configured sidecar to the policy; any other datagram is dropped."""
        sender_index = self._index_by_address.get(Address(addr[0], addr[1]))
        if sender_index is not None and len(data) <= MAX_GOSSIP_BYTES:
            self._dispatcher.dispatch(GossipReceived(sender_index, data))

    def error_received(self, exc: Exception) -> None:
        """Ignore an error of the socket: a sidecar that is down causes it, and messages may be lost."""

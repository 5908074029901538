"""Clients that send no valid request."""

from __future__ import annotations

import contextlib
from random import Random

from soak.clients.behaviour import Behaviour
from soak.clients.connection import ClientConnection
from soak.history.clock import HarnessClock
from soak.history.events import MalformedPeer
from soak.history.history import History

OBSERVATION_SECONDS = 4.0
"""Seconds that a client waits for the sidecar to close the connection; longer than the sidecar may take."""
MAX_GARBAGE_BYTES = 200
"""Most bytes of garbage that a client sends; less than a sidecar buffers of a request's head."""
FLOOD_BYTES = 200_000
"""Bytes of garbage that a flooding client sends; more than a sidecar buffers of a request's head."""
FLOOD_RESET_PROBABILITY = 0.5
"""Probability that a flooding client resets its connection; otherwise it closes it."""


class MalformedClientRunner:
    """Runs clients that send no valid request to one sidecar, and records the reaction of the sidecar."""

    def __init__(self, sidecar: str, clock: HarnessClock, history: History, random: Random) -> None:
        self._sidecar = sidecar
        self._clock = clock
        self._history = history
        self._random = random

    async def run(self, connection: ClientConnection, behaviour: Behaviour, valid_request: bytes) -> None:
        """Run one client on a new connection.

        Args:
            connection: a new connection, which is closed afterwards.
            behaviour: what the client does.
            valid_request: the request of which a client that stops in the middle sends the first part.
        """
        peer = MalformedPeer(self._sidecar, behaviour.value, self._clock.now_seconds())
        if behaviour == Behaviour.FLOODS:
            connection.write(self._random.randbytes(FLOOD_BYTES))
            connection.disconnect(by_reset=self._random.random() < FLOOD_RESET_PROBABILITY)
            return
        if behaviour == Behaviour.SENDS_GARBAGE:
            garbage_bytes = self._random.randint(1, MAX_GARBAGE_BYTES)
            connection.write(self._random.randbytes(garbage_bytes) + b"\r\n\r\n")
        elif behaviour == Behaviour.STALLS_IN_REQUEST:
            connection.write(valid_request[: self._random.randrange(1, len(valid_request))])
        await self._observe(connection, peer)

    async def _observe(self, connection: ClientConnection, peer: MalformedPeer) -> None:
        """Record whether the sidecar responds or closes the connection."""
        self._history.malformed_peers.append(peer)
        if await connection.wait_until_lost(OBSERVATION_SECONDS):
            peer.ended_at_seconds = self._clock.now_seconds()
        peer.first_bytes = connection.first_bytes.decode("latin-1")
        with contextlib.suppress(OSError):
            connection.disconnect(by_reset=False)

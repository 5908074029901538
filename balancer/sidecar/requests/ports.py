"""The interfaces between the dispatcher and the parts that it drives.

Each part implements its protocol by structure alone, so the dispatcher imports none of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from balancer.policy_api import Action, Event


class Policy(Protocol):
    """Makes the decisions."""

    def handle(self, now_ns: int, event: Event) -> Sequence[Action]:
        """Return the actions that answer this event, to be carried out in their order.

        Args:
            now_ns: the time of the event in nanoseconds since the Unix epoch.
            event: what happened.
        """


class EndpointDiscovery(Protocol):
    """Carries out what the policy asks of discovery."""

    def set_watching(self, enabled: bool) -> None:
        """Start or stop to ask for changes of the endpoint list."""

    def fetch_snapshot(self) -> None:
        """Ask for the whole endpoint list once."""


class GossipSender(Protocol):
    """Carries messages to other sidecars."""

    def send(self, recipient_index: int, payload: bytes) -> None:
        """Send a message to the sidecar with this number, or to all of them if it is negative."""

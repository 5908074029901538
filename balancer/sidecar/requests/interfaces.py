"""The interfaces between the dispatcher and the parts that it drives.

Each part implements its protocol by structure alone, so the dispatcher imports none of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from balancer.policy_api import Action, AttemptCompleted, Event


class Policy(Protocol):
    """Makes the decisions."""

    def handle(self, now_ns: int, event: Event) -> Sequence[Action]:
        """Return the actions that answer this event, to be carried out in their order.

        Args:
            now_ns: The time of the event in nanoseconds since the Unix epoch.
            event: What happened.
        """


class AttemptEvents(Protocol):
    """What the runner of attempts needs of the event queue."""

    def dispatch(self, event: AttemptCompleted, /) -> None:
        """Report to the policy how an attempt has ended."""

    def has_pending_endpoint_update(self) -> bool:
        """Return whether an endpoint update waits that the policy has not seen."""


class EndpointDiscovery(Protocol):
    """Carries out what the policy asks of discovery."""

    def set_watching(self, enabled: bool) -> None:
        """Start or stop watching for changes of the endpoint list."""

    def fetch_snapshot(self) -> None:
        """Fetch the complete endpoint list once."""


class GossipSender(Protocol):
    """Carries messages to other sidecars."""

    def send(self, recipient_index: int, payload: bytes) -> None:
        """Send a message to the sidecar with this index, or to all of them if it is negative."""

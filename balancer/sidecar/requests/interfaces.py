"""The interfaces that the request-processing components use.

The implementing classes match their protocol by structure alone (see `typing.Protocol`), so the users of an
interface need not import them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from balancer.policy_api import Action, AttemptCompleted, Event


class Policy(Protocol):
    """Decides which actions the sidecar takes in response to each event."""

    def handle(self, now_ns: int, event: Event) -> Sequence[Action]:
        """Return the actions that follow from this event, in the order in which they are carried out.

        Args:
            now_ns: The time of the event in nanoseconds since the Unix epoch.
            event: The event.
        """


class AttemptEvents(Protocol):
    """The part of the event queue that `AttemptRunner` uses."""

    def dispatch(self, event: AttemptCompleted, /) -> None:
        """Report the outcome of an attempt to the policy."""

    def has_pending_endpoint_update(self) -> bool:
        """Return whether an endpoint update is queued that the policy has not seen."""


class EndpointDiscovery(Protocol):
    """Carries out the policy's discovery actions."""

    def set_watching(self, enabled: bool) -> None:
        """Start or stop watching for changes of the endpoint list."""

    def fetch_snapshot(self) -> None:
        """Fetch the complete endpoint list once."""


class GossipSender(Protocol):
    """Sends messages to other sidecars."""

    def send(self, recipient_index: int, payload: bytes) -> None:
        """Send a message to the sidecar with this index, or to all other sidecars if it is negative."""

"""Decides from when on a sidecar has to know a change of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from soak.history.clock import HarnessClock
from soak.history.events import EndpointHealth, EndpointNotification
from soak.history.history import History

UNRESPONSIVE_WATCH_TIMEOUT_SECONDS = 6.0
"""Seconds after which a sidecar has to have replaced a watch that stopped responding, or to have polled."""
NEW_ADDRESS_TIMEOUT_SECONDS = 4.0
"""Seconds after a SIGHUP in which a sidecar has to have called the new address of its agent."""


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """A change that the agent has not sent to the sidecar yet."""

    health: EndpointHealth
    due_at_seconds: float
    """When the sidecar has to know it, even if it is never sent."""


class NotificationDeadlines:
    """The changes that one sidecar does not know yet, and when it has to know them.

    With watches, the sidecar has to know what the agent knows immediately; with polling, calls take time.
    """

    def __init__(self, sidecar: str, is_polled: bool, clock: HarnessClock, history: History) -> None:
        self._sidecar = sidecar
        self._is_polled = is_polled
        self._clock = clock
        self._history = history
        self._earliest_due_at_seconds = 0.0
        self._pending: dict[str, _PendingChange] = {}

    def extend_for_new_address(self) -> None:
        """Allow the sidecar the time that it takes to call a new address."""
        self._extend(NEW_ADDRESS_TIMEOUT_SECONDS)

    def extend_for_unresponsive_watch(self) -> None:
        """Allow the sidecar the time that it takes to notice a watch that does not respond."""
        self._extend(UNRESPONSIVE_WATCH_TIMEOUT_SECONDS)

    def add(self, server: str, health: EndpointHealth) -> None:
        """Add a change that the sidecar does not know yet."""
        self._pending[server] = _PendingChange(health, self._due_at_seconds())

    def restart(self) -> None:
        """Count the time of all pending changes from now on."""
        due_at_seconds = self._due_at_seconds()
        self._pending = {
            server: _PendingChange(change.health, due_at_seconds) for server, change in self._pending.items()
        }

    def record_all(self) -> None:
        """Record that the sidecar knows all changes from now on."""
        now_seconds = self._clock.now_seconds()
        for server, change in self._pending.items():
            self._record(server, change.health, now_seconds)
        self._pending.clear()

    def record_overdue(self) -> None:
        """Record the changes that the sidecar has to know by now."""
        now_seconds = self._clock.now_seconds()
        for server, change in list(self._pending.items()):
            if change.due_at_seconds <= now_seconds:
                self._record(server, change.health, change.due_at_seconds)
                del self._pending[server]

    def _extend(self, seconds: float) -> None:
        self._earliest_due_at_seconds = max(self._earliest_due_at_seconds, self._clock.now_seconds() + seconds)

    def _due_at_seconds(self) -> float:
        """Return when a change of this moment has to be known at the latest."""
        notice_seconds = UNRESPONSIVE_WATCH_TIMEOUT_SECONDS if self._is_polled else 0.0
        return max(self._clock.now_seconds() + notice_seconds, self._earliest_due_at_seconds)

    def _record(self, server: str, health: EndpointHealth, at_seconds: float) -> None:
        notification = EndpointNotification(self._sidecar, server, health, at_seconds)
        self._history.endpoint_notifications.append(notification)

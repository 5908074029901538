"""Determines the time from which a sidecar has to know a change of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from soak.history.clock import HarnessClock
from soak.history.events import EndpointHealth, EndpointNotification
from soak.history.history import History

UNRESPONSIVE_WATCH_TIMEOUT_SECONDS = 6.0
"""Seconds within which a sidecar has to replace an unresponsive watch, or to poll discovery."""
NEW_ADDRESS_TIMEOUT_SECONDS = 4.0
"""Seconds after a SIGHUP within which a sidecar has to call the new address of its agent."""


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """A change that the agent has not sent to the sidecar yet."""

    health: EndpointHealth
    due_at_seconds: float
    """When the sidecar has to know the change, even if it is never sent."""


class NotificationDeadlines:
    """The changes that one sidecar does not know yet, and when it has to know them.

    With watches, the sidecar has to know a change as soon as the agent does; with polling, calls take time.
    """

    def __init__(self, sidecar: str, is_polled: bool, clock: HarnessClock, history: History) -> None:
        self._sidecar = sidecar
        self._is_polled = is_polled
        self._clock = clock
        self._history = history
        self._earliest_due_at_seconds = 0.0
        self._pending: dict[str, _PendingChange] = {}

    def extend_for_new_address(self) -> None:
        """Allow for the time that it takes to call a new address in the deadlines of changes from now on."""
        self._extend(NEW_ADDRESS_TIMEOUT_SECONDS)

    def extend_for_unresponsive_watch(self) -> None:
        """Allow for the time that it takes to replace an unresponsive watch in deadlines from now on."""
        self._extend(UNRESPONSIVE_WATCH_TIMEOUT_SECONDS)

    def add(self, server: str, health: EndpointHealth) -> None:
        """Add a change that the sidecar does not know yet."""
        self._pending[server] = _PendingChange(health, self._due_at_seconds())

    def restart(self) -> None:
        """Restart the deadlines of all pending changes from now."""
        due_at_seconds = self._due_at_seconds()
        self._pending = {
            server: _PendingChange(change.health, due_at_seconds) for server, change in self._pending.items()
        }

    def record_all(self) -> None:
        """Record that the sidecar knows all pending changes from now on."""
        now_seconds = self._clock.now_seconds()
        for server, change in self._pending.items():
            self._record(server, change.health, now_seconds)
        self._pending.clear()

    def record_overdue(self) -> None:
        """Record the pending changes that are due by now as known to the sidecar."""
        now_seconds = self._clock.now_seconds()
        for server, change in list(self._pending.items()):
            if change.due_at_seconds <= now_seconds:
                self._record(server, change.health, change.due_at_seconds)
                del self._pending[server]

    def _extend(self, seconds: float) -> None:
        """Let no change that is made from now on be due before this time has passed."""
        self._earliest_due_at_seconds = max(
            self._earliest_due_at_seconds, self._clock.now_seconds() + seconds
        )

    def _due_at_seconds(self) -> float:
        """Return the time by which the sidecar has to know a change that is made now."""
        polling_delay_seconds = UNRESPONSIVE_WATCH_TIMEOUT_SECONDS if self._is_polled else 0.0
        return max(self._clock.now_seconds() + polling_delay_seconds, self._earliest_due_at_seconds)

    def _record(self, server: str, health: EndpointHealth, at_seconds: float) -> None:
        notification = EndpointNotification(self._sidecar, server, health, at_seconds)
        self._history.endpoint_notifications.append(notification)

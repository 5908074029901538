"""The events that wait for the policy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from balancer.policy_api import EndpointUpdate, Event


class EventQueue:
    """Hands one event at a time to a handler.

    An event that is dispatched while another is being handled waits until the handler has returned: all
    actions that answer one event are carried out before the next event is handled.

    Args:
        handle: Handles one event. It must not raise.
    """

    def __init__(self, handle: Callable[[Event], None]) -> None:
        self._handle = handle
        self._events: deque[Event] = deque()
        self._is_dispatching = False

    def dispatch(self, event: Event) -> None:
        """Handle an event, now or after the one that is being handled."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_dispatching = False

    def has_pending_endpoint_update(self) -> bool:
        """Return whether an endpoint update waits that the policy has not seen."""
        return any(isinstance(event, EndpointUpdate) for event in self._events)

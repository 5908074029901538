"""The queue of events that the policy has not handled yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from balancer.policy_api import EndpointUpdate, Event


class EventQueue:
    """Passes one event at a time to a handler.

    An event that is dispatched while another is being handled waits until the handler has returned. So all
    actions that an event leads to are carried out before the next event is handled.

    Args:
        handle: The handler of one event. It must not raise an exception.
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
        """Return whether an endpoint update is queued that the policy has not seen."""
        return any(isinstance(event, EndpointUpdate) for event in self._events)

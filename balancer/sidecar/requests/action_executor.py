"""Passes each action of the policy to the handler that carries it out."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar, cast

from balancer.policy_api import Action

ActionT = TypeVar("ActionT", bound=Action)


class ActionExecutor:
    """Calls the handler that is registered for the type of an action."""

    def __init__(self) -> None:
        self._handlers: dict[type[object], Callable[[Action], None]] = {}

    def register(self, action_type: type[ActionT], handler: Callable[[ActionT], None]) -> None:
        """Register the handler of the actions of one type."""
        # The cast is safe: `execute` selects the handler by the exact type of the action.
        self._handlers[action_type] = cast(Callable[[Action], None], handler)

    def execute(self, action: Action) -> None:
        """Carry out one action. Raises KeyError if no handler is registered for its type."""
        self._handlers[type(action)](action)

"""Gives events to the policy and has the actions that it returns carried out."""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.policy_api import Action, Event
from balancer.sidecar.requests.action_executor import ActionExecutor
from balancer.sidecar.requests.log_fields import endpoint_of, request_of
from balancer.sidecar.requests.interfaces import Policy

log = logging.getLogger(__name__)


class PolicyDriver:
    """Confines a fault of the policy to its event, and a fault in an action to that action.

    Args:
        policy: Makes the decisions.
        executor: Carries out the actions.
        now_ns: The sidecar's clock, which gives each event its time.
    """

    def __init__(self, policy: Policy, executor: ActionExecutor, now_ns: Callable[[], int]) -> None:
        self._policy = policy
        self._executor = executor
        self._now_ns = now_ns

    def handle(self, event: Event) -> None:
        """Have the policy decide on an event, and carry out its actions in their order."""
        try:
            actions = self._policy.handle(self._now_ns(), event)
        except Exception as error:
            # A fault in one decision must not take the others down. Its request fails at the deadline.
            log.exception(
                "policy_failed event=%s request=%s endpoint=%s error=%s",
                type(event).__name__,
                request_of(event),
                endpoint_of(event),
                type(error).__name__,
            )
            return
        for action in actions:
            self._execute(action)

    def _execute(self, action: Action) -> None:
        """Carry out an action; a fault in one must not keep the others from being carried out."""
        try:
            self._executor.execute(action)
        except Exception as error:
            log.exception(
                "action_failed action=%s request=%s endpoint=%s error=%s",
                type(action).__name__,
                request_of(action),
                endpoint_of(action),
                type(error).__name__,
            )

"""Passes events to the policy and its actions to the executor, and isolates their failures."""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.policy_api import Action, Event
from balancer.sidecar.requests.action_executor import ActionExecutor
from balancer.sidecar.requests.interfaces import Policy
from balancer.sidecar.requests.log_fields import endpoint_of, request_of

log = logging.getLogger(__name__)


class PolicyDriver:
    """Runs the policy on each event and carries out the actions that it returns.

    An exception in the policy affects only the event that raised it, and an exception in an action only that
    action. Both are logged.

    Args:
        policy: The policy.
        executor: Carries out the actions.
        now_ns: The sidecar's clock, which gives the time of each event.
    """

    def __init__(self, policy: Policy, executor: ActionExecutor, now_ns: Callable[[], int]) -> None:
        self._policy = policy
        self._executor = executor
        self._now_ns = now_ns

    def handle(self, event: Event) -> None:
        """Pass an event to the policy, and carry out the actions that it returns in their order."""
        try:
            actions = self._policy.handle(self._now_ns(), event)
        except Exception as error:
            # A failed decision must not affect other requests. Its own request fails at the deadline.
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
        """Carry out an action; its failure must not prevent the actions after it."""
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

"""Shared by the tests: short ways to build settings, endpoints and a running Balancer."""

from __future__ import annotations

from typing import Any

from balancer import policy_api
from balancer.policy.balancer import Balancer

MS, SECOND = 1_000_000, 1_000_000_000
START = 50 * SECOND


def request_class(**changes: Any) -> policy_api.RequestClass:
    base: dict[str, Any] = dict(
        name="c",
        latency_objective_ns=500 * MS,
        client_timeout_ns=2 * SECOND,
        priority_weight=1.0,
        deduplication_window_ns=5 * SECOND,
    )
    return policy_api.RequestClass(**(base | changes))


def settings(*classes: policy_api.RequestClass, **changes: Any) -> policy_api.Settings:
    base: dict[str, Any] = dict(
        classes=classes or (request_class(),),
        slow_start_capacity=0.3,
        slow_start_duration_ns=8 * SECOND,
        max_attempts=5,
        attempts_can_be_cancelled=True,
    )
    return policy_api.Settings(**(base | changes))


def endpoint(
    number: int, health: int = policy_api.EndpointHealth.READY, zone: int = 0, **changes: Any
) -> policy_api.Endpoint:
    entry = policy_api.Endpoint(number.to_bytes(6, "little"), zone, 0, 0, health, 1.0, 0)
    return entry._replace(**changes)


class Bench:
    """A Balancer with its clock and the sends still out."""

    def __init__(self, config: policy_api.Settings, servers: int = 6, seed: int = 1) -> None:
        self.now = START
        self.balancer = Balancer(config, seed)
        self.next_id = 0
        self.config = config
        self.actions: list[policy_api.Action] = self.give(policy_api.Started())
        self.list_of(*(endpoint(n + 1) for n in range(servers)))

    def give(self, event: policy_api.Event) -> list[policy_api.Action]:
        self.actions = self.balancer.handle(self.now, event)
        return self.actions

    def list_of(
        self, *entries: policy_api.Endpoint, kind: int = policy_api.EndpointUpdateKind.CACHED
    ) -> list[policy_api.Action]:
        return self.give(policy_api.EndpointUpdate(kind, entries))

    def ask(self, cls: int = 0, left: int = 2 * SECOND, key: int = 0, tenant: int = 0) -> policy_api.Action:
        """One request; its only action: a Send, or the final answer."""
        self.next_id += 1
        [action] = self.give(
            policy_api.RequestReceived(self.next_id, cls, tenant, key, self.now + left, 0, False)
        )
        return action

    def sent(self, cls: int = 0, key: int = 0, left: int = 2 * SECOND) -> policy_api.StartAttempt:
        action = self.ask(cls, key=key, left=left)
        assert isinstance(action, policy_api.StartAttempt), action
        return action

    def answer(
        self,
        send: policy_api.StartAttempt,
        outcome: int = policy_api.AttemptOutcome.SUCCESS,
        took: int = 50 * MS,
    ) -> list[policy_api.Action]:
        over = outcome == policy_api.AttemptOutcome.SUCCESS
        return self.give(
            policy_api.AttemptCompleted(send.request_id, 0, send.endpoint_id, outcome, took, over, ())
        )

    def tick(self, seconds: float = 0.5) -> list[policy_api.Action]:
        self.now += int(seconds * SECOND)
        return self.give(policy_api.TimerFired(0))

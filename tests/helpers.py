"""Shared by the tests: short ways to build settings, endpoints and a running Balancer."""

from __future__ import annotations

from typing import Any

from balancer import policy_api
from balancer.policy.balancer import Balancer

MS, SECOND = 1_000_000, 1_000_000_000
START = 50 * SECOND


def request_class(**changes: Any) -> policy_api.RequestClass:
    base: dict[str, Any] = dict(name="c", aim=500 * MS, limit=2 * SECOND, worth=1.0, window=5 * SECOND)
    return policy_api.RequestClass(**(base | changes))


def settings(*classes: policy_api.RequestClass, **changes: Any) -> policy_api.Settings:
    base: dict[str, Any] = dict(
        classes=classes or (request_class(),),
        cold_from=0.3,
        cold_for=8 * SECOND,
        max_attempts=5,
        can_cancel=True,
    )
    return policy_api.Settings(**(base | changes))


def endpoint(
    number: int, health: int = policy_api.Health.READY, zone: int = 0, **changes: Any
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
        self.actions: list[policy_api.Action] = self.give(policy_api.Attached())
        self.list_of(*(endpoint(n + 1) for n in range(servers)))

    def give(self, event: policy_api.Event) -> list[policy_api.Action]:
        self.actions = self.balancer.handle(self.now, event)
        return self.actions

    def list_of(
        self, *entries: policy_api.Endpoint, kind: int = policy_api.ListKind.CACHED
    ) -> list[policy_api.Action]:
        return self.give(policy_api.EndpointList(kind, entries))

    def ask(self, cls: int = 0, left: int = 2 * SECOND, key: int = 0, tenant: int = 0) -> policy_api.Action:
        """One request; its only action: a Send, or the final answer."""
        self.next_id += 1
        [action] = self.give(policy_api.Request(self.next_id, cls, tenant, key, self.now + left, 0, False))
        return action

    def sent(self, cls: int = 0, key: int = 0, left: int = 2 * SECOND) -> policy_api.Send:
        action = self.ask(cls, key=key, left=left)
        assert isinstance(action, policy_api.Send), action
        return action

    def answer(
        self, send: policy_api.Send, outcome: int = policy_api.Outcome.OK, took: int = 50 * MS
    ) -> list[policy_api.Action]:
        over = outcome == policy_api.Outcome.OK
        return self.give(policy_api.Completed(send.id, 0, send.endpoint, outcome, took, over, ()))

    def tick(self, seconds: float = 0.5) -> list[policy_api.Action]:
        self.now += int(seconds * SECOND)
        return self.give(policy_api.Timer(0))

"""Shared by the tests: short ways to build settings, endpoints and a running Balancer."""

from __future__ import annotations

from typing import Any

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestClass,
    RequestReceived,
    Settings,
    StartAttempt,
    Started,
    TimerFired,
)

MS, SECOND = 1_000_000, 1_000_000_000
START = 50 * SECOND


def request_class(**changes: Any) -> RequestClass:
    base: dict[str, Any] = dict(
        name="c",
        latency_objective_ns=500 * MS,
        client_timeout_ns=2 * SECOND,
        priority_weight=1.0,
        deduplication_window_ns=5 * SECOND,
    )
    return RequestClass(**(base | changes))


def settings(*classes: RequestClass, **changes: Any) -> Settings:
    base: dict[str, Any] = dict(
        classes=classes or (request_class(),),
        slow_start_capacity=0.3,
        slow_start_duration_ns=8 * SECOND,
        max_attempts=5,
        attempts_can_be_cancelled=True,
    )
    return Settings(**(base | changes))


def endpoint(
    number: int, health: EndpointHealth = EndpointHealth.READY, zone: int = 0, **changes: Any
) -> Endpoint:
    entry = Endpoint(number.to_bytes(6, "little"), zone, 0, 0, health, 1.0, 0)
    return entry._replace(**changes)


class Bench:
    """A Balancer with its clock and the sends still out."""

    def __init__(self, config: Settings, servers: int = 6, seed: int = 1) -> None:
        self.now = START
        self.balancer = Balancer(config, seed)
        self.next_id = 0
        self.config = config
        self.actions: list[Action] = self.give(Started())
        self.list_of(*(endpoint(n + 1) for n in range(servers)))

    def give(self, event: Event) -> list[Action]:
        self.actions = self.balancer.handle(self.now, event)
        return self.actions

    def list_of(
        self, *entries: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.CACHED
    ) -> list[Action]:
        return self.give(EndpointUpdate(kind, entries))

    def ask(self, cls: int = 0, left: int = 2 * SECOND, key: int = 0, tenant: int = 0) -> Action:
        """One request; its only action: a Send, or the final answer."""
        self.next_id += 1
        [action] = self.give(RequestReceived(self.next_id, cls, tenant, key, self.now + left, 0, False))
        return action

    def sent(self, cls: int = 0, key: int = 0, left: int = 2 * SECOND) -> StartAttempt:
        action = self.ask(cls, key=key, left=left)
        assert isinstance(action, StartAttempt), action
        return action

    def answer(
        self,
        send: StartAttempt,
        outcome: AttemptOutcome = AttemptOutcome.SUCCESS,
        took: int = 50 * MS,
    ) -> list[Action]:
        over = outcome == AttemptOutcome.SUCCESS
        return self.give(AttemptCompleted(send.request_id, 0, send.endpoint_id, outcome, took, over, ()))

    def tick(self, seconds: float = 0.5) -> list[Action]:
        self.now += int(seconds * SECOND)
        return self.give(TimerFired(0))

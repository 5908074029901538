"""Characterisation of the decisions: the same settings, seed and events give the same actions, bit for bit.

A seeded driver plays clients, servers, discovery and other sidecars against the decision module. Every action
is reduced to its position in ACTION_TYPES and to plain numbers and bytes, so that renaming or moving code can
not change the digest of the stream. The digests in policy_digests.json were recorded with CPython 3.11 by

    python -m tests.test_policy_characterization > tests/policy_digests.json

and change only together with a decision.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path

import pytest

from balancer import policy_api
from balancer.policy.balancer import Balancer
from tests.helpers import MS, SECOND, START

DIGEST_FILE = Path(__file__).with_name("policy_digests.json")
EVENT_COUNT = 12_000
SERVER_COUNT = 14
PHASES = (
    "calm",
    "overload",
    "slow",
    "erring",
    "unreachable",
    "resets",
    "rejecting",
    "hanging_class",
    "restart",
    "drain",
    "silent",
)
ACTION_TYPES = (
    policy_api.Send,
    policy_api.Refuse,
    policy_api.Fail,
    policy_api.Cancel,
    policy_api.SetTimer,
    policy_api.Watch,
    policy_api.Fetch,
    policy_api.Probe,
    policy_api.Disconnect,
    policy_api.Tell,
    policy_api.Log,
)

READ = policy_api.RequestClass("read", 300 * MS, 1500 * MS, 1.0, 0.5)
BROWSE = policy_api.RequestClass("browse", 150 * MS, 600 * MS, 0.3)
CHANGE = policy_api.RequestClass(
    "change", 500 * MS, 2500 * MS, 3.0, 0.0, policy_api.Effect.KEYED, policy_api.Scope.ZONE, 900 * MS
)
MOVE = policy_api.RequestClass(
    "move", 400 * MS, 2000 * MS, 3.0, 0.2, policy_api.Effect.KEYED, policy_api.Scope.CELL, 5 * SECOND
)
BILL = policy_api.RequestClass("bill", 600 * MS, 3000 * MS, 6.0, 0.1, policy_api.Effect.UNSAFE)
SEARCH = policy_api.RequestClass("search", 2 * SECOND, 3 * SECOND, 1.0, 0.5)
CLASSES = (READ, BROWSE, CHANGE, MOVE, BILL)


@dataclass(frozen=True)
class Scenario:
    """What one recorded stream is made of."""

    settings: policy_api.Settings
    seed: int
    balancers: int = 1
    requests_per_second: float = 120.0
    hurried: float = 0.02  # share of clients that give less time than an answer takes
    phases: tuple[str, ...] = PHASES
    phase_ns: int = 3 * SECOND


SCENARIOS = {
    "one_zone": Scenario(policy_api.Settings(CLASSES, cold_from=0.3, cold_for=6 * SECOND, max_attempts=5), 1),
    "three_zones_priced": Scenario(
        policy_api.Settings(
            CLASSES,
            instance=3,
            instances=40,
            zones=3,
            cold_from=0.4,
            cold_for=8 * SECOND,
            max_attempts=4,
            can_cancel=True,
            cross_price=0.05,
            handshake_price=0.06,
            connection_price=0.06,
            retry_after_max=3 * SECOND,
        ),
        2,
        requests_per_second=60.0,
    ),
    "polled_lists_and_health_checks": Scenario(
        policy_api.Settings(
            CLASSES,
            discovery_on_request=True,
            ask_within=2 * SECOND,
            max_attempts=3,
            probes=True,
            can_cancel=True,
            zones=2,
            cross_price=0.02,
            cold_from=0.2,
            cold_for=5 * SECOND,
        ),
        3,
    ),
    "active_probing_of_load": Scenario(
        policy_api.Settings(
            CLASSES,
            probes=True,
            report_fields=("rif", "lat_ms"),
            zones=2,
            cold_from=0.3,
            cold_for=6 * SECOND,
            max_attempts=4,
            tick=4 * MS,
            retry_after_max=SECOND,
        ),
        4,
    ),
    "gossip": Scenario(
        policy_api.Settings(
            CLASSES, instances=3, zones=2, peers=True, max_attempts=3, can_cancel=True, cross_price=0.1
        ),
        5,
        balancers=3,
        requests_per_second=40.0,
    ),
    "key_affinity_few_connections": Scenario(
        policy_api.Settings(
            CLASSES,
            instance=7,
            instances=60,
            zones=2,
            warm_keys=True,
            connection_price=0.1,
            max_attempts=5,
            can_cancel=True,
            cold_from=0.5,
            cold_for=4 * SECOND,
        ),
        6,
    ),
    "streams_and_hurried_clients": Scenario(
        policy_api.Settings((READ, BROWSE, BILL), streams=4, max_attempts=5, can_cancel=True, probes=True),
        7,
        hurried=0.3,
    ),
    "hanging_calls": Scenario(
        policy_api.Settings((SEARCH, READ, CHANGE), max_attempts=5, can_cancel=True),
        9,
        requests_per_second=250.0,
        phases=("hanging_class",),
        phase_ns=SECOND,
    ),
    "lasting_overload": Scenario(
        policy_api.Settings(CLASSES, max_attempts=5, can_cancel=True, retry_after_max=4 * SECOND, zones=2),
        8,
        requests_per_second=500.0,
    ),
}


@dataclass
class Attempt:
    """An attempt that is out, and the time that ends it."""

    number: int
    endpoint: bytes
    sent: int


@dataclass
class OpenRequest:
    cls: int
    expires: int
    attempts: int = 0
    attempt: Attempt | None = None
    answered: bool = False


@dataclass
class Instance:
    """One decision module and the requests that it holds."""

    balancer: Balancer
    requests: dict[int, OpenRequest] = field(default_factory=dict)


class Driver:
    """Plays a scenario and digests the actions."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.settings = scenario, scenario.settings
        self.random = random.Random(scenario.seed)
        self.now = START
        self.order, self.ids = count(), count(1)
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.digest = hashlib.sha256()
        self.events = 0
        self.action_counts = [0] * len(ACTION_TYPES)
        self.servers = {
            number: policy_api.Endpoint(
                number.to_bytes(6, "little"),
                number % self.settings.zones,
                0,
                number // 3,
                policy_api.Health.READY,
                1.0 + number % 2,
                0,
            )
            for number in range(1, SERVER_COUNT + 1)
        }
        self.phase = "calm"
        self.affected: set[bytes] = set()
        self.instances = [
            Instance(Balancer(self.settings, scenario.seed * 100 + n)) for n in range(scenario.balancers)
        ]

    def run(self) -> str:
        for instance in self.instances:
            self.give(instance, policy_api.Attached())
            self.give(
                instance, policy_api.EndpointList(policy_api.ListKind.CACHED, tuple(self.servers.values()))
            )
            self.after(0, partial(self.arrive, instance))
        self.after(self.scenario.phase_ns, self.change_phase)
        while self.events < EVENT_COUNT:
            self.now, _, action = heapq.heappop(self.due)
            action()
        return self.digest.hexdigest()

    def after(self, delay: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + max(0, delay), next(self.order), action))

    def give(self, instance: Instance, event: policy_api.Event) -> None:
        self.events += 1
        actions = instance.balancer.handle(self.now, event)
        for action in actions:
            self.record(action)
        for action in actions:
            self.carry_out(instance, action)

    def record(self, action: policy_api.Action) -> None:
        code = ACTION_TYPES.index(type(action))
        self.action_counts[code] += 1
        values = [value.hex() if isinstance(value, bytes) else str(int(value)) for value in action]
        self.digest.update(f"{self.events} {self.now} {code} {' '.join(values)}\n".encode())

    # What the servers and the list do.

    def change_phase(self) -> None:
        self.phase = self.random.choice(self.scenario.phases)
        chosen = self.random.sample(sorted(self.servers), self.random.choice((2, 4, 8)))
        self.affected = {self.servers[number].id for number in chosen}
        entries = []
        for number, server in self.servers.items():
            if self.phase == "restart" and server.id in self.affected:
                server = server._replace(started=self.now, health=policy_api.Health.READY)
            elif self.phase == "drain" and server.id in self.affected:
                server = server._replace(
                    health=self.random.choice((policy_api.Health.DRAINING, policy_api.Health.GONE))
                )
            elif server.health != policy_api.Health.READY:
                server = server._replace(started=self.now, health=policy_api.Health.READY)
            else:
                continue
            self.servers[number] = server
            entries.append(server)
        if not self.settings.discovery_on_request:
            for instance in self.instances:
                self.tell(instance, entries)
        self.after(self.scenario.phase_ns, self.change_phase)

    def tell(self, instance: Instance, entries: list[policy_api.Endpoint]) -> None:
        if self.random.random() < 0.3:
            present = tuple(s for s in self.servers.values() if s.health != policy_api.Health.GONE)
            self.give(instance, policy_api.EndpointList(policy_api.ListKind.FULL, present))
        elif entries:
            self.give(instance, policy_api.EndpointList(policy_api.ListKind.DELTA, tuple(entries)))

    def answer_watch(self, instance: Instance) -> None:
        if self.random.random() < 0.4:
            self.give(instance, policy_api.EndpointList(policy_api.ListKind.FAILED, ()))
            return
        self.tell(instance, list(self.servers.values()))
        # The watch breaks some time later, and the decisions have to ask anew.
        broken = policy_api.EndpointList(policy_api.ListKind.FAILED, ())
        self.after(self.random.randrange(4 * SECOND), partial(self.give, instance, broken))

    def outcome_of(self, endpoint: bytes, cls: int) -> tuple[int, int]:
        """What becomes of an attempt, and after which time if nobody ends it before."""
        usual = int(self.random.expovariate(1) * 30 * MS) + 5 * MS
        if self.phase == "overload":
            usual *= 8
            if self.random.random() < 0.3:
                return policy_api.Outcome.FULL, usual // 4
        if endpoint not in self.affected:
            return (policy_api.Outcome.OK if self.random.random() < 0.99 else policy_api.Outcome.ERROR), usual
        if self.phase == "slow":
            return policy_api.Outcome.OK, usual * 6
        if self.phase == "erring" and self.random.random() < 0.8:
            return policy_api.Outcome.ERROR, 2 * MS
        if self.phase == "unreachable":
            return policy_api.Outcome.CONNECT_FAILED, 1 * MS
        if self.phase == "resets" and self.random.random() < 0.5:
            return policy_api.Outcome.RESET, usual
        if self.phase == "rejecting":
            return policy_api.Outcome.FULL, 1 * MS
        if self.phase == "silent" or (self.phase == "hanging_class" and cls == 0):
            return policy_api.Outcome.OK, 60 * SECOND
        return self.random.choice(
            (policy_api.Outcome.OK, policy_api.Outcome.OK, policy_api.Outcome.OK, policy_api.Outcome.WRONG)
        ), usual

    # What the sidecar does with the actions.

    def carry_out(self, instance: Instance, action: policy_api.Action) -> None:
        if isinstance(action, policy_api.Send):
            self.start_attempt(instance, action)
        elif isinstance(action, policy_api.Refuse | policy_api.Fail):
            instance.requests[action.id].answered = True
            self.forget(instance, action.id)
        elif isinstance(action, policy_api.Cancel):
            self.end_attempt(instance, action.id, action.attempt, policy_api.Outcome.CANCELLED)
        elif isinstance(action, policy_api.SetTimer):
            self.after(action.delay, partial(self.give, instance, policy_api.Timer(action.token)))
        elif isinstance(action, policy_api.Watch):
            self.after(30 * MS, partial(self.answer_watch, instance))
        elif isinstance(action, policy_api.Probe):
            self.answer_health_check(instance, action.endpoint)
        elif isinstance(action, policy_api.Tell):
            self.deliver(action)

    def answer_health_check(self, instance: Instance, endpoint: bytes) -> None:
        outcome, took = policy_api.Outcome.OK, self.random.randrange(1 * MS, 8 * MS)
        if endpoint in self.affected and self.phase in ("unreachable", "silent", "rejecting"):
            outcome = self.random.choice(
                (policy_api.Outcome.TIMEOUT, policy_api.Outcome.FULL, policy_api.Outcome.CONNECT_FAILED)
            )
            took = 100 * MS
        self.after(took, partial(self.give, instance, policy_api.Probed(endpoint, outcome, took, ())))

    def deliver(self, action: policy_api.Tell) -> None:
        body = action.body
        if self.random.random() < 0.05:
            body = self.random.choice((body[:-1], b"", self.random.randbytes(len(body))))
        recipient = self.instances[action.peer % len(self.instances)]
        self.after(MS, partial(self.give, recipient, policy_api.PeerMessage(0, body)))

    def arrive(self, instance: Instance) -> None:
        rate = self.scenario.requests_per_second * (2.0 if self.phase == "overload" else 1.0)
        self.after(int(self.random.expovariate(rate) * SECOND), partial(self.arrive, instance))
        cls = self.random.randrange(len(self.settings.classes))
        limit = self.settings.classes[cls].limit
        left = limit if self.random.random() > 0.1 else self.random.randrange(limit)
        if self.random.random() < self.scenario.hurried:
            left = self.random.randrange(30 * MS)
        number, expires = next(self.ids), self.now + left
        instance.requests[number] = OpenRequest(cls, expires)
        key = self.random.randrange(1, 200) if self.random.random() < 0.5 else 0
        repeat = self.random.random() < 0.1
        event = policy_api.Request(number, cls, self.random.randrange(3), key, expires, 0, repeat)
        self.give(instance, event)
        if self.random.random() < 0.02:
            self.after(self.random.randrange(100 * MS), partial(self.leave, instance, number))

    def leave(self, instance: Instance, number: int) -> None:
        request = instance.requests.get(number)
        if request is None or request.answered:
            return
        request.answered = True
        left: policy_api.Event = (
            policy_api.Gone(number) if self.random.random() < 0.7 else policy_api.StreamStarted(number)
        )
        self.give(instance, left)
        self.forget(instance, number)

    def start_attempt(self, instance: Instance, action: policy_api.Send) -> None:
        request = instance.requests[action.id]
        number, request.attempts = request.attempts, request.attempts + 1
        request.attempt = Attempt(number, action.endpoint, self.now)
        outcome, took = self.outcome_of(action.endpoint, request.cls)
        most = min(action.timeout or request.expires - self.now, request.expires - self.now)
        if took > most:
            outcome, took = policy_api.Outcome.TIMEOUT, most
        elif self.random.random() < 0.005:
            outcome, took = policy_api.Outcome.MOOT, 0
        self.after(took, partial(self.end_attempt, instance, action.id, number, outcome))

    def end_attempt(self, instance: Instance, number: int, attempt: int, outcome: int) -> None:
        request = instance.requests.get(number)
        if request is None or request.attempt is None or request.attempt.number != attempt:
            return
        ended, request.attempt = request.attempt, None
        if outcome == policy_api.Outcome.OK:
            request.answered = True
        took, over = self.now - ended.sent, request.answered
        self.forget(instance, number)
        self.give(instance, policy_api.Completed(number, attempt, ended.endpoint, outcome, took, over, ()))

    def forget(self, instance: Instance, number: int) -> None:
        request = instance.requests[number]
        if request.answered and request.attempt is None:
            del instance.requests[number]


def digests() -> dict[str, str]:
    return {name: Driver(scenario).run() for name, scenario in SCENARIOS.items()}


@pytest.mark.parametrize("name", SCENARIOS)
def test_same_settings_seed_and_events_give_the_recorded_actions(name: str) -> None:
    recorded = json.loads(DIGEST_FILE.read_text())
    assert Driver(SCENARIOS[name]).run() == recorded[name]


def test_the_scenarios_bring_about_every_action_that_the_policy_takes() -> None:
    never_taken = {policy_api.Fetch, policy_api.Log}
    totals = dict.fromkeys(ACTION_TYPES, 0)
    for scenario in SCENARIOS.values():
        driver = Driver(scenario)
        driver.run()
        for action_type, times in zip(ACTION_TYPES, driver.action_counts, strict=True):
            totals[action_type] += times
    assert {action_type for action_type, times in totals.items() if not times} == never_taken


if __name__ == "__main__":
    print(json.dumps(digests(), indent=2))

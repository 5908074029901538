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

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    FetchEndpoints,
    GossipReceived,
    HealthCheckCompleted,
    Idempotency,
    RejectRequest,
    RequestClass,
    RequestReceived,
    SendGossip,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
    WriteLog,
)
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
    StartAttempt,
    RejectRequest,
    FailRequest,
    CancelAttempt,
    SetTimer,
    WatchEndpoints,
    FetchEndpoints,
    StartHealthCheck,
    CloseIdleConnections,
    SendGossip,
    WriteLog,
)

READ = RequestClass("read", 300 * MS, 1500 * MS, 1.0, 0.5)
BROWSE = RequestClass("browse", 150 * MS, 600 * MS, 0.3)
CHANGE = RequestClass(
    "change",
    500 * MS,
    2500 * MS,
    3.0,
    0.0,
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ZONE,
    900 * MS,
)
MOVE = RequestClass(
    "move",
    400 * MS,
    2000 * MS,
    3.0,
    0.2,
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    5 * SECOND,
)
BILL = RequestClass("bill", 600 * MS, 3000 * MS, 6.0, 0.1, Idempotency.NOT_IDEMPOTENT)
SEARCH = RequestClass("search", 2 * SECOND, 3 * SECOND, 1.0, 0.5)
CLASSES = (READ, BROWSE, CHANGE, MOVE, BILL)


@dataclass(frozen=True)
class Scenario:
    """What one recorded stream is made of."""

    settings: Settings
    seed: int
    balancers: int = 1
    requests_per_second: float = 120.0
    hurried: float = 0.02  # share of clients that give less time than an answer takes
    phases: tuple[str, ...] = PHASES
    phase_ns: int = 3 * SECOND


SCENARIOS = {
    "one_zone": Scenario(
        Settings(CLASSES, slow_start_capacity=0.3, slow_start_duration_ns=6 * SECOND, max_attempts=5),
        1,
    ),
    "three_zones_priced": Scenario(
        Settings(
            CLASSES,
            instance_index=3,
            instance_count=40,
            zone_count=3,
            slow_start_capacity=0.4,
            slow_start_duration_ns=8 * SECOND,
            max_attempts=4,
            attempts_can_be_cancelled=True,
            cross_zone_price=0.05,
            handshake_price=0.06,
            connection_price=0.06,
            max_retry_after_ns=3 * SECOND,
        ),
        2,
        requests_per_second=60.0,
    ),
    "polled_lists_and_health_checks": Scenario(
        Settings(
            CLASSES,
            polls_discovery=True,
            discovery_poll_window_ns=2 * SECOND,
            max_attempts=3,
            health_checks_enabled=True,
            attempts_can_be_cancelled=True,
            zone_count=2,
            cross_zone_price=0.02,
            slow_start_capacity=0.2,
            slow_start_duration_ns=5 * SECOND,
        ),
        3,
    ),
    "active_probing_of_load": Scenario(
        Settings(
            CLASSES,
            health_checks_enabled=True,
            load_report_fields=("rif", "lat_ms"),
            zone_count=2,
            slow_start_capacity=0.3,
            slow_start_duration_ns=6 * SECOND,
            max_attempts=4,
            scheduling_tick_ns=4 * MS,
            max_retry_after_ns=SECOND,
        ),
        4,
    ),
    "gossip": Scenario(
        Settings(
            CLASSES,
            instance_count=3,
            zone_count=2,
            gossip_enabled=True,
            max_attempts=3,
            attempts_can_be_cancelled=True,
            cross_zone_price=0.1,
        ),
        5,
        balancers=3,
        requests_per_second=40.0,
    ),
    "key_affinity_few_connections": Scenario(
        Settings(
            CLASSES,
            instance_index=7,
            instance_count=60,
            zone_count=2,
            key_affinity=True,
            connection_price=0.1,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            slow_start_capacity=0.5,
            slow_start_duration_ns=4 * SECOND,
        ),
        6,
    ),
    "streams_and_hurried_clients": Scenario(
        Settings(
            (READ, BROWSE, BILL),
            streams_per_connection=4,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            health_checks_enabled=True,
        ),
        7,
        hurried=0.3,
    ),
    "hanging_calls": Scenario(
        Settings((SEARCH, READ, CHANGE), max_attempts=5, attempts_can_be_cancelled=True),
        9,
        requests_per_second=250.0,
        phases=("hanging_class",),
        phase_ns=SECOND,
    ),
    "lasting_overload": Scenario(
        Settings(
            CLASSES,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            max_retry_after_ns=4 * SECOND,
            zone_count=2,
        ),
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
            number: Endpoint(
                number.to_bytes(6, "little"),
                number % self.settings.zone_count,
                0,
                number // 3,
                EndpointHealth.READY,
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
            self.give(instance, Started())
            self.give(
                instance,
                EndpointUpdate(EndpointUpdateKind.CACHED, tuple(self.servers.values())),
            )
            self.after(0, partial(self.arrive, instance))
        self.after(self.scenario.phase_ns, self.change_phase)
        while self.events < EVENT_COUNT:
            self.now, _, action = heapq.heappop(self.due)
            action()
        return self.digest.hexdigest()

    def after(self, delay: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + max(0, delay), next(self.order), action))

    def give(self, instance: Instance, event: Event) -> None:
        self.events += 1
        actions = instance.balancer.handle(self.now, event)
        for action in actions:
            self.record(action)
        for action in actions:
            self.carry_out(instance, action)

    def record(self, action: Action) -> None:
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
                server = server._replace(started_at_ns=self.now, health=EndpointHealth.READY)
            elif self.phase == "drain" and server.id in self.affected:
                server = server._replace(
                    health=self.random.choice((EndpointHealth.DRAINING, EndpointHealth.REMOVED))
                )
            elif server.health != EndpointHealth.READY:
                server = server._replace(started_at_ns=self.now, health=EndpointHealth.READY)
            else:
                continue
            self.servers[number] = server
            entries.append(server)
        if not self.settings.polls_discovery:
            for instance in self.instances:
                self.tell(instance, entries)
        self.after(self.scenario.phase_ns, self.change_phase)

    def tell(self, instance: Instance, entries: list[Endpoint]) -> None:
        if self.random.random() < 0.3:
            present = tuple(s for s in self.servers.values() if s.health != EndpointHealth.REMOVED)
            self.give(instance, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, present))
        elif entries:
            self.give(instance, EndpointUpdate(EndpointUpdateKind.DELTA, tuple(entries)))

    def answer_watch(self, instance: Instance) -> None:
        if self.random.random() < 0.4:
            self.give(instance, EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
            return
        self.tell(instance, list(self.servers.values()))
        # The watch breaks some time later, and the decisions have to ask anew.
        broken = EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ())
        self.after(self.random.randrange(4 * SECOND), partial(self.give, instance, broken))

    def outcome_of(self, endpoint: bytes, cls: int) -> tuple[AttemptOutcome, int]:
        """What becomes of an attempt, and after which time if nobody ends it before."""
        usual = int(self.random.expovariate(1) * 30 * MS) + 5 * MS
        if self.phase == "overload":
            usual *= 8
            if self.random.random() < 0.3:
                return AttemptOutcome.REJECTED, usual // 4
        if endpoint not in self.affected:
            return (
                AttemptOutcome.SUCCESS if self.random.random() < 0.99 else AttemptOutcome.SERVER_ERROR
            ), usual
        if self.phase == "slow":
            return AttemptOutcome.SUCCESS, usual * 6
        if self.phase == "erring" and self.random.random() < 0.8:
            return AttemptOutcome.SERVER_ERROR, 2 * MS
        if self.phase == "unreachable":
            return AttemptOutcome.CONNECT_FAILED, 1 * MS
        if self.phase == "resets" and self.random.random() < 0.5:
            return AttemptOutcome.CONNECTION_RESET, usual
        if self.phase == "rejecting":
            return AttemptOutcome.REJECTED, 1 * MS
        if self.phase == "silent" or (self.phase == "hanging_class" and cls == 0):
            return AttemptOutcome.SUCCESS, 60 * SECOND
        return self.random.choice(
            (
                AttemptOutcome.SUCCESS,
                AttemptOutcome.SUCCESS,
                AttemptOutcome.SUCCESS,
                AttemptOutcome.CLIENT_ERROR,
            )
        ), usual

    # What the sidecar does with the actions.

    def carry_out(self, instance: Instance, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self.start_attempt(instance, action)
        elif isinstance(action, RejectRequest | FailRequest):
            instance.requests[action.request_id].answered = True
            self.forget(instance, action.request_id)
        elif isinstance(action, CancelAttempt):
            self.end_attempt(instance, action.request_id, action.attempt_index, AttemptOutcome.CANCELLED)
        elif isinstance(action, SetTimer):
            self.after(action.delay_ns, partial(self.give, instance, TimerFired(action.token)))
        elif isinstance(action, WatchEndpoints):
            self.after(30 * MS, partial(self.answer_watch, instance))
        elif isinstance(action, StartHealthCheck):
            self.answer_health_check(instance, action.endpoint_id)
        elif isinstance(action, SendGossip):
            self.deliver(action)

    def answer_health_check(self, instance: Instance, endpoint: bytes) -> None:
        outcome, took = AttemptOutcome.SUCCESS, self.random.randrange(1 * MS, 8 * MS)
        if endpoint in self.affected and self.phase in ("unreachable", "silent", "rejecting"):
            outcome = self.random.choice(
                (
                    AttemptOutcome.TIMEOUT,
                    AttemptOutcome.REJECTED,
                    AttemptOutcome.CONNECT_FAILED,
                )
            )
            took = 100 * MS
        self.after(took, partial(self.give, instance, HealthCheckCompleted(endpoint, outcome, took, ())))

    def deliver(self, action: SendGossip) -> None:
        body = action.payload
        if self.random.random() < 0.05:
            body = self.random.choice((body[:-1], b"", self.random.randbytes(len(body))))
        recipient = self.instances[action.recipient_index % len(self.instances)]
        self.after(MS, partial(self.give, recipient, GossipReceived(0, body)))

    def arrive(self, instance: Instance) -> None:
        rate = self.scenario.requests_per_second * (2.0 if self.phase == "overload" else 1.0)
        self.after(int(self.random.expovariate(rate) * SECOND), partial(self.arrive, instance))
        cls = self.random.randrange(len(self.settings.classes))
        limit = self.settings.classes[cls].client_timeout_ns
        left = limit if self.random.random() > 0.1 else self.random.randrange(limit)
        if self.random.random() < self.scenario.hurried:
            left = self.random.randrange(30 * MS)
        number, expires = next(self.ids), self.now + left
        instance.requests[number] = OpenRequest(cls, expires)
        key = self.random.randrange(1, 200) if self.random.random() < 0.5 else 0
        repeat = self.random.random() < 0.1
        event = RequestReceived(number, cls, self.random.randrange(3), key, expires, 0, repeat)
        self.give(instance, event)
        if self.random.random() < 0.02:
            self.after(self.random.randrange(100 * MS), partial(self.leave, instance, number))

    def leave(self, instance: Instance, number: int) -> None:
        request = instance.requests.get(number)
        if request is None or request.answered:
            return
        request.answered = True
        left: Event = ClientDisconnected(number) if self.random.random() < 0.7 else StreamStarted(number)
        self.give(instance, left)
        self.forget(instance, number)

    def start_attempt(self, instance: Instance, action: StartAttempt) -> None:
        request = instance.requests[action.request_id]
        number, request.attempts = request.attempts, request.attempts + 1
        request.attempt = Attempt(number, action.endpoint_id, self.now)
        outcome, took = self.outcome_of(action.endpoint_id, request.cls)
        most = min(action.timeout_ns or request.expires - self.now, request.expires - self.now)
        if took > most:
            outcome, took = AttemptOutcome.TIMEOUT, most
        elif self.random.random() < 0.005:
            outcome, took = AttemptOutcome.NOT_SENT, 0
        self.after(took, partial(self.end_attempt, instance, action.request_id, number, outcome))

    def end_attempt(self, instance: Instance, number: int, attempt: int, outcome: AttemptOutcome) -> None:
        request = instance.requests.get(number)
        if request is None or request.attempt is None or request.attempt.number != attempt:
            return
        ended, request.attempt = request.attempt, None
        if outcome == AttemptOutcome.SUCCESS:
            request.answered = True
        took, over = self.now - ended.sent, request.answered
        self.forget(instance, number)
        self.give(instance, AttemptCompleted(number, attempt, ended.endpoint, outcome, took, over, ()))

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
    never_taken = {FetchEndpoints, WriteLog}
    totals = dict.fromkeys(ACTION_TYPES, 0)
    for scenario in SCENARIOS.values():
        driver = Driver(scenario)
        driver.run()
        for action_type, times in zip(ACTION_TYPES, driver.action_counts, strict=True):
            totals[action_type] += times
    assert {action_type for action_type, times in totals.items() if not times} == never_taken


if __name__ == "__main__":
    print(json.dumps(digests(), indent=2))

"""Characterisation of the decisions: the same settings, seed and events give the same actions, bit for bit.

A seeded driver plays clients, servers, discovery and other sidecars against the decision module. Every action
is reduced to its position in ACTION_TYPES and to plain numbers and bytes, so that renaming or moving code can
not change the digest of the stream. The digests in digests.json were recorded with CPython 3.11 by

    python -m tests.policy.test_characterization > tests/policy/digests.json

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
from typing import NamedTuple

import pytest

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    EndpointId,
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
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import START_NS, attempt_completed, endpoint_id, request_received

DIGEST_FILE = Path(__file__).with_name("digests.json")
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

READ = RequestClass("read", 300 * MILLISECOND_NS, 1500 * MILLISECOND_NS, 1.0, 0.5)
BROWSE = RequestClass("browse", 150 * MILLISECOND_NS, 600 * MILLISECOND_NS, 0.3)
CHANGE = RequestClass(
    "change",
    500 * MILLISECOND_NS,
    2500 * MILLISECOND_NS,
    3.0,
    0.0,
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ZONE,
    900 * MILLISECOND_NS,
)
MOVE = RequestClass(
    "move",
    400 * MILLISECOND_NS,
    2000 * MILLISECOND_NS,
    3.0,
    0.2,
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    5 * SECOND_NS,
)
BILL = RequestClass("bill", 600 * MILLISECOND_NS, 3000 * MILLISECOND_NS, 6.0, 0.1, Idempotency.NOT_IDEMPOTENT)
SEARCH = RequestClass("search", 2 * SECOND_NS, 3 * SECOND_NS, 1.0, 0.5)
CLASSES = (READ, BROWSE, CHANGE, MOVE, BILL)


@dataclass(frozen=True)
class Scenario:
    """What one recorded stream is made of."""

    settings: Settings
    seed: int
    balancers: int = 1
    requests_per_second: float = 120.0
    short_timeout_share: float = 0.02
    """The share of clients that give less time than an answer takes."""
    phases: tuple[str, ...] = PHASES
    phase_ns: int = 3 * SECOND_NS


SCENARIOS = {
    "one_zone": Scenario(
        Settings(CLASSES, slow_start_capacity=0.3, slow_start_duration_ns=6 * SECOND_NS, max_attempts=5),
        1,
    ),
    "three_zones_priced": Scenario(
        Settings(
            CLASSES,
            instance_index=3,
            instance_count=40,
            zone_count=3,
            slow_start_capacity=0.4,
            slow_start_duration_ns=8 * SECOND_NS,
            max_attempts=4,
            attempts_can_be_cancelled=True,
            cross_zone_price=0.05,
            handshake_price=0.06,
            connection_price=0.06,
            max_retry_after_ns=3 * SECOND_NS,
        ),
        2,
        requests_per_second=60.0,
    ),
    "polled_lists_and_health_checks": Scenario(
        Settings(
            CLASSES,
            polls_discovery=True,
            discovery_poll_window_ns=2 * SECOND_NS,
            max_attempts=3,
            health_checks_enabled=True,
            attempts_can_be_cancelled=True,
            zone_count=2,
            cross_zone_price=0.02,
            slow_start_capacity=0.2,
            slow_start_duration_ns=5 * SECOND_NS,
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
            slow_start_duration_ns=6 * SECOND_NS,
            max_attempts=4,
            scheduling_tick_ns=4 * MILLISECOND_NS,
            max_retry_after_ns=SECOND_NS,
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
            slow_start_duration_ns=4 * SECOND_NS,
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
        short_timeout_share=0.3,
    ),
    "hanging_calls": Scenario(
        Settings((SEARCH, READ, CHANGE), max_attempts=5, attempts_can_be_cancelled=True),
        9,
        requests_per_second=250.0,
        phases=("hanging_class",),
        phase_ns=SECOND_NS,
    ),
    "lasting_overload": Scenario(
        Settings(
            CLASSES,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            max_retry_after_ns=4 * SECOND_NS,
            zone_count=2,
        ),
        8,
        requests_per_second=500.0,
    ),
}


@dataclass
class Attempt:
    """An attempt in flight."""

    index: int
    endpoint_id: EndpointId
    started_at_ns: int


@dataclass
class OpenRequest:
    """A request that needs its final answer or has an attempt in flight."""

    class_index: int
    expires_at_ns: int
    attempt_count: int = 0
    attempt: Attempt | None = None
    is_answered: bool = False


class ServerReply(NamedTuple):
    """What becomes of an attempt, and after which time if nobody ends it before."""

    outcome: AttemptOutcome
    duration_ns: int


@dataclass
class Instance:
    """One decision module and the requests that it holds."""

    balancer: Balancer
    requests: dict[int, OpenRequest] = field(default_factory=dict)


class Driver:
    """Plays a scenario and digests the actions."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.settings = scenario.settings
        self.random = random.Random(scenario.seed)
        self.now = START_NS
        self.callback_numbers = count()
        self.request_ids = count(1)
        self.callbacks: list[tuple[int, int, Callable[[], None]]] = []
        self.digest = hashlib.sha256()
        self.event_count = 0
        self.action_counts = [0] * len(ACTION_TYPES)
        self.servers = {
            number: Endpoint(
                endpoint_id(number),
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
        self.affected_endpoints: set[EndpointId] = set()
        self.instances = [
            Instance(Balancer(self.settings, scenario.seed * 100 + n)) for n in range(scenario.balancers)
        ]

    def run(self) -> str:
        for instance in self.instances:
            self.handle(instance, Started())
            self.handle(
                instance,
                EndpointUpdate(EndpointUpdateKind.CACHED, tuple(self.servers.values())),
            )
            self.schedule(0, partial(self.receive_request, instance))
        self.schedule(self.scenario.phase_ns, self.change_phase)
        while self.event_count < EVENT_COUNT:
            self.now, _, callback = heapq.heappop(self.callbacks)
            callback()
        return self.digest.hexdigest()

    def schedule(self, delay_ns: int, callback: Callable[[], None]) -> None:
        due_at_ns = self.now + max(0, delay_ns)
        heapq.heappush(self.callbacks, (due_at_ns, next(self.callback_numbers), callback))

    def handle(self, instance: Instance, event: Event) -> None:
        self.event_count += 1
        actions = instance.balancer.handle(self.now, event)
        for action in actions:
            self.record(action)
        for action in actions:
            self.carry_out(instance, action)

    def record(self, action: Action) -> None:
        code = ACTION_TYPES.index(type(action))
        self.action_counts[code] += 1
        values = [value.hex() if isinstance(value, bytes) else str(int(value)) for value in action]
        self.digest.update(f"{self.event_count} {self.now} {code} {' '.join(values)}\n".encode())

    # The part of the servers and of discovery.

    def change_phase(self) -> None:
        self.phase = self.random.choice(self.scenario.phases)
        chosen = self.random.sample(sorted(self.servers), self.random.choice((2, 4, 8)))
        self.affected_endpoints = {self.servers[number].id for number in chosen}
        entries = []
        for number, server in self.servers.items():
            if self.phase == "restart" and server.id in self.affected_endpoints:
                changed = server._replace(started_at_ns=self.now, health=EndpointHealth.READY)
            elif self.phase == "drain" and server.id in self.affected_endpoints:
                changed = server._replace(
                    health=self.random.choice((EndpointHealth.DRAINING, EndpointHealth.REMOVED))
                )
            elif server.health != EndpointHealth.READY:
                changed = server._replace(started_at_ns=self.now, health=EndpointHealth.READY)
            else:
                continue
            self.servers[number] = changed
            entries.append(changed)
        if not self.settings.polls_discovery:
            for instance in self.instances:
                self.update_endpoints(instance, entries)
        self.schedule(self.scenario.phase_ns, self.change_phase)

    def update_endpoints(self, instance: Instance, entries: list[Endpoint]) -> None:
        if self.random.random() < 0.3:
            present = tuple(s for s in self.servers.values() if s.health != EndpointHealth.REMOVED)
            self.handle(instance, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, present))
        elif entries:
            self.handle(instance, EndpointUpdate(EndpointUpdateKind.DELTA, tuple(entries)))

    def answer_watch(self, instance: Instance) -> None:
        if self.random.random() < 0.4:
            self.handle(instance, EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
            return
        self.update_endpoints(instance, list(self.servers.values()))
        # The watch breaks some time later, and the decisions have to ask anew.
        broken = EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ())
        self.schedule(self.random.randrange(4 * SECOND_NS), partial(self.handle, instance, broken))

    def reply_of_server(self, identifier: EndpointId, class_index: int) -> ServerReply:
        usual_ns = int(self.random.expovariate(1) * 30 * MILLISECOND_NS) + 5 * MILLISECOND_NS
        if self.phase == "overload":
            usual_ns *= 8
            if self.random.random() < 0.3:
                return ServerReply(AttemptOutcome.REJECTED, usual_ns // 4)
        if identifier in self.affected_endpoints:
            return self.reply_of_affected_server(class_index, usual_ns)
        is_success = self.random.random() < 0.99
        return ServerReply(AttemptOutcome.SUCCESS if is_success else AttemptOutcome.SERVER_ERROR, usual_ns)

    def reply_of_affected_server(self, class_index: int, usual_ns: int) -> ServerReply:
        never = ServerReply(AttemptOutcome.SUCCESS, 60 * SECOND_NS)
        reply_by_phase = {
            "slow": ServerReply(AttemptOutcome.SUCCESS, usual_ns * 6),
            "unreachable": ServerReply(AttemptOutcome.CONNECT_FAILED, 1 * MILLISECOND_NS),
            "rejecting": ServerReply(AttemptOutcome.REJECTED, 1 * MILLISECOND_NS),
            "silent": never,
        }
        if self.phase in reply_by_phase:
            return reply_by_phase[self.phase]
        if self.phase == "hanging_class" and class_index == 0:
            return never
        if self.phase == "erring" and self.random.random() < 0.8:
            return ServerReply(AttemptOutcome.SERVER_ERROR, 2 * MILLISECOND_NS)
        if self.phase == "resets" and self.random.random() < 0.5:
            return ServerReply(AttemptOutcome.CONNECTION_RESET, usual_ns)
        outcomes = (*[AttemptOutcome.SUCCESS] * 3, AttemptOutcome.CLIENT_ERROR)
        return ServerReply(self.random.choice(outcomes), usual_ns)

    # The part of the sidecar and of the clients.

    def carry_out(self, instance: Instance, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self.start_attempt(instance, action)
        elif isinstance(action, RejectRequest | FailRequest):
            instance.requests[action.request_id].is_answered = True
            self.forget_if_ended(instance, action.request_id)
        elif isinstance(action, CancelAttempt):
            self.end_attempt(instance, action.request_id, action.attempt_index, AttemptOutcome.CANCELLED)
        elif isinstance(action, SetTimer):
            self.schedule(action.delay_ns, partial(self.handle, instance, TimerFired(action.token)))
        elif isinstance(action, WatchEndpoints):
            self.schedule(30 * MILLISECOND_NS, partial(self.answer_watch, instance))
        elif isinstance(action, StartHealthCheck):
            self.answer_health_check(instance, action.endpoint_id)
        elif isinstance(action, SendGossip):
            self.deliver(action)

    def answer_health_check(self, instance: Instance, identifier: EndpointId) -> None:
        outcome = AttemptOutcome.SUCCESS
        duration_ns = self.random.randrange(1 * MILLISECOND_NS, 8 * MILLISECOND_NS)
        is_affected = identifier in self.affected_endpoints
        if is_affected and self.phase in ("unreachable", "silent", "rejecting"):
            failures = (AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)
            outcome = self.random.choice(failures)
            duration_ns = 100 * MILLISECOND_NS
        completed = HealthCheckCompleted(identifier, outcome, duration_ns, ())
        self.schedule(duration_ns, partial(self.handle, instance, completed))

    def deliver(self, action: SendGossip) -> None:
        payload = action.payload
        if self.random.random() < 0.05:
            payload = self.random.choice((payload[:-1], b"", self.random.randbytes(len(payload))))
        recipient = self.instances[action.recipient_index % len(self.instances)]
        self.schedule(MILLISECOND_NS, partial(self.handle, recipient, GossipReceived(0, payload)))

    def receive_request(self, instance: Instance) -> None:
        rate = self.scenario.requests_per_second * (2.0 if self.phase == "overload" else 1.0)
        next_delay_ns = int(self.random.expovariate(rate) * SECOND_NS)
        self.schedule(next_delay_ns, partial(self.receive_request, instance))
        event = self.draw_request()
        instance.requests[event.request_id] = OpenRequest(event.class_index, event.expires_at_ns)
        self.handle(instance, event)
        if self.random.random() < 0.02:
            delay_ns = self.random.randrange(100 * MILLISECOND_NS)
            self.schedule(delay_ns, partial(self.detach_request, instance, event.request_id))

    def draw_request(self) -> RequestReceived:
        class_index = self.random.randrange(len(self.settings.classes))
        client_timeout_ns = self.settings.classes[class_index].client_timeout_ns
        is_fresh = self.random.random() > 0.1
        time_left_ns = client_timeout_ns if is_fresh else self.random.randrange(client_timeout_ns)
        if self.random.random() < self.scenario.short_timeout_share:
            time_left_ns = self.random.randrange(30 * MILLISECOND_NS)
        key_hash = self.random.randrange(1, 200) if self.random.random() < 0.5 else 0
        is_retry = self.random.random() < 0.1
        return request_received(
            next(self.request_ids),
            self.now + time_left_ns,
            class_index=class_index,
            tenant_index=self.random.randrange(3),
            key_hash=key_hash,
            is_retry=is_retry,
        )

    def detach_request(self, instance: Instance, request_id: int) -> None:
        request = instance.requests.get(request_id)
        if request is None or request.is_answered:
            return
        request.is_answered = True
        disconnects = self.random.random() < 0.7
        event = ClientDisconnected(request_id) if disconnects else StreamStarted(request_id)
        self.handle(instance, event)
        self.forget_if_ended(instance, request_id)

    def start_attempt(self, instance: Instance, action: StartAttempt) -> None:
        request = instance.requests[action.request_id]
        attempt = Attempt(request.attempt_count, action.endpoint_id, self.now)
        request.attempt_count += 1
        request.attempt = attempt
        outcome, duration_ns = self.reply_of_server(action.endpoint_id, request.class_index)
        time_left_ns = request.expires_at_ns - self.now
        timeout_ns = min(action.timeout_ns or time_left_ns, time_left_ns)
        if duration_ns > timeout_ns:
            outcome, duration_ns = AttemptOutcome.TIMEOUT, timeout_ns
        elif self.random.random() < 0.005:
            outcome, duration_ns = AttemptOutcome.NOT_SENT, 0
        end = partial(self.end_attempt, instance, action.request_id, attempt.index, outcome)
        self.schedule(duration_ns, end)

    def end_attempt(
        self, instance: Instance, request_id: int, attempt_index: int, outcome: AttemptOutcome
    ) -> None:
        request = instance.requests.get(request_id)
        if request is None or request.attempt is None or request.attempt.index != attempt_index:
            return
        attempt, request.attempt = request.attempt, None
        if outcome == AttemptOutcome.SUCCESS:
            request.is_answered = True
        event = attempt_completed(
            request_id,
            attempt.endpoint_id,
            outcome,
            self.now - attempt.started_at_ns,
            attempt_index=attempt_index,
            request_finished=request.is_answered,
        )
        self.forget_if_ended(instance, request_id)
        self.handle(instance, event)

    def forget_if_ended(self, instance: Instance, request_id: int) -> None:
        request = instance.requests[request_id]
        if request.is_answered and request.attempt is None:
            del instance.requests[request_id]


def digests() -> dict[str, str]:
    return {name: Driver(scenario).run() for name, scenario in SCENARIOS.items()}


@pytest.mark.parametrize("name", SCENARIOS)
def test_actions_match_the_recorded_digest(name: str) -> None:
    recorded = json.loads(DIGEST_FILE.read_text())
    assert Driver(SCENARIOS[name]).run() == recorded[name]


def test_scenarios_produce_every_action_of_the_policy() -> None:
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

"""Arbitrary legal events, with an independent checker that holds the rules a single sidecar can break."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from balancer.policy import retry
from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    GossipReceived,
    HealthCheckCompleted,
    Idempotency,
    RejectRequest,
    RequestReceived,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    StreamStarted,
    Tenant,
    TimerFired,
)
from tests.helpers import MS, SECOND, START, Bench, endpoint, request_class, settings

GRACE = SECOND // 2


@dataclass
class Owed:
    cls: int
    expires: int
    attempts: int = 0
    out: bytes | None = None
    ran: tuple[bytes, int] | None = None  # where and when it may first have run
    sent: int = 0


@dataclass
class World:
    """Plays the caller's part and checks every action against the rules."""

    config: Settings
    balancer: Balancer
    now: int = START
    owed: dict[int, Owed] = field(default_factory=dict)
    told: dict[bytes, tuple[int, int]] = field(default_factory=dict)  # health, and since when
    where: dict[bytes, Endpoint] = field(default_factory=dict)
    answered: int = 0
    probes: list[bytes] = field(default_factory=list)  # not answered yet
    timers: list[tuple[int, int]] = field(default_factory=list)

    def give(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check_send(action)
            elif isinstance(action, RejectRequest):
                owed = self.owed.pop(action.request_id)  # a second final answer would find nothing
                assert owed.out is None
                if owed.ran:
                    cls = self.config.classes[owed.cls]
                    assert cls.idempotency == Idempotency.IDEMPOTENT or (
                        cls.idempotency == Idempotency.IDEMPOTENCY_KEY
                        and cls.deduplication_scope == DeduplicationScope.ALL
                    )
                self.answered += 1
            elif isinstance(action, FailRequest):
                assert self.owed.pop(action.request_id).out is None
                self.answered += 1
            elif isinstance(action, StartHealthCheck):
                assert self.config.health_checks_enabled and action.endpoint_id not in self.probes
                health, since = self.told[action.endpoint_id]
                assert health == EndpointHealth.READY or self.now - since <= GRACE
                self.probes.append(action.endpoint_id)
            elif isinstance(action, SetTimer) and action.token:
                assert action.delay_ns > 0
                self.timers.append((self.now + action.delay_ns, action.token))

    def ring(self) -> None:
        """Timers that are due ring, all in one late batch if the sidecar stood still."""
        due = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, token in due:
            self.give(TimerFired(token))

    def check_send(self, send: StartAttempt) -> None:
        owed, cls = self.owed[send.request_id], self.config.classes[self.owed[send.request_id].cls]
        assert owed.out is None, "two attempts out"
        assert owed.attempts < self.config.max_attempts
        health, since = self.told[send.endpoint_id]
        assert health == EndpointHealth.READY or self.now - since <= GRACE
        if owed.ran and cls.idempotency != Idempotency.IDEMPOTENT:
            assert cls.idempotency == Idempotency.IDEMPOTENCY_KEY
            first, when = self.where[owed.ran[0]], owed.ran[1]
            assert self.now - when < cls.deduplication_window_ns
            other = self.where[send.endpoint_id]
            if cls.deduplication_scope != DeduplicationScope.ALL:
                assert first.zone == other.zone
            if cls.deduplication_scope == DeduplicationScope.CELL:
                assert first.cell == other.cell
        owed.out, owed.sent, owed.attempts = send.endpoint_id, self.now, owed.attempts + 1

    def complete(self, rid: int, outcome: AttemptOutcome) -> None:
        owed = self.owed[rid]
        assert owed.out is not None
        if outcome not in OUTCOMES_NEVER_EXECUTED and owed.ran is None:
            owed.ran = (owed.out, owed.sent)
        event = AttemptCompleted(
            rid,
            owed.attempts - 1,
            owed.out,
            outcome,
            self.now - owed.sent,
            outcome == AttemptOutcome.SUCCESS,
            (),
        )
        owed.out = None
        if outcome == AttemptOutcome.SUCCESS:
            del self.owed[rid]
        self.give(event)

    def learn(self, kind: EndpointUpdateKind, entries: list[Endpoint]) -> None:
        for entry in entries:
            if entry.health != self.told.get(entry.id, (None, 0))[0]:
                self.told[entry.id] = (entry.health, self.now)
            self.where[entry.id] = entry
        if kind != EndpointUpdateKind.DELTA:
            for missing in set(self.told) - {e.id for e in entries}:
                if self.told[missing][0] != EndpointHealth.REMOVED:
                    self.told[missing] = (EndpointHealth.REMOVED, self.now)
        self.give(EndpointUpdate(kind, tuple(entries)))

    def probed(self, which: int, outcome: AttemptOutcome) -> None:
        endpoint = self.probes.pop(which % len(self.probes))
        self.give(HealthCheckCompleted(endpoint, outcome, MS, ()))

    def stop(self) -> None:
        """Killed and started anew: all that it held is void."""
        self.owed, self.told, self.probes, self.timers = {}, {}, [], []
        self.balancer = Balancer(self.config, 5)
        self.give(Started())
        self.learn(EndpointUpdateKind.CACHED, list(self.where.values()))

    def expire(self) -> None:
        """What is out at its deadline times out then, as a time-out never outlasts the client."""
        for rid, owed in list(self.owed.items()):
            if owed.expires <= self.now and owed.out:
                self.complete(rid, AttemptOutcome.TIMEOUT)
                assert rid not in self.owed, "no final answer to the time-out at the deadline"
            elif owed.expires <= self.now:
                raise AssertionError("held unsent until its client left")


CLASSES = st.builds(
    request_class,
    priority_weight=st.sampled_from([0.0, 1.0, 5.0]),
    idempotency=st.sampled_from(list(Idempotency)),
    deduplication_scope=st.sampled_from(list(DeduplicationScope)),
    deduplication_window_ns=st.sampled_from([50 * MS, 5 * SECOND]),
    late_answer_value=st.sampled_from([0.0, 0.5]),
)
SETTINGS = st.builds(
    lambda classes, **rest: settings(*classes, **rest),
    st.lists(CLASSES, min_size=1, max_size=3),
    zone_count=st.just(2),
    max_attempts=st.integers(1, 5),
    gossip_enabled=st.booleans(),
    health_checks_enabled=st.booleans(),
    key_affinity=st.booleans(),
    instance_count=st.just(3),
    cross_zone_price=st.sampled_from([0.0, 0.2]),
    polls_discovery=st.booleans(),
    tenants=st.sampled_from([(), (Tenant("a", 9.0), Tenant("b", 0.0))]),
    max_retry_after_ns=st.sampled_from([0, SECOND]),
)
ENDPOINTS = st.builds(
    lambda n, health, started: endpoint(n, health, zone=n % 2, cell=n % 4, started_at_ns=started),
    st.integers(1, 9),
    st.sampled_from(
        [EndpointHealth.READY, EndpointHealth.READY, EndpointHealth.DRAINING, EndpointHealth.REMOVED]
    ),
    st.sampled_from([0, START - SECOND, START + SECOND]),
)
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 2), st.sampled_from([0, 300, 2000])),
    st.tuples(st.just("ask"), st.integers(0, 2), st.sampled_from([300, 2000, 4000])),
    st.tuples(st.just("ask"), st.integers(0, 2), st.sampled_from([3000, 4000])),
    st.tuples(
        st.just("probed"),
        st.integers(0, 9),
        st.sampled_from([AttemptOutcome.SUCCESS, AttemptOutcome.SUCCESS, AttemptOutcome.TIMEOUT]),
    ),
    st.tuples(st.just("stream"), st.integers(0, 9), st.just(0)),
    st.tuples(st.just("stop"), st.just(0), st.just(0)),
    st.tuples(st.just("answer"), st.integers(0, 9), st.sampled_from(list(AttemptOutcome))),
    st.tuples(st.just("answer"), st.integers(0, 9), st.sampled_from(list(AttemptOutcome))),
    st.tuples(st.just("list"), st.sampled_from([1, 2, 3]), st.lists(ENDPOINTS, max_size=9)),
    st.tuples(st.just("pass"), st.sampled_from([5, 60, 400, 1500]), st.just(0)),
    st.tuples(st.just("gone"), st.integers(0, 9), st.just(0)),
    st.tuples(st.just("tick"), st.just(0), st.just(0)),
    st.tuples(st.just("failed"), st.just(0), st.just(0)),
    st.tuples(st.just("peer"), st.just(0), st.binary(max_size=60)),
    st.tuples(st.just("stray"), st.integers(0, 9), st.sampled_from(list(AttemptOutcome))),
)


def play(config: Settings, steps: list[Any], seed: int = 3) -> World:
    world = World(config, Balancer(config, seed))
    world.give(Started())
    world.learn(EndpointUpdateKind.CACHED, [endpoint(n, zone=n % 2, cell=n % 4) for n in range(1, 9)])
    next_id = 1000
    for kind, a, b in steps:
        world.now += MS
        out = [rid for rid, owed in world.owed.items() if owed.out]
        if kind == "ask":
            cls = a % len(config.classes)
            world.owed[next_id] = Owed(cls, world.now + b * MS)
            key = next_id if config.classes[cls].idempotency == Idempotency.IDEMPOTENCY_KEY else 0
            tenant = next_id % 2 if config.tenants else 0
            world.give(
                RequestReceived(next_id, cls, tenant, key, world.now + b * MS, 0, bool(next_id % 3 == 0))
            )
            next_id += 1
        elif kind == "answer" and out:
            world.complete(out[a % len(out)], b)
        elif kind == "list":
            world.learn(a, list({e.id: e for e in b}.values()))
        elif kind == "pass":
            world.now += a * MS
        elif kind == "gone" and out:
            rid = out[a % len(out)]
            owed = world.owed.pop(rid)
            world.give(ClientDisconnected(rid))
            assert owed.out is not None
            world.give(AttemptCompleted(rid, 0, owed.out, AttemptOutcome.CANCELLED, 0, True, ()))
        elif kind == "probed" and world.probes:
            world.probed(a, b)
        elif kind == "stream" and out:
            rid = out[a % len(out)]
            owed = world.owed.pop(rid)
            world.give(StreamStarted(rid))
            assert owed.out is not None
            world.give(AttemptCompleted(rid, 0, owed.out, AttemptOutcome.CONNECTION_RESET, 0, True, ()))
        elif kind == "stop":
            world.stop()
        elif kind == "tick":
            world.give(TimerFired(0))
        elif kind == "failed":
            world.give(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
        elif kind == "peer":
            world.give(GossipReceived(1, b))
        elif kind == "stray":  # fits nothing that is held
            world.give(AttemptCompleted(a, 0, a.to_bytes(6, "little"), b, MS, False, ()))
            world.give(ClientDisconnected(a))
            world.give(TimerFired(77))
        world.ring()
        world.expire()
        held = [owed for owed in world.owed.values() if not owed.out]
        assert not held or (config.health_checks_enabled and not config.gossip_enabled), (
            "held with nobody asked"
        )
        assert all(owed.attempts == 0 for owed in held)
    return world


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(SETTINGS, st.lists(STEPS, max_size=80))
def test_the_rules_hold_on_any_legal_events(config: Settings, steps: list[Any]) -> None:
    play(config, steps)


@hypothesis_settings(max_examples=30, derandomize=True, deadline=None)
@given(SETTINGS, st.lists(STEPS, max_size=40))
def test_the_same_events_give_the_same_actions(config: Settings, steps: list[Any]) -> None:
    one, two = play(config, steps), play(config, steps)
    assert (
        one.told == two.told
        and one.owed == two.owed
        and one.balancer.admission.threshold == two.balancer.admission.threshold
    )
    assert one.balancer.random.random() == two.balancer.random.random()


@pytest.mark.parametrize("effect", list(Idempotency))
@pytest.mark.parametrize("outcome", [o for o in AttemptOutcome if o != AttemptOutcome.SUCCESS])
def test_each_effect_after_each_outcome(effect: Idempotency, outcome: AttemptOutcome) -> None:
    b = Bench(settings(request_class(idempotency=effect, late_answer_value=0.5)), servers=8)
    for _ in range(30):
        b.answer(b.sent())
    send = b.sent()
    b.now += 50 * MS
    [action] = b.answer(send, outcome, 50 * MS)
    if outcome == AttemptOutcome.NOT_SENT:
        assert isinstance(action, RejectRequest)
    elif (
        outcome == AttemptOutcome.CLIENT_ERROR
    ):  # no other server would take it; a refusal says that a repeat is harmless
        assert isinstance(action, RejectRequest if effect == Idempotency.IDEMPOTENT else FailRequest)
    elif effect == Idempotency.NOT_IDEMPOTENT and outcome not in OUTCOMES_NEVER_EXECUTED:
        assert isinstance(action, FailRequest)
    else:
        assert isinstance(action, StartAttempt) and action.endpoint_id != send.endpoint_id


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_keyed_request_that_may_have_run_stays_in_its_group_and_window(scope: DeduplicationScope) -> None:
    keyed = request_class(
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window_ns=200 * MS,
        late_answer_value=0.5,
    )
    b = Bench(settings(keyed, zone_count=2), servers=0)
    b.list_of(*(endpoint(n, zone=n % 2, cell=n % 4) for n in range(1, 17)))
    for wait, again in ((50, True), (250, False)):
        for _ in range(30):
            b.answer(b.sent())
        send = b.sent()
        b.now += wait * MS
        [action] = b.answer(send, AttemptOutcome.SERVER_ERROR, wait * MS)
        if again:
            assert isinstance(action, StartAttempt)
            groups = 2 if scope == DeduplicationScope.ZONE else 4
            assert action.endpoint_id[0] % groups == send.endpoint_id[0] % groups
        else:
            assert isinstance(action, FailRequest)  # a refusal would promise that a repeat does no harm


def test_retries_keep_to_a_budget_and_never_go_into_overload() -> None:
    b = Bench(settings(request_class(late_answer_value=0.5)), servers=8)
    again = 0
    for _ in range(200):
        send = b.sent()
        b.now += 5 * MS
        again += sum(isinstance(a, StartAttempt) for a in b.answer(send, AttemptOutcome.SERVER_ERROR, 5 * MS))
    assert 0 < again <= 200 * retry.BUDGET_SHARE + retry.MAX_BUDGET + 1
    b.balancer.overload.queueing_delay, b.balancer.retry.budget = 9.0, 5.0
    assert not any(isinstance(a, StartAttempt) for a in b.answer(b.sent(), AttemptOutcome.TIMEOUT))


def test_every_endpoint_failing_still_answers_everything() -> None:
    for outcome in (
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECTION_RESET,
    ):
        config = settings(
            request_class(),
            request_class(idempotency=Idempotency.NOT_IDEMPOTENT),
            slow_start_duration_ns=0,
            zone_count=2,
        )
        steps: list[Any] = [("ask", i % 2, 2000) if i % 3 else ("answer", 0, outcome) for i in range(200)]
        world = play(config, [*steps, ("pass", 5000, 0)])
        assert not world.owed and world.answered > 50

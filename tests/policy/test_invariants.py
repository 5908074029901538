"""Arbitrary legal events, with an independent checker of the invariants that a single sidecar has to keep."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    AttemptOutcome,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    GossipReceived,
    HealthCheckCompleted,
    Idempotency,
    RejectRequest,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    StreamStarted,
    Tenant,
    TimerFired,
)
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import (
    START_NS,
    attempt_completed,
    endpoint,
    endpoint_id,
    request_class,
    request_received,
    settings,
)

NOT_READY_GRACE_NS = SECOND_NS // 2
"""How long an endpoint may still be used after the list called it draining or removed."""


class PossibleExecution(NamedTuple):
    """Where and since when a request may have been executed."""

    endpoint_id: EndpointId
    started_at_ns: int


@dataclass
class OpenRequest:
    """A request that has had no final answer."""

    class_index: int
    expires_at_ns: int
    attempt_count: int = 0
    in_flight_at: EndpointId | None = None
    attempt_started_at_ns: int = 0
    first_execution: PossibleExecution | None = None


class ListedHealth(NamedTuple):
    """The health of an endpoint by the list, and since when."""

    health: EndpointHealth
    since_ns: int


class PendingTimer(NamedTuple):
    due_at_ns: int
    token: int


@dataclass
class InvariantChecker:
    """Plays the caller's part and checks every action against the invariants."""

    settings: Settings
    balancer: Balancer
    now: int = START_NS
    next_request_id: int = 1000
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    listed: dict[EndpointId, ListedHealth] = field(default_factory=dict)
    entries: dict[EndpointId, Endpoint] = field(default_factory=dict)
    final_answers: int = 0
    health_checks: list[EndpointId] = field(default_factory=list)  # not completed yet
    timers: list[PendingTimer] = field(default_factory=list)

    def start(self, entries: list[Endpoint]) -> None:
        self.handle(Started())
        self.update_endpoints(EndpointUpdateKind.CACHED, entries)

    def handle(self, event: Event) -> None:
        """Deliver an event and check the actions that answer it."""
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, RejectRequest):
                self.check_rejection(action)
            elif isinstance(action, FailRequest):
                assert self.open_requests.pop(action.request_id).in_flight_at is None
                self.final_answers += 1
            elif isinstance(action, StartHealthCheck):
                self.check_health_check(action)
            elif isinstance(action, SetTimer) and action.token:
                assert action.delay_ns > 0
                self.timers.append(PendingTimer(self.now + action.delay_ns, action.token))

    def check_attempt(self, attempt: StartAttempt) -> None:
        request = self.open_requests[attempt.request_id]
        assert request.in_flight_at is None, "two attempts in flight"
        assert request.attempt_count < self.settings.max_attempts
        self.check_is_listed(attempt.endpoint_id)
        if request.first_execution is not None:
            self.check_repetition(request, request.first_execution, attempt.endpoint_id)
        request.in_flight_at = attempt.endpoint_id
        request.attempt_started_at_ns = self.now
        request.attempt_count += 1

    def check_is_listed(self, identifier: EndpointId) -> None:
        health, since_ns = self.listed[identifier]
        assert health == EndpointHealth.READY or self.now - since_ns <= NOT_READY_GRACE_NS

    def check_repetition(
        self, request: OpenRequest, first_execution: PossibleExecution, repeated_at: EndpointId
    ) -> None:
        """Check that a second execution does no harm: it is idempotent, or dropped as a duplicate."""
        of_request = self.settings.classes[request.class_index]
        if of_request.idempotency == Idempotency.IDEMPOTENT:
            return
        assert of_request.idempotency == Idempotency.IDEMPOTENCY_KEY
        assert self.now - first_execution.started_at_ns < of_request.deduplication_window_ns
        first, repeated = self.entries[first_execution.endpoint_id], self.entries[repeated_at]
        if of_request.deduplication_scope != DeduplicationScope.ALL:
            assert first.zone == repeated.zone
        if of_request.deduplication_scope == DeduplicationScope.CELL:
            assert first.cell == repeated.cell

    def check_rejection(self, rejection: RejectRequest) -> None:
        """Check that a repeat by the client does no harm, as a rejection promises."""
        request = self.open_requests.pop(rejection.request_id)  # a second final answer would find nothing
        assert request.in_flight_at is None
        if request.first_execution is not None:
            of_request = self.settings.classes[request.class_index]
            assert of_request.idempotency == Idempotency.IDEMPOTENT or (
                of_request.idempotency == Idempotency.IDEMPOTENCY_KEY
                and of_request.deduplication_scope == DeduplicationScope.ALL
            )
        self.final_answers += 1

    def check_health_check(self, health_check: StartHealthCheck) -> None:
        assert self.settings.health_checks_enabled
        assert health_check.endpoint_id not in self.health_checks
        self.check_is_listed(health_check.endpoint_id)
        self.health_checks.append(health_check.endpoint_id)

    def check_requests_without_attempt(self) -> None:
        """Check that a request waits without an attempt only for the load probes before its first one."""
        waiting = [request for request in self.open_requests.values() if not request.in_flight_at]
        may_probe = self.settings.health_checks_enabled and not self.settings.gossip_enabled
        assert not waiting or may_probe, "waits without a probe"
        assert all(request.attempt_count == 0 for request in waiting)

    def requests_in_flight(self) -> list[int]:
        return [request_id for request_id, request in self.open_requests.items() if request.in_flight_at]

    def complete_attempt(self, request_id: int, outcome: AttemptOutcome) -> None:
        request = self.open_requests[request_id]
        assert request.in_flight_at is not None
        if outcome not in OUTCOMES_NEVER_EXECUTED and request.first_execution is None:
            request.first_execution = PossibleExecution(request.in_flight_at, request.attempt_started_at_ns)
        event = attempt_completed(
            request_id,
            request.in_flight_at,
            outcome,
            self.now - request.attempt_started_at_ns,
            attempt_index=request.attempt_count - 1,
            request_finished=outcome == AttemptOutcome.SUCCESS,
        )
        request.in_flight_at = None
        if outcome == AttemptOutcome.SUCCESS:
            del self.open_requests[request_id]
        self.handle(event)

    def detach(
        self, request_id: int, event: ClientDisconnected | StreamStarted, outcome: AttemptOutcome
    ) -> None:
        """Deliver an event after which no final answer is owed, then the end of the attempt."""
        request = self.open_requests.pop(request_id)
        self.handle(event)
        assert request.in_flight_at is not None
        self.handle(attempt_completed(request_id, request.in_flight_at, outcome, 0, request_finished=True))

    def update_endpoints(self, kind: EndpointUpdateKind, entries: list[Endpoint]) -> None:
        for entry in entries:
            before = self.listed.get(entry.id)
            if before is None or entry.health != before.health:
                self.listed[entry.id] = ListedHealth(entry.health, self.now)
            self.entries[entry.id] = entry
        if kind != EndpointUpdateKind.DELTA:
            for missing in set(self.listed) - {entry.id for entry in entries}:
                if self.listed[missing].health != EndpointHealth.REMOVED:
                    self.listed[missing] = ListedHealth(EndpointHealth.REMOVED, self.now)
        self.handle(EndpointUpdate(kind, tuple(entries)))

    def restart_balancer(self) -> None:
        """Kill the balancer and start it anew: all that it held is void."""
        self.open_requests, self.listed, self.health_checks, self.timers = {}, {}, [], []
        self.balancer = Balancer(self.settings, 5)
        self.start(list(self.entries.values()))

    def fire_due_timers(self) -> None:
        """Fire the timers that are due, in one late batch if the sidecar was paused."""
        due = sorted(timer for timer in self.timers if timer.due_at_ns <= self.now)
        self.timers = [timer for timer in self.timers if timer.due_at_ns > self.now]
        for timer in due:
            self.handle(TimerFired(timer.token))

    def time_out_expired_attempts(self) -> None:
        """Time out attempts at the deadline of their request, as no attempt outlasts its client."""
        for request_id, request in list(self.open_requests.items()):
            if request.expires_at_ns > self.now:
                continue
            assert request.in_flight_at, "waited without an attempt until its client left"
            self.complete_attempt(request_id, AttemptOutcome.TIMEOUT)
            assert request_id not in self.open_requests, "no final answer to the time-out at the deadline"


class Step(Protocol):
    """One legal thing that may happen to a sidecar."""

    def apply(self, checker: InvariantChecker) -> None: ...


@dataclass(frozen=True)
class ReceiveRequest:
    class_choice: int
    time_left_ms: int

    def apply(self, checker: InvariantChecker) -> None:
        request_id = checker.next_request_id
        checker.next_request_id += 1
        classes = checker.settings.classes
        class_index = self.class_choice % len(classes)
        expires_at_ns = checker.now + self.time_left_ms * MILLISECOND_NS
        checker.open_requests[request_id] = OpenRequest(class_index, expires_at_ns)
        has_key = classes[class_index].idempotency == Idempotency.IDEMPOTENCY_KEY
        event = request_received(
            request_id,
            expires_at_ns,
            class_index=class_index,
            tenant_index=request_id % 2 if checker.settings.tenants else 0,
            key_hash=request_id if has_key else 0,
            is_retry=request_id % 3 == 0,
        )
        checker.handle(event)


@dataclass(frozen=True)
class CompleteAttempt:
    choice: int
    outcome: AttemptOutcome

    def apply(self, checker: InvariantChecker) -> None:
        if in_flight := checker.requests_in_flight():
            checker.complete_attempt(in_flight[self.choice % len(in_flight)], self.outcome)


@dataclass(frozen=True)
class DisconnectClient:
    choice: int

    def apply(self, checker: InvariantChecker) -> None:
        if in_flight := checker.requests_in_flight():
            request_id = in_flight[self.choice % len(in_flight)]
            checker.detach(request_id, ClientDisconnected(request_id), AttemptOutcome.CANCELLED)


@dataclass(frozen=True)
class StartStream:
    choice: int

    def apply(self, checker: InvariantChecker) -> None:
        if in_flight := checker.requests_in_flight():
            request_id = in_flight[self.choice % len(in_flight)]
            checker.detach(request_id, StreamStarted(request_id), AttemptOutcome.CONNECTION_RESET)


@dataclass(frozen=True)
class CompleteHealthCheck:
    choice: int
    outcome: AttemptOutcome

    def apply(self, checker: InvariantChecker) -> None:
        if checker.health_checks:
            identifier = checker.health_checks.pop(self.choice % len(checker.health_checks))
            checker.handle(HealthCheckCompleted(identifier, self.outcome, MILLISECOND_NS, ()))


@dataclass(frozen=True)
class UpdateEndpoints:
    kind: EndpointUpdateKind
    entries: list[Endpoint]

    def apply(self, checker: InvariantChecker) -> None:
        last_by_id = {entry.id: entry for entry in self.entries}
        checker.update_endpoints(self.kind, list(last_by_id.values()))


@dataclass(frozen=True)
class FailDiscovery:
    def apply(self, checker: InvariantChecker) -> None:
        checker.handle(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))


@dataclass(frozen=True)
class AdvanceClock:
    milliseconds: int

    def apply(self, checker: InvariantChecker) -> None:
        checker.now += self.milliseconds * MILLISECOND_NS


@dataclass(frozen=True)
class FirePeriodicTimer:
    def apply(self, checker: InvariantChecker) -> None:
        checker.handle(TimerFired(0))


@dataclass(frozen=True)
class ReceiveGossip:
    payload: bytes

    def apply(self, checker: InvariantChecker) -> None:
        checker.handle(GossipReceived(1, self.payload))


@dataclass(frozen=True)
class RestartBalancer:
    def apply(self, checker: InvariantChecker) -> None:
        checker.restart_balancer()


@dataclass(frozen=True)
class DeliverStrayEvents:
    """Events that fit nothing the balancer holds."""

    number: int
    outcome: AttemptOutcome

    def apply(self, checker: InvariantChecker) -> None:
        identifier = endpoint_id(self.number)
        checker.handle(attempt_completed(self.number, identifier, self.outcome, MILLISECOND_NS))
        checker.handle(ClientDisconnected(self.number))
        checker.handle(TimerFired(77))


def build_settings(classes: list[RequestClass], **overrides: Any) -> Settings:
    return settings(*classes, **overrides)


def build_endpoint(number: int, health: EndpointHealth, started_at_ns: int) -> Endpoint:
    return endpoint(number, health, zone=number % 2, cell=number % 4, started_at_ns=started_at_ns)


CLASSES = st.builds(
    request_class,
    priority_weight=st.sampled_from([0.0, 1.0, 5.0]),
    idempotency=st.sampled_from(list(Idempotency)),
    deduplication_scope=st.sampled_from(list(DeduplicationScope)),
    deduplication_window_ns=st.sampled_from([50 * MILLISECOND_NS, 5 * SECOND_NS]),
    late_answer_value=st.sampled_from([0.0, 0.5]),
)
SETTINGS = st.builds(
    build_settings,
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
    max_retry_after_ns=st.sampled_from([0, SECOND_NS]),
)
ENDPOINTS = st.builds(
    build_endpoint,
    st.integers(1, 9),
    st.sampled_from(
        [EndpointHealth.READY, EndpointHealth.READY, EndpointHealth.DRAINING, EndpointHealth.REMOVED]
    ),
    st.sampled_from([0, START_NS - SECOND_NS, START_NS + SECOND_NS]),
)
CHOICES = st.integers(0, 9)
OUTCOMES = st.sampled_from(list(AttemptOutcome))
STEPS: st.SearchStrategy[Step] = st.one_of(
    st.builds(ReceiveRequest, st.integers(0, 2), st.sampled_from([0, 300, 2000])),
    st.builds(ReceiveRequest, st.integers(0, 2), st.sampled_from([300, 2000, 4000])),
    st.builds(ReceiveRequest, st.integers(0, 2), st.sampled_from([3000, 4000])),
    st.builds(
        CompleteHealthCheck,
        CHOICES,
        st.sampled_from([AttemptOutcome.SUCCESS, AttemptOutcome.SUCCESS, AttemptOutcome.TIMEOUT]),
    ),
    st.builds(StartStream, CHOICES),
    st.builds(RestartBalancer),
    st.builds(CompleteAttempt, CHOICES, OUTCOMES),
    st.builds(CompleteAttempt, CHOICES, OUTCOMES),
    st.builds(
        UpdateEndpoints,
        st.sampled_from([EndpointUpdateKind.CACHED, EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT]),
        st.lists(ENDPOINTS, max_size=9),
    ),
    st.builds(AdvanceClock, st.sampled_from([5, 60, 400, 1500])),
    st.builds(DisconnectClient, CHOICES),
    st.builds(FirePeriodicTimer),
    st.builds(FailDiscovery),
    st.builds(ReceiveGossip, st.binary(max_size=60)),
    st.builds(DeliverStrayEvents, CHOICES, OUTCOMES),
)


def run_steps(config: Settings, steps: list[Step], seed: int = 3) -> InvariantChecker:
    """Start with eight endpoints in two zones and four cells, then take the steps."""
    checker = InvariantChecker(config, Balancer(config, seed))
    checker.start([build_endpoint(number, EndpointHealth.READY, 0) for number in range(1, 9)])
    for step in steps:
        checker.now += MILLISECOND_NS
        step.apply(checker)
        checker.fire_due_timers()
        checker.time_out_expired_attempts()
        checker.check_requests_without_attempt()
    return checker


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(SETTINGS, st.lists(STEPS, max_size=80))
def test_invariants_hold_on_any_legal_events(config: Settings, steps: list[Step]) -> None:
    run_steps(config, steps)


@hypothesis_settings(max_examples=30, derandomize=True, deadline=None)
@given(SETTINGS, st.lists(STEPS, max_size=40))
def test_same_events_give_the_same_actions(config: Settings, steps: list[Step]) -> None:
    first, second = run_steps(config, steps), run_steps(config, steps)
    assert first.listed == second.listed
    assert first.open_requests == second.open_requests
    assert first.balancer.admission.threshold == second.balancer.admission.threshold
    assert first.balancer.random.random() == second.balancer.random.random()


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECTION_RESET,
    ],
)
def test_every_request_is_answered_while_all_endpoints_fail(outcome: AttemptOutcome) -> None:
    config = settings(
        request_class(),
        request_class(idempotency=Idempotency.NOT_IDEMPOTENT),
        slow_start_duration_ns=0,
        zone_count=2,
    )
    steps: list[Step] = [
        ReceiveRequest(index % 2, 2000) if index % 3 else CompleteAttempt(0, outcome) for index in range(200)
    ]
    checker = run_steps(config, [*steps, AdvanceClock(5000)])
    assert not checker.open_requests
    assert checker.final_answers > 50

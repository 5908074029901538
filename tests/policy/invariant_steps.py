"""The legal events of a sidecar, as steps that Hypothesis draws."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from hypothesis import strategies as st

from balancer.policy_api import (
    AttemptOutcome,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    GossipReceived,
    HealthCheckCompleted,
    Idempotency,
    RequestClass,
    Settings,
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
from tests.policy.invariant_checker import InvariantChecker


class Step(Protocol):
    """A step of a test: delivers legal events to a sidecar or advances the clock."""

    def apply(self, checker: InvariantChecker) -> None: ...


@dataclass(frozen=True)
class ReceiveRequest:
    """Delivers a request of a class."""

    class_choice: int
    time_left_ms: int

    def apply(self, checker: InvariantChecker) -> None:
        request_id = checker.next_request_id()
        classes = checker.settings.classes
        class_index = self.class_choice % len(classes)
        has_key = classes[class_index].idempotency == Idempotency.IDEMPOTENCY_KEY
        event = request_received(
            request_id,
            checker.now_ns + self.time_left_ms * MILLISECOND_NS,
            class_index=class_index,
            tenant_index=request_id % 2 if checker.settings.tenants else 0,
            key_hash=request_id if has_key else 0,
            is_retry=request_id % 3 == 0,
        )
        checker.receive(event)


@dataclass(frozen=True)
class CompleteAttempt:
    """Ends an attempt in flight with an outcome."""

    choice: int
    outcome: AttemptOutcome

    def apply(self, checker: InvariantChecker) -> None:
        if in_flight := checker.requests_in_flight():
            checker.complete_attempt(in_flight[self.choice % len(in_flight)], self.outcome)


@dataclass(frozen=True)
class DisconnectClient:
    """Disconnects the client of a request with an attempt in flight."""

    choice: int

    def apply(self, checker: InvariantChecker) -> None:
        if in_flight := checker.requests_in_flight():
            request_id = in_flight[self.choice % len(in_flight)]
            checker.waive_final_response(request_id, ClientDisconnected(request_id), AttemptOutcome.CANCELLED)


@dataclass(frozen=True)
class StartStream:
    """Starts the stream of a response, and then resets its connection."""

    choice: int

    def apply(self, checker: InvariantChecker) -> None:
        if in_flight := checker.requests_in_flight():
            request_id = in_flight[self.choice % len(in_flight)]
            checker.waive_final_response(
                request_id, StreamStarted(request_id), AttemptOutcome.CONNECTION_RESET
            )


@dataclass(frozen=True)
class CompleteHealthCheck:
    """Completes a pending health check with an outcome."""

    choice: int
    outcome: AttemptOutcome

    def apply(self, checker: InvariantChecker) -> None:
        if checker.health_checks:
            identifier = checker.health_checks.pop(self.choice % len(checker.health_checks))
            checker.handle(HealthCheckCompleted(identifier, self.outcome, MILLISECOND_NS, ()))


@dataclass(frozen=True)
class UpdateEndpoints:
    """Delivers an endpoint list or a delta."""

    kind: EndpointUpdateKind
    entries: list[Endpoint]

    def apply(self, checker: InvariantChecker) -> None:
        last_by_id = {entry.id: entry for entry in self.entries}
        checker.update_endpoints(self.kind, list(last_by_id.values()))


@dataclass(frozen=True)
class FailDiscovery:
    """Reports a failed call to discovery."""

    def apply(self, checker: InvariantChecker) -> None:
        checker.handle(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))


@dataclass(frozen=True)
class AdvanceClock:
    """Advances the clock."""

    milliseconds: int

    def apply(self, checker: InvariantChecker) -> None:
        checker.now_ns += self.milliseconds * MILLISECOND_NS


@dataclass(frozen=True)
class FirePeriodicTimer:
    """Fires the periodic timer of the control cycle, whether or not it is due."""

    def apply(self, checker: InvariantChecker) -> None:
        checker.handle(TimerFired(0))


@dataclass(frozen=True)
class ReceiveGossip:
    """Delivers gossip with arbitrary bytes."""

    payload: bytes

    def apply(self, checker: InvariantChecker) -> None:
        checker.handle(GossipReceived(1, self.payload))


@dataclass(frozen=True)
class RestartBalancer:
    """Restarts the balancer, which loses its state."""

    def apply(self, checker: InvariantChecker) -> None:
        checker.restart_balancer()


@dataclass(frozen=True)
class DeliverStrayEvents:
    """Delivers events for requests and timers that the balancer does not know."""

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

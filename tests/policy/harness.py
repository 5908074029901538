"""The harness of the policy tests: a `Balancer` with a clock that the test advances."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from balancer.policy.balancer import Balancer
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.requests.request_state import RequestState
from balancer.policy_api import (
    Action,
    AttemptOutcome,
    Endpoint,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    HealthCheckCompleted,
    Settings,
    StartAttempt,
    Started,
    TimerFired,
)
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import (
    START_NS,
    attempt_completed,
    endpoint,
    endpoint_id,
    endpoint_number,
    request_received,
)

ActionType = TypeVar("ActionType", bound=Action)


def actions_of(action_type: type[ActionType], actions: Iterable[Action]) -> list[ActionType]:
    """Return the actions of one type, in order."""
    return [action for action in actions if isinstance(action, action_type)]


class BalancerHarness:
    """Drives one `Balancer`: keeps its clock, numbers its requests and completes its attempts."""

    def __init__(self, settings: Settings, endpoint_count: int = 6, seed: int = 1) -> None:
        """Start a balancer with a cached list of the endpoints 1 to `endpoint_count`."""
        self.now_ns = START_NS
        self.balancer = Balancer(settings, seed)
        self.last_request_id = 0
        self.handle(Started())
        self.update_endpoints(*(endpoint(number + 1) for number in range(endpoint_count)))

    def handle(self, event: Event) -> list[Action]:
        """Deliver an event at the current time."""
        return self.balancer.handle(self.now_ns, event)

    def tick(self, seconds: float = 0.5) -> list[Action]:
        """Advance the clock, then fire the balancer's periodic timer."""
        self.now_ns += int(seconds * SECOND_NS)
        return self.handle(TimerFired(0))

    def update_endpoints(
        self, *entries: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.CACHED
    ) -> list[Action]:
        """Deliver an endpoint list."""
        return self.handle(EndpointUpdate(kind, entries))

    def request(
        self,
        class_index: int = 0,
        *,
        time_left_ns: int = 2 * SECOND_NS,
        key_hash: int = 0,
        tenant_index: int = 0,
    ) -> Action:
        """Deliver a request and return the one resulting action: an attempt or a final response."""
        self.last_request_id += 1
        event = request_received(
            self.last_request_id,
            self.now_ns + time_left_ns,
            class_index=class_index,
            tenant_index=tenant_index,
            key_hash=key_hash,
        )
        [action] = self.handle(event)
        return action

    def start_attempt(
        self, class_index: int = 0, *, time_left_ns: int = 2 * SECOND_NS, key_hash: int = 0
    ) -> StartAttempt:
        """Deliver a request and check that an attempt starts for it."""
        action = self.request(class_index, time_left_ns=time_left_ns, key_hash=key_hash)
        assert isinstance(action, StartAttempt), action
        return action

    def complete(
        self,
        attempt: StartAttempt,
        outcome: AttemptOutcome = AttemptOutcome.SUCCESS,
        duration_ns: int = 50 * MILLISECOND_NS,
    ) -> list[Action]:
        """End an attempt; its request is finished if it succeeded."""
        event = attempt_completed(
            attempt.request_id,
            attempt.endpoint_id,
            outcome,
            duration_ns,
            request_finished=outcome == AttemptOutcome.SUCCESS,
        )
        return self.handle(event)

    def serve_request(self, class_index: int = 0, *, key_hash: int = 0) -> int:
        """Deliver a request and let its attempt succeed.

        Returns:
            The number of the endpoint, or 0 if no attempt starts.
        """
        action = self.request(class_index, key_hash=key_hash)
        if not isinstance(action, StartAttempt):
            return 0
        self.complete(action)
        return endpoint_number(action.endpoint_id)

    def serve_requests(self, count: int, class_index: int = 0, *, first_key: int = 0) -> None:
        """Serve several requests, with consecutive keys if a first key is given."""
        for offset in range(count):
            self.serve_request(class_index, key_hash=first_key and first_key + offset)

    def complete_health_check(
        self,
        identifier: EndpointId,
        outcome: AttemptOutcome = AttemptOutcome.SUCCESS,
        duration_ns: int = 2 * MILLISECOND_NS,
    ) -> list[Action]:
        """End a health check."""
        return self.handle(HealthCheckCompleted(identifier, outcome, duration_ns, ()))

    def record_outcome(
        self,
        target: EndpointState,
        outcome: AttemptOutcome,
        duration_ns: int = MILLISECOND_NS,
        *,
        request_finished: bool = False,
        request: RequestState | None = None,
    ) -> None:
        """Record the outcome of an attempt, by default one whose request already had its final response."""
        event = attempt_completed(0, target.id, outcome, duration_ns, request_finished=request_finished)
        self.balancer.outcomes.record(target, event, request, self.now_ns)

    def endpoint(self, number: int) -> EndpointState:
        """Return the state of an endpoint."""
        return self.balancer.membership.endpoints[endpoint_id(number)]

    @property
    def endpoints(self) -> list[EndpointState]:
        """All endpoints that the balancer knows."""
        return list(self.balancer.membership.endpoints.values())

    @property
    def ejected_endpoints(self) -> list[EndpointState]:
        """The endpoints that are ejected now."""
        return [candidate for candidate in self.endpoints if candidate.ejection.is_active(self.now_ns)]

    @property
    def subset(self) -> list[EndpointState]:
        """The current subset of the local zone."""
        return self.balancer.subsets.local.members

    @property
    def threshold(self) -> float:
        """The admission threshold."""
        return self.balancer.admission.threshold

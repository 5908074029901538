"""An independent checker of the invariants that a single sidecar must satisfy for any legal events."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    AttemptOutcome,
    ClientDisconnected,
    Endpoint,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    RejectRequest,
    RequestReceived,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    StreamStarted,
    TimerFired,
)
from tests.builders import START_NS, attempt_completed
from tests.policy.execution_invariants import CheckedRequest, check_client_may_retry, check_retry_is_safe
from tests.policy.listed_endpoints import ListedEndpoints
from tests.policy.request_ledger import RequestLedger

RESTART_SEED = 5
"""Seed of a balancer that is restarted."""


class PendingTimer(NamedTuple):
    """A timer that the balancer has set and that has not fired."""

    due_at_ns: int
    token: int


class InvariantChecker:
    """Acts as the caller of a balancer and checks every action against the invariants."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now_ns = START_NS
        self.entries: dict[EndpointId, Endpoint] = {}
        self.final_response_count = 0
        self._next_request_id = 1000
        self._begin_process()

    def _begin_process(self) -> None:
        """Reset the records of the balancer's state, as a new process has none."""
        self.ledger: RequestLedger[CheckedRequest] = RequestLedger()
        self.listed = ListedEndpoints()
        self.health_checks: list[EndpointId] = []  # those that have not completed
        self._timers: list[PendingTimer] = []

    def start(self, entries: list[Endpoint]) -> None:
        """Start the balancer with a cached endpoint list."""
        self.handle(Started())
        self.update_endpoints(EndpointUpdateKind.CACHED, entries)

    def restart_balancer(self) -> None:
        """Replace the balancer by a new one, which has none of the state of the old one."""
        self._begin_process()
        self.balancer = Balancer(self.settings, RESTART_SEED)
        self.start(list(self.entries.values()))

    def handle(self, event: Event) -> None:
        """Deliver an event and check the resulting actions."""
        for action in self.balancer.handle(self.now_ns, event):
            if isinstance(action, StartAttempt):
                self._check_attempt(action)
            elif isinstance(action, RejectRequest):
                self._check_rejection(action)
            elif isinstance(action, FailRequest):
                self._finish(action.request_id)
            elif isinstance(action, StartHealthCheck):
                self._check_health_check(action)
            elif isinstance(action, SetTimer) and action.token:
                self._check_timer(action)

    # Events from the caller of the balancer.

    def next_request_id(self) -> int:
        """Return an id that no request has yet."""
        request_id = self._next_request_id
        self._next_request_id += 1
        return request_id

    def receive(self, event: RequestReceived) -> None:
        """Deliver a request."""
        self.ledger.receive(event.request_id, CheckedRequest(event.class_index, event.expires_at_ns))
        self.handle(event)

    def requests_in_flight(self) -> list[int]:
        """Return the ids of the requests that have an attempt in flight."""
        return [request_id for request_id, request in self.ledger.requests.items() if request.attempt]

    def complete_attempt(self, request_id: int, outcome: AttemptOutcome) -> None:
        """End the attempt in flight of a request."""
        request = self.ledger.requests[request_id]
        assert request.attempt is not None
        request.record_outcome(request.attempt, outcome)
        self.handle(self.ledger.end_attempt(request_id, outcome, self.now_ns))

    def waive_final_response(
        self, request_id: int, event: ClientDisconnected | StreamStarted, outcome: AttemptOutcome
    ) -> None:
        """Deliver an event after which no final response is needed, then the end of the attempt."""
        request = self.ledger.discard(request_id)
        self.handle(event)
        assert request.attempt is not None
        identifier = request.attempt.endpoint_id
        self.handle(attempt_completed(request_id, identifier, outcome, 0, request_finished=True))

    def update_endpoints(self, kind: EndpointUpdateKind, entries: list[Endpoint]) -> None:
        """Deliver a complete endpoint list or a delta."""
        self.listed.apply(kind, entries, self.now_ns)
        self.entries.update({entry.id: entry for entry in entries})
        self.handle(EndpointUpdate(kind, tuple(entries)))

    def fire_due_timers(self) -> None:
        """Fire the timers that are due; after a pause of the sidecar these may be several at once."""
        due = sorted(timer for timer in self._timers if timer.due_at_ns <= self.now_ns)
        self._timers = [timer for timer in self._timers if timer.due_at_ns > self.now_ns]
        for timer in due:
            self.handle(TimerFired(timer.token))

    def time_out_expired_attempts(self) -> None:
        """Time out attempts at the deadline of their request, when the client gives up."""
        for request_id, request in list(self.ledger.requests.items()):
            if request.expires_at_ns > self.now_ns:
                continue
            assert request.attempt, "the request waited without an attempt until its deadline"
            self.complete_attempt(request_id, AttemptOutcome.TIMEOUT)
            assert request_id not in self.ledger.requests, "no final response at the deadline"

    # The invariants.

    def check_requests_without_attempt(self) -> None:
        """Check that a request waits without an attempt only for the load probes before its first attempt."""
        waiting = [request for request in self.ledger.requests.values() if not request.attempt]
        may_probe = self.settings.health_checks_enabled and not self.settings.gossip_enabled
        assert not waiting or may_probe, "a request waits without an attempt, but load probing is disabled"
        assert all(request.attempt_count == 0 for request in waiting)

    def _check_attempt(self, attempt: StartAttempt) -> None:
        """Check an attempt.

        It must be the only one in flight for its request, within the limit of attempts, at a listed endpoint,
        and safe if the request may have been executed before.
        """
        request = self.ledger.requests[attempt.request_id]
        assert request.attempt is None, "the request has two attempts in flight"
        assert request.attempt_count < self.settings.max_attempts
        self.listed.check_may_be_used(attempt.endpoint_id, self.now_ns)
        if request.first_execution is not None:
            check_retry_is_safe(
                self.settings.classes[request.class_index],
                request.first_execution,
                first=self.entries[request.first_execution.endpoint_id],
                retried=self.entries[attempt.endpoint_id],
                now_ns=self.now_ns,
            )
        self.ledger.start_attempt(attempt, self.now_ns)

    def _check_rejection(self, rejection: RejectRequest) -> None:
        """Check that the client may retry safely, as a rejection promises."""
        request = self._finish(rejection.request_id)
        if request.first_execution is not None:
            check_client_may_retry(self.settings.classes[request.class_index])

    def _finish(self, request_id: int) -> CheckedRequest:
        """Check a final response: it is the only one, and no attempt is in flight."""
        request = self.ledger.finish(request_id)  # raises KeyError for a second final response
        assert request.attempt is None
        self.final_response_count += 1
        return request

    def _check_health_check(self, health_check: StartHealthCheck) -> None:
        """Check that a health check is allowed, the only one of its endpoint, and at a listed endpoint."""
        assert self.settings.health_checks_enabled
        assert health_check.endpoint_id not in self.health_checks
        self.listed.check_may_be_used(health_check.endpoint_id, self.now_ns)
        self.health_checks.append(health_check.endpoint_id)

    def _check_timer(self, timer: SetTimer) -> None:
        assert timer.delay_ns > 0
        self._timers.append(PendingTimer(self.now_ns + timer.delay_ns, timer.token))

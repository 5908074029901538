"""Starts and cancels the attempts of requests, and reports their outcomes to the policy."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    CancelAttempt,
    EndpointId,
    StartAttempt,
)
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.requests.attempt_guard import AttemptGuard, AttemptRefusal
from balancer.sidecar.requests.client_disconnects import ClientDisconnects
from balancer.sidecar.requests.final_answers import FinalResponses
from balancer.sidecar.requests.in_flight_request import InFlightRequest
from balancer.sidecar.requests.interfaces import AttemptEvents
from balancer.sidecar.requests.log_fields import format_endpoint_id
from balancer.sidecar.requests.request_registry import RequestRegistry
from balancer.sidecar.runtime.metrics import Invariant, Metric, Metrics
from balancer.sidecar.upstream.manager import UpstreamManager
from balancer.time_units import SECOND_NS


class AttemptRunner:
    """Carries out the policy's actions on attempts. A request has at most one attempt at a time."""

    def __init__(
        self,
        now_ns: Callable[[], int],
        upstream: UpstreamManager,
        request_registry: RequestRegistry,
        guard: AttemptGuard,
        final_responses: FinalResponses,
        disconnects: ClientDisconnects,
        events: AttemptEvents,
        metrics: Metrics,
    ) -> None:
        self._now_ns = now_ns
        self._upstream = upstream
        self._request_registry = request_registry
        self._guard = guard
        self._final_responses = final_responses
        self._disconnects = disconnects
        self._events = events
        self._metrics = metrics

    # ---- actions of the policy

    def start(self, action: StartAttempt) -> None:
        """Start an attempt, or report at once that it was not sent."""
        request = self._request_registry.in_flight.get(action.request_id)
        now_ns = self._now_ns()
        if request is None or not self._may_start(request, action.endpoint_id, now_ns):
            self._report_not_started(action, request)
            return
        attempt_index = request.attempt_count
        self._record_start(request, action, now_ns)
        on_completed = partial(self._on_completed, request, attempt_index)
        # The connection may be established after the deadline but before the event loop calls the timer, so
        # the attempt checks the time itself before it writes the request.
        start_before_ns = min(
            action.start_before_ns or request.attempt_deadline_ns, request.attempt_deadline_ns
        )
        attempt = self._upstream.create_attempt(
            action.endpoint_id, partial(self._build_payload, request), on_completed, start_before_ns
        )
        if attempt is None:
            self._record_unready_endpoint(action)
            on_completed(AttemptOutcome.CONNECT_FAILED, None)
            return
        request.attempt = attempt
        if request.attempt_deadline_ns < request.expires_at_ns:
            request.attempt_timer.start(action.timeout_ns / SECOND_NS, attempt.expire)
        attempt.start()

    def cancel(self, action: CancelAttempt) -> None:
        """End the attempt, unless it is no longer the current attempt of its request."""
        request = self._request_registry.in_flight.get(action.request_id)
        if request is None or request.attempt is None:
            return
        if request.attempt_count - 1 == action.attempt_index:
            request.attempt.abort(AttemptOutcome.CANCELLED)

    # ---- the deadline of a request

    def continue_in_background(self, request: InFlightRequest) -> None:
        """Let an attempt that was sent continue after the request, until the latency objective at most.

        Until the objective a response is still likely, and with it the connection stays usable. After the
        objective the endpoint cannot keep up, and closing the connection may save it the work.
        """
        if request.attempt is None:
            return
        latency_objective_ns = self._request_registry.class_of(request).latency_objective_ns
        latest_end_ns = request.attempt_started_at_ns + latency_objective_ns
        request.has_background_attempt = True
        request.attempt.continue_in_background(
            (latest_end_ns - self._now_ns()) / SECOND_NS, partial(self._on_background_ended, request)
        )

    def _on_background_ended(self, request: InFlightRequest) -> None:
        request.has_background_attempt = False
        self._request_registry.remove_if_finished(request)

    # ---- the start of an attempt

    def _may_start(self, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int) -> bool:
        """Return whether an attempt may start. Abandons the request if its client has disconnected."""
        refusal = self._guard.refusal(request, endpoint_id, now_ns)
        if refusal is None:
            return True
        if refusal is AttemptRefusal.CLIENT_DISCONNECTED:
            self._disconnects.on_client_disconnected(request.request_id)
        self._guard.record_refusal(refusal, request, endpoint_id, now_ns)
        return False

    def _record_start(self, request: InFlightRequest, action: StartAttempt, now_ns: int) -> None:
        request.attempt_count += 1
        request.attempt_started_at_ns = now_ns
        request.attempt_deadline_ns = request.expires_at_ns
        if action.timeout_ns:
            request.attempt_deadline_ns = min(request.expires_at_ns, now_ns + action.timeout_ns)
        request.endpoint_id = action.endpoint_id
        request.attempt_group = self._guard.group_of(action.endpoint_id)

    def _record_unready_endpoint(self, action: StartAttempt) -> None:
        """Record a violation, unless the policy has not seen a pending update that explains its choice."""
        if not self._events.has_pending_endpoint_update():
            detail = f"request={action.request_id} endpoint={format_endpoint_id(action.endpoint_id)}"
            self._metrics.record_violation(Invariant.ENDPOINT_READY, detail)

    def _report_not_started(self, action: StartAttempt, request: InFlightRequest | None) -> None:
        self._events.dispatch(
            AttemptCompleted(
                request_id=action.request_id,
                attempt_index=request.attempt_count if request is not None else 0,
                endpoint_id=action.endpoint_id,
                outcome=AttemptOutcome.NOT_SENT,
                duration_ns=0,
                request_finished=request is None or request.answered,
                load_report=(),
            )
        )

    def _build_payload(self, request: InFlightRequest) -> bytes:
        """Return the message of the current attempt, just before it is written to its connection."""
        # The client may have disconnected while the connection was being established. Aborting the attempt
        # closes the connection, so no byte of the returned message is sent.
        if request.is_abandoned():
            self._disconnects.on_client_disconnected(request.request_id)
        if request.attempt is not None and (request.answered or request.may_be_abandoned()):
            request.attempt.abort(AttemptOutcome.NOT_SENT)
        return request.encode(self._now_ns())

    # ---- the end of an attempt

    def _on_completed(
        self,
        request: InFlightRequest,
        attempt_index: int,
        outcome: AttemptOutcome,
        response: HttpResponse | None,
    ) -> None:
        request.record_outcome(outcome)
        self._metrics.count(Metric.ATTEMPTS, outcome.name.lower())
        if outcome == AttemptOutcome.SUCCESS and response is not None:
            self._final_responses.serve(request, response)
        now_ns = self._now_ns()
        self._request_registry.remove_if_finished(request)
        self._events.dispatch(
            AttemptCompleted(
                request_id=request.request_id,
                attempt_index=attempt_index,
                endpoint_id=request.endpoint_id,
                outcome=outcome,
                duration_ns=now_ns - request.attempt_started_at_ns,
                request_finished=request.answered,
                load_report=self._upstream.parse_load_report(response),
            )
        )

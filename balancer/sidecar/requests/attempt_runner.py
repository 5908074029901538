"""Runs the attempts of requests at endpoints: starts, cancels and ends them, and reports how they ended."""

from __future__ import annotations

import logging
from functools import partial
from typing import Protocol

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    CancelAttempt,
    EndpointId,
    RequestClass,
    Settings,
    StartAttempt,
)
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.requests.attempt_guard import AttemptGuard
from balancer.sidecar.requests.ledger import InFlightRequest, RequestLedger
from balancer.sidecar.runtime.metrics import Invariant, Metric, Metrics
from balancer.sidecar.upstream.manager import UpstreamManager
from balancer.time_units import SECOND_NS

log = logging.getLogger(__name__)


class AttemptOwner(Protocol):
    """What the runner needs of the dispatcher."""

    def now_ns(self) -> int:
        """Return the time of the sidecar's clock."""

    def dispatch(self, event: AttemptCompleted, /) -> None:
        """Tell the policy how an attempt has ended."""

    def detect_client_disconnect(self, request: InFlightRequest, /) -> None:
        """Ask whether the client has left, and give the request up if it has."""

    def has_pending_endpoint_update(self) -> bool:
        """Whether the policy has yet to be told of an endpoint update that has come."""


class AttemptRunner:
    """Carries out what the policy decides on attempts. A request has one attempt at a time."""

    def __init__(
        self,
        settings: Settings,
        owner: AttemptOwner,
        upstream: UpstreamManager,
        ledger: RequestLedger,
        guard: AttemptGuard,
        metrics: Metrics,
    ) -> None:
        self._classes = settings.classes
        self._owner = owner
        self._upstream = upstream
        self._ledger = ledger
        self._guard = guard
        self._metrics = metrics

    # ---- actions of the policy

    def start(self, action: StartAttempt) -> None:
        """Start an attempt, or report at once that it has not started."""
        request = self._ledger.in_flight.get(action.request_id)
        now_ns = self._owner.now_ns()
        if request is None or not self._may_start(request, action.endpoint_id, now_ns):
            self._report_not_started(action, request)
            return
        attempt_index = request.attempt_count
        self._record_start(request, action, now_ns)
        on_completed = partial(self._on_completed, request, attempt_index)
        # The connection may be established after this time and before the loop has called the timer.
        start_before_ns = min(
            action.start_before_ns or request.attempt_deadline_ns, request.attempt_deadline_ns
        )
        attempt = self._upstream.create_attempt(
            action.endpoint_id, partial(self._build_payload, request), on_completed, start_before_ns
        )
        if attempt is None:
            self._check_policy_may_not_know(action)
            on_completed(AttemptOutcome.CONNECT_FAILED, None)
            return
        request.attempt = attempt
        if request.attempt_deadline_ns < request.expires_at_ns:
            request.attempt_timer.start(action.timeout_ns / SECOND_NS, attempt.expire)
        attempt.start()

    def cancel(self, action: CancelAttempt) -> None:
        """End the attempt, if it is the current one of its request."""
        request = self._ledger.in_flight.get(action.request_id)
        if request is None or request.attempt is None:
            return
        if request.attempt_count - 1 == action.attempt_index:
            request.attempt.abort(AttemptOutcome.CANCELLED)

    # ---- the end of a request

    def continue_in_background(self, request: InFlightRequest) -> None:
        """Let an attempt that was sent end by itself, but no later than at the latency objective.

        Up to the objective an answer is still likely, and keeps the connection. After it the endpoint is
        behind, and closing the connection may spare it the work.
        """
        if request.attempt is None:
            return
        latest_end_ns = request.attempt_started_at_ns + self._class_of(request).latency_objective_ns
        request.has_background_attempt = True
        request.attempt.continue_in_background(
            (latest_end_ns - self._owner.now_ns()) / SECOND_NS, partial(self._on_background_ended, request)
        )

    def _on_background_ended(self, request: InFlightRequest) -> None:
        request.has_background_attempt = False
        self._ledger.forget_if_finished(request, self._owner.now_ns())

    # ---- the start of an attempt

    def _may_start(self, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int) -> bool:
        refusal = self._guard.refusal(request, endpoint_id, now_ns, self._owner.detect_client_disconnect)
        if refusal is None:
            return True
        self._metrics.count(Metric.ATTEMPTS_REFUSED, refusal)
        log.debug("attempt of request %d refused: %s", request.request_id, refusal)
        return False

    def _record_start(self, request: InFlightRequest, action: StartAttempt, now_ns: int) -> None:
        request.attempt_count += 1
        request.attempt_started_at_ns = now_ns
        request.attempt_deadline_ns = request.expires_at_ns
        if action.timeout_ns:
            request.attempt_deadline_ns = min(request.expires_at_ns, now_ns + action.timeout_ns)
        request.endpoint_id = action.endpoint_id
        request.attempt_group = self._guard.group_of(action.endpoint_id)

    def _check_policy_may_not_know(self, action: StartAttempt) -> None:
        """Check that the policy was not told yet that the endpoint it chose takes nothing new."""
        if not self._owner.has_pending_endpoint_update():
            detail = f"request {action.request_id}, endpoint {action.endpoint_id.hex()}"
            self._metrics.record_violation(Invariant.ENDPOINT_READY, detail)

    def _report_not_started(self, action: StartAttempt, request: InFlightRequest | None) -> None:
        self._owner.dispatch(
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
        """Return the message of the current attempt, which is about to be written to its connection."""
        # The client may have left while the connection was established: the attempt ends before any byte.
        self._owner.detect_client_disconnect(request)
        if request.answered and request.attempt is not None:
            request.attempt.abort(AttemptOutcome.NOT_SENT)
        return request.encode(self._owner.now_ns())

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
            self._send_response(request, response)
        now_ns = self._owner.now_ns()
        self._ledger.forget_if_finished(request, now_ns)
        self._owner.dispatch(
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

    def _send_response(self, request: InFlightRequest, response: HttpResponse) -> None:
        if self._ledger.mark_answered(request.request_id) is not None:
            self._metrics.count(Metric.RESPONSES, "served")
            request.response_sink.send_response(response)

    def _class_of(self, request: InFlightRequest) -> RequestClass:
        return self._classes[request.client_request.class_index]

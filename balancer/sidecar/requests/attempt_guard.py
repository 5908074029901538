"""Checks whether an attempt may start and whether a request may be rejected.

The policy decides from the events that it has seen. Only the guard can overrule it: the guard checks each
decision against the rules of the protocol and against what the sidecar has already done for the request. A
forbidden decision that only a bug in the policy can explain is counted as a violation of an invariant.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from enum import StrEnum

from balancer.policy_api import (
    Endpoint,
    EndpointHealth,
    EndpointId,
    Idempotency,
    RequestClass,
    Settings,
)
from balancer.sidecar.requests.in_flight_request import InFlightRequest
from balancer.sidecar.requests.log_fields import NONE, format_endpoint_id
from balancer.sidecar.requests.retry_safety import EndpointGroup, is_safe_to_retry
from balancer.sidecar.runtime.metrics import Invariant, Metric, Metrics
from balancer.time_units import MILLISECOND_NS

MAX_START_DELAY_NS = 150 * MILLISECOND_NS
"""How long after the deduplication window the guard may see a retry without counting a violation.

The process may be delayed between the policy's decision and its execution, so a retry that the policy decided
within the window may be too late when it starts. The guard refuses it in either case.
"""

log = logging.getLogger(__name__)


class AttemptRefusal(StrEnum):
    """Why an attempt may not start."""

    ANSWERED = "answered"
    """The request has its final response, or its client has disconnected."""
    IN_FLIGHT = "in_flight"
    """Another attempt of the request has not ended."""
    EXPIRED = "expired"
    """The deadline of the request has passed."""
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    """The request has had as many attempts as the settings allow."""
    RETRY_FORBIDDEN = "repeat_forbidden"
    """The request may have been executed, and the endpoint might execute it again."""
    CLIENT_DISCONNECTED = "client_left"
    """The client has disconnected, and no event has reported it yet."""
    CLIENT_UNCERTAIN = "client_uncertain"
    """So many bytes of the client are unread that it may have left; the request gets its final response."""


class AttemptGuard:
    """Checks each attempt before it starts, and each rejection before it is sent.

    `refusal` and `may_reject` only check and change no state. The caller reports what they forbid with
    `record_refusal` and `record_unsafe_rejection`.
    """

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self._classes = settings.classes
        self._max_attempts = settings.max_attempts
        self._metrics = metrics
        self._groups: dict[EndpointId, EndpointGroup] = {}

    # ---- endpoints

    def update_endpoints(self, endpoints: Iterable[Endpoint], is_snapshot: bool) -> None:
        """Store the deduplication groups of the listed endpoints, and discard those of removed ones."""
        if is_snapshot:
            self._groups.clear()
        for endpoint in endpoints:
            if endpoint.health == EndpointHealth.REMOVED:
                self._groups.pop(endpoint.id, None)
            else:
                self._groups[endpoint.id] = EndpointGroup(endpoint.zone, endpoint.cell)

    def group_of(self, endpoint_id: EndpointId) -> EndpointGroup | None:
        """Return the deduplication group of an endpoint, or None if the endpoint is not listed."""
        return self._groups.get(endpoint_id)

    # ---- attempts

    def refusal(
        self, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int
    ) -> AttemptRefusal | None:
        """Return why an attempt at an endpoint may not start now, or None if it may."""
        if request.answered:
            return AttemptRefusal.ANSWERED
        if now_ns >= request.expires_at_ns:
            # The policy may not know of the expiry: the event loop may call the deadline timer early, and a
            # shutdown brings the expiry forward.
            return AttemptRefusal.EXPIRED
        if request.attempt is not None or request.has_background_attempt:
            return AttemptRefusal.IN_FLIGHT
        if request.attempt_count >= self._max_attempts:
            return AttemptRefusal.ATTEMPTS_EXHAUSTED
        if not self._is_retry_allowed(request, endpoint_id, now_ns):
            return AttemptRefusal.RETRY_FORBIDDEN
        # This check is the last one because it costs a system call.
        return _refusal_for_client(request)

    def record_refusal(
        self, refusal: AttemptRefusal, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int
    ) -> None:
        """Count and log a refused attempt, and record a violation if it shows a bug in the policy."""
        self._metrics.count(Metric.ATTEMPTS_REFUSED, refusal)
        log.debug(
            "attempt_refused request=%d endpoint=%s reason=%s",
            request.request_id,
            format_endpoint_id(endpoint_id),
            refusal,
        )
        if refusal is AttemptRefusal.IN_FLIGHT:
            self._record_second_attempt(request, endpoint_id)
        elif refusal is AttemptRefusal.RETRY_FORBIDDEN:
            self._record_forbidden_retry(request, endpoint_id, now_ns)

    def _is_retry_allowed(self, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int) -> bool:
        """Return whether this endpoint may get the request, given where it may have been executed already."""
        if not request.may_have_run:
            return True
        request_class = self._class_of(request)
        if request_class.idempotency == Idempotency.IDEMPOTENT:
            return True
        if now_ns >= _deduplication_end_ns(request, request_class):
            return False
        return self._is_deduplicated(request, request_class, endpoint_id)

    def _is_deduplicated(
        self, request: InFlightRequest, request_class: RequestClass, endpoint_id: EndpointId
    ) -> bool:
        """Return whether this endpoint would recognize the request as a duplicate, ignoring the window."""
        return is_safe_to_retry(request_class, request.executing_group, self.group_of(endpoint_id))

    def _record_second_attempt(self, request: InFlightRequest, endpoint_id: EndpointId) -> None:
        detail = f"request={request.request_id} endpoint={format_endpoint_id(endpoint_id)}"
        self._metrics.record_violation(Invariant.ONE_ATTEMPT, detail)

    def _record_forbidden_retry(self, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int) -> None:
        """Record a violation, unless the retry missed its window by less than `MAX_START_DELAY_NS`.

        An endpoint that is not listed may have been removed by an update that the policy has not seen yet, so
        its group does not show a defect of the policy.
        """
        request_class = self._class_of(request)
        window_end_ns = _deduplication_end_ns(request, request_class)
        may_be_deduplicated = self._is_deduplicated(request, request_class, endpoint_id) or (
            request_class.idempotency == Idempotency.IDEMPOTENCY_KEY and self.group_of(endpoint_id) is None
        )
        if may_be_deduplicated and now_ns < window_end_ns + MAX_START_DELAY_NS:
            return
        detail = (
            f"request={request.request_id} endpoint={format_endpoint_id(endpoint_id)} "
            f"class={request_class.name} group={self.group_of(endpoint_id) or NONE} "
            f"executing_group={request.executing_group or NONE} "
            f"after_window_ms={(now_ns - window_end_ns) / MILLISECOND_NS:+.1f}"
        )
        self._metrics.record_violation(Invariant.RETRY_ALLOWED, detail)

    # ---- rejections

    def may_reject(self, request: InFlightRequest) -> bool:
        """Return whether the client may safely retry this request; its retry may reach any endpoint."""
        if not request.may_have_run:
            return True
        return is_safe_to_retry(self._class_of(request), request.executing_group, None)

    def record_unsafe_rejection(self, request: InFlightRequest) -> None:
        """Record the violation of a rejection that `may_reject` forbids."""
        detail = f"request={request.request_id} last_endpoint={format_endpoint_id(request.endpoint_id)}"
        self._metrics.record_violation(Invariant.REJECTION_SAFE, detail)

    def _class_of(self, request: InFlightRequest) -> RequestClass:
        return self._classes[request.client_request.class_index]


def _refusal_for_client(request: InFlightRequest) -> AttemptRefusal | None:
    """Return why an attempt may not start if its client has disconnected, or may have."""
    if request.is_abandoned():
        return AttemptRefusal.CLIENT_DISCONNECTED
    if request.may_be_abandoned():
        return AttemptRefusal.CLIENT_UNCERTAIN
    return None


def _deduplication_end_ns(request: InFlightRequest, request_class: RequestClass) -> int:
    """Return the time until which endpoints drop duplicates of a request that may have been executed."""
    return request.executed_at_ns + request_class.deduplication_window_ns

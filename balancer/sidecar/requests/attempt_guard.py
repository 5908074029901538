"""The one place that says whether an attempt may start, and whether a request may be rejected.

The policy decides by what it knows; this guard holds the rules of the protocol against what the sidecar has
done, whatever the policy says. What only a fault of the policy can bring about is counted as a violation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum

from balancer.policy_api import DeduplicationScope, Endpoint, EndpointId, Idempotency, Settings
from balancer.sidecar.requests.ledger import EndpointGroup, InFlightRequest
from balancer.sidecar.runtime.metrics import Invariant, Metrics
from balancer.time_units import MILLISECOND_NS

HELD_UP_NS = 150 * MILLISECOND_NS
"""The process may be held up for this long between a decision and what carries it out."""


class AttemptRefusal(StrEnum):
    """Why an attempt may not start."""

    ANSWERED = "answered"
    IN_FLIGHT = "in_flight"
    EXPIRED = "expired"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    REPEAT_FORBIDDEN = "repeat_forbidden"
    CLIENT_LEFT = "client_left"


class AttemptGuard:
    """Checks each attempt before it starts, and each rejection before it is sent."""

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self._classes = settings.classes
        self._max_attempts = settings.max_attempts
        self._metrics = metrics
        self._groups: dict[EndpointId, EndpointGroup] = {}

    def update_endpoints(self, endpoints: Iterable[Endpoint], is_snapshot: bool) -> None:
        """Take an endpoint update: where the endpoints are."""
        if is_snapshot:
            self._groups.clear()
        self._groups.update(
            (endpoint.id, EndpointGroup(endpoint.zone, endpoint.cell)) for endpoint in endpoints
        )

    def group_of(self, endpoint_id: EndpointId) -> EndpointGroup | None:
        """Return the group of an endpoint, if it is listed."""
        return self._groups.get(endpoint_id)

    def refusal(
        self,
        request: InFlightRequest,
        endpoint_id: EndpointId,
        now_ns: int,
        detect_disconnect: Callable[[InFlightRequest], None],
    ) -> AttemptRefusal | None:
        """Return why an attempt may not start now, or None if it may.

        Args:
            request: the request.
            endpoint_id: where the attempt would go.
            now_ns: the time of the sidecar's clock.
            detect_disconnect: marks the request as answered if its client has left; it is called last, as it
                asks the socket.
        """
        if request.answered:
            return AttemptRefusal.ANSWERED
        if now_ns >= request.expires_at_ns:
            # The policy may not know it: timers are early at times, and a shutdown brings expiry forward.
            return AttemptRefusal.EXPIRED
        if request.attempt is not None or request.has_background_attempt:
            self._metrics.record_violation(Invariant.ONE_ATTEMPT, f"request {request.request_id}")
            return AttemptRefusal.IN_FLIGHT
        if request.attempt_count >= self._max_attempts:
            return AttemptRefusal.ATTEMPTS_EXHAUSTED
        if not self._may_repeat(request, endpoint_id, now_ns):
            return AttemptRefusal.REPEAT_FORBIDDEN
        detect_disconnect(request)
        return AttemptRefusal.CLIENT_LEFT if request.answered else None

    def may_reject(self, request: InFlightRequest) -> bool:
        """Return whether a client's retry of this request does no harm; a violation is counted if it does."""
        request_class = self._classes[request.client_request.class_index]
        is_harmless = (
            not request.may_have_run
            or request_class.idempotency == Idempotency.IDEMPOTENT
            or (
                request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
                and request_class.deduplication_scope == DeduplicationScope.ALL
            )
        )
        if not is_harmless:
            self._metrics.record_violation(Invariant.REJECTION_HARMLESS, f"request {request.request_id}")
        return is_harmless

    def _may_repeat(self, request: InFlightRequest, endpoint_id: EndpointId, now_ns: int) -> bool:
        """Whether what may have been executed may be sent to this endpoint, too."""
        request_class = self._classes[request.client_request.class_index]
        if not request.may_have_run or request_class.idempotency == Idempotency.IDEMPOTENT:
            return True
        window_end_ns = request.executed_at_ns + request_class.deduplication_window_ns
        is_dropped = request_class.idempotency == Idempotency.IDEMPOTENCY_KEY and self._drops_repeats(
            request, endpoint_id, request_class.deduplication_scope
        )
        if not is_dropped or now_ns >= window_end_ns + HELD_UP_NS:
            detail = (
                f"request {request.request_id} of class {request_class.name}, endpoint {endpoint_id.hex()}, "
                f"group {self._groups.get(endpoint_id)} after {request.executing_group}, "
                f"{(now_ns - window_end_ns) / MILLISECOND_NS:+.1f} ms from the end of its window"
            )
            self._metrics.record_violation(Invariant.REPEAT_ALLOWED, detail)
        return is_dropped and now_ns < window_end_ns

    def _drops_repeats(
        self, request: InFlightRequest, endpoint_id: EndpointId, scope: DeduplicationScope
    ) -> bool:
        """Whether this endpoint drops repeats of what was perhaps executed before."""
        if scope == DeduplicationScope.ALL:
            return True
        first, second = request.executing_group, self._groups.get(endpoint_id)
        if first is None or second is None:
            return False
        return first.zone == second.zone and (scope == DeduplicationScope.ZONE or first.cell == second.cell)

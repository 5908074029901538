"""Sends the final response to each request.

The module keeps its name because its log lines carry it, as the name of their logger.
"""

from __future__ import annotations

import logging
from enum import StrEnum

from balancer.policy_api import AttemptOutcome, FailRequest, RejectRequest
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.requests.attempt_guard import AttemptGuard
from balancer.sidecar.requests.in_flight_request import InFlightRequest
from balancer.sidecar.requests.log_fields import NONE, format_endpoint_id
from balancer.sidecar.requests.request_registry import RequestRegistry
from balancer.sidecar.runtime.metrics import Metric, Metrics

log = logging.getLogger(__name__)


class FinalResponseKind(StrEnum):
    """The kinds of final responses."""

    SERVED = "served"
    """An endpoint's successful response."""
    REJECTED = "rejected"
    """The client may safely retry the request."""
    FAILED = "failed"
    """The request may have been executed."""


class FinalResponses:
    """Sends one final response to each request, and drops any further one."""

    def __init__(self, request_registry: RequestRegistry, guard: AttemptGuard, metrics: Metrics) -> None:
        self._request_registry = request_registry
        self._guard = guard
        self._metrics = metrics

    def serve(self, request: InFlightRequest, response: HttpResponse) -> None:
        """Send an endpoint's successful response. The caller removes the finished request afterwards."""
        if self._request_registry.mark_answered(request.request_id) is not None:
            self._metrics.count(Metric.RESPONSES, FinalResponseKind.SERVED)
            request.response_sink.send_response(response)

    def reject(self, action: RejectRequest) -> None:
        """Reject a request, or fail it if the client could not safely retry it."""
        request = self._request_registry.mark_answered(action.request_id)
        if request is None:
            return
        if self._guard.may_reject(request):
            self._record(request, FinalResponseKind.REJECTED)
            request.response_sink.reject(action.retry_after_ns)
            self._request_registry.remove_if_finished(request)
        else:
            self._guard.record_unsafe_rejection(request)
            self._send_failure(request)

    def fail(self, action: FailRequest) -> None:
        """Respond that a request failed and may have been executed."""
        request = self._request_registry.mark_answered(action.request_id)
        if request is not None:
            self._send_failure(request)

    def _send_failure(self, request: InFlightRequest) -> None:
        self._record(request, FinalResponseKind.FAILED)
        request.response_sink.fail(request.last_outcome == AttemptOutcome.TIMEOUT)
        self._request_registry.remove_if_finished(request)

    def _record(self, request: InFlightRequest, kind: FinalResponseKind) -> None:
        """Count a response that the sidecar itself generated, and log the facts behind it."""
        self._metrics.count(Metric.RESPONSES, kind)
        log.debug(
            "request_answered request=%d answer=%s client_request_id=%r attempts=%d last_endpoint=%s"
            " last_outcome=%s may_have_run=%s",
            request.request_id,
            kind,
            request.client_request.client_request_id,
            request.attempt_count,
            format_endpoint_id(request.endpoint_id),
            request.last_outcome.name if request.last_outcome is not None else NONE,
            request.may_have_run,
        )

"""A health check of an endpoint, with its timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TypeAlias

from balancer.policy_api import AttemptOutcome, EndpointId, HealthCheckCompleted
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.attempt import Attempt

HEALTH_CHECK_TIMEOUT_SECONDS = 0.5
"""The time after which a health check without a response has failed."""

LoadReportParser: TypeAlias = Callable[[HttpResponse | None], tuple[float, ...]]
"""Returns the load report of a response; () if there is none."""


def build_health_check_request(requests_load_report: bool) -> bytes:
    """Return the HTTP request of a health check.

    Args:
        requests_load_report: Whether the endpoints provide load reports, so that the check requests one.
    """
    path = "/metrics/load" if requests_load_report else "/alive"
    return f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode()


class HealthCheck:
    """Runs one attempt for at most `HEALTH_CHECK_TIMEOUT_SECONDS`, and converts its outcome to an event.

    The creator calls `run` once, with an attempt whose completion callback is `on_attempt_completed`.

    Args:
        endpoint_id: The endpoint to check.
        loop: The event loop.
        now_ns: Returns the time of the sidecar's clock. The duration counts from the creation of this object.
        parse_load_report: Returns the load report of a response.
        on_ended: Is called exactly once, with this health check and its event.
    """

    def __init__(
        self,
        endpoint_id: EndpointId,
        loop: asyncio.AbstractEventLoop,
        now_ns: Callable[[], int],
        parse_load_report: LoadReportParser,
        on_ended: Callable[[HealthCheck, HealthCheckCompleted], None],
    ) -> None:
        self._endpoint_id = endpoint_id
        self._now_ns = now_ns
        self._parse_load_report = parse_load_report
        self._on_ended = on_ended
        self._timeout = OneShotTimer(loop)
        self._started_at_ns = now_ns()

    def run(self, attempt: Attempt) -> None:
        """Start the attempt and the timeout."""
        self._timeout.start(HEALTH_CHECK_TIMEOUT_SECONDS, partial(attempt.abort, AttemptOutcome.TIMEOUT))
        attempt.start()

    def on_attempt_completed(self, outcome: AttemptOutcome, response: HttpResponse | None) -> None:
        """Report the result. A response with status 503 counts as rejected, whatever its headers are."""
        self._timeout.cancel()
        if response is not None and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            outcome = AttemptOutcome.REJECTED
        load_report = self._parse_load_report(response)
        duration_ns = self._now_ns() - self._started_at_ns
        self._on_ended(self, HealthCheckCompleted(self._endpoint_id, outcome, duration_ns, load_report))

"""The deadline of each request, and the common deadline that a shutdown of the sidecar sets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from balancer.policy_api import ClientDisconnected, FailRequest
from balancer.sidecar.requests.attempt_runner import AttemptRunner
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.final_answers import FinalResponses
from balancer.sidecar.requests.in_flight_request import InFlightRequest
from balancer.sidecar.requests.log_fields import format_endpoint_id
from balancer.sidecar.requests.request_registry import RequestRegistry
from balancer.sidecar.runtime.metrics import Invariant, Metrics
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.time_units import MILLISECOND_NS, SECOND_NS

MAX_DEADLINE_MARGIN_NS = 10 * MILLISECOND_NS
"""How long before the client's timeout a request expires.

The margin covers delays of the event loop and the transfer of the response to the client.
"""

MAX_DEADLINE_MARGIN_SHARE = 0.1
"""The largest fraction of the client's timeout that the margin takes.

Without this limit, the margin would leave little of a short timeout for the request itself.
"""


class RequestDeadlines:
    """Ends each request at its deadline, so that every client gets a response."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now_ns: Callable[[], int],
        request_registry: RequestRegistry,
        attempts: AttemptRunner,
        final_responses: FinalResponses,
        events: EventQueue,
        metrics: Metrics,
    ) -> None:
        self._now_ns = now_ns
        self._request_registry = request_registry
        self._attempts = attempts
        self._final_responses = final_responses
        self._events = events
        self._metrics = metrics
        self._shutdown_deadline_ns: int | None = None
        self._shutdown_timer = OneShotTimer(loop)

    def expires_at_ns(self, client_timeout_ns: int, now_ns: int) -> int:
        """Return the time at which a request expires whose client waits for this time from now."""
        largest_margin_ns = int(client_timeout_ns * MAX_DEADLINE_MARGIN_SHARE)
        margin_ns = max(0, min(MAX_DEADLINE_MARGIN_NS, largest_margin_ns))
        deadline_ns = now_ns + client_timeout_ns - margin_ns
        if self._shutdown_deadline_ns is None:
            return deadline_ns
        return min(deadline_ns, self._shutdown_deadline_ns)

    def start(self, request: InFlightRequest, now_ns: int) -> None:
        """Start the deadline timer of a new request."""
        delay_seconds = max(0, request.expires_at_ns - now_ns) / SECOND_NS
        request.deadline_timer.start(delay_seconds, partial(self._on_deadline, request))

    def expire_all_within(self, seconds: float) -> None:
        """End every request within this time, also those still to come, because the process ends then."""
        self._shutdown_deadline_ns = self._now_ns() + int(seconds * SECOND_NS)
        for request in self._request_registry.in_flight.values():
            request.expires_at_ns = min(request.expires_at_ns, self._shutdown_deadline_ns)
        self._shutdown_timer.start(seconds, self._expire_unanswered_requests)

    def _expire_unanswered_requests(self) -> None:
        for request in list(self._request_registry.in_flight.values()):
            if not request.answered:
                request.deadline_timer.cancel()
                self._on_deadline(request)

    def _on_deadline(self, request: InFlightRequest) -> None:
        # The event loop rounds its timers to milliseconds and may call this early. The request expires now in
        # any case; otherwise another attempt could start beside the one that continues in the background.
        request.expires_at_ns = min(request.expires_at_ns, self._now_ns())
        self._attempts.continue_in_background(request)
        if not request.answered:
            self._fail_unanswered(request)

    def _fail_unanswered(self, request: InFlightRequest) -> None:
        """Fail a request that the policy should have answered at the deadline, and record a violation.

        The client gets a response whatever the reason for the policy's failure is.
        """
        detail = (
            f"request={request.request_id} last_endpoint={format_endpoint_id(request.endpoint_id)} "
            f"attempts={request.attempt_count}"
        )
        self._metrics.record_violation(Invariant.RESPONSE_BY_DEADLINE, detail)
        self._final_responses.fail(FailRequest(request.request_id))
        self._events.dispatch(ClientDisconnected(request.request_id))

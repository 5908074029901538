"""The requests in flight, and the ids of executed requests that a client must not send again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.policy_api import Idempotency, RequestClass, Settings
from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.requests.in_flight_request import InFlightRequest
from balancer.sidecar.runtime.timers import OneShotTimer


class RequestRegistry:
    """Stores each request until it is finished, and detects duplicate requests.

    A client that loses its connection before the response arrives may retry the request under the same id.
    The retry must not be sent to an endpoint while the first request is in flight, nor if the first one may
    have been executed and is not idempotent. The registry stores the ids of executed requests for the longest
    client timeout of any class, as every client has given up by then.

    Args:
        settings: The settings of the sidecar.
        loop: The event loop of the requests' timers.
        now_ns: The sidecar's clock.
        buffer_budget: The limit on the memory of all requests.
    """

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        now_ns: Callable[[], int],
        buffer_budget: BufferBudget,
    ) -> None:
        self._buffer_budget = buffer_budget
        self._classes = settings.classes
        self._loop = loop
        self._now_ns = now_ns
        self._longest_client_timeout_ns = max(
            request_class.client_timeout_ns for request_class in settings.classes
        )
        self._last_request_id = 0
        self._client_ids_in_flight: set[bytes] = set()
        self.in_flight: dict[int, InFlightRequest] = {}
        """Every request that is not finished, by its request id."""
        self.executed_ids_expire_at_ns: dict[bytes, int] = {}
        """The ids of requests that must not be executed again, and when each expires; oldest first."""

    def add(
        self, response_sink: ResponseSink, client_request: ClientRequest, expires_at_ns: int
    ) -> InFlightRequest | None:
        """Add a request under the next request id. Returns None if there is no memory for it."""
        if not self._buffer_budget.reserve(client_request.memory_bytes):
            return None
        self._last_request_id += 1
        request = InFlightRequest(
            self._last_request_id,
            response_sink,
            client_request,
            expires_at_ns,
            deadline_timer=OneShotTimer(self._loop),
            attempt_timer=OneShotTimer(self._loop),
        )
        self.in_flight[request.request_id] = request
        self._client_ids_in_flight.add(client_request.client_request_id)
        return request

    def class_of(self, request: InFlightRequest) -> RequestClass:
        """Return the class of a request."""
        return self._classes[request.client_request.class_index]

    def mark_answered(self, request_id: int) -> InFlightRequest | None:
        """Mark a request as answered and return it; None if no response is pending.

        The caller then sends the final response, or reports that the client has disconnected.
        """
        request = self.in_flight.get(request_id)
        if request is None or request.answered:
            return None
        request.answered = True
        return request

    def remove_if_finished(self, request: InFlightRequest) -> None:
        """Remove a finished request, and store its id if the client must not retry it."""
        if not request.is_finished:
            return
        request.deadline_timer.cancel()
        if self.in_flight.pop(request.request_id, None) is None:
            return
        self._buffer_budget.release(request.client_request.memory_bytes)
        client_request_id = request.client_request.client_request_id
        self._client_ids_in_flight.discard(client_request_id)
        if request.may_have_run and self.class_of(request).idempotency != Idempotency.IDEMPOTENT:
            expires_at_ns = self._now_ns() + self._longest_client_timeout_ns
            self.executed_ids_expire_at_ns[client_request_id] = expires_at_ns

    def is_duplicate(self, client_request_id: bytes) -> bool:
        """Return whether a request with this id is in flight or must not be executed again."""
        self._remove_expired_ids(self._now_ns())
        return (
            client_request_id in self._client_ids_in_flight
            or client_request_id in self.executed_ids_expire_at_ns
        )

    def _remove_expired_ids(self, now_ns: int) -> None:
        while self.executed_ids_expire_at_ns:
            oldest_id, expires_at_ns = next(iter(self.executed_ids_expire_at_ns.items()))
            if expires_at_ns > now_ns:
                return
            del self.executed_ids_expire_at_ns[oldest_id]

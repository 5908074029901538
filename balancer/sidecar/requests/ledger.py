"""The requests in flight, and the ids of requests that a client may not send again."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import NamedTuple

from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    AttemptOutcome,
    EndpointId,
    Idempotency,
    Settings,
)
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.attempt import Attempt
from balancer.time_units import SECOND_NS


class EndpointGroup(NamedTuple):
    """What of an endpoint's place decides which repeats of a request it drops."""

    zone: int
    cell: int


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is owed its final answer or still has an attempt in flight."""

    request_id: int
    response_sink: ResponseSink
    client_request: ClientRequest
    expires_at_ns: int
    """When the request fails if it is still unanswered; may be brought forward."""
    deadline_timer: OneShotTimer
    """Runs until the request expires."""
    attempt_timer: OneShotTimer
    """Runs until the current attempt times out, if that is before the request expires."""
    answered: bool = False
    """Whether the final answer was given, or the client left and is owed none."""
    attempt: Attempt | None = None
    """The current attempt."""
    has_background_attempt: bool = False
    """Whether an attempt goes on although the time of the request is over."""
    attempt_count: int = 0
    attempt_started_at_ns: int = 0
    attempt_deadline_ns: int = 0
    endpoint_id: EndpointId = b""
    """The endpoint of the last attempt."""
    last_outcome: AttemptOutcome | None = None
    attempt_group: EndpointGroup | None = None
    """The group of that endpoint, if it was listed."""
    may_have_run: bool = False
    """Whether any attempt so far may have been executed."""
    executed_at_ns: int = 0
    """When the first such attempt was started."""
    executing_group: EndpointGroup | None = None
    """The group of the endpoint of that attempt."""

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to do: no answer is owed and no attempt is in flight."""
        return self.answered and self.attempt is None and not self.has_background_attempt

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """Take in how the current attempt ended."""
        self.attempt = None
        self.attempt_timer.cancel()
        self.last_outcome = outcome
        if outcome in OUTCOMES_NEVER_EXECUTED or self.may_have_run:
            return
        self.may_have_run = True
        self.executed_at_ns = self.attempt_started_at_ns
        self.executing_group = self.attempt_group

    def encode(self, now_ns: int) -> bytes:
        """Return the HTTP message of the current attempt, with the time that is left for it."""
        # Shutdown may bring the expiry of the request forward after the attempt has started.
        deadline_ns = min(self.attempt_deadline_ns, self.expires_at_ns)
        seconds_left = max(0, deadline_ns - now_ns) / SECOND_NS
        head, body = self.client_request.head, self.client_request.body
        return b"%sReq-Deadline: %.3f\r\n\r\n%s" % (head, seconds_left, body)


class RequestLedger:
    """Keeps each request until it is finished, and detects duplicates of requests.

    A client whose answer is lost with its connection may send its request again under the same id. While the
    first is in flight, or if it may have been executed and is not idempotent, the second must not be sent to
    an endpoint. Ids are remembered until the client of any request must have given up.
    """

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self._classes = settings.classes
        self._loop = loop
        self._longest_client_timeout_ns = max(
            request_class.client_timeout_ns for request_class in settings.classes
        )
        self._last_request_id = 0
        self._client_ids_in_flight: set[bytes] = set()
        self.in_flight: dict[int, InFlightRequest] = {}
        """Every request that is not finished, by its request id."""
        self.executed_ids_expire_at_ns: dict[bytes, int] = {}
        """Client request ids that may have been executed and must not be again, oldest first."""

    def add(
        self, response_sink: ResponseSink, client_request: ClientRequest, expires_at_ns: int
    ) -> InFlightRequest:
        """Enter a request under the next request id."""
        self._last_request_id += 1
        request = InFlightRequest(
            self._last_request_id,
            response_sink,
            client_request,
            expires_at_ns,
            OneShotTimer(self._loop),
            OneShotTimer(self._loop),
        )
        self.in_flight[request.request_id] = request
        self._client_ids_in_flight.add(client_request.client_request_id)
        return request

    def mark_answered(self, request_id: int) -> InFlightRequest | None:
        """Return the request if it is still owed its final answer, which the caller gives now; else None."""
        request = self.in_flight.get(request_id)
        if request is None or request.answered:
            return None
        request.answered = True
        return request

    def forget_if_finished(self, request: InFlightRequest, now_ns: int) -> None:
        """Drop the request if it is finished, and remember its id where a repeat would do harm."""
        if not request.is_finished:
            return
        request.deadline_timer.cancel()
        if self.in_flight.pop(request.request_id, None) is None:
            return
        client_request = request.client_request
        self._client_ids_in_flight.discard(client_request.client_request_id)
        idempotency = self._classes[client_request.class_index].idempotency
        if request.may_have_run and idempotency != Idempotency.IDEMPOTENT:
            expires_at_ns = now_ns + self._longest_client_timeout_ns
            self.executed_ids_expire_at_ns[client_request.client_request_id] = expires_at_ns

    def is_duplicate(self, client_request_id: bytes, now_ns: int) -> bool:
        """Whether a request with this id is in flight, or may have been executed and must not be again."""
        self._forget_expired_ids(now_ns)
        return (
            client_request_id in self._client_ids_in_flight
            or client_request_id in self.executed_ids_expire_at_ns
        )

    def _forget_expired_ids(self, now_ns: int) -> None:
        while self.executed_ids_expire_at_ns:
            oldest_id, expires_at_ns = next(iter(self.executed_ids_expire_at_ns.items()))
            if expires_at_ns > now_ns:
                return
            del self.executed_ids_expire_at_ns[oldest_id]

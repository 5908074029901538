"""The records that the test drivers of a `Balancer` keep of its open requests and their attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from balancer.policy_api import AttemptCompleted, AttemptOutcome, EndpointId, StartAttempt
from tests.builders import attempt_completed


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt that has started but not ended."""

    index: int
    """The index of the attempt within its request, from 0."""
    endpoint_id: EndpointId
    started_at_ns: int


@dataclass(slots=True)
class OpenRequest:
    """A request that still needs its final response or has an attempt in flight."""

    class_index: int
    expires_at_ns: int
    attempt_count: int = 0
    attempt: AttemptInFlight | None = None
    is_answered: bool = False
    """Whether the request needs no final response any more."""


RequestT = TypeVar("RequestT", bound=OpenRequest)


class RequestLedger(Generic[RequestT]):
    """The open requests of one balancer, by id and in the order of their arrival."""

    def __init__(self) -> None:
        self.requests: dict[int, RequestT] = {}

    def receive(self, request_id: int, request: RequestT) -> None:
        """Record the arrival of a request."""
        self.requests[request_id] = request

    def start_attempt(self, action: StartAttempt, now_ns: int) -> AttemptInFlight:
        """Record an attempt that the balancer starts. Raises KeyError if the request is not open."""
        request = self.requests[action.request_id]
        attempt = AttemptInFlight(request.attempt_count, action.endpoint_id, now_ns)
        request.attempt_count += 1
        request.attempt = attempt
        return attempt

    def attempt_of(self, request_id: int) -> AttemptInFlight | None:
        """Return the attempt in flight of a request, or None if the request is not open or has none."""
        request = self.requests.get(request_id)
        return request.attempt if request is not None else None

    def end_attempt(self, request_id: int, outcome: AttemptOutcome, now_ns: int) -> AttemptCompleted:
        """Record the end of the attempt in flight, and return the event for the balancer."""
        request = self.requests[request_id]
        attempt = request.attempt
        assert attempt is not None, "the request has no attempt in flight"
        request.attempt = None
        if outcome == AttemptOutcome.SUCCESS:
            request.is_answered = True
        self._forget_if_ended(request_id)
        return attempt_completed(
            request_id,
            attempt.endpoint_id,
            outcome,
            now_ns - attempt.started_at_ns,
            attempt_index=attempt.index,
            request_finished=request.is_answered,
        )

    def finish(self, request_id: int) -> RequestT:
        """Record that a request needs no final response any more. Raises KeyError if it is not open."""
        request = self.requests[request_id]
        request.is_answered = True
        self._forget_if_ended(request_id)
        return request

    def discard(self, request_id: int) -> RequestT:
        """Forget a request, even while it has an attempt in flight."""
        return self.requests.pop(request_id)

    def _forget_if_ended(self, request_id: int) -> None:
        request = self.requests[request_id]
        if request.is_answered and request.attempt is None:
            del self.requests[request_id]

"""Requests on a connection and their responses, which are sent in the order of the requests."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from balancer.sidecar.downstream.response import failed_response, forwarded_response, rejected_response
from balancer.sidecar.http.message import HttpResponse

MAX_PIPELINED_REQUESTS = 16
"""Maximum number of requests on one connection whose responses have not been sent.

Reading pauses at this limit, so that a client that pipelines without limit can't exhaust the memory.
"""


class ExchangeOwner(Protocol):
    """The part of a connection that its exchanges use."""

    def send_ready_responses(self) -> None:
        """Send the responses that are next in the order of the requests."""

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its side."""

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have left although its connection seems to be open."""


class Exchange:
    """One request and its response; implements `ResponseSink` for the dispatcher.

    Attributes:
        is_last: whether the connection ends after the response.
        request_id: the dispatcher's id of the request; None if the sidecar responds by itself.
        response: the response, once there is one.
    """

    __slots__ = ("_owner", "is_last", "request_id", "response")

    def __init__(self, owner: ExchangeOwner, is_last: bool) -> None:
        self._owner = owner
        self.is_last = is_last
        self.request_id: int | None = None
        self.response: HttpResponse | None = None

    def respond(self, response: HttpResponse) -> None:
        """Set the response, which is sent once all earlier responses have been."""
        self.response = response
        self._owner.send_ready_responses()

    def send_response(self, response: HttpResponse) -> None:
        """Respond with an endpoint's response."""
        self.respond(forwarded_response(response))

    def reject(self, retry_after_ns: int) -> None:
        """Respond that the request was not executed; without a Retry-After if it is 0."""
        self.respond(rejected_response(retry_after_ns))

    def fail(self, timed_out: bool) -> None:
        """Respond that the request failed and may have been executed."""
        self.respond(failed_response(timed_out))

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected and no longer waits for the response."""
        return self._owner.is_disconnected()

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have left although its connection seems to be open."""
        return self._owner.may_be_disconnected()


class ExchangeQueue(deque[Exchange]):
    """The exchanges of a connection whose responses have not been sent, in the order of the requests."""

    __slots__ = ()

    @property
    def is_full(self) -> bool:
        """Return whether no further request may be accepted until a response has been sent."""
        return len(self) >= MAX_PIPELINED_REQUESTS

    @property
    def response_bytes(self) -> int:
        """Return how many bytes the responses have that wait for earlier ones."""
        if not self:
            return 0
        return sum(len(exchange.response.body) for exchange in self if exchange.response is not None)

    def first_response(self) -> HttpResponse | None:
        """Return the response to the oldest request, or None if there is none yet."""
        return self[0].response if self else None

    def abandon(self) -> list[int]:
        """Remove all exchanges, and return the ids of the dispatcher's requests that have no response yet."""
        unanswered = [exchange for exchange in self if exchange.response is None]
        self.clear()
        return [exchange.request_id for exchange in unanswered if exchange.request_id is not None]

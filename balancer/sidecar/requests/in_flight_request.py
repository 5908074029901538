"""The state of one request in flight."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy_api import OUTCOMES_NEVER_EXECUTED, AttemptOutcome, EndpointId
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.requests.retry_safety import EndpointGroup
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.attempt import Attempt
from balancer.time_units import SECOND_NS


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request whose final response is pending or that still has an attempt in flight."""

    request_id: int
    response_sink: ResponseSink
    client_request: ClientRequest
    expires_at_ns: int
    """The time at which the request fails if it is still unanswered; a shutdown may bring it forward."""
    deadline_timer: OneShotTimer
    """Fires when the request expires."""
    attempt_timer: OneShotTimer
    """Fires when the current attempt times out; runs only if that is before the request expires."""
    answered: bool = False
    """Whether no response is pending: the final one was sent, or the client has disconnected."""
    attempt: Attempt | None = None
    """The current attempt."""
    has_background_attempt: bool = False
    """Whether an attempt continues although the deadline of the request has passed."""
    attempt_count: int = 0
    """The number of attempts that were started."""
    attempt_started_at_ns: int = 0
    """The time at which the last attempt was started."""
    attempt_deadline_ns: int = 0
    """The time at which the last attempt times out."""
    endpoint_id: EndpointId = b""
    """The endpoint of the last attempt."""
    last_outcome: AttemptOutcome | None = None
    """The outcome of the last attempt that ended."""
    attempt_group: EndpointGroup | None = None
    """The deduplication group of the endpoint of the last attempt, if the endpoint was listed."""
    may_have_run: bool = False
    """Whether the endpoint of any attempt so far may have executed the request."""
    executed_at_ns: int = 0
    """The time at which the first such attempt was started."""
    executing_group: EndpointGroup | None = None
    """The deduplication group of the endpoint of that attempt."""

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to do: no response is pending and no attempt is in flight."""
        return self.answered and self.attempt is None and not self.has_background_attempt

    def is_abandoned(self) -> bool:
        """Return whether the response is pending but the client has disconnected, according to its socket.

        Checked before an attempt is sent, because the event loop may not have reported the disconnect yet.
        """
        return not self.answered and self.response_sink.is_disconnected()

    def may_be_abandoned(self) -> bool:
        """Return whether the response is pending but the client may have left without a sign of it."""
        return not self.answered and self.response_sink.may_be_disconnected()

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """Record the outcome of the current attempt, which has ended."""
        self.attempt = None
        self.attempt_timer.cancel()
        self.last_outcome = outcome
        if outcome in OUTCOMES_NEVER_EXECUTED or self.may_have_run:
            return
        self.may_have_run = True
        self.executed_at_ns = self.attempt_started_at_ns
        self.executing_group = self.attempt_group

    def encode(self, now_ns: int) -> bytes:
        """Return the HTTP message of the current attempt, whose `Req-Deadline` is the time left for it."""
        # A shutdown may bring the expiry of the request forward after the attempt has started.
        deadline_ns = min(self.attempt_deadline_ns, self.expires_at_ns)
        seconds_left = max(0, deadline_ns - now_ns) / SECOND_NS
        head, body = self.client_request.head, self.client_request.body
        return b"%sReq-Deadline: %.3f\r\n\r\n%s" % (head, seconds_left, body)

"""The state of one request, from its arrival to its final response."""

from dataclasses import dataclass, field
from typing import NamedTuple

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy_api import Idempotency, RequestClass, RequestReceived
from balancer.time_units import HOUR_NS


@dataclass(slots=True, eq=False)
class LoadProbe:
    """The health checks that are sent to find a lightly loaded endpoint for one request."""

    endpoints: list[EndpointState] = field(default_factory=list)
    """The endpoints probed in all rounds."""
    rounds: int = 0
    """Number of rounds that were started."""
    pending_count: int = 0
    """Number of probes that have not ended."""
    fastest: EndpointState | None = None
    """The endpoint whose probe took the least time beyond the fastest known probe of its zone."""
    fastest_duration_ns: int = 2 * HOUR_NS
    """Duration of its probe; before the first success a value longer than any probe."""
    fastest_is_remote: bool = False

    def add_endpoint(self, endpoint: EndpointState) -> None:
        """Record that an endpoint is probed."""
        self.endpoints.append(endpoint)
        self.pending_count += 1

    def record_result(self) -> None:
        """Record that a probe ended, whatever its outcome."""
        self.pending_count -= 1

    def set_fastest(self, endpoint: EndpointState, duration_ns: int, is_remote: bool) -> None:
        """Set the endpoint that gets the request unless a faster one responds."""
        self.fastest = endpoint
        self.fastest_duration_ns = duration_ns
        self.fastest_is_remote = is_remote


class AttemptState:
    """The most recent attempt of a request; before the first one it has no endpoint."""

    __slots__ = ("endpoint", "is_hung", "needs_connection", "recorded_delay", "started_at_ns")

    def __init__(
        self, endpoint: EndpointState | None = None, needs_connection: bool = False, started_at_ns: int = 0
    ) -> None:
        self.endpoint = endpoint
        self.needs_connection = needs_connection
        """Whether the attempt had to wait for a new connection."""
        self.started_at_ns = started_at_ns
        self.recorded_delay = 0.0
        """Queueing delay (share of the slack) that the overload detector has recorded for the attempt."""
        self.is_hung = False
        """Whether the attempt counts as hung; see `HungAttempts`."""


class DeduplicationBinding(NamedTuple):
    """The deduplication group that drops retries of a request with an idempotency key, and until when."""

    endpoint: EndpointState
    """A member of the group; the request may be retried within the group."""
    until_ns: int


class RequestState:
    """A request that awaits its final response."""

    __slots__ = (
        "attempt",
        "attempt_count",
        "class_index",
        "deduplication",
        "expires_at_ns",
        "id",
        "key_hash",
        "may_be_retried_anywhere",
        "objective_deadline_ns",
        "probe",
        "request_class",
    )

    def __init__(self, event: RequestReceived, request_class: RequestClass, now_ns: int) -> None:
        self.id = event.request_id
        self.key_hash = event.key_hash
        self.class_index = event.class_index
        self.request_class = request_class
        self.expires_at_ns = event.expires_at_ns
        self.objective_deadline_ns = now_ns + request_class.latency_objective_ns
        self.probe: LoadProbe | None = None
        self.attempt_count = 0
        self.attempt = AttemptState()
        self.may_be_retried_anywhere = True
        """Whether the request is safe to retry at any endpoint and any time.

        This is the case while it was certainly not executed, and always if it is idempotent.
        """
        self.deduplication: DeduplicationBinding | None = None

    @property
    def deduplicated_until_ns(self) -> int:
        """Time until which retries are dropped as duplicates; 0 if the request is not bound to a group."""
        return self.deduplication.until_ns if self.deduplication else 0

    @property
    def needs_connection(self) -> bool:
        """Whether the current attempt had to wait for a new connection."""
        return self.attempt.needs_connection

    @property
    def recorded_delay(self) -> float:
        """Queueing delay (share of the slack) that has been recorded for the current attempt."""
        return self.attempt.recorded_delay

    @recorded_delay.setter
    def recorded_delay(self, delay: float) -> None:
        self.attempt.recorded_delay = delay

    def start_attempt(self, endpoint: EndpointState, needs_connection: bool, now_ns: int) -> None:
        """Record the start of an attempt."""
        self.attempt = AttemptState(endpoint, needs_connection, now_ns)
        self.attempt_count += 1

    def record_possible_execution(self) -> None:
        """Record that the current attempt may have been executed; do nothing if there was no attempt.

        The first such attempt binds a request with an idempotency key to the endpoint's deduplication group.
        """
        endpoint = self.attempt.endpoint
        if endpoint is None:
            return
        idempotency = self.request_class.idempotency
        self.may_be_retried_anywhere = idempotency == Idempotency.IDEMPOTENT
        if idempotency == Idempotency.IDEMPOTENCY_KEY and self.deduplication is None:
            until_ns = self.attempt.started_at_ns + self.request_class.deduplication_window_ns
            self.deduplication = DeduplicationBinding(endpoint, until_ns)

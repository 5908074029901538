"""The state of one request, from its arrival to its final answer."""

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
    """Rounds that were started."""
    pending_count: int = 0
    """Probes that have not ended."""
    fastest: EndpointState | None = None
    """The endpoint whose answer exceeded the fastest known answer of its zone by the least time."""
    fastest_duration_ns: int = 2 * HOUR_NS
    fastest_is_remote: bool = False

    def add_endpoint(self, endpoint: EndpointState) -> None:
        """Record that an endpoint is probed."""
        self.endpoints.append(endpoint)
        self.pending_count += 1

    def record_result(self) -> None:
        """Record that a probe ended, whatever its outcome."""
        self.pending_count -= 1

    def set_fastest(self, endpoint: EndpointState, duration_ns: int, is_remote: bool) -> None:
        """Set the endpoint that is to get the request."""
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
        """Queueing delay of the attempt that the overload detector has recorded, as a share of the slack."""
        self.is_hung = False
        """Whether the attempt is late although its endpoint served attempts that started later."""


class DeduplicationBinding(NamedTuple):
    """Where and until when repeats of a request with an idempotency key are dropped."""

    endpoint: EndpointState
    """Its deduplication group may get the request again."""
    until_ns: int


class RequestState:
    """A request that awaits its final answer."""

    __slots__ = (
        "attempt",
        "attempt_count",
        "class_index",
        "deduplication",
        "expires_at_ns",
        "id",
        "key_hash",
        "is_safe_to_retry_anywhere",
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
        self.is_safe_to_retry_anywhere = True
        """Whether a further execution does no harm, at any endpoint and any time."""
        self.deduplication: DeduplicationBinding | None = None

    @property
    def deduplicated_until_ns(self) -> int:
        """Time until which repeats are dropped; 0 if the request has not been bound to a group."""
        return self.deduplication.until_ns if self.deduplication else 0

    @property
    def needs_connection(self) -> bool:
        """Whether the attempt in progress had to wait for a new connection."""
        return self.attempt.needs_connection

    @property
    def recorded_delay(self) -> float:
        """Queueing delay of the attempt in progress that has been recorded, as a share of the slack."""
        return self.attempt.recorded_delay

    @recorded_delay.setter
    def recorded_delay(self, delay: float) -> None:
        self.attempt.recorded_delay = delay

    def start_attempt(self, endpoint: EndpointState, needs_connection: bool, now_ns: int) -> None:
        """Record the start of an attempt."""
        self.attempt = AttemptState(endpoint, needs_connection, now_ns)
        self.attempt_count += 1

    def record_possible_execution(self) -> None:
        """Record that the attempt may have been executed; without an attempt there is nothing to record.

        The first execution binds a request with an idempotency key to the endpoint's deduplication group.
        """
        endpoint = self.attempt.endpoint
        if endpoint is None:
            return
        idempotency = self.request_class.idempotency
        self.is_safe_to_retry_anywhere = idempotency == Idempotency.IDEMPOTENT
        if idempotency == Idempotency.IDEMPOTENCY_KEY and self.deduplication is None:
            until_ns = self.attempt.started_at_ns + self.request_class.deduplication_window_ns
            self.deduplication = DeduplicationBinding(endpoint, until_ns)

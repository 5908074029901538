"""A request from its arrival to its final answer."""

from dataclasses import dataclass, field

from balancer.policy.endpoint_state import EndpointState
from balancer.policy_api import Idempotency, RequestClass, RequestReceived
from balancer.time_units import HOUR_NS


@dataclass(slots=True, eq=False)
class LoadProbe:
    """The active probing of load for one request."""

    endpoints: list[EndpointState] = field(default_factory=list)  # of all rounds
    rounds: int = 0
    unanswered: int = 0
    fastest: EndpointState | None = None  # by its answer beyond the fastest ever of its zone
    fastest_duration_ns: int = 2 * HOUR_NS
    fastest_is_remote: bool = False


class RequestState:
    """A request that is owed its final answer."""

    def __init__(self, event: RequestReceived, request_class: RequestClass, now: int) -> None:
        self.id, self.key_hash = event.request_id, event.key_hash
        self.class_index, self.request_class = event.class_index, request_class
        self.expires_at_ns = event.expires_at_ns
        self.objective_deadline_ns = now + request_class.latency_objective_ns
        self.probe: LoadProbe | None = None
        self.attempt_count, self.attempt_started_at_ns = 0, 0
        self.endpoint: EndpointState | None = None  # where its last attempt went
        self.needs_connection = False  # its attempt had no connection to go on
        self.recorded_delay = 0.0  # what the evidence has of the attempt's queueing delay
        self.is_hung = False  # its attempt is late though the endpoint serves what was sent after it
        self.may_run_again = True  # a further execution does no harm, wherever and whenever it is
        self.deduplicating_endpoint: EndpointState | None = None  # only its group may have it again
        self.deduplicated_until_ns = 0  # and only until then

    def record_execution(self) -> None:
        """Take in that its attempt may have been executed. Repeats are dropped where the first one was."""
        idempotency, window_ns = self.request_class.idempotency, self.request_class.deduplication_window_ns
        self.may_run_again = idempotency == Idempotency.IDEMPOTENT
        if idempotency == Idempotency.IDEMPOTENCY_KEY and self.deduplicating_endpoint is None:
            self.deduplicating_endpoint = self.endpoint
            self.deduplicated_until_ns = self.attempt_started_at_ns + window_ns

"""A request from its arrival to its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer.policy.endpoint_state import EndpointState
from balancer.policy_api import Idempotency, RequestClass
from balancer.time_units import HOUR_NS


@dataclass(slots=True, eq=False)
class LoadProbe:
    """The active probing of load for one request."""

    endpoints: list[EndpointState] = field(default_factory=list)
    """All that have been probed for it, in any round."""
    rounds: int = 0
    unanswered: int = 0
    fastest: EndpointState | None = None
    """The one whose answer took least beyond the fastest answer of its zone."""
    fastest_duration_ns: int = 2 * HOUR_NS
    fastest_is_remote: bool = False


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that is owed its final answer."""

    id: int
    class_index: int
    request_class: RequestClass
    key_hash: int
    arrived_at_ns: int
    expires_at_ns: int
    attempt_count: int = 0
    endpoint: EndpointState | None = None
    """Where its last attempt went."""
    attempt_started_at_ns: int = 0
    needs_connection: bool = False
    """Whether its attempt had no connection to go on."""
    recorded_delay: float = 0.0
    """How much of the attempt's queueing delay is in the evidence already."""
    is_hung: bool = False
    """Whether the attempt is late though its endpoint serves what was sent after it; recorded once."""
    executed_on: EndpointState | None = None
    """Where it first may have been executed, by an attempt that was sent at the time below."""
    executed_at_ns: int = 0
    probe: LoadProbe | None = None
    """The probing of load before its first attempt, where there is any."""

    @property
    def objective_deadline_ns(self) -> int:
        """When its latency objective is over."""
        return self.arrived_at_ns + self.request_class.latency_objective_ns

    @property
    def may_run_again(self) -> bool:
        """Whether a further execution does no harm, wherever and whenever it is."""
        return self.executed_on is None or self.request_class.idempotency == Idempotency.IDEMPOTENT

    @property
    def deduplicating_endpoint(self) -> EndpointState | None:
        """Where it may have been executed, if only endpoints that drop its repeats may have it again."""
        return self.executed_on if self.request_class.idempotency == Idempotency.IDEMPOTENCY_KEY else None

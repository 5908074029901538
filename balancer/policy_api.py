"""The interface of the policy: its settings, the events that it handles and the actions that it returns.

A `Balancer` handles one event at a time and returns the actions to take in response. All durations and points
in time are integers in nanoseconds, and their names end in `_ns`. A point in time is a reading of the clock
whose current time accompanies each event.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, TypeAlias

EndpointId: TypeAlias = bytes
"""The identity of an endpoint in the endpoint list; its bytes have no further meaning here."""


class Idempotency(IntEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = 0
    """It may be executed any number of times."""
    IDEMPOTENCY_KEY = 1
    """The endpoints of a deduplication group drop retries with the same key for a limited time."""
    NOT_IDEMPOTENT = 2
    """It must not be executed twice."""


class DeduplicationScope(IntEnum):
    """Which endpoints form a deduplication group.

    The endpoints of a group drop retries of a request that one of them executed.
    """

    ALL = 0
    """All endpoints."""
    ZONE = 1
    """The endpoints of one zone."""
    CELL = 2
    """The endpoints of one cell of a zone."""


class EndpointHealth(IntEnum):
    """The health of an endpoint according to the endpoint list."""

    REMOVED = 0
    """It no longer exists."""
    READY = 1
    """It accepts requests."""
    DRAINING = 2
    """It completes its requests before a graceful shutdown and accepts no more."""


class EndpointUpdateKind(IntEnum):
    """How the entries of an `EndpointUpdate` relate to the current endpoint list."""

    DISCOVERY_FAILED = 0
    """A call to discovery failed; there are no entries, and the current list stays in use."""
    CACHED = 1
    """The entries are the complete list from a cache, which may be stale."""
    DELTA = 2
    """The entries are only those that changed."""
    SNAPSHOT = 3
    """The entries are the complete list."""


class AttemptOutcome(IntEnum):
    """The outcome of an attempt or of a health check."""

    SUCCESS = 0
    """The endpoint served the request."""
    SERVER_ERROR = 1
    """The endpoint responded with an error; the request may have been executed."""
    REJECTED = 2
    """The endpoint rejected the request without executing it."""
    TIMEOUT = 3
    """No response arrived in time; the request may have been executed, or may still be executed later."""
    CONNECT_FAILED = 4
    """No connection could be established, so the request was not executed."""
    CONNECTION_RESET = 5
    """The connection broke while the attempt was in flight; the request may have been executed."""
    CANCELLED = 6
    """The attempt was cancelled; the request may have been executed."""
    NOT_SENT = 7
    """The request was not sent, or only a part of it, so it was not executed.

    The request had ended, had no time or no attempts left, or the sidecar could not open another connection.
    """
    CLIENT_ERROR = 8
    """The endpoint found the request invalid, as any other endpoint would."""


OUTCOMES_NEVER_EXECUTED = frozenset(
    (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
)
"""Outcomes after which it is certain that the request was not executed."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties that all requests of one class have in common."""

    name: str
    latency_objective_ns: int
    """The time within which a response has its full weight."""
    client_timeout_ns: int
    """How long a client waits in total, including its own retries."""
    priority_weight: float
    """Weight of a response, relative to other classes."""
    late_response_value: float = 0.0
    """Share of the weight that a response after the latency objective still has."""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    """How long retries of a request with an idempotency key are dropped."""
    objective_stretch: float = 0.0
    """Part of the settings on the wire; no decision uses it."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer of the service; its quota applies to all sidecars together."""

    name: str
    quota_requests_per_second: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one sidecar. Prices (costs) are in units of the mean weight of a request.

    Some fields are part of the settings on the wire, but no decision uses them.
    """

    classes: tuple[RequestClass, ...]
    sidecar_index: int = 0
    """The index of this sidecar among all sidecars, from 0."""
    sidecar_count: int = 1
    """The number of sidecars."""
    local_zone: int = 0
    """The zone of this sidecar."""
    zone_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    """Weight of a request beyond the quota of its tenant; no decision uses it."""
    polls_discovery: bool = False
    """Whether the sidecar has to poll discovery for endpoint lists; otherwise discovery pushes them."""
    discovery_poll_window_ns: int = 10_000_000_000
    """The time after its start within which a sidecar has to poll discovery."""
    slow_start_capacity: float = 1.0
    """The least share of its full load that an endpoint can take just after its start."""
    slow_start_duration_ns: int = 0
    """The time after its start from which on an endpoint can take its full load."""
    warming_overload_multiple: float = 2.0
    """Largest load of a warming endpoint, as a multiple of its capacity; no decision uses it."""
    max_attempts: int = 3
    """The largest number of attempts of one request."""
    streams_per_connection: int = 1
    """The number of requests that a connection can carry at a time."""
    attempts_can_be_cancelled: bool = False
    """Whether `CancelAttempt` may be used."""
    concurrent_attempts_allowed: bool = False
    """Whether a request may have several attempts in flight; no decision uses it."""
    gossip_enabled: bool = False
    health_checks_enabled: bool = False
    max_retry_after_ns: int = 0
    """The longest `Retry-After` that clients respect; 0 if responses carry none."""
    load_report_fields: tuple[str, ...] = ()
    """Names of the values of a load report, among: rif, q, busy, lat_ms, rate, fail_rate."""
    cross_zone_price: float = 0.0
    """The price of an attempt in another zone."""
    handshake_price: float = 0.0
    """The price of establishing a connection."""
    connection_price: float = 0.0
    """The price of an open connection."""
    wasted_work_price: float = 0.0
    """The price of wasted work; no decision uses it."""
    weight_by_work: bool = False
    """Whether the weight of a request depends on its work; no decision uses it."""
    key_affinity: bool = False
    """Whether an endpoint serves a request with less work if it recently served one with the same key."""
    scheduling_tick_ns: int = 5_000_000
    """The shortest interval between two times at which a sidecar is scheduled to run."""


class Endpoint(NamedTuple):
    """An entry of the endpoint list."""

    id: EndpointId
    zone: int
    machine_class: int
    cell: int
    """The part of its zone that it belongs to; see `DeduplicationScope`."""
    health: EndpointHealth
    weight: float
    """Registered capacity, relative to other endpoints."""
    started_at_ns: int
    """The time of its most recent start; 0 if that was long ago."""


class Started(NamedTuple):
    """The sidecar started: the first event that a policy handles."""


class EndpointUpdate(NamedTuple):
    """Discovery delivered endpoints, or a call to it failed."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client sent a request, which has to get exactly one final response."""

    request_id: int
    class_index: int
    tenant_index: int
    key_hash: int
    """Hash of the request's key; 0 if it has none."""
    expires_at_ns: int
    """The deadline of the request: when the client gives up waiting for a response."""
    work_hint_ns: int
    """The expected work; 0 if unknown."""
    is_retry: bool
    """Whether the client marked it as a retry."""


class AttemptCompleted(NamedTuple):
    """An attempt ended."""

    request_id: int
    attempt_index: int
    endpoint_id: EndpointId
    outcome: AttemptOutcome
    duration_ns: int
    request_finished: bool
    """Whether the request already had its final response."""
    load_report: tuple[float, ...]
    """Values in the order of `Settings.load_report_fields`; may be empty."""


class StreamStarted(NamedTuple):
    """A response began to stream to the client: the request has no deadline any more and is not retried."""

    request_id: int


class ClientDisconnected(NamedTuple):
    """The client disconnected: the request needs no response."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that `SetTimer` started has expired."""

    token: int
    """The identifier that `SetTimer` gave the timer."""


class HealthCheckCompleted(NamedTuple):
    """A health check that `StartHealthCheck` started ended."""

    endpoint_id: EndpointId
    outcome: AttemptOutcome
    duration_ns: int
    load_report: tuple[float, ...]


class GossipReceived(NamedTuple):
    """Another sidecar sent a gossip message."""

    sender_index: int
    payload: bytes


Event: TypeAlias = (
    Started
    | EndpointUpdate
    | RequestReceived
    | AttemptCompleted
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckCompleted
    | GossipReceived
)


class StartAttempt(NamedTuple):
    """Send the request to an endpoint."""

    request_id: int
    endpoint_id: EndpointId
    timeout_ns: int
    """How long to wait for the response; 0 to wait until the deadline of the request."""
    start_before_ns: int = 0
    """The time from which on the request must not be sent, as its connection may be late; 0 for no limit."""


class RejectRequest(NamedTuple):
    """Send the final response that the request was rejected and that the client may retry it."""

    request_id: int
    retry_after_ns: int
    """`Retry-After` for the client; 0 for none."""


class FailRequest(NamedTuple):
    """Send the final response that the request failed and may have been executed."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt, both in the sidecar and at the endpoint."""

    request_id: int
    attempt_index: int


class SetTimer(NamedTuple):
    """Deliver `TimerFired` with this token after the delay."""

    delay_ns: int
    token: int


class WatchEndpoints(NamedTuple):
    """Watch discovery for changes of the endpoint list, or stop watching."""

    enabled: bool


class FetchEndpoints(NamedTuple):
    """Fetch one snapshot of the endpoint list from discovery."""


class StartHealthCheck(NamedTuple):
    """Send a health check to an endpoint."""

    endpoint_id: EndpointId


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint_id: EndpointId


class SendGossip(NamedTuple):
    """Send a gossip message to another sidecar."""

    recipient_index: int
    """The index of the sidecar; -1 for all other sidecars."""
    payload: bytes


class WriteLog(NamedTuple):
    """Write a line to the log."""

    text: str


Action: TypeAlias = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | StartHealthCheck
    | CloseIdleConnections
    | SendGossip
    | WriteLog
)

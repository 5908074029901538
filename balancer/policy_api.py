"""The settings of the decisions, the events they handle and the actions they return.

A `Balancer` handles one event at a time and returns the actions that answer it. All times are integers in
nanoseconds and end in `_ns`: points in time are readings of the clock that comes with each event.
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
    """The endpoints of a deduplication group drop repeats with the same key, for a limited time."""
    NOT_IDEMPOTENT = 2
    """It must not be executed twice."""


class DeduplicationScope(IntEnum):
    """Which endpoints form a deduplication group: they drop repeats of what one of them executed."""

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
    """A call to discovery failed; there are no entries and the current list stays in use."""
    CACHED = 1
    """The complete list from a cache; it may be stale."""
    DELTA = 2
    """The changed entries only."""
    SNAPSHOT = 3
    """The complete list."""


class AttemptOutcome(IntEnum):
    """The outcome of an attempt or of a health check."""

    SUCCESS = 0
    """The endpoint served the request."""
    SERVER_ERROR = 1
    """The endpoint answered with an error; the request may have been executed."""
    REJECTED = 2
    """The endpoint rejected the request without executing it."""
    TIMEOUT = 3
    """No answer arrived in time; the request may have been executed, or may yet be."""
    CONNECT_FAILED = 4
    """No connection could be established, so the request was not executed."""
    CONNECTION_RESET = 5
    """The connection broke while the attempt was in flight; the request may have been executed."""
    CANCELLED = 6
    """The attempt was cancelled; the request may have been executed."""
    NOT_SENT = 7
    """At most a part was sent: the request had ended or had no time or attempts left, or room was short."""
    CLIENT_ERROR = 8
    """The endpoint found the request itself invalid, as any other endpoint would."""


OUTCOMES_NEVER_EXECUTED = frozenset(
    (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
)
"""Outcomes after which it is certain that the request was not executed."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties that all requests of one class have in common."""

    name: str
    latency_objective_ns: int
    """An answer within this time has the full weight."""
    client_timeout_ns: int
    """How long a client waits in total, including its own retries."""
    priority_weight: float
    """Worth of an answer, relative to other classes."""
    late_response_value: float = 0.0
    """Share of the weight that an answer after the latency objective still has."""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    """How long repeats of a request with an idempotency key are dropped."""
    objective_stretch: float = 0.0
    """Part of the settings on the wire; no decision uses it."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer of the service; its quota applies to all sidecars together."""

    name: str
    quota_requests_per_second: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one sidecar. Prices are in units of the mean weight of a request."""

    classes: tuple[RequestClass, ...]
    sidecar_index: int = 0
    """The index of this sidecar among all, from 0."""
    sidecar_count: int = 1
    """The number of sidecars."""
    local_zone: int = 0
    zone_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    polls_discovery: bool = False
    """Whether discovery has to be polled for endpoint lists; otherwise it pushes them."""
    discovery_poll_window_ns: int = 10_000_000_000
    """Time after its start within which a sidecar has to poll discovery."""
    slow_start_capacity: float = 1.0
    """Share of its full load that an endpoint can take at least just after its start."""
    slow_start_duration_ns: int = 0
    """Time after its start from which an endpoint can take its full load."""
    warming_overload_multiple: float = 2.0
    max_attempts: int = 3
    streams_per_connection: int = 1
    attempts_can_be_cancelled: bool = False
    concurrent_attempts_allowed: bool = False
    gossip_enabled: bool = False
    health_checks_enabled: bool = False
    max_retry_after_ns: int = 0
    """The longest `Retry-After` that clients respect; 0 if they get none."""
    load_report_fields: tuple[str, ...] = ()
    """Names of the values of a load report, among: rif, q, busy, lat_ms, rate, fail_rate."""
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0
    connection_price: float = 0.0
    wasted_work_price: float = 0.0
    weight_by_work: bool = False
    key_affinity: bool = False
    """Whether an endpoint serves a key with less work if it served that key recently."""
    scheduling_tick_ns: int = 5_000_000
    """The least time between two scheduling turns of a sidecar."""


class Endpoint(NamedTuple):
    """An entry of the endpoint list."""

    id: EndpointId
    zone: int
    machine_class: int
    cell: int
    """Part of a zone; see `DeduplicationScope`."""
    health: EndpointHealth
    weight: float
    """Registered capacity, relative to other endpoints."""
    started_at_ns: int
    """Time of its most recent start; 0 if that was long ago."""


class Started(NamedTuple):
    """The first event of every instance."""


class EndpointUpdate(NamedTuple):
    """Discovery delivered endpoints, or a call to it failed."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client sent a request, which has to get exactly one final answer."""

    request_id: int
    class_index: int
    tenant_index: int
    key_hash: int
    """Hash of the request's key; 0 if it has none."""
    expires_at_ns: int
    """When the client gives up this request."""
    work_hint_ns: int
    """Expected work; 0 if unknown."""
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
    """Whether the request already had its final answer."""
    load_report: tuple[float, ...]
    """Values in the order of `Settings.load_report_fields`; may be empty."""


class StreamStarted(NamedTuple):
    """An answer began to stream to the client: it has no deadline and is not retried any more."""

    request_id: int


class ClientDisconnected(NamedTuple):
    """The client disconnected: the request needs no answer."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that `SetTimer` started is due."""

    token: int


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
    """How long to wait for the answer; 0 to wait until the client gives up."""
    start_before_ns: int = 0
    """Time from which it must not be sent, in case its connection is late; 0 for no limit."""


class RejectRequest(NamedTuple):
    """Give the final answer that the request is rejected and may be retried by the client."""

    request_id: int
    retry_after_ns: int
    """`Retry-After` for the client; 0 for none."""


class FailRequest(NamedTuple):
    """Give the final answer that the request failed and may have been executed."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt, at the endpoint as well."""

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
    """The index of the sidecar; -1 for all."""
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

"""The interface of the decision module: settings, events in, actions out. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, TypeAlias

EndpointId: TypeAlias = bytes


class Idempotency(IntEnum):
    """What a second run of a request would do."""

    IDEMPOTENT = 0  # may be repeated freely
    IDEMPOTENCY_KEY = 1  # repeats are dropped by the endpoints of one group, for a time
    NOT_IDEMPOTENT = 2  # must never run twice


class DeduplicationScope(IntEnum):
    """Which endpoints drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class EndpointHealth(IntEnum):
    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(IntEnum):
    DISCOVERY_FAILED = 0  # a call to discovery failed; the list in hand stays
    CACHED = 1  # the list as last held, perhaps stale
    DELTA = 2  # changed entries only
    SNAPSHOT = 3  # the complete list


class AttemptOutcome(IntEnum):
    SUCCESS = 0
    SERVER_ERROR = 1  # the endpoint answered with an error; it may have run
    REJECTED = 2  # turned away unseen
    TIMEOUT = 3  # no answer in time; it may have run, or still run
    CONNECT_FAILED = 4  # no connection, so it never ran
    CONNECTION_RESET = 5  # the connection broke while the attempt was out
    CANCELLED = 6  # called off; it may have run
    NOT_SENT = 7  # never sent: the request was over, out of time or out of attempts
    CLIENT_ERROR = 8  # the endpoint answered that the request itself is wrong: so would any other


OUTCOMES_NEVER_EXECUTED = frozenset(
    (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
)


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_objective_ns: int  # an answer within this time earns the full worth
    client_timeout_ns: int  # all the time a client waits, over its tries
    priority_weight: float
    late_answer_value: float = 0.0  # share of the worth that an answer after the aim still earns
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0  # how long repeats of a keyed request are dropped
    objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_requests_per_second: float  # over all sidecars


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    instance_index: int = 0  # this sidecar's number
    instance_count: int = 1  # how many sidecars there are
    local_zone: int = 0
    zone_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    polls_discovery: bool = False
    discovery_poll_window_ns: int = 10_000_000_000
    slow_start_capacity: float = 1.0  # a starting endpoint can do at least this share of its work
    slow_start_duration_ns: int = 0  # and is warm after this time
    cold_overload_multiple: float = 2.0
    max_attempts: int = 3
    streams_per_connection: int = 1  # attempts that a connection carries at once
    attempts_can_be_cancelled: bool = False
    concurrent_attempts_allowed: bool = False
    gossip_enabled: bool = False
    health_checks_enabled: bool = False
    max_retry_after_ns: int = 0  # longest advice to stay away that clients heed; 0: they get none
    load_report_fields: tuple[str, ...] = ()  # among: rif, q, busy, lat_ms, rate, fail_rate
    cross_zone_price: float = 0.0  # per crossing attempt, as a share of the mean worth of a request
    handshake_price: float = 0.0
    connection_price: float = 0.0
    wasted_work_price: float = 0.0
    weight_by_work: bool = False
    key_affinity: bool = False  # serving a key again soon takes an endpoint less work
    scheduling_tick_ns: int = 5_000_000  # least time between two turns of a sidecar


class Endpoint(NamedTuple):
    id: EndpointId
    zone: int
    machine_class: int
    cell: int
    health: int  # a EndpointHealth
    weight: float  # registered size, compared with other endpoints
    started_at_ns: int  # clock of its most recent start; 0: long ago


class Started(NamedTuple):
    """The first event of every instance."""


class EndpointUpdate(NamedTuple):
    kind: int  # a EndpointUpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    request_id: int
    class_index: int
    tenant_index: int
    key_hash: int  # 0: none
    expires_at_ns: int  # clock at which the client abandons this try
    work_hint_ns: int  # expected work; 0: none
    is_retry: bool  # marked by the client as a further try


class AttemptCompleted(NamedTuple):
    request_id: int
    attempt_index: int
    endpoint_id: EndpointId
    outcome: int  # an Outcome
    duration_ns: int
    request_finished: bool  # the request has its final answer
    load_report: tuple[float, ...]  # in the order of Settings.report_fields; may be empty


class StreamStarted(NamedTuple):
    request_id: int


class ClientDisconnected(NamedTuple):
    """The client has left: nothing more is owed."""

    request_id: int


class TimerFired(NamedTuple):
    token: int


class HealthCheckCompleted(NamedTuple):
    endpoint_id: EndpointId
    outcome: int
    duration_ns: int
    load_report: tuple[float, ...]


class GossipReceived(NamedTuple):
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
    request_id: int
    endpoint_id: EndpointId
    timeout_ns: int  # 0: until the client gives up
    start_before_ns: int = (
        0  # clock from which it must not begin any more, should its connection be late; 0: none
    )


class RejectRequest(NamedTuple):
    """Final answer: declined; a retry does no harm."""

    request_id: int
    retry_after_ns: int  # advice to the client; 0: none


class FailRequest(NamedTuple):
    """Final answer: failed; it may have run."""

    request_id: int


class CancelAttempt(NamedTuple):
    request_id: int
    attempt_index: int


class SetTimer(NamedTuple):
    delay_ns: int
    token: int


class WatchEndpoints(NamedTuple):
    """Ask discovery for the changes from now on."""

    enabled: bool


class FetchEndpoints(NamedTuple):
    """Ask discovery for the whole list once."""


class StartHealthCheck(NamedTuple):
    endpoint_id: EndpointId


class CloseIdleConnections(NamedTuple):
    endpoint_id: EndpointId


class SendGossip(NamedTuple):
    recipient_index: int  # a sidecar's number; -1: all
    payload: bytes


class WriteLog(NamedTuple):
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

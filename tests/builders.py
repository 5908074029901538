"""Functions that build request classes, settings, endpoints and events with defaults that suit most tests."""

from __future__ import annotations

from dataclasses import replace
from typing import TypedDict, Unpack

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    DeduplicationScope,
    Endpoint,
    EndpointHealth,
    EndpointId,
    Idempotency,
    RequestClass,
    RequestReceived,
    Settings,
    Tenant,
)
from balancer.time_units import MILLISECOND_NS, SECOND_NS

START_NS = 50 * SECOND_NS
"""The time at which the clock of a test starts: late enough that no time in a test is negative."""


class SettingsOverrides(TypedDict, total=False):
    """The fields of `Settings` that a test may set."""

    sidecar_index: int
    sidecar_count: int
    zone_count: int
    tenants: tuple[Tenant, ...]
    polls_discovery: bool
    discovery_poll_window_ns: int
    slow_start_capacity: float
    slow_start_duration_ns: int
    warming_overload_multiple: float
    max_attempts: int
    streams_per_connection: int
    gossip_enabled: bool
    health_checks_enabled: bool
    max_retry_after_ns: int
    load_report_fields: tuple[str, ...]
    cross_zone_price: float
    handshake_price: float
    connection_price: float
    key_affinity: bool


def request_class(
    *,
    latency_objective_ns: int = 500 * MILLISECOND_NS,
    client_timeout_ns: int = 2 * SECOND_NS,
    priority_weight: float = 1.0,
    late_response_value: float = 0.0,
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
    deduplication_window_ns: int = 5 * SECOND_NS,
) -> RequestClass:
    """Build a class of idempotent requests whose responses have no value after the latency objective."""
    return RequestClass(
        name="c",
        latency_objective_ns=latency_objective_ns,
        client_timeout_ns=client_timeout_ns,
        priority_weight=priority_weight,
        late_response_value=late_response_value,
        idempotency=idempotency,
        deduplication_scope=deduplication_scope,
        deduplication_window_ns=deduplication_window_ns,
    )


def settings(*classes: RequestClass, **overrides: Unpack[SettingsOverrides]) -> Settings:
    """Build the settings of a sidecar whose endpoints warm up for 8 s from 0.3 of their capacity."""
    base = Settings(
        classes=classes or (request_class(),),
        slow_start_capacity=0.3,
        slow_start_duration_ns=8 * SECOND_NS,
        max_attempts=5,
        attempts_can_be_cancelled=True,
    )
    return replace(base, **overrides)


LOW_PRIORITY = request_class(priority_weight=1.0)
HIGH_PRIORITY = request_class(priority_weight=5.0)


def two_priority_settings(**overrides: Unpack[SettingsOverrides]) -> Settings:
    """Build settings with a class of low priority (index 0) and one of high priority (index 1)."""
    return settings(LOW_PRIORITY, HIGH_PRIORITY, **overrides)


def endpoint_id(number: int) -> EndpointId:
    """Return the id of the endpoint with this number."""
    return number.to_bytes(6, "little")


def endpoint_number(identifier: EndpointId) -> int:
    """Return the number that `endpoint_id` was called with."""
    return int.from_bytes(identifier, "little")


def endpoint(
    number: int,
    health: EndpointHealth = EndpointHealth.READY,
    zone: int = 0,
    *,
    cell: int = 0,
    started_at_ns: int = 0,
) -> Endpoint:
    """Build an entry of the endpoint list; without `started_at_ns` the endpoint started long ago."""
    return Endpoint(
        id=endpoint_id(number),
        zone=zone,
        machine_class=0,
        cell=cell,
        health=health,
        weight=1.0,
        started_at_ns=started_at_ns,
    )


def request_received(
    request_id: int,
    expires_at_ns: int,
    *,
    class_index: int = 0,
    tenant_index: int = 0,
    key_hash: int = 0,
    is_retry: bool = False,
) -> RequestReceived:
    """Build the event of a request that arrives without a work hint."""
    return RequestReceived(
        request_id=request_id,
        class_index=class_index,
        tenant_index=tenant_index,
        key_hash=key_hash,
        expires_at_ns=expires_at_ns,
        work_hint_ns=0,
        is_retry=is_retry,
    )


def attempt_completed(
    request_id: int,
    identifier: EndpointId,
    outcome: AttemptOutcome,
    duration_ns: int,
    *,
    attempt_index: int = 0,
    request_finished: bool = False,
) -> AttemptCompleted:
    """Build the event of an attempt that ends without a load report."""
    return AttemptCompleted(
        request_id=request_id,
        attempt_index=attempt_index,
        endpoint_id=identifier,
        outcome=outcome,
        duration_ns=duration_ns,
        request_finished=request_finished,
        load_report=(),
    )

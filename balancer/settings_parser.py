"""Translates the settings of an instance, as nested JSON, into the typed settings of the decisions."""

from __future__ import annotations

import json
from typing import Any

from balancer.errors import ConfigurationError
from balancer.policy_api import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant

_EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENCY_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


class SettingsError(ConfigurationError):
    """A setting is missing or invalid."""


def parse_settings(text: bytes) -> Settings:
    """Translate the JSON settings of an instance.

    Raises SettingsError, which names the missing or invalid key.
    """
    try:
        top = json.loads(text)
    except ValueError as problem:
        raise SettingsError(f"settings are not JSON: {problem}") from None
    if not isinstance(top, dict):
        raise SettingsError("settings are not an object")
    limits, rules, prices = (read_object(top, key) for key in ("Limits", "Rules", "Deductions"))
    stats = read_object(top, "Stats")
    fields = tuple(str(x) for x in read_list(stats, "Fields"))
    classes = tuple(_request_class(c) for c in read_list(top, "Categories"))
    if not classes:
        raise SettingsError("settings: Categories is empty")
    tenants = tuple(
        Tenant(str(t.get("Name", "")), read_number(t, "QuotaPerS", 0)) for t in read_list(top, "Orgs")
    )
    return Settings(
        classes=classes,
        instance_index=int(read_number(top, "Position", 0)),
        instance_count=int(read_number(top, "NInstances", 1, low=1)),
        local_zone=int(read_number(top, "Zone", 0)),
        zone_count=max(1, len(read_list(top, "Azs"))),
        tenants=tenants,
        over_quota_weight=read_number(top, "OverShareWorth", 1),
        polls_discovery=top.get("Discovery") == "on_request",
        discovery_poll_window_ns=int(read_number(rules, "AskWithinNs", 10_000_000_000)),
        slow_start_capacity=read_number(rules, "ColdFrom", 1),
        slow_start_duration_ns=int(read_number(rules, "ColdNs", 0)),
        cold_overload_multiple=read_number(rules, "FallMultiple", 2),
        max_attempts=int(read_number(limits, "MaxAttempts", 1, low=1)),
        streams_per_connection=int(read_number(limits, "StreamsPerConn", 1, low=1)),
        attempts_can_be_cancelled=bool(limits.get("Cancel")),
        concurrent_attempts_allowed=bool(limits.get("ParallelTries")),
        gossip_enabled=bool(limits.get("Peers")),
        health_checks_enabled=bool(limits.get("Probes")),
        max_retry_after_ns=int(read_number(limits, "MaxRetryAfterNs", 0)) if limits.get("RetryAfter") else 0,
        load_report_fields=() if stats.get("Via") == "off" else fields,
        cross_zone_price=read_number(prices, "CrossZone", 0),
        handshake_price=read_number(prices, "Handshake", 0),
        connection_price=read_number(prices, "Connection", 0),
        wasted_work_price=read_number(prices, "Waste", 0),
        weight_by_work=top.get("WorthBy") == "work",
        key_affinity=bool(read_object(top, "Extra").get("WarmKeys")),
        scheduling_tick_ns=int(read_number(top, "TickNs", 5_000_000, low=1)),
    )


def _request_class(c: Any) -> RequestClass:
    if not isinstance(c, dict):
        raise SettingsError("settings: Categories holds something that is not an object")
    effect, scope = c.get("Effect"), c.get("KeyScope", "all")
    if effect not in _EFFECTS:
        raise SettingsError(f"settings: Effect is {effect!r}")
    if scope not in _SCOPES:
        raise SettingsError(f"settings: KeyScope is {scope!r}")
    return RequestClass(
        name=str(c.get("Name", "")),
        latency_objective_ns=int(read_number(c, "AimNs", low=1)),
        client_timeout_ns=int(read_number(c, "HardLimitNs", low=1)),
        priority_weight=read_number(c, "Importance", 0),
        late_answer_value=read_number(c, "LateWorth", 0),
        idempotency=_EFFECTS[effect],
        deduplication_scope=_SCOPES[scope],
        deduplication_window_ns=int(read_number(c, "WindowNs", 0)),
        objective_stretch=read_number(c, "AimStretch", 0),
    )


def read_object(parent: dict[str, Any], key: str) -> dict[str, Any]:
    value = parent.get(key, {})
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {key} is not an object")
    return value


def read_list(parent: dict[str, Any], key: str) -> list[Any]:
    value = parent.get(key)
    if value is None:
        return []
    if not isinstance(value, list):
        raise SettingsError(f"settings: {key} is not a list")
    return value


def read_number(parent: dict[str, Any], key: str, default: float | None = None, low: float = 0) -> float:
    value = parent.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < float("inf"):
        raise SettingsError(f"settings: {key} is {value!r}")
    return value

"""Translates the settings of an instance, which are nested JSON, into the typed settings of the policy."""

from __future__ import annotations

import json
from dataclasses import replace

from balancer.errors import ConfigurationError
from balancer.json_object import JsonObject, is_object
from balancer.policy_api import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant
from balancer.time_units import MILLISECOND_NS, SECOND_NS

DEFAULT_POLL_WINDOW_NS = 10 * SECOND_NS
"""Within how long of its start a sidecar calls discovery, where the settings do not say."""

DEFAULT_SCHEDULING_TICK_NS = 5 * MILLISECOND_NS
"""The shortest time between two turns of a sidecar, where the settings do not say."""

_IDEMPOTENCY_BY_NAME = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENCY_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
"""The values of a class's `Effect`."""

_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
"""The values of a class's `KeyScope`."""


class SettingsError(ConfigurationError):
    """A setting is missing or invalid. The key is empty where it is the settings as a whole."""

    def __str__(self) -> str:
        if not self.key:
            return f"settings {self.problem}"
        return f"settings: {self.key} {self.problem}"


def parse_settings(text: bytes) -> Settings:
    """Translate the JSON settings of an instance.

    Raises SettingsError, which names the missing or invalid key.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        raise SettingsError("", f"are not JSON: {error}") from None
    if not is_object(value):
        raise SettingsError("", "are not an object", value)
    return read_settings(JsonObject(value, SettingsError))


def read_settings(top: JsonObject) -> Settings:
    """Translate the settings of an instance from JSON that is decoded.

    Raises SettingsError, which names the missing or invalid key, if `top` was made with it.
    """
    classes = tuple(_read_request_class(fields) for fields in top.read_objects("Categories"))
    if not classes:
        raise SettingsError("Categories", "is empty")
    settings = Settings(classes=classes)
    settings = _add_sidecar_position(settings, top)
    settings = _add_tenants(settings, top)
    settings = _add_discovery(settings, top)
    settings = _add_limits(settings, top.read_object("Limits"))
    settings = _add_slow_start(settings, top.read_object("Rules"))
    settings = _add_prices(settings, top.read_object("Deductions"))
    settings = _add_load_reports(settings, top.read_object("Stats"))
    return replace(
        settings,
        weight_by_work=top.get("WorthBy") == "work",
        key_affinity=top.read_object("Extra").read_flag("WarmKeys"),
        scheduling_tick_ns=top.read_integer("TickNs", DEFAULT_SCHEDULING_TICK_NS, minimum=1),
    )


def _read_request_class(fields: JsonObject) -> RequestClass:
    """Return one entry of `Categories`."""
    return RequestClass(
        name=fields.read_text("Name"),
        latency_objective_ns=fields.read_integer("AimNs", minimum=1),
        client_timeout_ns=fields.read_integer("HardLimitNs", minimum=1),
        priority_weight=fields.read_number("Importance", 0),
        late_response_value=fields.read_number("LateWorth", 0),
        idempotency=fields.read_choice("Effect", _IDEMPOTENCY_BY_NAME),
        deduplication_scope=fields.read_choice("KeyScope", _SCOPE_BY_NAME, "all"),
        deduplication_window_ns=fields.read_integer("WindowNs", 0),
        objective_stretch=fields.read_number("AimStretch", 0),
    )


def _add_sidecar_position(settings: Settings, top: JsonObject) -> Settings:
    """Add the position of this sidecar among all of them, and its zone."""
    return replace(
        settings,
        sidecar_index=top.read_integer("Position", 0),
        sidecar_count=top.read_integer("NInstances", 1, minimum=1),
        local_zone=top.read_integer("Zone", 0),
        zone_count=max(1, len(top.read_list("Azs"))),
    )


def _add_tenants(settings: Settings, top: JsonObject) -> Settings:
    """Add the tenants and the weight of requests over a quota."""
    tenants = tuple(
        Tenant(fields.read_text("Name"), fields.read_number("QuotaPerS", 0))
        for fields in top.read_objects("Orgs")
    )
    return replace(settings, tenants=tenants, over_quota_weight=top.read_number("OverShareWorth", 1))


def _add_discovery(settings: Settings, top: JsonObject) -> Settings:
    """Add whether discovery is polled, and within which time of the start."""
    rules = top.read_object("Rules")
    return replace(
        settings,
        polls_discovery=top.get("Discovery") == "on_request",
        discovery_poll_window_ns=rules.read_integer("AskWithinNs", DEFAULT_POLL_WINDOW_NS),
    )


def _add_limits(settings: Settings, limits: JsonObject) -> Settings:
    """Add the limits on attempts and connections, and the optional features that are enabled."""
    clients_heed_retry_after = limits.read_flag("RetryAfter")
    return replace(
        settings,
        max_attempts=limits.read_integer("MaxAttempts", 1, minimum=1),
        streams_per_connection=limits.read_integer("StreamsPerConn", 1, minimum=1),
        attempts_can_be_cancelled=limits.read_flag("Cancel"),
        concurrent_attempts_allowed=limits.read_flag("ParallelTries"),
        gossip_enabled=limits.read_flag("Peers"),
        health_checks_enabled=limits.read_flag("Probes"),
        max_retry_after_ns=limits.read_integer("MaxRetryAfterNs", 0) if clients_heed_retry_after else 0,
    )


def _add_slow_start(settings: Settings, rules: JsonObject) -> Settings:
    """Add the capacity of endpoints that are warming up."""
    return replace(
        settings,
        slow_start_capacity=rules.read_number("ColdFrom", 1),
        slow_start_duration_ns=rules.read_integer("ColdNs", 0),
        warming_overload_multiple=rules.read_number("FallMultiple", 2),
    )


def _add_prices(settings: Settings, prices: JsonObject) -> Settings:
    """Add the prices of what an attempt may cost."""
    return replace(
        settings,
        cross_zone_price=prices.read_number("CrossZone", 0),
        handshake_price=prices.read_number("Handshake", 0),
        connection_price=prices.read_number("Connection", 0),
        wasted_work_price=prices.read_number("Waste", 0),
    )


def _add_load_reports(settings: Settings, statistics: JsonObject) -> Settings:
    """Add the fields of load reports; none where these are switched off."""
    field_names = tuple(str(name) for name in statistics.read_list("Fields"))
    are_off = statistics.get("Via") == "off"
    return replace(settings, load_report_fields=() if are_off else field_names)

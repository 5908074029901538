"""Converts the settings of a sidecar from nested JSON to the typed settings of the policy."""

from __future__ import annotations

import json
from dataclasses import replace

from balancer.errors import ConfigurationError
from balancer.json_object import JsonObject, is_object
from balancer.policy_api import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant
from balancer.time_units import MILLISECOND_NS, SECOND_NS

DEFAULT_POLL_WINDOW_NS = 10 * SECOND_NS
"""The time after its start within which a sidecar polls discovery, unless the settings say otherwise."""

DEFAULT_SCHEDULING_TICK_NS = 5 * MILLISECOND_NS
"""The default of `Settings.scheduling_tick_ns`, used unless the settings say otherwise."""

_IDEMPOTENCY_BY_NAME = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENCY_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
"""The values of the key `Effect` of a request class."""

_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
"""The values of the key `KeyScope` of a request class."""


class SettingsError(ConfigurationError):
    """A setting is missing or invalid; the key is empty if the settings as a whole are invalid."""

    def __str__(self) -> str:
        if not self.key:
            return f"settings {self.problem}"
        return f"settings: {self.key} {self.problem}"


def parse_settings(text: bytes) -> Settings:
    """Parse the JSON text of the settings of a sidecar.

    Raises SettingsError, which names the missing or invalid key.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        raise SettingsError("", f"are not valid JSON: {error}") from None
    if not is_object(value):
        raise SettingsError("", "are not a JSON object", value)
    return read_settings(JsonObject(value, SettingsError))


def read_settings(top: JsonObject) -> Settings:
    """Convert the decoded JSON settings of a sidecar.

    Raises SettingsError, which names the missing or invalid key, if it is the `make_error` of `top`.
    """
    classes = tuple(_read_request_class(fields) for fields in top.read_objects("Categories"))
    if not classes:
        raise SettingsError("Categories", "must hold at least one request class, got none")
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
    """Convert one entry of `Categories`."""
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
    """Add the index of this sidecar, the number of all sidecars, its zone and the number of zones."""
    return replace(
        settings,
        sidecar_index=top.read_integer("Position", 0),
        sidecar_count=top.read_integer("NInstances", 1, minimum=1),
        local_zone=top.read_integer("Zone", 0),
        zone_count=max(1, len(top.read_list("Azs"))),
    )


def _add_tenants(settings: Settings, top: JsonObject) -> Settings:
    """Add the tenants and the weight of requests beyond a quota."""
    tenants = tuple(
        Tenant(fields.read_text("Name"), fields.read_number("QuotaPerS", 0))
        for fields in top.read_objects("Orgs")
    )
    return replace(settings, tenants=tenants, over_quota_weight=top.read_number("OverShareWorth", 1))


def _add_discovery(settings: Settings, top: JsonObject) -> Settings:
    """Add whether discovery is polled, and within which time after the start."""
    rules = top.read_object("Rules")
    return replace(
        settings,
        polls_discovery=top.get("Discovery") == "on_request",
        discovery_poll_window_ns=rules.read_integer("AskWithinNs", DEFAULT_POLL_WINDOW_NS),
    )


def _add_limits(settings: Settings, limits: JsonObject) -> Settings:
    """Add the limits on attempts and connections, and the optional features that are enabled."""
    clients_respect_retry_after = limits.read_flag("RetryAfter")
    return replace(
        settings,
        max_attempts=limits.read_integer("MaxAttempts", 1, minimum=1),
        streams_per_connection=limits.read_integer("StreamsPerConn", 1, minimum=1),
        attempts_can_be_cancelled=limits.read_flag("Cancel"),
        concurrent_attempts_allowed=limits.read_flag("ParallelTries"),
        gossip_enabled=limits.read_flag("Peers"),
        health_checks_enabled=limits.read_flag("Probes"),
        max_retry_after_ns=limits.read_integer("MaxRetryAfterNs", 0) if clients_respect_retry_after else 0,
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
    """Add the prices that an attempt may incur."""
    return replace(
        settings,
        cross_zone_price=prices.read_number("CrossZone", 0),
        handshake_price=prices.read_number("Handshake", 0),
        connection_price=prices.read_number("Connection", 0),
        wasted_work_price=prices.read_number("Waste", 0),
    )


def _add_load_reports(settings: Settings, statistics: JsonObject) -> Settings:
    """Add the fields of load reports; none if load reports are switched off."""
    field_names = tuple(str(name) for name in statistics.read_list("Fields"))
    are_off = statistics.get("Via") == "off"
    return replace(settings, load_report_fields=() if are_off else field_names)

"""The settings object in a sidecar's configuration; its keys are those of the settings format."""

from __future__ import annotations

from typing import Any

from soak.deployment import TENANTS, ZONES, Deployment, Idempotency, RequestClass

SECOND_NS = 1_000_000_000
TENANT_PORTION = 0.5
"""Share of the capacity that each of the two tenants has."""
TENANT_QUOTA_PER_SECOND = 1000.0
"""Requests a second; more than the whole load, so that no request is rejected for its tenant's quota."""
CONNECT_TIMEOUT_NS = 150_000_000
"""Nanoseconds; shorter than the shortest latency objective, so that a retry is still useful."""
CONNECTION_IDLE_NS = 6 * SECOND_NS
"""Nanoseconds; short enough for idle connections to be closed during a soak."""
MAX_RETRY_AFTER_NS = SECOND_NS
"""Nanoseconds; the longest time after which a rejected client is asked to retry."""
RESPONSE_SLACK_NS = 20_000_000
"""Nanoseconds; part of the settings format, but the sidecar does not read it."""
POLL_WINDOW_NS = 3 * SECOND_NS
"""Nanoseconds within which sidecars that poll discovery have to do so again."""
COST_DEDUCTIONS = {"Connection": 0.06, "CrossZone": 0.016, "Handshake": 0.06, "Waste": 0.08}
"""Cost of a connection, a request across zones, a handshake and a wasted attempt, in request values."""
NOT_IDEMPOTENT_PRIORITY = 5.0
"""Priority weight of requests that must not be repeated: a failure of these costs most."""
DEFAULT_PRIORITY = 3.0
"""Priority weight of all other requests."""


def settings_document(deployment: Deployment, position: int) -> dict[str, Any]:
    """Return the settings of the sidecar at a position in the fleet."""
    return {
        "Azs": list(ZONES),
        "Kinds": ["kind"],
        "Categories": [_category(request_class) for request_class in deployment.request_classes],
        "Orgs": [_organization(tenant) for tenant in TENANTS],
        "Limits": _limits(deployment),
        "Rules": _rules(deployment),
        "Discovery": "on_request" if deployment.is_discovery_polled else "pushed",
        "Deductions": COST_DEDUCTIONS,
        "Extra": {"WarmKeys": True},
        "NInstances": deployment.sidecar_count,
        "Position": position,
        "Zone": position % len(ZONES),
    }


def _organization(tenant: str) -> dict[str, Any]:
    return {"Name": tenant, "Portion": TENANT_PORTION, "QuotaPerS": TENANT_QUOTA_PER_SECOND}


def _limits(deployment: Deployment) -> dict[str, Any]:
    return {
        "MaxAttempts": deployment.max_attempts,
        "Cancel": True,
        "Probes": True,
        "RetryAfter": True,
        "MaxRetryAfterNs": MAX_RETRY_AFTER_NS,
        "ConnectTimeoutNs": CONNECT_TIMEOUT_NS,
        "ConnIdleNs": CONNECTION_IDLE_NS,
        "ParallelTries": False,
    }


def _rules(deployment: Deployment) -> dict[str, Any]:
    return {
        "AnswerSlackNs": RESPONSE_SLACK_NS,
        "AskWithinNs": POLL_WINDOW_NS,
        "DrainGraceNs": _nanoseconds(deployment.drain_grace_seconds),
        "ColdFrom": deployment.initial_capacity_share,
        "ColdNs": _nanoseconds(deployment.warm_up_seconds),
        "FallMultiple": deployment.overload_multiple,
        "FallNs": _nanoseconds(deployment.overload_window_seconds),
    }


def _category(request_class: RequestClass) -> dict[str, Any]:
    is_repeatable = request_class.idempotency != Idempotency.NOT_IDEMPOTENT
    return {
        "Name": request_class.name,
        "Effect": request_class.idempotency.value,
        "AimNs": _nanoseconds(request_class.latency_objective_seconds),
        "HardLimitNs": _nanoseconds(request_class.timeout_seconds),
        "Importance": DEFAULT_PRIORITY if is_repeatable else NOT_IDEMPOTENT_PRIORITY,
        "LateWorth": request_class.late_response_value,
        "KeyScope": request_class.deduplication_scope.value,
        "WindowNs": _nanoseconds(request_class.deduplication_window_seconds),
        "Stream": False,
    }


def _nanoseconds(seconds: float) -> int:
    return int(seconds * SECOND_NS)

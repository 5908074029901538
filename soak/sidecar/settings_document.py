"""The settings document in a sidecar's configuration; its keys are those of the settings format."""

from __future__ import annotations

from typing import Any

from soak.deployment import TENANTS, ZONES, Deployment, Idempotency, RequestClass

SECOND_NS = 1_000_000_000
TENANT_CAPACITY_SHARE = 0.5
"""Share of the capacity that each of the two tenants has."""
TENANT_QUOTA_PER_SECOND = 1000.0
"""Requests a second; more than the whole load, so that no request is rejected for its tenant's quota."""
CONNECT_TIMEOUT_NS = 150_000_000
"""Nanoseconds; shorter than the shortest latency objective, so that a retry is still useful."""
CONNECTION_IDLE_TIMEOUT_NS = 6 * SECOND_NS
"""Nanoseconds; short enough for idle connections to be closed during a soak."""
MAX_RETRY_AFTER_NS = SECOND_NS
"""Nanoseconds; the longest time that a rejected client is asked to wait before a retry."""
RESPONSE_SLACK_NS = 20_000_000
"""Nanoseconds; part of the settings format, but the sidecar does not read it."""
POLL_WINDOW_NS = 3 * SECOND_NS
"""Nanoseconds within which sidecars that poll discovery have to poll it again."""
ATTEMPT_PRICES = {"Connection": 0.06, "CrossZone": 0.016, "Handshake": 0.06, "Waste": 0.08}
"""Prices of a connection, a cross-zone request, a handshake and a wasted attempt.

Their unit is the mean weight of a request.
"""
NOT_IDEMPOTENT_PRIORITY_WEIGHT = 5.0
"""Priority weight of requests that are not idempotent, whose failure costs the most."""
DEFAULT_PRIORITY_WEIGHT = 3.0
"""Priority weight of all other requests."""


def settings_document(deployment: Deployment, position: int) -> dict[str, Any]:
    """Return the settings of the sidecar at a position in the fleet, counted from 0."""
    return {
        "Azs": list(ZONES),
        "Kinds": ["kind"],
        "Categories": [
            _request_class_settings(request_class) for request_class in deployment.request_classes
        ],
        "Orgs": [_tenant_settings(tenant) for tenant in TENANTS],
        "Limits": _limit_settings(deployment),
        "Rules": _rule_settings(deployment),
        "Discovery": "on_request" if deployment.is_discovery_polled else "pushed",
        "Deductions": ATTEMPT_PRICES,
        "Extra": {"WarmKeys": True},
        "NInstances": deployment.sidecar_count,
        "Position": position,
        "Zone": position % len(ZONES),
    }


def _tenant_settings(tenant: str) -> dict[str, Any]:
    return {"Name": tenant, "Portion": TENANT_CAPACITY_SHARE, "QuotaPerS": TENANT_QUOTA_PER_SECOND}


def _limit_settings(deployment: Deployment) -> dict[str, Any]:
    return {
        "MaxAttempts": deployment.max_attempts,
        "Cancel": True,
        "Probes": True,
        "RetryAfter": True,
        "MaxRetryAfterNs": MAX_RETRY_AFTER_NS,
        "ConnectTimeoutNs": CONNECT_TIMEOUT_NS,
        "ConnIdleNs": CONNECTION_IDLE_TIMEOUT_NS,
        "ParallelTries": False,
    }


def _rule_settings(deployment: Deployment) -> dict[str, Any]:
    return {
        "AnswerSlackNs": RESPONSE_SLACK_NS,
        "AskWithinNs": POLL_WINDOW_NS,
        "DrainGraceNs": _nanoseconds(deployment.drain_grace_seconds),
        "ColdFrom": deployment.initial_capacity_share,
        "ColdNs": _nanoseconds(deployment.warm_up_seconds),
        "FallMultiple": deployment.overload_multiple,
        "FallNs": _nanoseconds(deployment.overload_window_seconds),
    }


def _request_class_settings(request_class: RequestClass) -> dict[str, Any]:
    is_retryable = request_class.idempotency != Idempotency.NOT_IDEMPOTENT
    return {
        "Name": request_class.name,
        "Effect": request_class.idempotency.value,
        "AimNs": _nanoseconds(request_class.latency_objective_seconds),
        "HardLimitNs": _nanoseconds(request_class.timeout_seconds),
        "Importance": DEFAULT_PRIORITY_WEIGHT if is_retryable else NOT_IDEMPOTENT_PRIORITY_WEIGHT,
        "LateWorth": request_class.late_response_value,
        "KeyScope": request_class.deduplication_scope.value,
        "WindowNs": _nanoseconds(request_class.deduplication_window_seconds),
        "Stream": False,
    }


def _nanoseconds(seconds: float) -> int:
    return int(seconds * SECOND_NS)

"""The registry of all checks of invariants."""

from __future__ import annotations

from soak.deployment import Deployment
from soak.history.history import History
from soak.invariants.attempts import (
    check_deadline_propagation,
    check_disconnected_clients,
    check_request_integrity,
    check_retries,
)
from soak.invariants.endpoint_list import check_drains
from soak.invariants.processes import check_malformed_peers, check_processes, check_recovery
from soak.invariants.responses import check_final_responses, check_rejections, check_response_origin
from soak.invariants.slow_start import check_slow_start, check_traffic_share
from soak.invariants.violation import Check, Violation

CHECKS: tuple[Check, ...] = (
    check_final_responses,
    check_response_origin,
    check_rejections,
    check_request_integrity,
    check_retries,
    check_disconnected_clients,
    check_deadline_propagation,
    check_drains,
    check_slow_start,
    check_traffic_share,
    check_processes,
    check_malformed_peers,
    check_recovery,
)
"""All checks, which run on each history; the check of a new invariant is added here."""


def check_all(history: History, deployment: Deployment) -> list[Violation]:
    """Return all violations of a history, the earliest first."""
    violations = [violation for check in CHECKS for violation in check(history, deployment)]
    return sorted(violations, key=lambda violation: violation.at_seconds)

"""Invariants on executions: a request that may have been executed is retried only where that is safe."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    AttemptOutcome,
    DeduplicationScope,
    Endpoint,
    EndpointId,
    Idempotency,
    RequestClass,
)
from tests.policy.request_ledger import AttemptInFlight, OpenRequest


class PossibleExecution(NamedTuple):
    """The endpoint where a request may have been executed, and the start of that attempt."""

    endpoint_id: EndpointId
    started_at_ns: int


@dataclass(slots=True)
class CheckedRequest(OpenRequest):
    """An open request with its first possible execution."""

    first_execution: PossibleExecution | None = None

    def record_outcome(self, attempt: AttemptInFlight, outcome: AttemptOutcome) -> None:
        """Record the first attempt that may have been executed."""
        if outcome not in OUTCOMES_NEVER_EXECUTED and self.first_execution is None:
            self.first_execution = PossibleExecution(attempt.endpoint_id, attempt.started_at_ns)


def check_retry_is_safe(
    request_class: RequestClass,
    first_execution: PossibleExecution,
    first: Endpoint,
    retried: Endpoint,
    now_ns: int,
) -> None:
    """Check that a retry is safe: the request is idempotent, or the retry is dropped as a duplicate."""
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return
    assert request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
    assert now_ns - first_execution.started_at_ns < request_class.deduplication_window_ns
    if request_class.deduplication_scope != DeduplicationScope.ALL:
        assert first.zone == retried.zone
    if request_class.deduplication_scope == DeduplicationScope.CELL:
        assert first.cell == retried.cell


def check_client_may_retry(request_class: RequestClass) -> None:
    """Check that the client may safely retry a request that may have been executed."""
    assert request_class.idempotency == Idempotency.IDEMPOTENT or (
        request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope == DeduplicationScope.ALL
    )

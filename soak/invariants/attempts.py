"""Invariants of the attempts that reach account servers: retries, disconnected clients and deadlines."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass

from soak.deployment import DeduplicationScope, Deployment, Idempotency, RequestClass
from soak.history.events import Attempt, ClientRequest
from soak.history.history import History
from soak.invariants.exemptions import was_stopped
from soak.invariants.tolerances import OBSERVATION_ORDER_SECONDS, SOCKET_SLACK_SECONDS
from soak.invariants.violation import Invariant, Violation, request_violation

MAX_PROCESS_STALL_SECONDS = 0.15
"""Seconds for which a sidecar may be stalled between reading its clock and writing to a socket."""
DISCONNECT_GRACE_SECONDS = 0.1
"""Seconds after the disconnection of a client during which an attempt for it may still start."""
DEADLINE_SLACK_SECONDS = 0.15
"""Seconds by which the announced remaining time may exceed the time until the client's deadline."""


@dataclass(frozen=True, slots=True)
class _Location:
    """The zone and cell of an account server, which decide with which servers it shares idempotency keys."""

    zone: str
    cell: int

    def shares_idempotency_keys_with(self, other: _Location, scope: DeduplicationScope) -> bool:
        """Return whether a server at one location drops a retry of a request executed at the other."""
        if scope == DeduplicationScope.ALL:
            return True
        if self.zone != other.zone:
            return False
        return scope == DeduplicationScope.ZONE or self.cell == other.cell


def check_retries(history: History, deployment: Deployment) -> Iterator[Violation]:
    """No request is attempted too often, twice at once, or again where that may execute it twice."""
    locations = {
        incarnation.server: _Location(incarnation.zone, incarnation.cell) for incarnation in history.servers
    }
    for request_id, attempts in history.attempts_by_request().items():
        request = history.requests.get(request_id)
        if request is None:
            message = f"no client sent {request_id}"
            at_seconds = attempts[0].received_at_seconds
            yield Violation(Invariant.DUPLICATE_EXECUTION, message, at_seconds, tuple(attempts))
            continue
        if len(attempts) > deployment.max_attempts:
            message = f"{len(attempts)} attempts, more than the settings allow"
            at_seconds = attempts[-1].received_at_seconds
            yield request_violation(Invariant.ATTEMPT_LIMIT, message, at_seconds, request)
        request_class = deployment.request_class(request.request_class)
        for earlier, later in itertools.pairwise(attempts):
            yield from _check_overlap(history, request, earlier, later)
            if earlier.may_have_executed:
                yield from _check_retry_safety(history, request, request_class, earlier, later, locations)


def _observation_slack_seconds(history: History, earlier: Attempt, later: Attempt) -> float:
    """Return by how many seconds the recorded times of two attempts may differ from the actual ones."""
    end_seconds = later.received_at_seconds + OBSERVATION_ORDER_SECONDS
    return OBSERVATION_ORDER_SECONDS + history.lag_seconds_within(earlier.received_at_seconds, end_seconds)


def _check_overlap(
    history: History, request: ClientRequest, earlier: Attempt, later: Attempt
) -> Iterator[Violation]:
    """Yield a violation if the later attempt was sent while the earlier one was still in flight."""
    slack_seconds = _observation_slack_seconds(history, earlier, later)
    if (earlier.ended_at_seconds or math.inf) > later.received_at_seconds + slack_seconds:
        message = "retried while another attempt was in flight"
        yield request_violation(Invariant.CONCURRENT_ATTEMPTS, message, later.received_at_seconds, request)


def _check_retry_safety(
    history: History,
    request: ClientRequest,
    request_class: RequestClass,
    earlier: Attempt,
    later: Attempt,
    locations: dict[str, _Location],
) -> Iterator[Violation]:
    """Yield violations if the later attempt may have executed the request a second time."""

    def violation(message: str) -> Violation:
        """Return a violation with this message, at the time when the later attempt arrived."""
        return request_violation(Invariant.DUPLICATE_EXECUTION, message, later.received_at_seconds, request)

    if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        yield violation("retried although it may have executed and is not idempotent")
    elif request_class.idempotency == Idempotency.IDEMPOTENCY_KEY:
        interval_seconds = later.received_at_seconds - earlier.received_at_seconds
        limit_seconds = request_class.deduplication_window_seconds + MAX_PROCESS_STALL_SECONDS
        limit_seconds += _observation_slack_seconds(history, earlier, later)
        if interval_seconds > limit_seconds:
            yield violation(f"retried {interval_seconds:.2f} s later, after its deduplication window")
        first = locations[earlier.server]
        second = locations[later.server]
        if not first.shares_idempotency_keys_with(second, request_class.deduplication_scope):
            yield violation("retried outside its deduplication scope")


def check_request_integrity(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """An account server receives only requests that a client has sent, byte by byte."""
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is not None and attempt.content_digest != request.content_digest:
            message = f"{attempt.server} received something else than the client had sent"
            yield request_violation(
                Invariant.REQUEST_INTEGRITY, message, attempt.received_at_seconds, request
            )


def check_disconnected_clients(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """No attempt starts for a client that has disconnected."""
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is None or request.disconnected_at_seconds is None:
            continue
        start_seconds = request.disconnected_at_seconds
        end_seconds = attempt.received_at_seconds
        limit_seconds = DISCONNECT_GRACE_SECONDS + SOCKET_SLACK_SECONDS
        limit_seconds += history.lag_seconds_within(start_seconds, end_seconds)
        lateness_seconds = end_seconds - start_seconds
        is_late = lateness_seconds > limit_seconds
        if is_late and not was_stopped(history, request.sidecar, start_seconds, end_seconds):
            message = f"an attempt arrived {lateness_seconds:.2f} s after the client had disconnected"
            yield request_violation(Invariant.DISCONNECTED_CLIENT, message, end_seconds, request)


def check_deadline_propagation(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """An attempt announces no more remaining time to its server than its client has left.

    Where the server reads slowly, this counts from the first byte, as the sidecar announces the time when it
    writes.
    """
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is None:
            continue
        received_at_seconds = attempt.received_at_seconds
        if attempt.was_read_slowly:
            received_at_seconds = attempt.started_at_seconds
        remaining_seconds = request.deadline_seconds - received_at_seconds
        slack_seconds = DEADLINE_SLACK_SECONDS + SOCKET_SLACK_SECONDS
        slack_seconds += history.lag_seconds_within(
            request.sent_at_seconds - OBSERVATION_ORDER_SECONDS,
            received_at_seconds + OBSERVATION_ORDER_SECONDS,
        )
        announced_seconds = attempt.propagated_timeout_seconds
        if announced_seconds > max(0.0, remaining_seconds) + slack_seconds:
            message = f"announced {announced_seconds:.2f} s where {remaining_seconds:.2f} s were left"
            yield request_violation(Invariant.DEADLINE_PROPAGATION, message, received_at_seconds, request)

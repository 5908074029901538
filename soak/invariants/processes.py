"""Invariants of the sidecar processes: life cycle, limits, log, malformed peers and recovery."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from http import HTTPStatus

from soak.deployment import Deployment
from soak.history.events import ClientRequest, MalformedPeer, SidecarIncarnation
from soak.history.history import History
from soak.invariants.exemptions import was_stopped
from soak.invariants.tolerances import SOCKET_SLACK_SECONDS
from soak.invariants.violation import Invariant, Violation

MAX_START_SECONDS = 10.0
"""Seconds within which a process has to become ready, even if it cannot get sockets at first."""
EXPECTED_EXIT_STATUSES = (0, -signal.SIGKILL)
"""A process shuts down with status 0, or the soak kills it."""
DEFECT_LOG_TEXTS = (
    "Traceback",
    "ERROR",
    "CRITICAL",
    "invariant_violated",
    "never awaited",
    "never retrieved",
)
"""A log line with one of these texts reports a defect of the sidecar."""
EXPECTED_LOG_TEXTS = ("reload_failed",)
"""A log line with one of these texts reports the effect of an injected fault, not a defect."""
MALFORMED_PEER_TIMEOUT_SECONDS = 3.0
"""Seconds within which a peer that sends no valid request has to get an error response or a close."""
MALFORMED_PEER_EXEMPTION_SECONDS = 4.0
"""Seconds after a peer connects in which a stop of the process exempts it from responding to the peer."""
SUCCESS_STATUS_PREFIX = "HTTP/1.1 2"
"""The first bytes of a successful response."""
RECOVERY_WINDOW_SECONDS = 3.0
"""Seconds at the end of the soak, without faults, in which each sidecar has to serve requests again."""
MIN_RECOVERED_SHARE = 0.5
"""Share of the requests in the recovery window that has to be served; the rest may be rejected."""
MIN_RECOVERY_REQUESTS = 8
"""Requests in the recovery window; with fewer, the share that was served is not checked."""
MAX_REPORTED_REQUESTS = 5
"""Requests that a violation of the recovery invariant reports as examples, at most."""


def check_processes(history: History, deployment: Deployment) -> Iterator[Violation]:
    """No process ends by itself, becomes ready late, exceeds a limit or logs a defect."""
    for incarnation in history.sidecars:
        yield from _check_life_cycle(incarnation)
        yield from _check_limits(incarnation, deployment)
        yield from _check_log(incarnation)


def _check_life_cycle(incarnation: SidecarIncarnation) -> Iterator[Violation]:
    started_at_seconds = incarnation.started_at_seconds
    ready_at_seconds = incarnation.ready_at_seconds
    ended_at_seconds = incarnation.ended_at_seconds
    was_asked_to_end = (
        incarnation.stop_requested_at_seconds is not None or incarnation.killed_at_seconds is not None
    )
    if ended_at_seconds is not None:
        has_expected_status = incarnation.exit_status in EXPECTED_EXIT_STATUSES
        if not was_asked_to_end or not has_expected_status:
            message = f"ended with status {incarnation.exit_status}"
            yield Violation(Invariant.PROCESS, message, ended_at_seconds, (incarnation,))
    if ready_at_seconds is None:
        if not was_asked_to_end:
            yield Violation(Invariant.PROCESS, "never became ready", started_at_seconds, (incarnation,))
    elif ready_at_seconds - started_at_seconds > MAX_START_SECONDS:
        yield Violation(Invariant.PROCESS, "became ready late", ready_at_seconds, (incarnation,))


def _check_limits(incarnation: SidecarIncarnation, deployment: Deployment) -> Iterator[Violation]:
    at_seconds = incarnation.started_at_seconds
    if incarnation.max_descriptors > deployment.max_descriptors:
        message = f"{incarnation.max_descriptors} descriptors were open, more than the limit"
        yield Violation(Invariant.RESOURCE_LIMIT, message, at_seconds, (incarnation,))
    if incarnation.max_memory_megabytes > deployment.memory_megabytes:
        message = f"{incarnation.max_memory_megabytes:.0f} MB of memory were in use, more than the limit"
        yield Violation(Invariant.RESOURCE_LIMIT, message, at_seconds, (incarnation,))


def _check_log(incarnation: SidecarIncarnation) -> Iterator[Violation]:
    at_seconds = incarnation.ended_at_seconds or incarnation.started_at_seconds
    for line in incarnation.log.splitlines():
        reports_defect = any(defect_text in line for defect_text in DEFECT_LOG_TEXTS)
        is_expected = any(expected_text in line for expected_text in EXPECTED_LOG_TEXTS)
        if reports_defect and not is_expected:
            yield Violation(Invariant.LOG, line, at_seconds, (incarnation,))


def check_malformed_peers(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """A peer that sends no valid request gets an error response or a close in time, and is never served."""
    for peer in history.malformed_peers:
        if peer.first_bytes.startswith(SUCCESS_STATUS_PREFIX):
            message = "was served although it sent no valid request"
            yield Violation(Invariant.MALFORMED_PEER, message, peer.connected_at_seconds, (peer,))
        if not _is_handled_in_time(history, peer):
            message = "got neither an error response nor a close in time"
            yield Violation(Invariant.MALFORMED_PEER, message, peer.connected_at_seconds, (peer,))


def _is_handled_in_time(history: History, peer: MalformedPeer) -> bool:
    connected_at_seconds = peer.connected_at_seconds
    exemption_end_seconds = connected_at_seconds + MALFORMED_PEER_EXEMPTION_SECONDS
    if peer.first_bytes or was_stopped(history, peer.sidecar, connected_at_seconds, exemption_end_seconds):
        return True
    if peer.ended_at_seconds is None:
        return False
    limit_seconds = MALFORMED_PEER_TIMEOUT_SECONDS + SOCKET_SLACK_SECONDS
    limit_seconds += history.lag_seconds_within(
        connected_at_seconds, connected_at_seconds + MALFORMED_PEER_TIMEOUT_SECONDS
    )
    return peer.ended_at_seconds - connected_at_seconds <= limit_seconds


def check_recovery(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """Once all faults are over, each sidecar serves requests again."""
    since_seconds = history.ended_at_seconds - RECOVERY_WINDOW_SECONDS
    requests_by_sidecar: dict[str, list[ClientRequest]] = {}
    for request in history.requests.values():
        if request.sent_at_seconds >= since_seconds and request.disconnected_at_seconds is None:
            requests_by_sidecar.setdefault(request.sidecar, []).append(request)
    for sidecar in {incarnation.sidecar for incarnation in history.sidecars}:
        requests = requests_by_sidecar.get(sidecar, [])
        served_count = sum(request.status == HTTPStatus.OK for request in requests)
        if not _has_recovered(served_count, len(requests)):
            message = f"{sidecar} served {served_count} of {len(requests)} requests after the faults"
            examples = tuple(requests[:MAX_REPORTED_REQUESTS])
            yield Violation(Invariant.RECOVERY, message, history.ended_at_seconds, examples)


def _has_recovered(served_count: int, request_count: int) -> bool:
    if request_count == 0:
        return False
    if request_count < MIN_RECOVERY_REQUESTS:
        return True
    return served_count >= MIN_RECOVERED_SHARE * request_count

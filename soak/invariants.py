"""What must hold of every history: the oracle. Each check is pure and yields what it finds broken."""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from soak.deployment import KEYED, SAFE, UNSAFE, Deployment
from soak.history import (
    Attempt,
    ClientRequest,
    EndOfConnection,
    History,
    ServerLife,
    SidecarLife,
)

LATE_ANSWER_SECONDS = 0.5
"""An answer this much after its deadline only earns nothing; later it is lost."""
HELD_UP_SECONDS = 0.15
"""A sidecar may be held up for this long between reading its clock and writing."""
SOCKET_SLACK_SECONDS = 0.05
"""Every time limit is this much longer on sockets."""
LEFT_CLIENT_SECONDS = 0.1
"""An attempt may begin this long after its client has left."""
DEADLINE_SLACK_SECONDS = 0.15
"""The time passed on may exceed what the client has left by this much."""
SAME_MOMENT_SECONDS = 0.05
"""Two events on different connections this close together may have been seen in either order."""
CROSSING_SECONDS = 0.05
"""A resting connection that ends this soon after a request was written to it crossed it."""
RESTING_SECONDS = 1.9
"""A connection may be closed between requests after resting this long; at once while its process stops."""
MALFORMED_PEER_SECONDS = 3.0
"""A peer that sends no proper request is owed an error or a close within this time."""
LATE_SECOND_ANSWER_SECONDS = 0.004
"""Lateness of the harness that brings a second answer beyond the milliseconds that the terms allow."""
SECOND_ANSWER = "second answer"
"""In the description of each fault that sends them."""
LATE_MIX_UP_SECONDS = 0.5
"""Before an answer: lateness of the harness in this time may have made a second answer late."""
REFUSAL_STATUSES = (429, 503)
RECOVERY_SECONDS = 3.0
"""Of the quiet time at the end, in which the fleet has to serve again."""
MIN_RECOVERED_SHARE = 0.5
MIN_RECOVERY_REQUESTS = 8
MIN_TRAFFIC_SHARE = 0.1
"""Of the mean: what a server gets at least that has been in order for long."""
WARM_MARGIN_SECONDS = 2.5
"""After the warm-up of a server, until it has to get its share of the requests."""
READY_SECONDS = 10.0
TRACEBACK = "Traceback"
ALARMS = (TRACEBACK, "ERROR", "CRITICAL", "invariant violated", "never awaited", "never retrieved")
EXPECTED_ERRORS = ("reload failed",)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant and the events that show it."""

    invariant: str
    message: str
    at: float
    events: tuple[object, ...]


Check = Callable[[History, Deployment], Iterator[Violation]]


def check_all(history: History, deployment: Deployment) -> list[Violation]:
    """Return everything that is broken, the earliest first."""
    found = [violation for check in CHECKS for violation in check(history, deployment)]
    return sorted(found, key=lambda violation: violation.at)


# ---- requests


def check_final_answers(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """Each request gets one final answer in time, unless its client left or its process was killed."""
    for request in history.requests.values():
        if request.left_at is not None or request.sent_at == 0.0 or _was_killed(history, request):
            continue
        limit = max(request.deadline_at, request.blocked_until) + LATE_ANSWER_SECONDS
        limit += history.lag_within(request.sent_at, limit)
        if request.answered_at is not None:
            if request.answered_at > limit:
                late = request.answered_at - request.deadline_at
                yield _of_request("final answer", f"came {late:.2f} s late", request.answered_at, request)
        elif request.end is None:
            yield _of_request("final answer", "never came", limit, request)
        elif request.end != EndOfConnection.BROKEN_ANSWER and not _is_crossing(history, request):
            ended_at = request.ended_at or request.sent_at
            message = f"connection {request.end.value} {ended_at - request.sent_at:.3f} s after the request"
            yield _of_request("final answer", message, ended_at, request)


def check_answers_are_genuine(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """What is served was made by an account server for this request."""
    bodies: dict[str, set[str]] = {}
    for attempt in history.attempts:
        bodies.setdefault(attempt.request_id, set()).add(attempt.body)
    for request in history.requests.values():
        if request.status == 200 and request.body not in bodies.get(request.request_id, set()):
            at = request.answered_at or request.sent_at
            if not _may_be_late_second_answer(history, at):
                yield _of_request("genuine answer", "no server made this answer for it", at, request)


def _may_be_late_second_answer(history: History, at: float) -> bool:
    """Whether the harness was so late that a second answer came later than the terms say.

    Where one is taken for the answer to the next request, the answer to that one goes to the one after it.
    """
    begin = at - LATE_MIX_UP_SECONDS
    is_late = history.longest_lag_within(begin, at) >= LATE_SECOND_ANSWER_SECONDS
    return is_late and any(SECOND_ANSWER in f"{f.kind} {f.target}" for f in history.faults_within(begin, at))


def check_refusals(history: History, deployment: Deployment) -> Iterator[Violation]:
    """A refusal promises that trying again is harmless: nothing may have run that must not run twice."""
    attempts = history.attempts_by_request()
    for request in history.requests.values():
        kind = deployment.kind(request.kind)
        is_harmless = kind.effect == SAFE or (kind.effect == KEYED and kind.key_scope == "all")
        if request.status not in REFUSAL_STATUSES or is_harmless or request.answered_at is None:
            continue
        ran = [
            attempt
            for attempt in attempts.get(request.request_id, [])
            if attempt.may_have_run and attempt.whole_at < request.answered_at - SAME_MOMENT_SECONDS
        ]
        if ran:
            yield _of_request(
                "refusal", f"refused after {len(ran)} attempts may have run", request.answered_at, request
            )


# ---- attempts


def check_duplicates(history: History, deployment: Deployment) -> Iterator[Violation]:
    """Nothing that may have run goes out again unless its class allows it, and no two attempts at once."""
    zones = {life.server: (life.zone, life.cell) for life in history.servers}
    for request_id, attempts in history.attempts_by_request().items():
        request = history.requests.get(request_id)
        if request is None:
            yield Violation(
                "duplicate", f"no client sent {request_id}", attempts[0].whole_at, tuple(attempts)
            )
            continue
        if len(attempts) > deployment.max_attempts:
            yield _of_request("attempts", f"{len(attempts)} attempts", attempts[-1].whole_at, request)
        for earlier, later in itertools.pairwise(attempts):
            yield from _check_pair(history, deployment, request, earlier, later, zones)


def _check_pair(
    history: History,
    deployment: Deployment,
    request: ClientRequest,
    earlier: Attempt,
    later: Attempt,
    zones: dict[str, tuple[str, int]],
) -> Iterator[Violation]:
    slack = SAME_MOMENT_SECONDS + history.lag_within(earlier.whole_at, later.whole_at + SAME_MOMENT_SECONDS)
    if (earlier.ended_at or math.inf) > later.whole_at + slack:
        yield _of_request("concurrent attempts", "sent while another was out", later.whole_at, request)
    if not earlier.may_have_run:
        return
    kind = deployment.kind(request.kind)
    if kind.effect == UNSAFE:
        yield _of_request("duplicate", "sent again though it may have run", later.whole_at, request)
    elif kind.effect == KEYED:
        apart = later.whole_at - earlier.whole_at
        if apart > kind.window_seconds + HELD_UP_SECONDS + slack:
            yield _of_request("duplicate", f"sent again {apart:.2f} s later", later.whole_at, request)
        if not _drops_repeats(kind.key_scope, zones[earlier.server], zones[later.server]):
            yield _of_request("duplicate", "sent again to another group", later.whole_at, request)


def _drops_repeats(scope: str, first: tuple[str, int], second: tuple[str, int]) -> bool:
    if scope == "all":
        return True
    return first[0] == second[0] and (scope == "zone" or first[1] == second[1])


def check_clients_that_left(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """No attempt begins for a client that has left."""
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is None or request.left_at is None:
            continue
        late = attempt.whole_at - request.left_at
        limit = LEFT_CLIENT_SECONDS + SOCKET_SLACK_SECONDS
        limit += history.lag_within(request.left_at, attempt.whole_at)
        if late > limit and not _was_stopped(history, request.sidecar, request.left_at, attempt.whole_at):
            message = f"an attempt came {late:.2f} s after the client had left"
            yield _of_request("client that left", message, attempt.whole_at, request)


def check_deadlines_passed_on(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """An attempt tells its server no more time than its client has left."""
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is None:
            continue
        left = request.deadline_at - attempt.whole_at
        slack = DEADLINE_SLACK_SECONDS + SOCKET_SLACK_SECONDS
        slack += history.lag_within(
            request.sent_at - SAME_MOMENT_SECONDS, attempt.whole_at + SAME_MOMENT_SECONDS
        )
        if attempt.told_seconds > max(0.0, left) + slack:
            message = f"told {attempt.told_seconds:.2f} s where {left:.2f} s were left"
            yield _of_request("deadline passed on", message, attempt.whole_at, request)


def check_drains(history: History, deployment: Deployment) -> Iterator[Violation]:
    """Nothing new goes to a server that drains or is gone after the grace."""
    told: dict[tuple[str, str], list[tuple[float, str]]] = {}
    for notice in sorted(history.notices, key=lambda notice: notice.told_at):
        told.setdefault((notice.sidecar, notice.server), []).append((notice.told_at, notice.health))
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is None:
            continue
        grace = deployment.drain_grace_seconds + SOCKET_SLACK_SECONDS + SAME_MOMENT_SECONDS
        grace += history.lag_within(attempt.began_at - grace, attempt.began_at + SAME_MOMENT_SECONDS)
        since = _departing_since(told.get((request.sidecar, attempt.server), []), attempt.began_at)
        if since is not None and attempt.began_at - since > grace:
            message = f"sent to {attempt.server} {attempt.began_at - since:.2f} s after it was told to depart"
            yield _of_request("drain", message, attempt.began_at, request)


def _departing_since(notices: Iterable[tuple[float, str]], at: float) -> float | None:
    """Return since when a server counts as departing at a time, or None if it does not."""
    since: float | None = None
    for told_at, health in notices:
        if told_at > at:
            break
        if health == "up":
            since = None
        elif since is None:
            since = told_at
    return since


# ---- account servers


def check_slow_start(history: History, deployment: Deployment) -> Iterator[Violation]:
    """All sidecars together keep a cold server within its budget, over each window of the stated length."""
    window = deployment.overload_window_seconds
    for life in history.servers:
        if not life.is_cold:
            continue
        warm_at = life.started_at + deployment.warm_up_seconds
        end = min(warm_at, life.ended_at or math.inf)
        times = [
            attempt.whole_at
            for attempt in history.attempts
            if attempt.server == life.server and life.started_at <= attempt.whole_at < end
        ]
        times.sort()
        for index, begin in enumerate(times):
            count = bisect_left(times, begin + window) - index
            budget = budget_of(_capacity_over(deployment, begin - life.started_at, window))
            if count > budget:
                message = f"{life.server} got {count} requests in {window:.0f} s, its budget is {budget:.0f}"
                yield Violation("slow start", message, begin, (life,))
                break


def budget_of(allowed: float) -> float:
    """Return how many requests a cold server bears where the settings allow it so many."""
    root = math.sqrt(allowed)
    return allowed + 3 * root + 3 if allowed < 30 else allowed + 2 * root + 2


def _capacity_over(deployment: Deployment, age: float, window: float) -> float:
    """Return the requests that the settings allow a cold server from an age on, over a window."""
    mean = (deployment.warmth(age) + deployment.warmth(age + window)) / 2
    return deployment.overload_multiple * mean * deployment.server_requests_per_second * window


def check_traffic_of_warm_servers(history: History, deployment: Deployment) -> Iterator[Violation]:
    """A server that has been in order for long gets its part of the requests."""
    begin, end = history.quiet_since, history.ended_at
    settled = deployment.warm_up_seconds + WARM_MARGIN_SECONDS
    counts = {
        life.server: sum(
            begin <= attempt.whole_at <= end for attempt in history.attempts if attempt.server == life.server
        )
        for life in history.servers
        if life.ended_at is None and _is_up(history, life)
    }
    if not counts:
        return
    mean = sum(counts.values()) / len(counts)
    for life in history.servers:
        is_settled = max(life.started_at, life.is_healthy_since) + settled <= begin
        if life.server in counts and is_settled and counts[life.server] < MIN_TRAFFIC_SHARE * mean:
            message = f"{life.server} got {counts[life.server]} requests where the mean was {mean:.0f}"
            yield Violation("warm servers", message, end, (life,))


def _is_up(history: History, life: ServerLife) -> bool:
    return all(notice.server != life.server or notice.health == "up" for notice in history.notices)


# ---- sidecars


def check_processes(history: History, deployment: Deployment) -> Iterator[Violation]:
    """No process ends by itself, is late, reports an error or goes over a limit."""
    for life in history.sidecars:
        was_told = life.stop_requested_at is not None or life.killed_at is not None
        if life.ended_at is not None and (not was_told or life.exit_status not in (0, -9)):
            yield Violation("process", f"ended with status {life.exit_status}", life.ended_at, (life,))
        if life.ready_at is None and not was_told:
            yield Violation("process", "never became ready", life.started_at, (life,))
        elif life.ready_at is not None and life.ready_at - life.started_at > READY_SECONDS:
            yield Violation("process", "was ready late", life.ready_at, (life,))
        if life.max_descriptors > deployment.max_descriptors:
            yield Violation("limits", f"{life.max_descriptors} descriptors", life.started_at, (life,))
        if life.max_memory_megabytes > deployment.memory_megabytes:
            yield Violation("limits", f"{life.max_memory_megabytes:.0f} MB", life.started_at, (life,))
        for line in _alarms(life):
            yield Violation("log", line, life.ended_at or life.started_at, (life,))


def _alarms(life: SidecarLife) -> Iterator[str]:
    for line in life.log.splitlines():
        if any(alarm in line for alarm in ALARMS) and not any(text in line for text in EXPECTED_ERRORS):
            yield line


def check_malformed_peers(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """A peer that sends no proper request gets an error or a close in time, and is never served."""
    for peer in history.malformed_peers:
        if peer.first_bytes.startswith("HTTP/1.1 2"):
            yield Violation("malformed peer", "was served", peer.connected_at, (peer,))
        if peer.first_bytes or _was_stopped(history, peer.sidecar, peer.connected_at, peer.connected_at + 4):
            continue
        limit = MALFORMED_PEER_SECONDS + SOCKET_SLACK_SECONDS
        limit += history.lag_within(peer.connected_at, peer.connected_at + MALFORMED_PEER_SECONDS)
        if peer.ended_at is None or peer.ended_at - peer.connected_at > limit:
            yield Violation("malformed peer", "got neither error nor close", peer.connected_at, (peer,))


def check_recovery(history: History, _deployment: Deployment) -> Iterator[Violation]:
    """Once all faults are over, each sidecar serves again."""
    since = history.ended_at - RECOVERY_SECONDS
    by_sidecar: dict[str, list[ClientRequest]] = {}
    for request in history.requests.values():
        if request.sent_at >= since and request.left_at is None:
            by_sidecar.setdefault(request.sidecar, []).append(request)
    for sidecar in {life.sidecar for life in history.sidecars}:
        requests = by_sidecar.get(sidecar, [])
        served = sum(request.status == 200 for request in requests)
        is_silent = not requests
        is_failing = len(requests) >= MIN_RECOVERY_REQUESTS and served < MIN_RECOVERED_SHARE * len(requests)
        if is_silent or is_failing:
            message = f"{sidecar} served {served} of {len(requests)} requests after the faults"
            yield Violation("recovery", message, history.ended_at, tuple(requests[:5]))


# ---- what excuses


def _was_killed(history: History, request: ClientRequest) -> bool:
    """Whether the process that had the request was killed while it was owed an answer."""
    return any(
        life.sidecar == request.sidecar
        and life.killed_at is not None
        and life.stop_requested_at is None
        and life.started_at <= request.sent_at <= (life.ended_at or math.inf)
        and life.killed_at <= request.deadline_at + LATE_ANSWER_SECONDS
        for life in history.sidecars
    )


def _was_stopped(history: History, sidecar: str, begin: float, end: float) -> bool:
    """Whether a process of the sidecar ended or was told to in a time."""
    return any(
        life.sidecar == sidecar
        and any(begin <= at <= end for at in (life.stop_requested_at, life.killed_at, life.ended_at) if at)
        for life in history.sidecars
    )


def _is_crossing(history: History, request: ClientRequest) -> bool:
    """Whether the request crossed the end of a resting connection: it was not read, and may be sent again."""
    ended_at = request.ended_at if request.ended_at is not None else request.sent_at
    if request.is_first_on_connection:
        return False
    life = history.life_at(request.sidecar, request.sent_at)
    is_stopping = life is None or (life.stop_requested_at or math.inf) <= ended_at
    may_close = is_stopping or request.connection_idle_seconds >= RESTING_SECONDS
    limit = CROSSING_SECONDS + history.lag_within(request.sent_at, ended_at)
    return may_close and ended_at - request.sent_at <= limit


def _of_request(invariant: str, message: str, at: float, request: ClientRequest) -> Violation:
    return Violation(invariant, f"{request.request_id}: {message}", at, (request,))


def relevant_events(history: History, violation: Violation, seconds_before: float = 3.0) -> list[object]:
    """Return the events that show a violation, in short: its subject, attempts, processes and faults."""
    events: list[object] = list(violation.events)
    begin = violation.at - seconds_before
    for subject in violation.events:
        if isinstance(subject, ClientRequest):
            begin = min(begin, subject.sent_at - SAME_MOMENT_SECONDS)
            events += history.attempts_of(subject.request_id)
            events += [life for life in history.sidecars if _overlaps(life, subject, violation.at)]
    events += history.faults_within(begin, violation.at)
    return events


def _overlaps(life: SidecarLife, request: ClientRequest, until: float) -> bool:
    ended_at = life.ended_at if life.ended_at is not None else math.inf
    return life.sidecar == request.sidecar and life.started_at <= until and ended_at >= request.sent_at


CHECKS: tuple[Check, ...] = (
    check_final_answers,
    check_answers_are_genuine,
    check_refusals,
    check_duplicates,
    check_clients_that_left,
    check_deadlines_passed_on,
    check_drains,
    check_slow_start,
    check_traffic_of_warm_servers,
    check_processes,
    check_malformed_peers,
    check_recovery,
)

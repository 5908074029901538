"""Each check of the oracle finds what it is for, and nothing else."""

from __future__ import annotations

from typing import Any

import pytest

from soak.history import (
    ClientRequest,
    EndOfAttempt,
    EndOfConnection,
    History,
    InjectedFault,
    Lag,
    MalformedPeer,
    Notice,
    ServerLife,
    SidecarLife,
)
from soak.invariants import (
    budget_of,
    check_answers_are_genuine,
    check_clients_that_left,
    check_deadlines_passed_on,
    check_drains,
    check_duplicates,
    check_final_answers,
    check_malformed_peers,
    check_processes,
    check_recovery,
    check_refusals,
    check_slow_start,
    check_traffic_of_warm_servers,
    relevant_events,
)
from tests.soak.histories import (
    SENT_AT,
    attempt,
    deployment,
    history,
    request,
    sidecar_life,
    unanswered,
)

DEADLINE_AT = SENT_AT + 1.0
CLOSED: dict[str, Any] = {"end": EndOfConnection.CLOSED, "ended_at": SENT_AT + 0.01}


@pytest.mark.parametrize(
    ("given", "is_broken"),
    [
        (request(), False),
        (request(answered_at=DEADLINE_AT + 0.4), False),
        (request(answered_at=DEADLINE_AT + 0.6), True),
        (request(answered_at=DEADLINE_AT + 0.6, blocked_until=DEADLINE_AT + 0.5), False),
        (unanswered(), True),
        (unanswered(left_at=SENT_AT + 0.1), False),
        (unanswered(**CLOSED), True),
        (unanswered(**CLOSED, is_first_on_connection=False, connection_idle_seconds=0.1), True),
        (unanswered(**CLOSED, is_first_on_connection=False, connection_idle_seconds=3.0), False),
        (unanswered(end=EndOfConnection.BROKEN_ANSWER, ended_at=SENT_AT + 0.1), False),
    ],
)
def test_final_answer(given: ClientRequest, is_broken: bool) -> None:
    assert bool(list(check_final_answers(history(given, sidecar_life()), deployment()))) == is_broken


@pytest.mark.parametrize(
    ("life", "is_broken"),
    [
        (sidecar_life(killed_at=SENT_AT + 0.5, stop_requested_at=None, ended_at=SENT_AT + 0.5), False),
        (sidecar_life(killed_at=SENT_AT + 0.5, stop_requested_at=SENT_AT - 1, ended_at=SENT_AT + 0.5), True),
        (sidecar_life(stop_requested_at=SENT_AT - 1, ended_at=SENT_AT + 0.5), True),
    ],
    ids=["killed", "killed after its time to stop", "ended"],
)
def test_final_answer_of_process_that_ends(life: SidecarLife, is_broken: bool) -> None:
    given = unanswered(end=EndOfConnection.RESET, ended_at=SENT_AT + 0.5)
    assert bool(list(check_final_answers(history(given, life), deployment()))) == is_broken


def test_lateness_of_the_harness_excuses_a_late_answer() -> None:
    late = history(request(answered_at=DEADLINE_AT + 0.6), sidecar_life())
    late.lags.append(Lag(DEADLINE_AT, DEADLINE_AT + 0.2))
    assert not list(check_final_answers(late, deployment()))


@pytest.mark.parametrize(("body", "is_broken"), [("n0-1 s0-1", False), ("n0-2 s0-1", True)])
def test_genuine_answer(body: str, is_broken: bool) -> None:
    given = history(request(body=body), attempt())
    assert bool(list(check_answers_are_genuine(given, deployment()))) == is_broken


@pytest.mark.parametrize(("lag_seconds", "is_broken"), [(0.003, True), (0.01, False)])
def test_answer_is_excused_only_where_the_harness_made_a_second_one_late(
    lag_seconds: float, is_broken: bool
) -> None:
    given = history(request(body="n0-2 s0-1"), attempt())
    given.lags.append(Lag(SENT_AT, SENT_AT + lag_seconds))
    given.faults.append(InjectedFault("account servers send second answers", "8 servers", 9.0, 11.0))
    assert bool(list(check_answers_are_genuine(given, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("kind", "end", "is_broken"),
    [
        ("read", EndOfAttempt.ABANDONED, False),
        ("change", EndOfAttempt.ABANDONED, True),
        ("invoice", EndOfAttempt.ABANDONED, True),
        ("invoice", EndOfAttempt.DECLINED, False),
    ],
)
def test_refusal_after_attempt(kind: str, end: EndOfAttempt, is_broken: bool) -> None:
    refused = request(kind, status=503, answered_at=SENT_AT + 0.5)
    found = list(check_refusals(history(refused, attempt(end=end)), deployment(key_scope="cell")))
    assert bool(found) == is_broken


@pytest.mark.parametrize(
    ("kind", "first", "second", "is_broken"),
    [
        ("read", {}, {"after": 0.2, "server": "s2"}, False),
        ("read", {"ended_at": SENT_AT + 0.9}, {"after": 0.2}, True),
        ("invoice", {}, {"after": 0.2}, True),
        ("invoice", {"end": EndOfAttempt.DECLINED}, {"after": 0.2}, False),
        ("change", {}, {"after": 0.2, "server": "s1"}, False),
        ("change", {}, {"after": 0.2, "server": "s2"}, True),
        ("change", {}, {"after": 0.7, "server": "s1"}, True),
    ],
)
def test_duplicate(kind: str, first: dict[str, Any], second: dict[str, Any], is_broken: bool) -> None:
    given = history(request(kind), attempt(**first), attempt(**second))
    assert bool(list(check_duplicates(given, deployment(key_scope="zone")))) == is_broken


def test_attempts_beyond_the_limit_and_of_no_client_are_found() -> None:
    many = [attempt(after=0.1 * index) for index in range(5)]
    assert list(check_duplicates(history(request(), *many), deployment()))
    assert list(check_duplicates(history(attempt()), deployment()))


@pytest.mark.parametrize(("after", "is_broken"), [(0.15, False), (0.4, True)])
def test_attempt_for_client_that_left(after: float, is_broken: bool) -> None:
    given = history(unanswered(left_at=SENT_AT + 0.1), attempt(after=after))
    assert bool(list(check_clients_that_left(given, deployment()))) == is_broken


@pytest.mark.parametrize(("told", "is_broken"), [(0.8, False), (0.95, False), (1.1, True)])
def test_deadline_passed_on(told: float, is_broken: bool) -> None:
    given = history(request(), attempt(after=0.2, told_seconds=told))
    assert bool(list(check_deadlines_passed_on(given, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("notices", "is_broken"),
    [
        ([], False),
        ([("draining", 0.5)], False),
        ([("draining", 2.0)], True),
        ([("draining", 2.0), ("removed", 0.5)], True),
        ([("draining", 2.0), ("up", 0.5)], False),
    ],
)
def test_drain(notices: list[tuple[str, float]], is_broken: bool) -> None:
    told = [Notice("n0", "s0", health, SENT_AT - before) for health, before in notices]
    given = history(request(), attempt(), *told, Notice("n1", "s0", "draining", 1.0))
    assert bool(list(check_drains(given, deployment()))) == is_broken


def test_slow_start_budget_is_that_of_the_terms() -> None:
    assert budget_of(25) == 25 + 3 * 5 + 3
    assert budget_of(100) == 100 + 2 * 10 + 2


@pytest.mark.parametrize(
    ("count", "is_cold", "is_broken"), [(50, True, False), (70, True, True), (70, False, False)]
)
def test_slow_start(count: int, is_cold: bool, is_broken: bool) -> None:
    """At birth 0.1 to 0.28 of 100 requests a second, for 2 s: 38, and the slack makes 52."""
    life = ServerLife("s9", "zone-a", 0, SENT_AT, is_cold=is_cold)
    attempts = [attempt(after=2.0 * index / count, server="s9") for index in range(count)]
    assert bool(list(check_slow_start(history(life, *attempts), deployment()))) == is_broken


@pytest.mark.parametrize(("started_at", "is_broken"), [(50.0, True), (95.0, False)])
def test_server_that_has_been_in_order_for_long_gets_requests(started_at: float, is_broken: bool) -> None:
    starved = ServerLife("s9", "zone-a", 0, started_at, is_cold=True)
    attempts = [
        attempt(server=f"s{index % 3}", whole_at=100.0 + index / 10, began_at=100.0) for index in range(90)
    ]
    given = history(starved, *attempts)
    assert bool(list(check_traffic_of_warm_servers(given, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("changes", "is_broken"),
    [
        ({}, False),
        ({"exit_status": 1}, True),
        ({"stop_requested_at": None}, True),
        ({"ready_at": None, "stop_requested_at": None, "ended_at": None}, True),
        ({"ready_at": 12.0}, True),
        ({"max_descriptors": 10_000}, True),
        ({"max_memory_megabytes": 10_000.0}, True),
        ({"log": "ERROR x: invariant violated: y"}, True),
        ({"log": "ERROR x: reload failed, the old configuration stays"}, False),
        ({"killed_at": 50.0, "stop_requested_at": None, "exit_status": -9}, False),
    ],
)
def test_process(changes: dict[str, Any], is_broken: bool) -> None:
    assert bool(list(check_processes(history(sidecar_life(**changes)), deployment()))) == is_broken


@pytest.mark.parametrize(
    ("fields", "is_broken"),
    [
        ({"ended_at": SENT_AT + 2.5}, False),
        ({"ended_at": SENT_AT + 3.5}, True),
        ({"first_bytes": "HTTP/1.1 400 Bad Request"}, False),
        ({"first_bytes": "HTTP/1.1 200 OK"}, True),
    ],
)
def test_malformed_peer(fields: dict[str, Any], is_broken: bool) -> None:
    given = History(malformed_peers=[MalformedPeer("n0", "sends nothing", SENT_AT, **fields)])
    assert bool(list(check_malformed_peers(given, deployment()))) == is_broken


@pytest.mark.parametrize(
    ("status", "count", "is_broken"), [(200, 20, False), (503, 20, True), (200, 0, True)]
)
def test_recovery(status: int, count: int, is_broken: bool) -> None:
    requests = [request(request_id=f"n0-{index}", sent_at=108.0, status=status) for index in range(count)]
    assert bool(list(check_recovery(history(sidecar_life(), *requests), deployment()))) == is_broken


def test_history_of_a_violation_has_its_attempts_and_processes() -> None:
    given = history(unanswered(), attempt(), attempt(request_id="n0-2"), sidecar_life())
    [violation] = check_final_answers(given, deployment())
    events = relevant_events(given, violation)
    assert events == [given.requests["n0-1"], given.attempts[0], given.sidecars[0]]

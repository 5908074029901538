"""What is harmless in one sidecar, summed over a fleet of them; in simulated time."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from functools import partial

import pytest

from tests.fleet import Fleet, Server
from tests.helpers import MS, SECOND, request_class, settings

WORK = 100 * MS


@pytest.mark.parametrize("seed", [1, 2])
def test_after_a_burst_a_fleet_recovers_and_stays_under_the_caps_of_connections(seed: int) -> None:
    """By warm keys and grown subsets each sidecar reached each server: full tables, a cut that stayed up."""
    config = settings(
        request_class(late_answer_value=0.5, client_timeout_ns=2500 * MS),
        key_affinity=True,
        health_checks_enabled=True,
        connection_price=0.06,
        handshake_price=0.06,
        max_retry_after_ns=3000 * MS,
    )
    fleet = Fleet(config, 90, [Server(n) for n in range(1, 41)], seed)
    fleet.retries = 1
    usual = 0.7 * 40 * 3 / 0.1
    fleet.load(0, 4, usual, WORK, 600)
    fleet.load(4, 8, 1.5 * usual, WORK, 600)
    fleet.load(8, 22, usual, WORK, 600)
    fleet.run(22)
    assert fleet.in_time(1, 4) > 0.9
    assert fleet.in_time(18, 21) > 0.9  # within ten seconds of the burst's end
    assert sum(server.refused for server in fleet.servers) < 10  # connects; thousands before
    assert sum(server.most for server in fleet.servers) < 0.75 * 39 * len(fleet.servers)


COLD = settings(
    request_class(late_answer_value=0.5, client_timeout_ns=2500 * MS),
    slow_start_capacity=0.31,
    slow_start_duration_ns=8500 * MS,
    cold_overload_multiple=3.0,
    health_checks_enabled=True,
    key_affinity=True,
    connection_price=0.06,
    handshake_price=0.06,
    max_retry_after_ns=3000 * MS,
)
FALL = 3 * SECOND  # the time over which what a cold server gets is summed up


def pushed(fleet: Fleet, server: Server) -> float:
    """The most that a cold server got in any window, as a share of what it takes with a little for chance."""
    worst, window = 0.0, deque[int]()
    for at in server.sent:
        if at - server.started >= fleet.config.slow_start_duration_ns:
            break
        window.append(at)
        while window[0] <= at - FALL:
            window.popleft()
        rate = server.warmth(window[0], fleet.config) * server.cores / WORK
        budget = fleet.config.cold_overload_multiple * rate * FALL
        worst = max(worst, len(window) / (budget + 2 * budget**0.5 + 2))
    return worst


def restart(case: str, sidecars: int) -> tuple[Fleet, list[Server]]:
    """Twelve servers at seven tenths of what they can do; in the fourth second some come back cold."""
    zones = 3 if case == "far" else 1
    servers = [Server(n, zone=n % zones, cap=200) for n in range(1, 13)]
    fleet = Fleet(replace(COLD, zone_count=zones), sidecars, servers, seed=sidecars)
    cold = {"far": servers[:1], "all": servers}.get(case, servers[:4])
    usual = 0.7 * len(servers) * 3 * SECOND / WORK
    fleet.retries = 2 if case == "retries" else 0
    fleet.load(0, 4, usual, WORK, 600)
    fleet.load(4, 9, usual * (2 if case in ("burst", "retries") else 1), WORK, 600)
    fleet.load(9, 13, usual, WORK, 600)
    fleet.at(4, partial(fleet.restart, cold))
    if case == "warm out":
        for server in servers[4:]:
            fleet.at(5, partial(setattr, server, "up", False))
    if case == "restarted":
        for sidecar in fleet.sidecars[1::2]:
            fleet.at(6.5, sidecar.start)
    fleet.run(13)
    return fleet, cold


@pytest.mark.parametrize("sidecars", [2, 8, 20, 30])
@pytest.mark.parametrize("case", ["rack", "all", "warm out", "burst", "retries", "restarted", "far"])
def test_what_all_sidecars_send_a_cold_server_stays_in_its_budget(case: str, sidecars: int) -> None:
    """Each may keep to its part, and all together push one over all the same."""
    fleet, cold = restart(case, sidecars)
    assert max(pushed(fleet, server) for server in cold) < 0.6
    assert all(server.sent for server in cold)


@pytest.mark.parametrize("sidecars", [2, 30])
def test_servers_that_come_back_together_get_what_a_warm_one_did_by_their_warmth(sidecars: int) -> None:
    """With a request a second each they stood idle, and three calls in a hundred were answered in time."""
    fleet, cold = restart("all", sidecars)
    assert fleet.in_time(5, 9) > 0.15
    assert min(len(server.sent) for server in cold) > 40

"""Tests of a fleet in simulated time: load that is acceptable from one sidecar may add up over many."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from enum import Enum
from functools import partial

import pytest

from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import request_class, settings
from tests.policy.fleet_servers import AccountServer
from tests.policy.fleet_simulation import FleetSimulation

WORK_NS = 100 * MILLISECOND_NS
KEYS = 600

BURST_SETTINGS = settings(
    request_class(late_response_value=0.5, client_timeout_ns=2500 * MILLISECOND_NS),
    key_affinity=True,
    health_checks_enabled=True,
    connection_price=0.06,
    handshake_price=0.06,
    max_retry_after_ns=3000 * MILLISECOND_NS,
)
RESTART_SETTINGS = replace(
    BURST_SETTINGS,
    slow_start_capacity=0.31,
    slow_start_duration_ns=8500 * MILLISECOND_NS,
    warming_overload_multiple=3.0,
)
BUDGET_WINDOW_NS = 3 * SECOND_NS
"""Window over which the attempts to a warming account server are counted."""


class RestartCase(Enum):
    """Which account servers restart, and which other fault occurs."""

    FOUR_SERVERS = "four servers"
    ALL_SERVERS = "all servers"
    WARM_SERVERS_STOP = "warm servers stop"
    BURST = "burst"
    CLIENT_RETRIES = "client retries"
    SIDECARS_RESTART = "sidecars restart"
    ONE_SERVER_IN_THREE_ZONES = "one server in three zones"


def peak_budget_share(fleet: FleetSimulation, server: AccountServer) -> float:
    """Return the most attempts in any window while an account server warms up, as a share of its budget.

    The budget is the multiple of its capacity that the settings allow, plus two standard deviations and two
    attempts for random variation.
    """
    peak = 0.0
    window = deque[int]()
    for attempt_time_ns in server.attempt_times_ns:
        if attempt_time_ns - server.started_at_ns >= fleet.settings.slow_start_duration_ns:
            break
        window.append(attempt_time_ns)
        while window[0] <= attempt_time_ns - BUDGET_WINDOW_NS:
            window.popleft()
        rate = server.capacity(window[0], fleet.settings) * server.cores / WORK_NS
        budget = fleet.settings.warming_overload_multiple * rate * BUDGET_WINDOW_NS
        peak = max(peak, len(window) / (budget + 2 * budget**0.5 + 2))
    return peak


def simulate_restart(case: RestartCase, sidecar_count: int) -> tuple[FleetSimulation, list[AccountServer]]:
    """Load twelve account servers with seven tenths of their capacity; some restart after four seconds."""
    zone_count = 3 if case == RestartCase.ONE_SERVER_IN_THREE_ZONES else 1
    servers = [
        AccountServer(number, zone=number % zone_count, connection_limit=200) for number in range(1, 13)
    ]
    config = replace(RESTART_SETTINGS, zone_count=zone_count)
    fleet = FleetSimulation(config, sidecar_count, servers, seed=sidecar_count)
    restarted = {
        RestartCase.ONE_SERVER_IN_THREE_ZONES: servers[:1],
        RestartCase.ALL_SERVERS: servers,
    }.get(case, servers[:4])
    fleet.client_retries = 2 if case == RestartCase.CLIENT_RETRIES else 0
    usual_rate = 0.7 * len(servers) * 3 * SECOND_NS / WORK_NS
    is_burst = case in (RestartCase.BURST, RestartCase.CLIENT_RETRIES)
    rate_after_restart = usual_rate * (2 if is_burst else 1)
    fleet.add_load(0, 4, rate_per_second=usual_rate, work_ns=WORK_NS, keys=KEYS)
    fleet.add_load(4, 9, rate_per_second=rate_after_restart, work_ns=WORK_NS, keys=KEYS)
    fleet.add_load(9, 13, rate_per_second=usual_rate, work_ns=WORK_NS, keys=KEYS)
    fleet.schedule_at(4, partial(fleet.restart_servers, restarted))
    if case == RestartCase.WARM_SERVERS_STOP:
        for server in servers[4:]:
            fleet.schedule_at(5, server.stop)
    if case == RestartCase.SIDECARS_RESTART:
        for sidecar in fleet.sidecars[1::2]:
            fleet.schedule_at(6.5, sidecar.start)
    fleet.run_until(13)
    return fleet, restarted


@pytest.mark.parametrize("seed", [1, 2])
def test_fleet_recovers_from_a_burst_within_its_connection_limits(seed: int) -> None:
    """Without a connection budget, each sidecar could connect to each account server in a burst.

    Requests with keys and subsets that grow would cause this. Together the connections of all sidecars would
    fill the connection tables of the account servers.
    """
    fleet = FleetSimulation(BURST_SETTINGS, 90, [AccountServer(number) for number in range(1, 41)], seed)
    fleet.client_retries = 1
    usual_rate = 0.7 * 40 * 3 / 0.1
    fleet.add_load(0, 4, rate_per_second=usual_rate, work_ns=WORK_NS, keys=KEYS)
    fleet.add_load(4, 8, rate_per_second=1.5 * usual_rate, work_ns=WORK_NS, keys=KEYS)
    fleet.add_load(8, 22, rate_per_second=usual_rate, work_ns=WORK_NS, keys=KEYS)
    fleet.run_until(22)
    assert fleet.share_answered_in_time(1, 4) > 0.9
    assert fleet.share_answered_in_time(18, 21) > 0.9  # within ten seconds of the burst's end
    assert sum(server.refused_connects for server in fleet.servers) < 10
    assert sum(server.peak_connections for server in fleet.servers) < 0.75 * 39 * len(fleet.servers)


@pytest.mark.parametrize("sidecar_count", [2, 8, 20, 30])
@pytest.mark.parametrize("case", RestartCase)
def test_attempts_to_warming_servers_keep_to_their_budget(case: RestartCase, sidecar_count: int) -> None:
    """The sidecars may overload a warming account server together even if each limits its own attempts."""
    fleet, restarted = simulate_restart(case, sidecar_count)
    assert max(peak_budget_share(fleet, server) for server in restarted) < 0.6
    assert all(server.attempt_times_ns for server in restarted)


@pytest.mark.parametrize("sidecar_count", [2, 30])
def test_servers_that_restart_together_are_used_by_their_capacity(sidecar_count: int) -> None:
    """With only a minimum rate of attempts to each they would be idle, and few requests answered in time."""
    fleet, restarted = simulate_restart(RestartCase.ALL_SERVERS, sidecar_count)
    assert fleet.share_answered_in_time(5, 9) > 0.15
    assert min(len(server.attempt_times_ns) for server in restarted) > 40

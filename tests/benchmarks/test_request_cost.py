"""Tests of the benchmark that compares the processor time of a request between two checkouts."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from benchmarks import request_cost
from benchmarks.account_server_stand_in import AccountServers
from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.open_loop_load import OpenLoopLoad, arrival_times
from benchmarks.request_cost import PairCost, RequestCostOptions, measure_pair, median_pair
from benchmarks.sidecar_process import REPOSITORY_ROOT
from tests.benchmarks.runner import run

REQUEST_COUNT = 20


def test_pair_has_the_ratio_of_the_current_checkout_to_the_baseline() -> None:
    assert PairCost(200.0, 210.0).to_line() == "baseline  200.0 us, current  210.0 us, ratio 1.050"


def test_median_is_taken_of_each_checkout() -> None:
    pairs = [PairCost(100.0, 130.0), PairCost(300.0, 110.0), PairCost(200.0, 120.0)]
    assert median_pair(pairs) == PairCost(200.0, 120.0)


def test_start_times_depend_on_the_seed_alone() -> None:
    first, second = (list(arrival_times(Random(7), 50.0, 10.0)) for _ in range(2))
    assert first == second
    assert first == sorted(first)
    assert 0 < first[0] < first[-1] < 10.0
    assert 400 < len(first) < 600


def test_each_request_of_the_load_is_answered_once() -> None:
    async def test() -> None:
        async with AccountServers(2) as servers:
            for address in servers.addresses:
                load = OpenLoopLoad(int(address.rpartition(":")[2]))
                await load.run(iter([0.0] * REQUEST_COUNT))
                assert load.responses_by_status == {200: REQUEST_COUNT}

    run(test)


def test_request_without_response_has_status_0() -> None:
    async def test() -> None:
        async with AccountServers(1) as servers:
            [address] = servers.addresses
        load = OpenLoopLoad(int(address.rpartition(":")[2]))
        await load.run(iter([0.0]))
        assert load.responses_by_status == {0: 1}

    run(test)


def test_discovery_lists_the_addresses_of_the_servers() -> None:
    async def test() -> None:
        async with DiscoveryStandIn(2, ("127.0.0.1:7",)) as discovery:
            reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
            writer.write(b"GET /discovery/hosts HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            assert b'"dial":"127.0.0.1:7"' in await reader.readuntil(b"]}")
            writer.close()

    run(test)


@pytest.mark.parametrize(("index", "first"), [(0, "baseline"), (1, "current")])
def test_checkouts_are_measured_in_alternating_order(
    index: int, first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a checkout that is compared with itself is measured once, and the ratio is always 1.
    costs = iter([100.0, 150.0])

    async def measure_checkout(*_arguments: object) -> float:
        return next(costs)

    async def test() -> None:
        options = RequestCostOptions(REPOSITORY_ROOT, 100.0, 1.0, 1, 1, as_json=False)
        pair = await measure_pair(options, index)
        assert pair == (PairCost(100.0, 150.0) if first == "baseline" else PairCost(150.0, 100.0))

    monkeypatch.setattr(request_cost, "_measure_checkout", measure_checkout)
    run(test)


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ([], "required: --baseline"),
        (["--baseline", "{repository}", "--rate", "0"], "'0' is not a positive number"),
        (["--baseline", "{repository}", "--pairs", "1.5"], "'1.5' is not a positive integer"),
        (["--baseline", "{empty}"], "is not the directory of a checkout"),
    ],
)
def test_wrong_arguments_are_reported_in_one_line(
    arguments: list[str], message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    places = {"repository": str(REPOSITORY_ROOT), "empty": str(tmp_path)}
    with pytest.raises(SystemExit) as exit_info:
        request_cost.main([argument.format(**places) for argument in arguments])
    assert exit_info.value.code == 2
    [line] = capsys.readouterr().err.splitlines()
    assert message in line

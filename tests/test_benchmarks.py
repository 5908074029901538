"""The benchmarks: their command line, the form of their results, and the stand-in for discovery's agent."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence

import pytest

from balancer.policy_api import EndpointHealth
from balancer.sidecar.endpoint_list import EndpointListUpdate, NameIndices, parse_endpoint_list
from benchmarks import control_cost, membership_cost
from benchmarks.command_line import DEFAULT_ENTRIES, BenchmarkOptions, parse_options
from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.errors import SidecarExitedError
from benchmarks.sidecar_process import SidecarProcess

Main = Callable[[Sequence[str]], int]
MAINS = [membership_cost.main, control_cost.main]
LONG_HOLD_MS = 60_000
TEST_TIMEOUT_SECONDS = 20.0  # a hang fails the test; no test passes or fails by a shorter time


def test_options_have_defaults() -> None:
    assert parse_options("program", "", []) == BenchmarkOptions(DEFAULT_ENTRIES, as_json=False)


def test_options_take_several_lengths_and_json() -> None:
    options = parse_options("program", "", ["--json", "--entries", "20", "300"])
    assert options == BenchmarkOptions((20, 300), as_json=True)


@pytest.mark.parametrize("main", MAINS)
def test_help_names_the_options(main: Main, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(["--help"])
    assert exit_info.value.code == 0
    printed = capsys.readouterr().out
    assert "--entries N" in printed
    assert "--json" in printed


@pytest.mark.parametrize("main", MAINS)
@pytest.mark.parametrize(
    "arguments",
    [
        ["--entries"],
        ["--entries", "0"],
        ["--entries", "-5"],
        ["--entries", "many"],
        ["--entries", "20", "1e9"],
        ["--entries", "1000001"],
        ["--odd"],
        ["20"],
    ],
)
def test_bad_arguments_get_one_plain_line(
    main: Main, arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == 2
    printed = capsys.readouterr()
    assert printed.out == ""
    assert printed.err.count("\n") == 1
    assert printed.err.endswith("\n")


def test_membership_cost_prints_a_json_list_of_one_object_a_length(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert membership_cost.main(["--entries", "20", "1", "--json"]) == 0
    results = json.loads(capsys.readouterr().out)
    assert [result["entries"] for result in results] == [20, 1]
    for result in results:
        assert set(result) == {
            "entries",
            "snapshot_microseconds",
            "delta_microseconds",
            "timer_microseconds",
            "request_microseconds",
            "held_bytes",
            "held_bytes_per_entry",
            "peak_rss_megabytes",
        }
        assert all(value > 0 for value in result.values())
        assert result["held_bytes_per_entry"] * result["entries"] == pytest.approx(result["held_bytes"])


def test_membership_cost_prints_a_line_a_length_and_its_memory(capsys: pytest.CaptureFixture[str]) -> None:
    assert membership_cost.main(["--entries", "20"]) == 0
    line, memory = capsys.readouterr().out.splitlines()
    assert line.startswith("n=    20 full ")
    assert line.endswith(" B/entry)")
    assert memory.startswith("RSS MB ")


def test_control_cost_has_the_same_figures_in_its_line_and_its_json() -> None:
    cost = control_cost.ControlCost(
        entries=1_000,
        ready_seconds=0.25,
        rss_megabytes=31.5,
        idle_cpu_share=0.0125,
        changing_cpu_share=0.02,
        agent_bytes_per_second=900.0,
        agent_calls_per_second=3.3,
        burst_drains=52,
        burst_cpu_seconds=0.07,
    )
    assert cost.to_line() == (
        "n=  1000 ready  0.25 s  RSS  31.5 MB  idle  1.25% of a core  +1 change/s  2.00%"
        "  agent    900 B/s in 3.3 calls/s  burst of 52 drains: 0.07 CPU s"
    )
    assert cost.to_json() == {
        "entries": 1_000,
        "ready_seconds": 0.25,
        "rss_megabytes": 31.5,
        "idle_cpu_share": 0.0125,
        "changing_cpu_share": 0.02,
        "agent_bytes_per_second": 900.0,
        "agent_calls_per_second": 3.3,
        "burst_drains": 52,
        "burst_cpu_seconds": 0.07,
    }


class AgentClient:
    """A connection to the agent that reads its lists as a sidecar does."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def fetch(self, query: str = "") -> EndpointListUpdate:
        self.call(query)
        return await self.answer()

    def call(self, *queries: str) -> None:
        calls = [f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: agent\r\n\r\n" for query in queries]
        self._writer.write("".join(calls).encode())

    async def answer(self) -> EndpointListUpdate:
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK\r\n")
        body = await self._reader.readexactly(int(head.split(b"Content-Length: ")[1]))
        return parse_endpoint_list(json.loads(body), NameIndices({}, {}))

    async def close(self) -> None:
        self._writer.close()
        await self._writer.wait_closed()


async def connect(discovery: DiscoveryStandIn) -> AgentClient:
    return AgentClient(*await asyncio.open_connection("127.0.0.1", discovery.port))


def test_stand_in_answers_a_snapshot_and_a_watch_with_a_delta() -> None:
    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS), DiscoveryStandIn(3) as discovery:
            client = await connect(discovery)
            snapshot = await client.fetch()
            assert (snapshot.version, snapshot.is_snapshot) == (1, True)
            assert len({entry.address for entry in snapshot.endpoints}) == 3
            watch = asyncio.create_task(client.fetch(f"?from=1&hold_ms={LONG_HOLD_MS}"))
            await discovery.set_health(2, "draining")
            delta = await watch
            assert (delta.version, delta.is_snapshot) == (2, False)
            [changed] = delta.endpoints
            assert changed.endpoint.id == snapshot.endpoints[2].endpoint.id
            assert changed.endpoint.health == EndpointHealth.DRAINING
            later = await client.fetch("?from=0&hold_ms=0")
            assert later.is_snapshot
            assert later.endpoints[2].endpoint.health == EndpointHealth.DRAINING
            assert discovery.totals.calls == 3
            assert discovery.totals.bytes_transferred > 0
            await client.close()

    asyncio.run(test())


def test_stand_in_answers_a_watch_without_changes_when_its_hold_is_over() -> None:
    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS), DiscoveryStandIn(3) as discovery:
            client = await connect(discovery)
            answer = await client.fetch("?from=1&hold_ms=1")
            assert answer == EndpointListUpdate(1, is_snapshot=False, endpoints=())
            await client.close()

    asyncio.run(test())


def test_stand_in_ends_its_connections_with_a_watch_still_open(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            async with DiscoveryStandIn(3) as discovery:
                client = await connect(discovery)
                client.call("", f"?from=1&hold_ms={LONG_HOLD_MS}")
                assert (await client.answer()).is_snapshot
            with pytest.raises(asyncio.IncompleteReadError):
                await client.answer()
            await client.close()

    asyncio.run(test())
    assert caplog.messages == []


def test_sidecar_process_is_measured_while_it_runs_and_then_ended() -> None:
    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS), DiscoveryStandIn(3) as discovery:
            async with SidecarProcess(discovery.port) as sidecar:
                await sidecar.wait_until_ready()
                assert sidecar.cpu_seconds() > 0
                assert sidecar.resident_megabytes() > 0
            with pytest.raises(SidecarExitedError):
                sidecar.cpu_seconds()

    asyncio.run(test())


def test_sidecar_process_that_cannot_start_is_told_with_its_exit_code() -> None:
    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS), SidecarProcess(discovery_port=65_536) as sidecar:
            with pytest.raises(SidecarExitedError, match="exit code 2") as error_info:
                await sidecar.wait_until_ready()
            assert error_info.value.exit_code == 2

    asyncio.run(test())

"""Tests of the benchmark of endpoints that come and go."""

from __future__ import annotations

import asyncio

from benchmarks import endpoint_turnover
from benchmarks.discovery_stand_in import DiscoveryStandIn
from tests.benchmarks.runner import run_with_discovery


def test_line_has_the_memory_before_and_after() -> None:
    cost = endpoint_turnover.TurnoverCost(10_000, 27.25, 28.5)
    assert cost.to_line() == "n= 10000 RSS  27.2 MB before,  28.5 MB after"


def test_changes_are_received_once_a_watch_continues_from_them() -> None:
    async def test(discovery: DiscoveryStandIn) -> None:
        await discovery.set_health(0, "removed")
        received = asyncio.ensure_future(discovery.wait_until_received())
        for version in (1, 2):
            assert not received.done()
            reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
            writer.write(b"GET /discovery/hosts?from=%d&hold_ms=0 HTTP/1.1\r\n\r\n" % version)
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        await received

    run_with_discovery(test)

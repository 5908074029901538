"""Tests of the stand-in for the discovery agent: snapshots, watches and the end of its connections."""

from __future__ import annotations

import asyncio
import json

import pytest

from balancer.policy_api import EndpointHealth
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate, NameIndices, parse_endpoint_list
from benchmarks.discovery_stand_in import DiscoveryStandIn
from tests.benchmarks.runner import ENDPOINT_COUNT, run, run_with_discovery

LONG_POLL_TIMEOUT_MS = 60_000
"""Timeout of a long poll that is longer than any test may take."""


class AgentClient:
    """A connection to the agent, which parses endpoint lists as a sidecar does."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def fetch(self, query: str = "") -> EndpointListUpdate:
        self.send_calls(query)
        return await self.read_update()

    def send_calls(self, *queries: str) -> None:
        calls = [f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: agent\r\n\r\n" for query in queries]
        self._writer.write("".join(calls).encode())

    async def read_update(self) -> EndpointListUpdate:
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK\r\n")
        body = await self._reader.readexactly(int(head.split(b"Content-Length: ")[1]))
        return parse_endpoint_list(json.loads(body), NameIndices({}, {}))

    async def close(self) -> None:
        self._writer.close()
        await self._writer.wait_closed()


async def connect(discovery: DiscoveryStandIn) -> AgentClient:
    return AgentClient(*await asyncio.open_connection("127.0.0.1", discovery.port))


def test_snapshot_and_watch_are_answered() -> None:
    async def test(discovery: DiscoveryStandIn) -> None:
        client = await connect(discovery)
        snapshot = await client.fetch()
        assert (snapshot.version, snapshot.is_snapshot) == (1, True)
        assert len({entry.address for entry in snapshot.endpoints}) == ENDPOINT_COUNT
        watch = asyncio.create_task(client.fetch(f"?from=1&hold_ms={LONG_POLL_TIMEOUT_MS}"))
        await discovery.set_health(2, "draining")
        delta = await watch
        assert (delta.version, delta.is_snapshot) == (2, False)
        [changed] = delta.endpoints
        assert changed.endpoint.id == snapshot.endpoints[2].endpoint.id
        assert changed.endpoint.health == EndpointHealth.DRAINING
        later_snapshot = await client.fetch("?from=0&hold_ms=0")
        assert later_snapshot.is_snapshot
        assert later_snapshot.endpoints[2].endpoint.health == EndpointHealth.DRAINING
        assert discovery.totals.calls == 3
        assert discovery.totals.bytes_transferred > 0
        await client.close()

    run_with_discovery(test)


def test_watch_without_changes_is_answered_after_its_timeout() -> None:
    async def test(discovery: DiscoveryStandIn) -> None:
        client = await connect(discovery)
        update = await client.fetch("?from=1&hold_ms=1")
        assert update == EndpointListUpdate(1, is_snapshot=False, endpoints=())
        await client.close()

    run_with_discovery(test)


def test_open_watch_ends_without_an_error_when_the_agent_stops(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with DiscoveryStandIn(ENDPOINT_COUNT) as discovery:
            client = await connect(discovery)
            client.send_calls("", f"?from=1&hold_ms={LONG_POLL_TIMEOUT_MS}")
            assert (await client.read_update()).is_snapshot
        with pytest.raises(asyncio.IncompleteReadError):
            await client.read_update()
        await client.close()

    run(test)
    assert caplog.messages == []

"""Tests of how requests are spread over endpoints, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

from tests.sidecar.harness import (
    SETTINGS,
    ReceivedRequest,
    Script,
    async_test,
    ok_response,
    request_bytes,
    run_endpoint,
    run_sidecar,
    wait_until,
)


class HoldingEndpoints:
    """Endpoints that hold every request until all may answer."""

    def __init__(self) -> None:
        self.request_counts = Counter[str]()
        """How many requests each endpoint holds, by its name."""
        self.request_arrived = asyncio.Event()
        self.may_answer = asyncio.Event()

    def script(self, name: str) -> Script:
        """Return the script of the endpoint with this name."""

        async def hold(_request: ReceivedRequest) -> bytes:
            self.request_counts[name] += 1
            self.request_arrived.set()
            await self.may_answer.wait()
            return ok_response()

        return hold

    async def run(self, stack: contextlib.AsyncExitStack, count: int) -> list[str]:
        """Run this many endpoints, and return their addresses."""
        scripts = [self.script(f"{index}") for index in range(count)]
        endpoints = [await stack.enter_async_context(run_endpoint(script)) for script in scripts]
        return [endpoint.address for endpoint in endpoints]


@async_test
async def test_burst_at_start_is_spread_over_endpoints() -> None:
    async with contextlib.AsyncExitStack() as stack:
        holding = HoldingEndpoints()
        addresses = await holding.run(stack, 8)
        settings = SETTINGS | {"Deductions": {"Connection": 0.01, "Handshake": 0.01}}
        sidecar = await stack.enter_async_context(run_sidecar(*addresses, settings=settings))
        clients = [await sidecar.connect_client() for _ in range(48)]
        for client in clients:
            client.writer.write(request_bytes())
        await wait_until(lambda: holding.request_counts.total() >= 48)
        assert len(holding.request_counts) == 8, holding.request_counts
        assert max(holding.request_counts.values()) <= 12, holding.request_counts
        holding.may_answer.set()
        for client in clients:
            assert (await client.read_response()).status == 200


@async_test
async def test_request_goes_to_endpoint_with_fewest_requests_in_flight() -> None:
    async with contextlib.AsyncExitStack() as stack:
        holding = HoldingEndpoints()
        addresses = await holding.run(stack, 5)
        sidecar = await stack.enter_async_context(run_sidecar(*addresses))
        clients = [await sidecar.connect_client() for _ in range(20)]
        for sent_count, client in enumerate(clients):
            holding.request_arrived.clear()
            client.writer.write(request_bytes("post"))
            await holding.request_arrived.wait()
            assert max(holding.request_counts.values()) == sent_count // 5 + 1, holding.request_counts
        holding.may_answer.set()
        for client in clients:
            assert (await client.read_response()).status == 200

"""Tests of the distribution of requests to endpoints, over loopback sockets."""

from __future__ import annotations

from tests.sidecar.configuration_documents import SETTINGS
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import request_bytes
from tests.sidecar.pending_requests import PendingRequests
from tests.sidecar.scripted_endpoint import run_endpoints
from tests.sidecar.sidecar_under_test import run_sidecar


@async_test
async def test_burst_at_start_is_spread_over_endpoints() -> None:
    pending = PendingRequests()
    settings = SETTINGS | {"Deductions": {"Connection": 0.01, "Handshake": 0.01}}
    async with (
        run_endpoints(*pending.scripts(8)) as endpoints,
        run_sidecar(*(endpoint.address for endpoint in endpoints), settings=settings) as sidecar,
    ):
        clients = [await sidecar.connect_client() for _ in range(48)]
        for client in clients:
            client.writer.write(request_bytes())
        await wait_until(lambda: pending.counts.total() >= 48)
        assert len(pending.counts) == 8, pending.counts
        assert max(pending.counts.values()) <= 12, pending.counts
        pending.answer_all()
        for client in clients:
            assert (await client.read_response()).status == 200


@async_test
async def test_request_goes_to_endpoint_with_fewest_requests_in_flight() -> None:
    pending = PendingRequests()
    async with (
        run_endpoints(*pending.scripts(5)) as endpoints,
        run_sidecar(*(endpoint.address for endpoint in endpoints)) as sidecar,
    ):
        clients = [await sidecar.connect_client() for _ in range(20)]
        for sent_count, client in enumerate(clients):
            client.writer.write(request_bytes("post"))
            await pending.arrivals.get()
            assert max(pending.counts.values()) == sent_count // 5 + 1, pending.counts
        pending.answer_all()
        for client in clients:
            assert (await client.read_response()).status == 200

"""Tests of the limit on the memory of messages that the clients' connections store."""

from __future__ import annotations

import asyncio
import contextlib

from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from balancer.sidecar.http.buffer_budget import BudgetShare, BufferBudget
from balancer.sidecar.requests.client_request import REQUEST_OVERHEAD_BYTES
from balancer.sidecar.runtime.metrics import Metric
from tests.sidecar.downstream.harness import (
    connect_slow_reader,
    receive_all,
    run_client_session,
    run_sidecar_without_sweeps,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, answer_ok, run_endpoint

LONG_BODY = b"x" * 60_000


@async_test
async def test_requests_in_flight_stay_within_memory_and_further_ones_are_rejected_at_once() -> None:
    """Guards against a process killed for memory while clients send many long requests at once."""
    released = asyncio.Event()

    async def respond_when_released(_request: ReceivedRequest) -> bytes:
        await released.wait()
        return ok_response()

    async with (
        run_endpoint(respond_when_released) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        budget = sidecar.dispatcher.budgets.requests
        budget.max_bytes = 3 * (REQUEST_OVERHEAD_BYTES + 2 * len(LONG_BODY) + 1000) + 70_000
        client = await sidecar.connect_client()
        for _ in range(3):
            client.writer.write(request_bytes("post", body=LONG_BODY))
        await wait_until(lambda: len(endpoint.received_requests) == 3)
        assert 3 * 2 * len(LONG_BODY) < budget.used_bytes <= budget.max_bytes
        other_client = await sidecar.connect_client()
        response = await other_client.exchange(request_bytes("post", body=LONG_BODY))
        assert response.status == 503
        assert b"connection" not in response.headers
        assert sidecar.dispatcher.metrics.value(Metric.MEMORY_REJECTIONS) == 1
        released.set()
        for _ in range(3):
            assert (await client.read_response()).status == 200
        assert (await other_client.exchange(request_bytes("post", body=LONG_BODY))).status == 200
        await wait_until(lambda: not sidecar.dispatcher.request_registry.in_flight)
        assert budget.used_bytes == 0


@async_test
async def test_request_that_arrives_is_rejected_if_there_is_no_memory_for_it() -> None:
    """Guards against a process killed for memory while many clients stop half way through a long request."""
    async with run_client_session(answer_ok) as session:
        budgets = session.sidecar.dispatcher.budgets
        budgets.requests.max_bytes = 20_000
        session.client.sendall(request_bytes("post", body=LONG_BODY)[:-1])
        await wait_until(lambda: session.sidecar.dispatcher.metrics.value(Metric.MEMORY_REJECTIONS))
        response = await receive_all(session.client)
        assert response.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in response
        assert budgets.requests.used_bytes == 0


@async_test
async def test_bytes_of_a_request_are_released_when_its_client_leaves() -> None:
    async with run_client_session(answer_ok) as session:
        budgets = session.sidecar.dispatcher.budgets
        session.client.sendall(request_bytes("post", body=LONG_BODY)[:-1])
        await wait_until(lambda: budgets.requests.used_bytes >= len(LONG_BODY) - 1)
        assert budgets.total.used_bytes == budgets.requests.used_bytes
        await session.disconnect()
        assert (budgets.requests.used_bytes, budgets.total.used_bytes) == (0, 0)


@async_test
async def test_response_that_its_client_does_not_read_counts_until_the_connection_is_lost() -> None:
    """Guards against responses that count while they arrive and not while they wait for the client."""

    async def respond_with_long_body(_request: ReceivedRequest) -> bytes:
        return ok_response(b"x" * 500_000)

    async with (
        run_endpoint(respond_with_long_body) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        with contextlib.ExitStack() as sockets:
            slow_reader = await connect_slow_reader(sidecar, sockets)
            slow_reader.send(request_bytes())
            total = sidecar.dispatcher.budgets.total
            await wait_until(lambda: total.used_bytes > 400_000)
            [connection] = sidecar.listener.accepting_connections
            assert connection.has_unsent_response
        await wait_until(lambda: not len(sidecar.listener))
        await wait_until(lambda: not total.used_bytes)


@async_test
async def test_responses_that_wait_for_an_earlier_one_are_counted() -> None:
    """Guards against sixteen long responses of one connection in memory behind one that hangs."""
    first_released = asyncio.Event()

    async def hold_first_response(request: ReceivedRequest) -> bytes:
        if request.headers[b"req-id"] == b"first":
            await first_released.wait()
        return ok_response(LONG_BODY)

    async with (
        run_endpoint(hold_first_response) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        count = MAX_PIPELINED_REQUESTS
        total = sidecar.dispatcher.budgets.total
        client.writer.write(request_bytes(request_id="first") + request_bytes())
        await wait_until(lambda: total.used_bytes > len(LONG_BODY))
        client.writer.write(b"".join(request_bytes() for _ in range(count - 2)))
        await wait_until(lambda: total.used_bytes > (count - 1) * len(LONG_BODY))
        first_released.set()
        for _ in range(count):
            assert (await client.read_response()).status == 200


def test_budget_reserves_in_its_parent_or_not_at_all() -> None:
    parent = BufferBudget(100)
    first, second = BufferBudget(80, parent=parent), BufferBudget(80, parent=parent)
    assert first.reserve(70)
    assert not second.reserve(40)
    assert (first.used_bytes, second.used_bytes, parent.used_bytes) == (70, 0, 70)
    second.occupy(40)
    assert (second.used_bytes, parent.used_bytes) == (40, 110)
    assert not first.reserve(1)
    second.release(40)
    first.release(70)
    assert parent.used_bytes == 0


def test_share_changes_by_the_difference() -> None:
    budget = BufferBudget(100)
    share = BudgetShare(budget)
    assert share.try_resize(60)
    assert not share.try_resize(101)
    assert budget.used_bytes == 60
    share.resize(130)
    assert (share.size_bytes, budget.used_bytes) == (130, 130)
    assert share.try_resize(10)
    assert budget.used_bytes == 10

"""Tests of the upstream manager: its limits, and that no connection stays open or counted after its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from balancer.policy_api import AttemptOutcome, EndpointUpdateKind
from balancer.sidecar.http.message import MAX_RESPONSE_BODY_BYTES
from balancer.sidecar.http.outbound_connection import OutboundConnection
from tests.sidecar.configuration_documents import SETTINGS, endpoint_entry, endpoint_list
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import answer_ok, never_answer, run_endpoint
from tests.sidecar.sidecar_under_test import is_attempt_completed, run_sidecar
from tests.sidecar.upstream.harness import (
    HEAD_WITHOUT_LENGTH,
    ConnectionEnd,
    OutcomeQueue,
    create_upstream,
    event_loop_with_connector,
    respond_with,
    run_raw_endpoint,
    start_attempt,
)


async def connect_and_lose(
    factory: Callable[[], OutboundConnection], *address: Any
) -> tuple[asyncio.BaseTransport, OutboundConnection]:
    """Create a connection that is lost before the task that waits for it runs again."""
    transport, connection = await asyncio.get_running_loop().create_connection(factory, *address)
    transport.abort()
    await wait_until(lambda: connection.transport is None)
    return transport, connection


@async_test
async def test_connection_lost_as_soon_as_established_is_not_counted() -> None:
    async with run_endpoint(answer_ok) as endpoint:
        loop = event_loop_with_connector(connect_and_lose)
        _, upstream, pool = create_upstream(endpoint.address, loop)
        connection = await upstream.connect(pool)
        assert upstream.open_connection_count == 0
        assert not connection.is_reusable()
        assert connection.send(request_bytes(), lambda _response: None) is False


class CancellingProtocol(asyncio.Protocol):
    """Forwards the start and the loss of a connection, and cancels a task at the start."""

    def __init__(self, connection: OutboundConnection, waiting_task: asyncio.Task[Any]) -> None:
        self._connection = connection
        self._waiting_task = waiting_task

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward the transport, then cancel the task."""
        self._connection.connection_made(transport)
        self._waiting_task.cancel()

    def connection_lost(self, error: Exception | None) -> None:
        """Forward the loss."""
        self._connection.connection_lost(error)


async def connect_and_cancel(factory: Callable[[], OutboundConnection], *address: Any) -> object:
    """Create a connection for a task that is cancelled in the loop iteration that establishes it."""
    waiting_task = asyncio.current_task()
    assert waiting_task is not None

    def make_protocol() -> CancellingProtocol:
        return CancellingProtocol(factory(), waiting_task)

    return await asyncio.get_running_loop().create_connection(make_protocol, *address)


@async_test
async def test_connect_cancelled_as_it_is_established_is_not_counted() -> None:
    async with run_endpoint(answer_ok) as endpoint:
        loop = event_loop_with_connector(connect_and_cancel)
        _, upstream, pool = create_upstream(endpoint.address, loop)
        connecting = asyncio.ensure_future(upstream.connect(pool))
        await asyncio.wait((connecting,))
        assert connecting.cancelled()
        for _ in range(10):  # gives the event loop time to report the loss of the connection, if it does
            await asyncio.sleep(0)
        assert upstream.open_connection_count == 0


@async_test
async def test_idle_connection_is_closed_at_limit_else_attempt_ends_unsent() -> None:
    async with (
        run_endpoint(never_answer) as unresponsive,
        run_endpoint(answer_ok) as answering,
        run_sidecar(unresponsive.address, limits={"sockets": 2}) as sidecar,
    ):
        upstream = sidecar.dispatcher.upstream
        delta = endpoint_list(2, endpoint_entry("s-1", answering.address), is_snapshot=False)
        sidecar.update_endpoints(delta, EndpointUpdateKind.DELTA)
        outcomes = OutcomeQueue()
        start_attempt(upstream, "s-1", outcomes.record)
        # The connection is idle now, and takes up the whole limit.
        assert await outcomes.get() == AttemptOutcome.SUCCESS
        start_attempt(upstream, "s-0", outcomes.record)
        await unresponsive.request_arrived.wait()
        start_attempt(upstream, "s-1", outcomes.record)
        # The limit is this sidecar's own, so the outcome must not be a failure of the endpoint.
        assert await outcomes.get() == AttemptOutcome.NOT_SENT
        assert len(answering.received_requests) == 1


@async_test
async def test_response_bodies_are_limited_together_not_to_64_kib() -> None:
    """Endpoints send several times the 64 KiB of the protocol, which must not count as a failure."""
    body = b"x" * 400_000
    async with (
        run_endpoint(respond_with(ok_response(body))) as endpoint,
        run_sidecar(endpoint.address) as sidecar,
    ):
        client = await sidecar.connect_client()
        assert await client.exchange(request_bytes()) == (200, {b"content-length": b"400000"}, body)
        budget = sidecar.dispatcher.upstream.buffer_budget
        assert budget.used_bytes == 0
        budget.max_bytes = 300_000
        assert (await client.exchange(request_bytes("post"))).status == 502
        assert budget.used_bytes == 0


@pytest.mark.parametrize("max_buffered_bytes", [MAX_RESPONSE_BODY_BYTES // 2, 3 * MAX_RESPONSE_BODY_BYTES])
@async_test
async def test_too_long_response_without_length_is_aborted_before_it_ends(max_buffered_bytes: int) -> None:
    """The limit of one response applies, and so does the limit of all responses together."""
    response = HEAD_WITHOUT_LENGTH + b"x" * 2 * MAX_RESPONSE_BODY_BYTES
    async with (
        run_raw_endpoint(response, ConnectionEnd.NEVER) as (endpoint, address),
        run_sidecar(address) as sidecar,
    ):
        budget = sidecar.dispatcher.upstream.buffer_budget
        budget.max_bytes = max_buffered_bytes
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes("post"))).status == 502
        assert (await sidecar.wait_for_event(is_attempt_completed)).outcome == AttemptOutcome.CONNECTION_RESET
        await endpoint.connection_ended.wait()  # the endpoint itself would keep it open
        assert budget.used_bytes == 0


def count_open_descriptors() -> int:
    """Return the number of open file descriptors of this process."""
    return sum(1 for _ in Path("/proc/self/fd").iterdir())


@contextlib.contextmanager
def unresponsive_address() -> Iterator[str]:
    """Yield an address where no connect completes, because its backlog is full and nothing accepts."""
    with socket.socket() as listening, contextlib.ExitStack() as stack:
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        host, port = listening.getsockname()
        for _ in range(8):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        yield f"{host}:{port}"


@pytest.mark.parametrize(
    ("connect_timeout_ns", "is_aborted", "outcome"),
    [
        (50_000_000, False, AttemptOutcome.CONNECT_FAILED),
        (9_000_000_000, True, AttemptOutcome.CANCELLED),
    ],
    ids=["timeout", "abort"],
)
@async_test
async def test_abandoned_connect_leaves_nothing_open(
    connect_timeout_ns: int, is_aborted: bool, outcome: AttemptOutcome
) -> None:
    """Afterwards no descriptor is open, and no connection is counted."""
    settings = SETTINGS | {"Limits": {"ConnectTimeoutNs": connect_timeout_ns}}
    with unresponsive_address() as address:
        async with run_sidecar(address, settings=settings) as sidecar:
            upstream = sidecar.dispatcher.upstream
            descriptors_before = count_open_descriptors()
            outcomes: list[AttemptOutcome] = []
            attempts = [
                start_attempt(upstream, "s-0", lambda outcome, _response: outcomes.append(outcome))
                for _ in range(5)
            ]
            await wait_until(lambda: count_open_descriptors() >= descriptors_before + 5)
            assert upstream.open_connection_count == 5
            if is_aborted:
                for attempt in attempts:
                    attempt.abort(AttemptOutcome.CANCELLED)
            await wait_until(lambda: len(outcomes) >= 5 and not upstream.open_connection_count)
            await wait_until(lambda: count_open_descriptors() <= descriptors_before)
            assert upstream.open_connection_count == 0
            assert not upstream.background_attempts
            assert outcomes == [outcome] * 5

"""Tests of the owner of all upstream connections: its limits, and that nothing stays open or counted."""

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
    event_loop_with_connector,
    manage_endpoint,
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
        _, upstream, pool = manage_endpoint(endpoint.address, loop)
        connection = await upstream.connect(pool)
        assert upstream.open_connection_count == 0
        assert not connection.is_reusable()
        assert connection.send(request_bytes(), lambda _response: None) is False


class CancellingProtocol(asyncio.Protocol):
    """Passes the start and the loss of a connection on, and cancels a task at the start."""

    def __init__(self, connection: OutboundConnection, waiting_task: asyncio.Task[Any]) -> None:
        self._connection = connection
        self._waiting_task = waiting_task

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the transport on, then cancel the task."""
        self._connection.connection_made(transport)
        self._waiting_task.cancel()

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the loss on."""
        self._connection.connection_lost(error)


async def connect_and_cancel(factory: Callable[[], OutboundConnection], *address: Any) -> object:
    """Create a connection for a task that is cancelled in the very turn in which it is established."""
    waiting_task = asyncio.current_task()
    assert waiting_task is not None

    def make_protocol() -> CancellingProtocol:
        return CancellingProtocol(factory(), waiting_task)

    return await asyncio.get_running_loop().create_connection(make_protocol, *address)


@async_test
async def test_connect_cancelled_as_it_is_established_is_not_counted() -> None:
    async with run_endpoint(answer_ok) as endpoint:
        loop = event_loop_with_connector(connect_and_cancel)
        _, upstream, pool = manage_endpoint(endpoint.address, loop)
        connecting = asyncio.ensure_future(upstream.connect(pool))
        await asyncio.wait((connecting,))
        assert connecting.cancelled()
        for _ in range(10):  # the loss of the connection, if it is reported at all
            await asyncio.sleep(0)
        assert upstream.open_connection_count == 0


@async_test
async def test_idle_connection_makes_room_at_limit_else_attempt_ends_unsent() -> None:
    async with (
        run_endpoint(never_answer) as silent,
        run_endpoint(answer_ok) as answering,
        run_sidecar(silent.address, limits={"sockets": 2}) as sidecar,
    ):
        upstream = sidecar.dispatcher.upstream
        delta = endpoint_list(2, endpoint_entry("s-1", answering.address), is_snapshot=False)
        sidecar.update_endpoints(delta, EndpointUpdateKind.DELTA)
        outcomes = OutcomeQueue()
        start_attempt(upstream, "s-1", outcomes.record)
        # Its connection is idle then, and the only one that is allowed.
        assert await outcomes.get() == AttemptOutcome.SUCCESS
        start_attempt(upstream, "s-0", outcomes.record)
        await silent.request_arrived.wait()
        start_attempt(upstream, "s-1", outcomes.record)
        # The lack of room is this sidecar's: it must not look like a failure of the endpoint.
        assert await outcomes.get() == AttemptOutcome.NOT_SENT
        assert len(answering.received_requests) == 1


@async_test
async def test_response_bodies_are_limited_together_not_to_64_kib() -> None:
    """Endpoints send several times the 64 KiB that the protocol names, and must not look broken then."""
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
async def test_too_long_response_without_length_is_refused_before_it_ends(max_buffered_bytes: int) -> None:
    """By the limit of one response, and by that of all together."""
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
        await endpoint.connection_ended.wait()  # which the endpoint itself would keep open
        assert budget.used_bytes == 0


def count_open_descriptors() -> int:
    """Return how many file descriptors this process has open."""
    return sum(1 for _ in Path("/proc/self/fd").iterdir())


@contextlib.contextmanager
def unresponsive_address() -> Iterator[str]:
    """An address that completes no connect: its backlog is full of connections that nobody accepts."""
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
    """Neither a descriptor nor a place in the count is left."""
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

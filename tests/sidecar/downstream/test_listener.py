"""Tests of the listener: admission and eviction at the connection limit, readiness, duplicate requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from socket import SO_RCVBUF, SOL_SOCKET, socket

import pytest

from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.connection_lifecycle import CloseReason
from balancer.sidecar.downstream.connection_registry import ConnectionRegistry
from balancer.sidecar.downstream.eviction import Eviction, EvictionAction
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from tests.sidecar.client import Client
from tests.sidecar.downstream.harness import (
    CLOSE_HEADER,
    MALFORMED_REQUEST,
    READINESS_REQUEST,
    TIMEOUTS,
    accepted_connection,
    connect_slow_reader,
    connect_socket,
    is_complete_response,
    receive_all,
    receive_exactly,
    run_sidecar_without_sweeps,
    set_time,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.scripted_endpoint import ReceivedRequest, ScriptedEndpoint, answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar

LIMITS = {"sockets": 19}
MAX_CONNECTIONS = 7
"""Number of clients' connections that these limits allow."""
LONG_BODY = b"x" * 60_000
"""A body of which the buffers of a slow reader take only a part."""
MAX_CLOSING_CONNECTIONS = 2
"""Number of connections above the limit that the event loop may not have closed yet."""


# ---- duplicate requests


@async_test
async def test_duplicate_request_id_is_rejected_until_attempt_has_ended() -> None:
    response_released = asyncio.Event()

    async def respond_when_released(_request: ReceivedRequest) -> bytes:
        await response_released.wait()
        return ok_response(b"the first's")

    def is_answered(sidecar: Sidecar) -> bool:
        in_flight = sidecar.dispatcher.request_registry.in_flight
        return not in_flight or next(iter(in_flight.values())).answered

    async with run_endpoint(respond_when_released) as endpoint, run_sidecar(endpoint.address) as sidecar:
        first, second = await sidecar.connect_client(), await sidecar.connect_client()
        first.writer.write(request_bytes("post", request_id="aa"))
        await endpoint.request_arrived.wait()
        assert (await second.exchange(request_bytes("post", request_id="aa")))[0] == 409
        first.writer.close()  # its client has disconnected, but its attempt is still in flight
        await wait_until(lambda: is_answered(sidecar))
        third = await sidecar.connect_client()
        assert (await third.exchange(request_bytes("post", request_id="aa")))[0] == 409
        assert len(endpoint.received_requests) == 1
        response_released.set()
        await wait_until(lambda: not sidecar.dispatcher.is_duplicate(b"aa"))
        fourth = await sidecar.connect_client()
        assert (await fourth.exchange(request_bytes("post", request_id="aa")))[0] == 200


# ---- eviction


@async_test
async def test_idle_timeout_is_shorter_above_half_capacity() -> None:
    timeouts = DownstreamTimeouts(sweep_interval_seconds=0.05, reduced_idle_seconds=0.05)
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar(endpoint.address, timeouts=timeouts, limits=LIMITS) as sidecar,
    ):
        assert sidecar.config.max_downstream_connections == MAX_CONNECTIONS
        clients = [await sidecar.connect_client() for _ in range(4)]
        for client in clients:
            assert (await client.exchange(request_bytes()))[0] == 200
        assert await clients[0].is_closed_without_data()


@async_test
async def test_longest_idle_connection_is_evicted_before_new_ones() -> None:
    """Clients that stay connected after a request could otherwise use up the limit on connections."""
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address, limits=LIMITS) as sidecar:
        set_time(sidecar, 0.0)  # The clock stands still: no connection has waited yet.
        idle_clients = [await sidecar.connect_client() for _ in range(7)]
        for client in idle_clients:
            assert (await client.exchange(request_bytes()))[0] == 200
        new_clients = [await sidecar.connect_client() for _ in range(3)]
        for client in idle_clients[:3]:
            assert await client.is_closed_without_data()
        for client in new_clients:
            assert (await client.exchange(request_bytes()))[0] == 200


@async_test
async def test_connection_without_request_is_evicted_first_after_grace() -> None:
    timeouts = DownstreamTimeouts(eviction_grace_seconds=-1.0)
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar(endpoint.address, timeouts=timeouts, limits=LIMITS) as sidecar,
    ):
        idle_clients = [await sidecar.connect_client() for _ in range(3)]
        for client in idle_clients:
            assert (await client.exchange(request_bytes()))[0] == 200
        clients_without_request = [await sidecar.connect_client() for _ in range(8)]
        for client in clients_without_request[:4]:
            assert await client.is_closed_without_data()
        for client in idle_clients:
            assert (await client.exchange(request_bytes()))[0] == 200


@async_test
async def test_flood_of_new_connections_does_not_poll_those_within_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against: each new connection polled all others, and the sidecar fell behind the clients' closes.
    polled: list[DownstreamConnection] = []
    has_unread_bytes = DownstreamConnection.has_unread_bytes

    def record_poll(connection: DownstreamConnection) -> bool:
        polled.append(connection)
        return has_unread_bytes(connection)

    monkeypatch.setattr(DownstreamConnection, "has_unread_bytes", record_poll)
    async with run_sidecar(limits=LIMITS) as sidecar:
        set_time(sidecar, 0.0)  # The clock stands still: all connections are within their grace period.
        idle_clients = [await sidecar.connect_client() for _ in range(MAX_CONNECTIONS)]
        polled.clear()
        newest_client = await sidecar.connect_client()
        assert await idle_clients[0].is_closed_without_data()
        assert len(polled) == 1
        newest_client.writer.close()


class AdmissionRecorder:
    """Replaces a listener's `on_connection_opened`, and records each connection."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.connections: list[DownstreamConnection] = []
        """All connections so far, oldest first."""
        self.max_connection_count = 0
        """The largest number of connections that were open at once."""
        self._listener = sidecar.listener
        self._on_connection_opened = sidecar.listener.on_connection_opened

    def on_connection_opened(self, connection: DownstreamConnection) -> None:
        """Record a connection, and let the listener admit it."""
        self.connections.append(connection)
        self._on_connection_opened(connection)
        self.max_connection_count = max(self.max_connection_count, len(self._listener))

    async def send_first_bytes(self, index: int, client: socket) -> None:
        """Send on a new connection; every third client is rejected and lingers, every third sends nothing."""
        client.sendall((MALFORMED_REQUEST, request_bytes(), b"")[index % 3])
        await wait_until(lambda: len(self.connections) > index)
        if index % 3 < 2:
            await wait_until(lambda: self._is_done(self.connections[index]))

    @staticmethod
    def _is_done(connection: DownstreamConnection) -> bool:
        return connection.lifecycle.is_lingering or (connection.has_sent_request and connection.is_idle)


@async_test
async def test_lingering_connections_count_towards_limit_and_oldest_are_evicted_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar_without_sweeps(endpoint.address, limits=LIMITS) as sidecar,
    ):
        assert sidecar.config.max_downstream_connections == MAX_CONNECTIONS
        set_time(sidecar, 0.0)  # The clock stands still: no connection has waited yet.
        recorder = AdmissionRecorder(sidecar)
        connections = recorder.connections
        monkeypatch.setattr(sidecar.listener, "on_connection_opened", recorder.on_connection_opened)
        with contextlib.ExitStack() as clients:
            for index in range(60):  # none of them closes its side
                await recorder.send_first_bytes(index, clients.enter_context(connect_socket(sidecar)))
            closed = [connection for connection in connections if connection.lifecycle.is_lingering]
            lingering = [connection for connection in closed if connection.is_connected]
            assert recorder.max_connection_count <= MAX_CONNECTIONS + MAX_CLOSING_CONNECTIONS
            assert len(lingering) <= 3
            # The newest lingering connections are still open, so the oldest were evicted first.
            assert lingering == closed[-len(lingering) :]
            connected_count = sum(connection.is_connected for connection in connections)
            assert connected_count == len(sidecar.listener)
        await wait_until(lambda: not len(sidecar.listener))


@async_test
async def test_connections_that_lingered_longest_are_removed_first() -> None:
    async with run_sidecar_without_sweeps() as sidecar:
        registry = ConnectionRegistry(max_connections=1)
        oldest, middle, newest = [DownstreamConnection(sidecar.listener) for _ in range(3)]
        for connection in (newest, oldest, middle):
            registry.add(connection)
        for connection in (oldest, middle, newest):
            registry.mark_lingering(connection)
        evictions = registry.select_evictions(newest, now_seconds=0.0, grace_seconds=0.0)
        assert evictions == [Eviction(oldest, EvictionAction.ABORT), Eviction(middle, EvictionAction.ABORT)]
        for eviction in evictions:
            registry.mark_aborted(eviction.connection)
        assert registry.all() == [newest]


async def leave_responses_unread(sidecar: Sidecar, endpoint: ScriptedEndpoint, client: socket) -> None:
    """Send eight requests, the last of which closes the connection, and read no response."""
    client.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", sidecar.port))
    earlier_count = len(endpoint.received_requests)
    client.sendall(b"".join([request_bytes() for _ in range(7)]) + request_bytes(extra_headers=CLOSE_HEADER))
    await wait_until(
        lambda: (
            len(endpoint.received_requests) >= earlier_count + 8
            and not sidecar.dispatcher.request_registry.in_flight
        )
    )


@async_test
async def test_closed_connections_with_unread_responses_stay_within_limit() -> None:
    async def respond_with_large_body(_request: ReceivedRequest) -> bytes:
        return ok_response(b"x" * 1_000_000)

    async with (
        run_endpoint(respond_with_large_body) as endpoint,
        run_sidecar_without_sweeps(endpoint.address, limits=LIMITS) as sidecar,
    ):
        assert sidecar.config.max_downstream_connections == MAX_CONNECTIONS
        sidecar.dispatcher.budgets.total.max_bytes = 1 << 30
        sidecar.dispatcher.budgets.responses.max_bytes = 1 << 30
        sidecar.dispatcher.upstream.max_connections = 8  # one for each request of a client
        with contextlib.ExitStack() as clients:
            for _ in range(30):
                await leave_responses_unread(sidecar, endpoint, clients.enter_context(socket()))
                assert len(sidecar.listener) <= MAX_CONNECTIONS + MAX_CLOSING_CONNECTIONS
        await wait_until(lambda: not len(sidecar.listener))


@contextlib.asynccontextmanager
async def run_full_sidecar() -> AsyncIterator[tuple[Sidecar, socket]]:
    """Run a sidecar at its limit of connections: all but one rest, and one reads a long response slowly.

    Yields the sidecar and the slow reader.
    """

    async def respond_with_long_body_to_slow_reader(request: ReceivedRequest) -> bytes:
        return ok_response(LONG_BODY if request.headers[b"req-id"] == b"77" else b"done")

    async with (
        run_endpoint(respond_with_long_body_to_slow_reader) as endpoint,
        run_sidecar_without_sweeps(endpoint.address, limits=LIMITS) as sidecar,
    ):
        with contextlib.ExitStack() as sockets:
            slow_reader = await connect_slow_reader(sidecar, sockets)
            connection = await accepted_connection(sidecar)
            slow_reader.send(request_bytes(request_id="77"))
            await wait_until(lambda: connection.has_unsent_response)
            resting_clients = await connect_resting_clients(sidecar, MAX_CONNECTIONS - 1)
            yield sidecar, slow_reader
            for client in resting_clients:
                client.writer.close()


@async_test
async def test_connection_with_unsent_response_is_not_evicted_while_others_rest() -> None:
    # Guards against: new clients cut off a long response, as its connection counts as idle.
    async with run_full_sidecar() as (sidecar, slow_reader):
        new_clients = []
        for _ in range(3):
            new_clients += await connect_resting_clients(sidecar, 1)
        response = await receive_exactly(slow_reader, len(LONG_BODY))
        assert is_complete_response(response, b"200", LONG_BODY)


@async_test
async def test_lingering_connection_with_unsent_response_is_not_evicted_while_others_rest() -> None:
    # Guards against: new clients cut off the last response of a connection that its client still reads.
    async with run_full_sidecar() as (sidecar, slow_reader):
        [connection] = [c for c in sidecar.listener.accepting_connections if c.has_unsent_response]
        connection.close(CloseReason.IDLE)
        new_clients = []
        for _ in range(3):
            new_clients += await connect_resting_clients(sidecar, 1)
        assert is_complete_response(await receive_all(slow_reader), b"200", LONG_BODY)


async def begin_request(sidecar: Sidecar) -> tuple[Client, DownstreamConnection]:
    """Connect a client that sends all but the last byte of a request."""
    client = await sidecar.connect_client()
    connection = await accepted_connection(sidecar)
    client.writer.write(request_bytes("post", body=b"x" * 1000)[:-1])
    await wait_until(lambda: connection.has_partial_request)
    return client, connection


async def connect_resting_clients(sidecar: Sidecar, count: int) -> list[Client]:
    """Connect clients that rest after a first request; each stays connected as long as it is referenced."""
    clients = [await sidecar.connect_client() for _ in range(count)]
    for client in clients:
        assert (await client.exchange(request_bytes())).status == 200
    return clients


@async_test
async def test_request_that_is_arriving_is_not_evicted_while_others_rest() -> None:
    # Guards against: a request is dropped unanswered in the middle of its body, as it is the first one of its
    # connection and not complete.
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar_without_sweeps(endpoint.address, limits=LIMITS) as sidecar,
    ):
        set_time(sidecar, 0.0)
        sending_client, _ = await begin_request(sidecar)
        clients = await connect_resting_clients(sidecar, MAX_CONNECTIONS - 1)
        set_time(sidecar, 2 * TIMEOUTS.eviction_grace_seconds)
        for _ in range(3):
            clients += await connect_resting_clients(sidecar, 1)
        sending_client.writer.write(b"x")
        assert (await sending_client.read_response()).status == 200
        for client in clients[:3]:
            assert await client.is_closed_without_data()


@async_test
async def test_evicted_request_gets_a_complete_response_when_all_connections_are_in_use() -> None:
    # Guards against: the only choice left is a request that is arriving, and its client sees a bare close.
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar_without_sweeps(endpoint.address, limits=LIMITS) as sidecar,
    ):
        sending_clients = []
        for index in range(MAX_CONNECTIONS):
            set_time(sidecar, 0.001 * index)
            sending_clients.append(await begin_request(sidecar))
        set_time(sidecar, 2 * TIMEOUTS.eviction_grace_seconds)
        new_client = await sidecar.connect_client()
        assert (await new_client.exchange(request_bytes())).status == 200
        evicted_client, evicted_connection = sending_clients.pop(0)
        assert evicted_connection.lifecycle.is_lingering
        # The client still sends, and other clients connect; its response must not be reset.
        further_clients = [await sidecar.connect_client() for _ in range(3)]
        assert await new_client.is_closed_without_data()
        assert await further_clients[0].is_closed_without_data()
        assert len(sidecar.listener) <= MAX_CONNECTIONS + MAX_CLOSING_CONNECTIONS
        evicted_client.writer.write(b"x")
        response = await evicted_client.read_response()
        assert (response.status, response.headers[b"connection"]) == (503, b"close")
        assert await evicted_client.is_closed_without_data()
        for client, _connection in sending_clients:
            client.writer.write(b"x")
            assert (await client.read_response()).status == 200


# ---- readiness


@async_test
async def test_sidecar_without_endpoints_is_ready_after_timeout_and_rejects_requests() -> None:
    async with run_sidecar_without_sweeps() as sidecar:
        client = await sidecar.connect_client()
        started_at_seconds = sidecar.listener.started_at_seconds
        timeout_seconds = TIMEOUTS.first_endpoint_list_seconds
        for seconds, status in ((0.0, 503), (timeout_seconds - 0.001, 503), (timeout_seconds, 200)):
            set_time(sidecar, started_at_seconds + seconds)
            assert (await client.exchange(READINESS_REQUEST))[0] == status
        assert (await client.exchange(request_bytes("post")))[0] == 503
        assert not sidecar.dispatcher.request_registry.in_flight

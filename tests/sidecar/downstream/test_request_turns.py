"""Tests of the turns in which the requests of a connection are processed."""

from __future__ import annotations

import contextlib
import weakref
from collections.abc import AsyncIterator
from typing import NamedTuple

from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.connection_lifecycle import CloseReason
from balancer.sidecar.downstream.eviction import EvictionCandidates, eviction_order
from balancer.sidecar.downstream.request_turns import MAX_REQUESTS_PER_TURN
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.runtime.metrics import Metric
from tests.sidecar.client import Client
from tests.sidecar.downstream.harness import (
    READINESS_REQUEST,
    TIMEOUTS,
    accepted_connection,
    run_sidecar_without_sweeps,
    sweep_after,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import request_bytes
from tests.sidecar.scripted_endpoint import answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import Sidecar

FLOOD_LENGTH = 3000
"""Number of small requests that one read may hold."""


class Flood(NamedTuple):
    """A connection that has received thousands of readiness checks in one read."""

    sidecar: Sidecar
    client: Client
    connection: DownstreamConnection
    responses: list[HttpResponse]
    """The responses so far."""


class ObservableConnection(DownstreamConnection):
    """A connection to which a weak reference is possible."""

    __slots__ = ("__weakref__",)


def record_readiness_responses(sidecar: Sidecar) -> list[HttpResponse]:
    """Return a list to which each response to a readiness check is added."""
    responses: list[HttpResponse] = []
    respond = sidecar.listener.readiness_response

    def readiness_response() -> HttpResponse:
        responses.append(respond())
        return responses[-1]

    sidecar.listener.readiness_response = readiness_response  # type: ignore[method-assign]
    return responses


@contextlib.asynccontextmanager
async def run_flood() -> AsyncIterator[Flood]:
    async with (
        run_endpoint(answer_ok) as endpoint,
        run_sidecar_without_sweeps(endpoint.address) as sidecar,
    ):
        responses = record_readiness_responses(sidecar)
        client = await sidecar.connect_client()
        connection = await accepted_connection(sidecar)
        connection.data_received(READINESS_REQUEST * FLOOD_LENGTH)
        yield Flood(sidecar, client, connection, responses)
        client.writer.close()


@async_test
async def test_flood_of_requests_on_one_connection_does_not_delay_other_clients() -> None:
    """Guards against late and missing answers while one client sends small requests at full speed."""
    async with run_flood() as flood:
        ordinary_client = await flood.sidecar.connect_client()
        assert (await ordinary_client.exchange(request_bytes())).status == 200
        assert len(flood.responses) < FLOOD_LENGTH / 2
        ordinary_client.writer.close()


@async_test
async def test_requests_of_one_read_are_answered_in_turns() -> None:
    async with run_flood() as flood:
        assert len(flood.responses) == MAX_REQUESTS_PER_TURN
        assert flood.connection.flow_control.is_reading_paused
        for _ in range(FLOOD_LENGTH):
            assert (await flood.client.read_response()).status == 200
        turn_count = FLOOD_LENGTH // MAX_REQUESTS_PER_TURN
        assert flood.sidecar.dispatcher.metrics.value(Metric.TURNS_DEFERRED) == turn_count - 1
        assert flood.connection.is_idle
        assert not flood.connection.flow_control.is_reading_paused


@async_test
async def test_requests_that_wait_for_their_turn_are_not_closed_for_a_timeout() -> None:
    """Guards against a 408 to a client that waits for the sidecar, not the sidecar for the client."""
    async with run_flood() as flood:
        sweep_after(flood.sidecar, 10 * TIMEOUTS.request_seconds)
        for _ in range(FLOOD_LENGTH):
            assert (await flood.client.read_response()).status == 200


@async_test
async def test_requests_that_wait_for_their_turn_are_not_evicted() -> None:
    """Guards against requests that are dropped unanswered for a new connection."""
    async with run_flood() as flood:
        new = DownstreamConnection(flood.sidecar.listener)
        candidates = EvictionCandidates([], [flood.connection], [], new)
        now_seconds = flood.sidecar.listener.now_seconds() + 10 * TIMEOUTS.eviction_grace_seconds
        [eviction] = eviction_order(candidates, now_seconds, TIMEOUTS.eviction_grace_seconds)
        assert eviction.connection is new


@async_test
async def test_turn_of_a_lost_connection_is_cancelled() -> None:
    async with run_flood() as flood:
        flood.connection.abort(CloseReason.UNREAD_RESPONSES)
        await wait_until(lambda: not flood.connection.is_connected)
        assert not flood.connection.has_waiting_requests
        assert len(flood.responses) < FLOOD_LENGTH


@async_test
async def test_turns_keep_no_reference_to_a_closed_connection() -> None:
    """Guards against closed connections that stay in memory until the garbage collector finds their cycle."""
    async with run_sidecar_without_sweeps() as sidecar:
        connection = ObservableConnection(sidecar.listener)
        reference = weakref.ref(connection)
        del connection
        assert reference() is None

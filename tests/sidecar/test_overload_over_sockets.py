"""Tests of endpoints that answer only some of their requests, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest

from balancer.policy_api import AttemptCompleted, AttemptOutcome, Event, TimerFired
from balancer.sidecar.upstream.attempt import AttemptState
from balancer.time_units import MILLISECOND_NS
from tests.sidecar.client import Client, ClientResponse
from tests.sidecar.configuration_documents import (
    SETTINGS,
    endpoint_entry,
    endpoint_list,
    settings_with_overrides,
)
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.manual_time import ManualTime, event_loop_with_timers_of
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.pending_requests import PendingRequests
from tests.sidecar.scripted_endpoint import ReceivedRequest, Script, never_answer, run_endpoints
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar

CONTROL_CYCLE_TIMER = TimerFired(0)
"""The event that ends a control cycle."""


class PendingExchanges:
    """Requests of one class that are pending at endpoints, each on a client connection of its own."""

    def __init__(self, sidecar: Sidecar, pending: PendingRequests, class_name: str) -> None:
        self._sidecar = sidecar
        self._pending = pending
        self._class_name = class_name
        self._exchanges: set[asyncio.Task[ClientResponse]] = set()

    async def send(self) -> None:
        """Send a request, and wait until an endpoint has received it."""
        client = await self._sidecar.connect_client()
        exchange = client.exchange(request_bytes(self._class_name))
        self._exchanges.add(asyncio.create_task(exchange))
        await self._pending.arrivals.get()

    async def answer_oldest(self, name: str) -> None:
        """Let an endpoint answer its oldest pending request, and check that the client gets the response."""
        self._pending.answer_oldest(name)
        [answered], _ = await asyncio.wait(self._exchanges, return_when=asyncio.FIRST_COMPLETED)
        self._exchanges.remove(answered)
        assert answered.result().status == 200


@async_test
async def test_warming_endpoint_gets_its_share_of_requests_in_flight() -> None:
    """A limit of one request would leave warming endpoints nearly idle while the others are at capacity."""
    pending = PendingRequests()
    names = ("warm-1", "warm-2", "warming")
    # The slow start is so long that the capacity of the warming endpoint does not grow during the test.
    slow_start = {"ColdFrom": 0.31, "ColdNs": 60_000_000_000}
    async with run_endpoints(*map(pending.script, names)) as endpoints:
        entries = [
            endpoint_entry(name, endpoint.address) for name, endpoint in zip(names, endpoints, strict=True)
        ]
        entries[2]["born_ms"] = int(time.time() * 1000)
        known = endpoint_list(1, *entries)
        async with run_sidecar(known=known, settings=SETTINGS | {"Rules": slow_start}) as sidecar:
            clients = PendingExchanges(sidecar, pending, "read")
            for _ in range(40):
                await clients.send()
            # Only responses of warm endpoints add tokens for attempts at warming endpoints.
            assert pending.counts["warming"] == 0
            for _ in range(80):
                await clients.answer_oldest(max(names[:2], key=lambda name: pending.counts[name]))
                await clients.send()
            mean_count = (pending.counts["warm-1"] + pending.counts["warm-2"]) / 2
            assert 3 <= pending.counts["warming"] <= 0.4 * mean_count + 1, pending.counts


def hang_on_reads(pending: PendingRequests, hung_reads: asyncio.Queue[ReceivedRequest]) -> Script:
    """Return the script of the endpoint "hanging".

    It answers posts when the test releases them, and never answers reads.
    """
    wait_for_release = pending.script("hanging")

    async def script(request: ReceivedRequest) -> bytes | None:
        if request.request_line.startswith(b"POST"):
            return await wait_for_release(request)
        hung_reads.put_nowait(request)
        return await never_answer(request)

    return script


def serve_reads(pending: PendingRequests) -> Script:
    """Return the script of the endpoint "healthy".

    It answers posts when the test releases them, and reads at once.
    """
    wait_for_release = pending.script("healthy")

    async def script(request: ReceivedRequest) -> bytes | None:
        if request.request_line.startswith(b"POST"):
            return await wait_for_release(request)
        return ok_response()

    return script


async def check_read_is_answered(sidecar: Sidecar) -> None:
    """Send a read on a new connection, and check that it is answered."""
    client = await sidecar.connect_client()
    assert (await client.exchange(request_bytes())).status == 200


@async_test
async def test_class_whose_requests_hang_is_sent_elsewhere_and_other_classes_are_not() -> None:
    """Hanging requests of one class must not count as overload or as failures of the other classes."""
    pending = PendingRequests()
    hung_reads = asyncio.Queue[ReceivedRequest]()
    settings = settings_with_overrides({"AimNs": 200_000_000})
    async with (
        run_endpoints(hang_on_reads(pending, hung_reads), serve_reads(pending)) as endpoints,
        run_sidecar(*(endpoint.address for endpoint in endpoints), settings=settings) as sidecar,
    ):
        posts = PendingExchanges(sidecar, pending, "post")
        for _ in range(12):
            await posts.send()
        # The endpoint that has just answered has the fewest requests in flight, so it gets the next request.
        for _ in range(3):
            await posts.answer_oldest("healthy")
            await check_read_is_answered(sidecar)
            await posts.send()
        waiting_clients: list[Client] = []
        for _ in range(3):
            await posts.answer_oldest("hanging")
            client = await sidecar.connect_client()
            waiting_clients.append(client)
            client.writer.write(request_bytes())
            await hung_reads.get()
        event_count = len(sidecar.events)
        while sidecar.events[event_count:].count(CONTROL_CYCLE_TIMER) < 6:
            for name in ("hanging", "healthy"):
                await posts.answer_oldest(name)
                await posts.send()
        for _ in range(10):
            await posts.answer_oldest("hanging")
            await check_read_is_answered(sidecar)
            await posts.send()
        assert hung_reads.empty()
        assert pending.counts["hanging"] == 3, pending.counts


class HangingReads:
    """Endpoints at which reads hang while posts are answered; the clock is advanced by the test.

    Until `has_recovered` is set, every read hangs. After that a read hangs only if `hung_reads` is empty.
    """

    RESPONSE_TIME_NS = 10 * MILLISECOND_NS
    """How long an endpoint takes to answer a post."""
    POST_COUNT = 4
    """Number of posts sent at once: enough for each endpoint to get one, however reads are distributed."""
    PAUSE_NS = 15 * MILLISECOND_NS
    """Time between the responses and the next posts: longer than the reuse delay of their connections."""

    def __init__(self, manual_time: ManualTime) -> None:
        self.hung_reads: list[ReceivedRequest] = []
        self.has_recovered = False
        self._time = manual_time
        self._pending = PendingRequests()

    def script(self, name: str) -> Script:
        """Return the script of the endpoint with this name."""
        wait_for_release = self._pending.script(name)

        async def script(request: ReceivedRequest) -> bytes | None:
            if request.request_line.startswith(b"POST"):
                return await wait_for_release(request)
            if not self.has_recovered or not self.hung_reads:
                self.hung_reads.append(request)
                return await never_answer(request)
            # The sidecar makes one attempt at a time, so the earlier attempt has ended. The close of its
            # connection and this request arrive on two sockets, and the event loop may read either one first.
            await self.hung_reads[-1].connection_closed.wait()
            return ok_response(b"again")

        return script

    async def serve_posts_until(
        self, is_over: Callable[[], object], sidecar: Sidecar, clients: list[Client]
    ) -> None:
        """Send and answer posts that overtake the hanging reads, and advance the clock, until `is_over`."""
        while not is_over():
            exchanges = asyncio.gather(*(client.exchange(request_bytes("post")) for client in clients))
            names = [await self._pending.arrivals.get() for _ in clients]
            self._time.advance(self.RESPONSE_TIME_NS)
            for name in names:
                self._pending.answer_oldest(name)
            assert [response.status for response in await exchanges] == [200] * len(clients)
            self._time.advance(self.PAUSE_NS)
            await wait_until(lambda: all_attempts_are_sent(sidecar))


def all_attempts_are_sent(sidecar: Sidecar) -> bool:
    """Return whether no attempt is waiting for its connection."""
    requests = sidecar.dispatcher.request_registry.in_flight.values()
    attempts = [request.attempt for request in requests if request.attempt is not None]
    return all(attempt.state is not AttemptState.CONNECTING for attempt in attempts)


async def send_reads(
    clients: list[Client], sidecar: Sidecar, deadline: str
) -> asyncio.Future[list[ClientResponse]]:
    """Send a read for each client. Returns the future responses once all reads have been forwarded."""
    in_flight = sidecar.dispatcher.request_registry.in_flight
    count_before = len(in_flight)
    exchanges = asyncio.gather(*(client.exchange(request_bytes(deadline=deadline)) for client in clients))
    await wait_until(lambda: len(in_flight) == count_before + len(clients))
    await wait_until(lambda: all_attempts_are_sent(sidecar))
    return exchanges


@async_test
async def test_hung_attempt_is_cancelled_and_its_retry_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a hung attempt ran until its deadline, each request that hangs at one endpoint would be rejected."""
    manual_time = ManualTime()
    reads = HangingReads(manual_time)
    limits = SETTINGS["Limits"] | {"Cancel": True}
    async with (
        run_endpoints(reads.script("first"), reads.script("second")) as endpoints,
        run_sidecar(
            *(endpoint.address for endpoint in endpoints),
            clock=manual_time,
            dispatcher_loop=event_loop_with_timers_of(manual_time),
            settings=settings_with_overrides({"AimNs": 200_000_000}, Limits=limits),
        ) as sidecar,
    ):
        clients = [await sidecar.connect_client() for _ in range(16)]
        posting_clients = [await sidecar.connect_client() for _ in range(reads.POST_COUNT)]

        # Requests that take long look like hung ones at first: some have to fail before one is cancelled.
        first_exchange = await send_reads(clients[:1], sidecar, deadline="1.2")
        await reads.serve_posts_until(first_exchange.done, sidecar, posting_clients)
        [response] = first_exchange.result()
        assert response.status in (503, 504)
        # The read is not cancelled, except in the last millisecond before its deadline.
        assert len(reads.hung_reads) <= 2
        other_exchanges = await send_reads(clients[1:], sidecar, deadline="1.2")
        await reads.serve_posts_until(other_exchanges.done, sidecar, posting_clients)
        assert {response.status for response in other_exchanges.result()} <= {503, 504}

        reads.hung_reads.clear()
        reads.has_recovered = True
        # The policy lets one in ten hung attempts go on, to learn how they end, but it cancels this one.
        monkeypatch.setattr(sidecar.balancer.random, "random", lambda: 0.5)
        event_count = len(sidecar.events)
        last_exchange = await send_reads(clients[:1], sidecar, deadline="9")

        def is_decided() -> bool:
            return last_exchange.done() or any(map(is_cancelled_attempt, sidecar.events[event_count:]))

        await reads.serve_posts_until(is_decided, sidecar, posting_clients)
        [response] = await last_exchange
        assert response.status_and_body == (200, b"again")
        assert len(reads.hung_reads) == 1


def is_cancelled_attempt(event: Event) -> bool:
    """Return whether an event reports an attempt that was cancelled."""
    return isinstance(event, AttemptCompleted) and event.outcome == AttemptOutcome.CANCELLED

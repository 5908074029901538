"""Tests of endpoints that answer only a part of what they are sent, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable

import pytest

from balancer.policy_api import AttemptCompleted, AttemptOutcome, Event, TimerFired
from balancer.sidecar.upstream.attempt import AttemptState
from balancer.time_units import MILLISECOND_NS
from tests.sidecar.harness import (
    SETTINGS,
    Client,
    ClientResponse,
    ReceivedRequest,
    Script,
    Sidecar,
    async_test,
    change_classes,
    endpoint_entry,
    endpoint_list,
    never_answer,
    ok_response,
    request_bytes,
    run_endpoint,
    run_sidecar,
    wait_until,
)
from tests.sidecar.manual_time import ManualTime, event_loop_with_timers_of

CYCLE_TIMER = TimerFired(0)
"""The event that ends a cycle of the policy."""


class HeldRequests:
    """Requests that endpoints hold until the test has one answered."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        """How many requests each endpoint holds, by its name."""
        self.arrivals: asyncio.Queue[str] = asyncio.Queue()
        """The name of the endpoint of each request, as they arrive."""
        self._may_answer: dict[str, list[asyncio.Event]] = {}

    def script(self, name: str) -> Script:
        """Return the script of the endpoint with this name."""

        async def hold(_request: ReceivedRequest) -> bytes:
            may_answer = asyncio.Event()
            self._may_answer.setdefault(name, []).append(may_answer)
            self.counts[name] += 1
            self.arrivals.put_nowait(name)
            await may_answer.wait()
            return ok_response()

        return hold

    def answer_oldest(self, name: str) -> None:
        """Let this endpoint answer the request that it has held the longest."""
        self._may_answer[name].pop(0).set()
        self.counts[name] -= 1


class HeldClients:
    """Clients whose requests endpoints hold, each on a connection of its own."""

    def __init__(self, sidecar: Sidecar, held: HeldRequests, class_name: str) -> None:
        self._sidecar = sidecar
        self._held = held
        self._class_name = class_name
        self._exchanges: set[asyncio.Task[ClientResponse]] = set()

    async def send(self) -> None:
        """Send one more request, and wait until an endpoint holds it."""
        client = await self._sidecar.connect_client()
        exchange = client.exchange(request_bytes(self._class_name))
        self._exchanges.add(asyncio.create_task(exchange))
        await self._held.arrivals.get()

    async def answer_oldest(self, name: str) -> None:
        """Let an endpoint answer one request, and see that its client gets the answer."""
        self._held.answer_oldest(name)
        [answered], _ = await asyncio.wait(self._exchanges, return_when=asyncio.FIRST_COMPLETED)
        self._exchanges.remove(answered)
        assert answered.result().status == 200


@async_test
async def test_warming_endpoint_holds_its_share_of_what_others_hold() -> None:
    """A limit of one request would leave endpoints idle that warm up, beside others that are full."""
    async with contextlib.AsyncExitStack() as stack:
        held = HeldRequests()
        names = ("warm-1", "warm-2", "warming")
        endpoints = {name: await stack.enter_async_context(run_endpoint(held.script(name))) for name in names}
        entries = [endpoint_entry(name, endpoints[name].address) for name in names]
        entries[2]["born_ms"] = int(time.time() * 1000)
        # The slow start is so long that its ramp does not grow while the test runs.
        rules = {"ColdFrom": 0.31, "ColdNs": 60_000_000_000}
        sidecar = await stack.enter_async_context(
            run_sidecar(known=endpoint_list(1, *entries), settings=SETTINGS | {"Rules": rules})
        )
        clients = HeldClients(sidecar, held, "read")
        for _ in range(40):
            await clients.send()
        assert held.counts["warming"] == 0  # its share has to be earned by what the others answer
        for _ in range(80):
            await clients.answer_oldest(max(names[:2], key=lambda name: held.counts[name]))
            await clients.send()
        mean_count = (held.counts["warm-1"] + held.counts["warm-2"]) / 2
        assert 3 <= held.counts["warming"] <= 0.4 * mean_count + 1, held.counts


def hang_on_reads(held: HeldRequests, hung: asyncio.Queue[ReceivedRequest]) -> Script:
    """Return the script of the endpoint "half", which holds posts and never answers reads."""
    hold = held.script("half")

    async def script(request: ReceivedRequest) -> bytes | None:
        if request.request_line.startswith(b"POST"):
            return await hold(request)
        hung.put_nowait(request)
        return await never_answer(request)

    return script


def serve_reads(held: HeldRequests) -> Script:
    """Return the script of the endpoint "whole", which holds posts and answers reads at once."""
    hold = held.script("whole")

    async def script(request: ReceivedRequest) -> bytes | None:
        if request.request_line.startswith(b"POST"):
            return await hold(request)
        return ok_response()

    return script


async def read_is_answered(sidecar: Sidecar) -> None:
    """Send a read on a new connection, and see that it is answered."""
    client = await sidecar.connect_client()
    assert (await client.exchange(request_bytes())).status == 200


@async_test
async def test_class_that_hangs_at_an_endpoint_goes_elsewhere_and_other_classes_stay() -> None:
    """Its waits are no overload, and its failures not the endpoint's: other classes must not be shed."""
    async with contextlib.AsyncExitStack() as stack:
        held = HeldRequests()
        hung = asyncio.Queue[ReceivedRequest]()

        scripts = (hang_on_reads(held, hung), serve_reads(held))
        endpoints = [await stack.enter_async_context(run_endpoint(script)) for script in scripts]
        settings = change_classes({"AimNs": 200_000_000})
        addresses = [endpoint.address for endpoint in endpoints]
        sidecar = await stack.enter_async_context(run_sidecar(*addresses, settings=settings))
        posts = HeldClients(sidecar, held, "post")

        waiting: list[Client] = []
        for _ in range(12):
            await posts.send()
        # The endpoint that has just answered holds the fewest, so the next request goes there.
        for _ in range(3):
            await posts.answer_oldest("whole")
            await read_is_answered(sidecar)
            await posts.send()
        for _ in range(3):
            await posts.answer_oldest("half")
            waiting.append(await sidecar.connect_client())
            waiting[-1].writer.write(request_bytes())
            await hung.get()
        event_count = len(sidecar.events)
        while sidecar.events[event_count:].count(CYCLE_TIMER) < 6:
            for name in ("half", "whole"):
                await posts.answer_oldest(name)
                await posts.send()
        for _ in range(10):
            await posts.answer_oldest("half")
            await read_is_answered(sidecar)
            await posts.send()
        assert hung.empty()
        assert held.counts["half"] == 3, held.counts


class HangingReads:
    """A sidecar's endpoints, at which reads hang while posts are answered, in time that the test advances.

    Until `has_recovered` is set every read hangs; after that only the first one does.
    """

    ANSWER_TIME_NS = 10 * MILLISECOND_NS
    """How long a post takes."""
    POST_COUNT = 4
    """How many posts are sent at once: so many that each endpoint gets one, however the reads are split."""
    PAUSE_NS = 15 * MILLISECOND_NS
    """How long after the answers the next posts are sent: their connections have waited then."""

    def __init__(self, manual_time: ManualTime) -> None:
        self.hung: list[ReceivedRequest] = []
        self.has_recovered = False
        self._time = manual_time
        self._held = HeldRequests()

    def script(self, name: str) -> Script:
        """Return the script of the endpoint with this name."""
        hold = self._held.script(name)

        async def script(request: ReceivedRequest) -> bytes | None:
            if request.request_line.startswith(b"POST"):
                return await hold(request)
            if not self.has_recovered or not self.hung:
                self.hung.append(request)
                return await never_answer(request)
            # There are never two attempts at once, so the earlier one has ended. Its end and this request
            # arrive on two sockets, of which the event loop may read either first.
            await self.hung[-1].connection_closed.wait()
            return ok_response(b"again")

        return script

    async def serve_posts_until(
        self, is_over: Callable[[], object], sidecar: Sidecar, clients: list[Client]
    ) -> None:
        """Let posts overtake the reads that hang at each endpoint, while time passes."""
        while not is_over():
            exchanges = asyncio.gather(*(client.exchange(request_bytes("post")) for client in clients))
            names = [await self._held.arrivals.get() for _ in clients]
            self._time.advance(self.ANSWER_TIME_NS)
            for name in names:
                self._held.answer_oldest(name)
            assert [response.status for response in await exchanges] == [200] * len(clients)
            self._time.advance(self.PAUSE_NS)
            await wait_until(lambda: all_attempts_are_sent(sidecar))


def all_attempts_are_sent(sidecar: Sidecar) -> bool:
    """Whether no attempt waits for its connection."""
    requests = sidecar.dispatcher.ledger.in_flight.values()
    attempts = [request.attempt for request in requests if request.attempt is not None]
    return all(attempt.state is not AttemptState.CONNECTING for attempt in attempts)


async def send_reads(
    clients: list[Client], sidecar: Sidecar, deadline: str
) -> asyncio.Future[list[ClientResponse]]:
    """Send a read for each client, and return the responses to come once all reads are sent on."""
    in_flight = sidecar.dispatcher.ledger.in_flight
    count_before = len(in_flight)
    exchanges = asyncio.gather(*(client.exchange(request_bytes(deadline=deadline)) for client in clients))
    await wait_until(lambda: len(in_flight) == count_before + len(clients))
    await wait_until(lambda: all_attempts_are_sent(sidecar))
    return exchanges


@async_test
async def test_hung_attempt_is_cancelled_for_a_further_one_that_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Waiting for its deadline, each request that hangs at one endpoint would be rejected."""
    async with contextlib.AsyncExitStack() as stack:
        manual_time = ManualTime()
        reads = HangingReads(manual_time)
        scripts = (reads.script("first"), reads.script("second"))
        endpoints = [await stack.enter_async_context(run_endpoint(script)) for script in scripts]
        limits = SETTINGS["Limits"] | {"Cancel": True}
        sidecar = await stack.enter_async_context(
            run_sidecar(
                *(endpoint.address for endpoint in endpoints),
                clock=manual_time,
                dispatcher_loop=event_loop_with_timers_of(manual_time),
                settings=change_classes({"AimNs": 200_000_000}, Limits=limits),
            )
        )
        clients = [await sidecar.connect_client() for _ in range(16)]
        posting_clients = [await sidecar.connect_client() for _ in range(reads.POST_COUNT)]

        # Requests that take long look like hung ones at first: some have to fail.
        alone = await send_reads(clients[:1], sidecar, deadline="1.2")
        await reads.serve_posts_until(alone.done, sidecar, posting_clients)
        [response] = alone.result()
        assert response.status in (503, 504)
        assert len(reads.hung) <= 2  # not cancelled, but for the last millisecond before its deadline
        others = await send_reads(clients[1:], sidecar, deadline="1.2")
        await reads.serve_posts_until(others.done, sidecar, posting_clients)
        assert {response.status for response in others.result()} <= {503, 504}

        reads.hung.clear()
        reads.has_recovered = True
        # A tenth is never cancelled, to learn what becomes of it.
        monkeypatch.setattr(sidecar.balancer.random, "random", lambda: 0.5)
        event_count = len(sidecar.events)
        last = await send_reads(clients[:1], sidecar, deadline="9")

        def is_decided() -> bool:
            return last.done() or any(map(is_cancelled_attempt, sidecar.events[event_count:]))

        await reads.serve_posts_until(is_decided, sidecar, posting_clients)
        [response] = await last
        assert response.status_and_body == (200, b"again")
        assert len(reads.hung) == 1


def is_cancelled_attempt(event: Event) -> bool:
    """Whether an event reports an attempt that was cancelled."""
    return isinstance(event, AttemptCompleted) and event.outcome == AttemptOutcome.CANCELLED

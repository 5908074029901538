"""The servers' side, forced over loopback sockets: answers with no length, connections that come up late."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    EndpointUpdateKind,
    Event,
)
from balancer.sidecar.endpoint_list import derive_endpoint_id, parse_endpoint_list
from balancer.sidecar.http_message import MAX_RESPONSE_BODY_BYTES, HttpResponse
from balancer.sidecar.upstream.attempt import AttemptState, outcome_of_response
from balancer.sidecar.upstream.connection import UpstreamConnection
from balancer.sidecar.upstream.pool import CONNECTION_REST_NS, EndpointPool
from balancer.time_units import SECOND_NS as SECOND
from tests.sidecar.harness import (
    SETTINGS,
    WAIT,
    Seen,
    Sidecar,
    always_ok,
    endpoint,
    entry,
    ok,
    request,
    run,
    sidecar,
    status,
)

NO_LENGTH = b"HTTP/1.1 200 OK\r\nX-Shard: 7\r\n\r\n"
DECLINED = b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\n"


def completed(event: Event) -> bool:
    return isinstance(event, AttemptCompleted)


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


class Exchanged:
    """A connection with its request out, and the peer's side of it, on which a test does things at once."""

    def __init__(self, connection: UpstreamConnection, peer: socket.socket) -> None:
        self.connection, self.peer = connection, peer
        self.answered: asyncio.Future[HttpResponse | None] = asyncio.get_running_loop().create_future()
        self.on_response: Callable[[HttpResponse | None], None] = self.answered.set_result
        assert connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda answer: self.on_response(answer))
        assert peer.recv(100) == b"GET / HTTP/1.1\r\n\r\n"


@contextlib.asynccontextmanager
async def exchanged() -> AsyncIterator[Exchanged]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(UpstreamConnection, *server.getsockname())
        peer, _ = server.accept()
        peer.settimeout(WAIT)
        with peer:
            yield Exchanged(connection, peer)
        connection.close()


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 500 X\r\n\r\n",
        b"\x00 noise",
    ],
)
def test_an_answer_that_is_cut_short_here_ends_before_a_further_attempt_can_be_written(raw: bytes) -> None:
    """The loop closes in its next turn: a further attempt, written at once, was a second copy until then."""

    async def test() -> None:
        async with exchanged() as out:
            seen: list[bytes] = []
            out.on_response = lambda answer: seen.append(out.peer.recv(1))  # as the next attempt goes out
            out.peer.settimeout(WAIT / 4)
            out.peer.sendall(raw)
            while not seen:
                await asyncio.sleep(0)
            assert seen == [b""]

    run(test())


# ---- answers with no length


@pytest.mark.parametrize("parts", [(NO_LENGTH + b"done",), (NO_LENGTH[:40], NO_LENGTH[40:], b"do", b"ne")])
def test_an_answer_with_no_length_ends_with_its_connection(parts: tuple[bytes, ...]) -> None:
    """Refused at its head, a whole answer was a break: work that had run failed, or ran again."""

    async def test() -> None:
        async with exchanged() as out:
            for part in parts:
                out.peer.sendall(part)
                await asyncio.sleep(0)
            out.peer.shutdown(socket.SHUT_WR)
            assert await out.answered == HttpResponse(200, [(b"x-shard", b"7")], b"done")
            assert not out.connection.is_reusable() and out.connection.buffer_budget.used_bytes == 0
            assert out.peer.recv(1) == b""

    run(test())


@pytest.mark.parametrize("ended", [False, True], ids=["cut", "ended"])
@pytest.mark.parametrize("raw", [NO_LENGTH, NO_LENGTH + b"do", NO_LENGTH[:-2]])
def test_a_reset_is_no_end_of_an_answer_with_no_length(raw: bytes, ended: bool) -> None:
    """Nor is it where the end has come just before: the connection has told of an error."""

    async def test() -> None:
        async with exchanged() as out:
            out.peer.sendall(raw)
            if ended:
                out.peer.shutdown(socket.SHUT_WR)
            reset(out.peer)
            assert await out.answered is None
            assert not out.connection.is_reusable() and out.connection.buffer_budget.used_bytes == 0

    run(test())


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        NO_LENGTH[:-2],
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndon",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone",
    ],
)
def test_the_end_of_the_connection_ends_no_other_answer(raw: bytes) -> None:
    async def test() -> None:
        async with exchanged() as out:
            out.peer.sendall(raw)
            out.peer.shutdown(socket.SHUT_WR)
            assert await out.answered is None

    run(test())


@pytest.mark.parametrize(
    ("raw", "outcome"),
    [
        (DECLINED, AttemptOutcome.REJECTED),
        (DECLINED + b"and so", AttemptOutcome.REJECTED),
        (b"HTTP/1.1 500 X\r\n\r\n", AttemptOutcome.SERVER_ERROR),
        (b"HTTP/1.1 404 X\r\n\r\n<html>", AttemptOutcome.CLIENT_ERROR),
    ],
)
def test_of_an_answer_that_serves_nothing_the_head_is_enough(raw: bytes, outcome: AttemptOutcome) -> None:
    """Its body goes nowhere, so it is not waited for, nor does it matter what becomes of it."""

    async def test() -> None:
        async with exchanged() as out:
            out.peer.sendall(raw)  # and no end
            assert outcome_of_response(await out.answered) == outcome
            assert not out.connection.is_reusable()
            assert out.peer.recv(1) == b""

    run(test())


@pytest.mark.parametrize("code", [204, 304])
def test_an_answer_that_has_no_body_needs_no_length_and_keeps_its_connection(code: int) -> None:
    async def test() -> None:
        async with exchanged() as out:
            out.peer.sendall(b"HTTP/1.1 %d X\r\n\r\n" % code)
            answer = await out.answered
            assert answer is not None and (answer.status, answer.body) == (code, b"")
            assert out.connection.is_reusable()

    run(test())


class Raw:
    """An endpoint that writes an answer as it is, and then ends the connection as it is told."""

    def __init__(self, raw: bytes, ending: str) -> None:
        self.raw, self.ending = raw, ending
        self.connections: list[asyncio.StreamWriter] = []
        self.left = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.raw)
            await writer.drain()
            if self.ending == "reset":
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            elif self.ending == "never":
                await reader.read()
        self.left.set()
        writer.close()


@contextlib.asynccontextmanager
async def raw_endpoint(raw: bytes, ending: str) -> AsyncIterator[tuple[Raw, str]]:
    served = Raw(raw, ending)
    server = await asyncio.start_server(served.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield served, f"{host}:{port}"
    finally:
        server.close()


@pytest.mark.parametrize(
    ("ending", "cls", "code", "outcome"),
    [
        ("end", "post", 200, AttemptOutcome.SUCCESS),
        ("reset", "post", 502, AttemptOutcome.CONNECTION_RESET),
        ("never", "post", 504, AttemptOutcome.TIMEOUT),
        ("never", "read", 503, AttemptOutcome.TIMEOUT),
    ],
)
def test_what_an_answer_with_no_length_comes_to(
    ending: str, cls: str, code: int, outcome: AttemptOutcome
) -> None:
    """The client gets it with its length; one that never ends is given up with the client's time."""

    async def test() -> None:
        async with (
            raw_endpoint(NO_LENGTH + b"x" * 1000, ending) as (one, dial),
            raw_endpoint(NO_LENGTH + b"x" * 1000, ending) as (other, second),
            sidecar(dial, second) as node,
        ):
            client, upstream = await node.client(), node.dispatcher.upstream
            client.writer.write(request(cls))
            if ending == "never":
                while not upstream.buffer_budget.used_bytes:
                    await asyncio.sleep(0)
                node.dispatcher.expire_all_within(0)
            answered, headers, body = await client.answer()
            assert answered == code
            if code == 200:
                assert headers == {b"x-shard": b"7", b"content-length": b"1000"} and body == b"x" * 1000
            assert (await node.event(completed)).outcome == outcome
            if ending == "never":
                [left] = [served for served in (one, other) if served.connections]
                # It outlives its request up to the class's aim, no longer.
                await left.left.wait()
            while upstream.open_connection_count:
                await asyncio.sleep(0)
            assert len(one.connections) + len(other.connections) == 1
            assert (
                upstream.buffer_budget.used_bytes == 0
                and not upstream.background_attempts
                and not node.dispatcher.ledger.in_flight
            )

    run(test())


@pytest.mark.parametrize("together", [MAX_RESPONSE_BODY_BYTES // 2, 3 * MAX_RESPONSE_BODY_BYTES])
def test_an_answer_with_no_length_that_is_too_long_is_refused_in_time(together: int) -> None:
    """By what one answer may hold, and by what all may hold together."""

    async def test() -> None:
        long = NO_LENGTH + b"x" * 2 * MAX_RESPONSE_BODY_BYTES
        async with raw_endpoint(long, "never") as (served, dial), sidecar(dial) as node:
            store = node.dispatcher.upstream.buffer_budget
            store.max_bytes = together
            client = await node.client()
            assert (await client.ask(request("post")))[0] == 502
            assert (await node.event(completed)).outcome == AttemptOutcome.CONNECTION_RESET
            await served.left.wait()  # while the endpoint would have held it
            assert store.used_bytes == 0

    run(test())


def test_a_connection_is_not_kept_after_an_answer_with_no_length() -> None:
    async def test() -> None:
        async with raw_endpoint(NO_LENGTH + b"done", "end") as (served, dial), sidecar(dial) as node:
            client = await node.client()
            for n in range(1, 4):
                assert (await client.ask(request("post")))[::2] == (200, b"done")
                [pool] = node.dispatcher.upstream.pools.values()
                assert not pool.idle_connections and len(served.connections) == n

    run(test())


# ---- connections that come up late


class Gate:
    """Holds the connections of a sidecar to its endpoints, made already, until it is opened."""

    def __init__(self, node: Sidecar, problem: OSError | None = None) -> None:
        self.opened, self.reached, self.made = asyncio.Event(), asyncio.Event(), 0
        self._problem = problem  # of the first
        self._connect = node.dispatcher.upstream.connect
        node.dispatcher.upstream.connect = self._late  # type: ignore[method-assign]

    async def _late(self, pool: EndpointPool) -> UpstreamConnection:
        connection = await self._connect(pool)
        self.made += 1
        self.reached.set()
        await self.opened.wait()
        if self._problem is not None and self.made == 1:
            connection.close()
            raise self._problem
        return connection


def classes(**changes: Any) -> dict[str, Any]:
    told: Any = SETTINGS["Categories"]
    return SETTINGS | {"Categories": [cls | changes for cls in told]}


@pytest.mark.parametrize("cls", ["read", "post"])
@pytest.mark.parametrize("over", ["deadline", "patience"])
def test_what_its_time_meets_while_it_connects_never_ran(over: str, cls: str) -> None:
    """It was told as a time-out, so work that must not run twice was answered as failed."""

    async def test() -> None:
        brief = classes(LateWorth=0, AimNs=20_000_000)  # no answer earns after the aim: given up then
        async with (
            endpoint(always_ok) as served,
            sidecar(served.dial, settings=brief if over == "patience" else SETTINGS) as node,
        ):
            gate, upstream = Gate(node), node.dispatcher.upstream
            client = await node.client()
            client.writer.write(request(cls, rid="9b1f"))
            await gate.reached.wait()
            if over == "deadline":
                node.dispatcher.expire_all_within(0)
            assert (await client.answer())[0] == 503  # refused: trying again is harmless
            ended = await node.event(completed)
            assert (ended.outcome, ended.request_finished) == (AttemptOutcome.NOT_SENT, False)
            assert not node.dispatcher.ledger.in_flight and not node.dispatcher.is_duplicate(b"9b1f")
            # It says nothing of the endpoint, whose connection is not in vain.
            [member] = node.balancer.membership.endpoints.values()
            assert (member.failure_rate, member.consecutive_failures) == (0.0, 0)
            assert (member.ejected_until_ns, member.in_flight) == (0, 0)
            gate.opened.set()
            while upstream.background_attempts:
                await asyncio.sleep(0)
            [pool] = upstream.pools.values()
            assert len(pool.idle_connections) == 1 and not served.seen and gate.made == 1

    run(test())


# ---- an endpoint that returns at a new address under its old id


def move(node: Sidecar, dial: str, health: str = "up") -> None:
    told = {"seq": 2, "whole": False, "hosts": [entry("s-0", dial, health)]}
    node.dispatcher.on_endpoint_update(
        parse_endpoint_list(told, node.config.name_indices), EndpointUpdateKind.DELTA
    )


def test_a_connection_in_use_to_an_old_address_is_not_kept_for_the_new_one() -> None:
    """It went into the pool, and the next request went to the machine that the list no longer names."""

    async def test() -> None:
        going = asyncio.Event()

        async def held(seen: Seen) -> bytes:
            await going.wait()
            return ok(b"old")

        async with endpoint(held) as old, endpoint(always_ok) as new, sidecar(old.dial) as node:
            client = await node.client()
            client.writer.write(request("post"))
            await old.arrived.wait()
            move(node, new.dial)
            going.set()
            assert (await client.answer())[::2] == (200, b"old")  # what is out goes on
            [pool] = node.dispatcher.upstream.pools.values()
            assert not pool.idle_connections
            assert (await client.ask(request("post")))[::2] == (200, b"done")
            assert (len(old.seen), len(new.seen), len(pool.idle_connections)) == (1, 1, 1)

    run(test())


@pytest.mark.parametrize("problem", [None, ConnectionRefusedError(), TimeoutError()])
def test_a_connection_that_comes_up_to_an_old_address_gets_nothing(problem: OSError | None) -> None:
    """Nor does it speak against the endpoint that the old address fails: the attempt goes to the new one."""

    async def test() -> None:
        async with endpoint(always_ok) as old, endpoint(always_ok) as new, sidecar(old.dial) as node:
            gate = Gate(node, problem)
            client = await node.client()
            client.writer.write(request("post"))
            await gate.reached.wait()
            move(node, new.dial)
            gate.opened.set()
            assert (await client.answer())[0] == 200
            ended = await node.event(completed)
            assert (ended.outcome, ended.attempt_index) == (AttemptOutcome.SUCCESS, 0)
            assert (len(old.seen), len(new.seen), gate.made) == (0, 1, 2)
            [pool] = node.dispatcher.upstream.pools.values()
            assert [connection.address for connection in pool.idle_connections] == [pool.address]

    run(test())


@pytest.mark.parametrize("then", ["gone", "draining", "no room"])
def test_an_attempt_that_an_address_has_left_behind_may_end_unsent(then: str) -> None:
    async def test() -> None:
        async with (
            endpoint(always_ok) as old,
            endpoint(always_ok) as new,
            sidecar(old.dial) as node,
        ):
            gate, upstream = Gate(node), node.dispatcher.upstream
            client = await node.client()
            client.writer.write(request("post"))
            await gate.reached.wait()
            move(node, new.dial, "draining" if then == "draining" else "up")
            if then == "gone":
                node.dispatcher.expire_all_within(0)
            elif then == "no room":
                upstream.max_connections = 1
            gate.opened.set()
            assert (await client.answer())[0] == 503
            ended = await node.event(completed)
            assert ended.outcome == (
                AttemptOutcome.CONNECT_FAILED if then == "draining" else AttemptOutcome.NOT_SENT
            )
            while upstream.open_connection_count:
                await asyncio.sleep(0)
            assert not old.seen and not new.seen and gate.made == 1 and not upstream.background_attempts

    run(test())


class Rests:
    """Lets what waits for a connection to have rested go on only when the test says so; time stands still."""

    def __init__(self, node: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
        upstream, sleep = node.dispatcher.upstream, asyncio.sleep
        self.now = upstream.now_ns()
        self.waiting: list[asyncio.Future[None]] = []
        upstream.now_ns = lambda: self.now

        async def held(seconds: float) -> None:
            if not seconds:
                return await sleep(0)
            self.waiting.append(asyncio.get_running_loop().create_future())
            await self.waiting[-1]

        monkeypatch.setattr(asyncio, "sleep", held)

    async def reached(self, count: int) -> None:
        while len(self.waiting) < count:
            await asyncio.sleep(0)


def test_an_attempt_that_waits_for_a_rest_goes_to_the_address_of_the_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as old, endpoint(always_ok) as new, sidecar(old.dial) as node:
            rests = Rests(node, monkeypatch)
            client = await node.client()
            assert (await client.ask(request("post")))[0] == 200
            client.writer.write(request("post"))
            await rests.reached(1)
            move(node, new.dial)
            rests.waiting[0].set_result(None)
            assert (await client.answer())[0] == 200
            assert (len(old.seen), len(new.seen)) == (1, 1)

    run(test())


# ---- late connections, short windows, the time that is told


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("ending", ["timeout", "cancel"])
def test_a_connect_that_is_given_up_leaves_nothing_open(ending: str) -> None:
    """Neither a descriptor nor a place in the count, also once the endpoint would take it."""

    async def test() -> None:
        with socket.socket() as listening, contextlib.ExitStack() as stack:
            listening.bind(("127.0.0.1", 0))
            listening.listen(0)
            address = listening.getsockname()
            for _ in range(8):  # what waits to be accepted fills the queue: the next connects do not come up
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(address)
            brief = {"ConnectTimeoutNs": 50_000_000 if ending == "timeout" else 9_000_000_000}
            told = SETTINGS | {"Limits": brief}
            async with sidecar(f"{address[0]}:{address[1]}", settings=told) as node:
                upstream, before, outcomes = node.dispatcher.upstream, descriptors(), list[int]()
                attempts = []
                for _ in range(5):
                    attempt = upstream.create_attempt(
                        derive_endpoint_id("s-0"), request, lambda outcome, _: outcomes.append(outcome)
                    )
                    assert attempt is not None
                    attempt.start()
                    attempts.append(attempt)
                while descriptors() < before + 5:
                    await asyncio.sleep(0)
                assert upstream.open_connection_count == 5
                if ending == "cancel":
                    for attempt in attempts:
                        attempt.abort(AttemptOutcome.CANCELLED)
                while len(outcomes) < 5 or upstream.open_connection_count:
                    await asyncio.sleep(0)
                while descriptors() > before:
                    await asyncio.sleep(0)
                assert upstream.open_connection_count == 0 and not upstream.background_attempts
                wanted = AttemptOutcome.CONNECT_FAILED if ending == "timeout" else AttemptOutcome.CANCELLED
                assert outcomes == [wanted] * 5

    run(test())


def test_what_comes_up_after_its_endpoint_began_to_drain_is_not_kept_for_anybody() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            gate, upstream = Gate(node), node.dispatcher.upstream
            client = await node.client()
            client.writer.write(request("post"))
            await gate.reached.wait()
            client.writer.close()
            await node.event(lambda e: isinstance(e, ClientDisconnected))
            [pool] = upstream.pools.values()
            move(node, served.dial, "draining")
            gate.opened.set()
            while upstream.open_connection_count:
                await asyncio.sleep(0)
            assert not pool.idle_connections and not served.seen and not upstream.background_attempts

    run(test())


@pytest.mark.parametrize("late", [False, True])
def test_what_waits_for_a_rest_is_written_within_its_window_or_not_at_all(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            rests, upstream = Rests(node, monkeypatch), node.dispatcher.upstream
            outcomes = asyncio.Queue[int]()

            def start(latest: int) -> None:
                attempt = upstream.create_attempt(
                    derive_endpoint_id("s-0"),
                    request,
                    lambda outcome, _: outcomes.put_nowait(outcome),
                    latest,
                )
                assert attempt is not None
                attempt.start()

            start(0)
            assert await outcomes.get() == AttemptOutcome.SUCCESS
            start(rests.now + 2 * CONNECTION_REST_NS)
            await rests.reached(1)
            rests.now += 2 * CONNECTION_REST_NS - (not late)
            rests.waiting[0].set_result(None)
            assert await outcomes.get() == (AttemptOutcome.NOT_SENT if late else AttemptOutcome.SUCCESS)
            [pool] = upstream.pools.values()
            assert (len(served.seen), served.connections, len(pool.idle_connections)) == (
                1 if late else 2,
                1,
                1,
            )

    run(test())


@pytest.mark.parametrize("waited", [3, 10])
def test_a_further_attempt_tells_what_is_left_when_it_is_written(waited: int) -> None:
    """After a slow connect it told what was left then. With nothing left it went out all the same, where the
    loop came to the connection before it came to the deadline."""

    async def test() -> None:
        gates: list[Gate] = []

        async def decline(seen: Seen) -> bytes:
            if len(one.seen) + len(other.seen) > 1:
                return ok()
            gates[0].opened.clear()  # the further attempt waits
            return status(503, b"Srv-Declined: 1")

        async with (
            endpoint(decline) as one,
            endpoint(decline) as other,
            sidecar(one.dial, other.dial) as node,
        ):
            gate = Gate(node)
            gates.append(gate)
            gate.opened.set()
            now = [node.dispatcher.now_ns()]
            node.dispatcher.now_ns = node.dispatcher.upstream.now_ns = lambda: now[0]
            client = await node.client()
            client.writer.write(request("post"))
            while gate.made < 2:
                await asyncio.sleep(0)
            now[0] += waited * SECOND
            gate.opened.set()
            ended = await node.event(lambda e: completed(e) and e.attempt_index == 1)
            if waited < 9:
                assert (await client.answer())[0] == 200
                told = sorted(float(seen.headers[b"req-deadline"]) for seen in one.seen + other.seen)
                assert told == [9 - 0.01 - waited, 9 - 0.01]
            else:
                assert (await client.answer())[0] == 503
                assert ended.outcome == AttemptOutcome.NOT_SENT
                assert len(one.seen) + len(other.seen) == 1

    run(test())


def test_an_attempt_tells_no_more_than_is_left_to_a_sidecar_that_ends() -> None:
    """It told the client's time, and the endpoint worked on for a sidecar that had gone."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            gate, now = Gate(node), node.dispatcher.now_ns()
            node.dispatcher.now_ns = lambda: now
            client = await node.client()
            client.writer.write(request("post"))
            await gate.reached.wait()
            node.dispatcher.expire_all_within(4)
            gate.opened.set()
            assert (await client.answer())[0] == 200
            assert float(served.seen[0].headers[b"req-deadline"]) == 4

    run(test())


@pytest.mark.parametrize("over", ["window", "deadline", "patience"])
def test_a_request_that_is_taken_in_part_goes_no_further_when_its_time_is_over(over: str) -> None:
    """The rest went out whenever the endpoint read on: after the window of a keyed resend, too. And what was
    never whole was told as a time-out."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            host, port = server.getsockname()
            async with sidecar(f"{host}:{port}") as node:
                upstream = node.dispatcher.upstream
                connect = upstream.connect

                async def narrow(pool: EndpointPool) -> UpstreamConnection:
                    connection = await connect(pool)
                    assert connection.transport is not None
                    end = connection.transport.get_extra_info("socket")
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                    return connection

                upstream.connect = narrow  # type: ignore[method-assign]
                whole = request("post", body=b"x" * 60_000)
                if over == "window":
                    now = upstream.now_ns()
                    upstream.now_ns = lambda: now  # the connection is up in time, however slowly
                    ended = asyncio.get_running_loop().create_future()
                    attempt = upstream.create_attempt(
                        derive_endpoint_id("s-0"),
                        lambda: whole,
                        lambda outcome, _: ended.set_result(outcome),
                        now + SECOND // 10,
                    )
                    assert attempt is not None
                    attempt.start()
                    assert await ended == AttemptOutcome.NOT_SENT
                else:
                    client = await node.client()
                    client.writer.write(whole)
                    while not upstream.open_connection_count or not node.dispatcher.ledger.in_flight:
                        await asyncio.sleep(0)
                    [sent] = node.dispatcher.ledger.in_flight.values()
                    while sent.attempt is None or sent.attempt.state is not AttemptState.IN_FLIGHT:
                        await asyncio.sleep(0)
                    if over == "deadline":
                        node.dispatcher.expire_all_within(0)
                    else:
                        sent.attempt.expire()
                    assert (await client.answer())[0] == 503
                    assert (await node.event(completed)).outcome == AttemptOutcome.NOT_SENT
                while upstream.open_connection_count:
                    await asyncio.sleep(0)
                assert not upstream.background_attempts and not node.dispatcher.ledger.in_flight
                peer, _ = server.accept()
                peer.settimeout(WAIT / 4)
                with peer, contextlib.suppress(ConnectionResetError):
                    got = 0
                    while part := peer.recv(1 << 20):
                        got += len(part)
                    assert got < 60_000

    run(test())

"""Two things in one instant, forced over loopback sockets: what each pair of them comes to."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestReceived,
)
from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from balancer.sidecar.endpoint_list import derive_endpoint_id, parse_endpoint_list
from balancer.sidecar.upstream.connection import UpstreamConnection
from balancer.sidecar.upstream.pool import CONNECTION_REST_NS, EndpointPool
from balancer.time_units import SECOND_NS as SECOND
from tests.sidecar.harness import (
    SETTINGS,
    WAIT,
    Seen,
    Sidecar,
    always_ok,
    dead_dial,
    endpoint,
    entry,
    never,
    ok,
    request,
    run,
    sidecar,
    status,
)


def settings(*changes: dict[str, Any], **others: Any) -> dict[str, Any]:
    """The usual settings, each of the first classes changed."""
    told: Any = SETTINGS["Categories"]
    classes = [cls | change for cls, change in zip(told, changes, strict=False)] + told[len(changes) :]
    return SETTINGS | {"Categories": classes} | others


def completed(event: Event) -> bool:
    return isinstance(event, AttemptCompleted)


class Gate:
    """Lets the connections of a sidecar to its endpoints come up only once it is opened."""

    def __init__(self, node: Sidecar) -> None:
        self.opened, self.reached, self.waiting = asyncio.Event(), asyncio.Event(), 0
        self._connect = node.dispatcher.upstream.connect
        node.dispatcher.upstream.connect = self._late  # type: ignore[method-assign]

    async def _late(self, pool: EndpointPool) -> UpstreamConnection:
        self.waiting += 1
        self.reached.set()
        await self.opened.wait()
        self.waiting -= 1
        return await self._connect(pool)


def test_a_deadline_that_the_loop_calls_early_lets_no_second_copy_out() -> None:
    """The first attempt was kept for its connection, and a further one went out in the last moment."""

    async def test() -> None:
        patient = settings({"AimNs": 8_000_000_000})
        async with (
            endpoint(never) as one,
            endpoint(never) as other,
            sidecar(one.dial, other.dial, settings=patient) as node,
        ):
            begun = node.dispatcher.now_ns()
            node.dispatcher.now_ns = lambda: (
                begun
            )  # for the decisions the time never comes; for the loop it does
            client = await node.client()
            assert (await client.ask(request(deadline="0.2")))[0] == 503
            assert len(node.dispatcher.upstream.background_attempts) == 1
            assert (await node.event(completed)).outcome == AttemptOutcome.TIMEOUT
            moot = await node.event(lambda e: isinstance(e, AttemptCompleted) and e.attempt_index == 1)
            assert moot.outcome == AttemptOutcome.NOT_SENT
            assert one.connections + other.connections == 1

    run(test())


def test_a_client_that_left_while_its_connection_came_up_late_gets_nothing_sent() -> None:
    """Its request was written as soon as the connection was there, however long nobody had waited for it."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            gate = Gate(node)
            client = await node.client()
            client.writer.write(request("post", rid="9b1f"))
            await gate.reached.wait()
            client.writer.close()
            await node.event(lambda e: isinstance(e, ClientDisconnected))
            assert (await node.event(completed)).outcome == AttemptOutcome.NOT_SENT
            assert not node.dispatcher.is_duplicate(b"9b1f") and not node.dispatcher.ledger.in_flight
            gate.opened.set()
            other = await node.client()
            assert (await other.ask(request("post", rid="77")))[0] == 200
            # The connection was not in vain: the next request has it.
            assert [seen.headers[b"req-id"] for seen in served.seen] == [b"77"]
            assert not node.dispatcher.upstream.background_attempts

    run(test())


def test_a_client_that_left_while_an_attempt_was_out_gets_no_further_one() -> None:
    async def test() -> None:
        left = asyncio.Event()

        async def decline(seen: Seen) -> bytes:
            await left.wait()
            return b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

        async with (
            endpoint(decline) as one,
            endpoint(decline) as other,
            sidecar(one.dial, other.dial) as node,
        ):
            client = await node.client()
            client.writer.write(request())
            while not one.seen and not other.seen:
                await asyncio.sleep(0)
            client.writer.close()
            await node.event(lambda e: isinstance(e, ClientDisconnected))
            left.set()
            ended = await node.event(completed)
            assert (ended.outcome, ended.request_finished) == (AttemptOutcome.REJECTED, True)
            assert not node.dispatcher.ledger.in_flight and len(one.seen) + len(other.seen) == 1

    run(test())


@pytest.mark.parametrize("ending", ["last", "pipelined", "flooded"])
def test_a_client_that_leaves_while_nothing_is_read_from_it_is_noticed(ending: str) -> None:
    """Reading was paused after a last request and a full pipeline: the requests went out all the same."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            gate = Gate(node)
            client = await node.client()
            if ending == "pipelined":
                asked = MAX_PIPELINED_REQUESTS
                client.writer.write(b"".join(request() for _ in range(asked + 3)))
            else:
                asked = 1
                client.writer.write(request(extra=b"Connection: close\r\n"))
            while gate.waiting < asked:
                await asyncio.sleep(0)
            if ending == "flooded":
                client.writer.write(b"x" * 200_000)
            [connection] = node.listener._connections.accepting()
            while connection._transport.is_reading_paused != (ending != "last"):
                await asyncio.sleep(0)
            client.writer.transport.abort() if ending == "flooded" else client.writer.close()
            for _ in range(asked):
                gone = await node.event(lambda e: isinstance(e, ClientDisconnected))
                node.events.remove(gone)
            assert not node.dispatcher.ledger.in_flight
            gate.opened.set()
            other = await node.client()
            assert (await other.ask(request(rid="77")))[0] == 200
            assert [seen.headers[b"req-id"] for seen in served.seen] == [b"77"]

    run(test())


@pytest.mark.parametrize("second", [ok(b"again"), b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\n"])
def test_a_second_answer_that_comes_late_is_no_answer_to_the_next_request(second: bytes) -> None:
    """The next request was out by then: it was served with another's answer, or taken for never run."""
    told = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.append(writer)
        body = b"%d" % len(served)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ok(body))
        await told.wait()
        writer.write(second)

    served: list[asyncio.StreamWriter] = []

    async def test() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with sidecar(f"{host}:{port}") as node:
            upstream = node.dispatcher.upstream
            stopped = upstream.now_ns()
            upstream.now_ns = lambda: stopped  # not a moment later
            client = await node.client()
            assert (await client.ask(request("post")))[::2] == (200, b"1")
            [pool] = upstream.pools.values()
            assert (
                len(pool.idle_connections) == 1
                and pool.seconds_until_rested(stopped) == CONNECTION_REST_NS / SECOND
            )
            client.writer.write(request("post"))
            await node.event(lambda e: isinstance(e, RequestReceived) and e.request_id == 2)
            told.set()
            assert (await client.answer())[::2] == (200, b"2")  # on a connection of its own
            assert len(served) == 2
        for writer in served:
            writer.close()
        server.close()

    run(test())


def test_a_client_that_leaves_while_its_connection_rests_costs_no_further_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What came after the rest was a new connection that nobody had a request for."""

    async def test() -> None:
        sleep, go_on = asyncio.sleep, asyncio.Event()

        async def held(seconds: float) -> None:
            await (go_on.wait() if seconds else sleep(0))

        monkeypatch.setattr(asyncio, "sleep", held)
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            upstream = node.dispatcher.upstream
            stopped = upstream.now_ns()
            upstream.now_ns = lambda: stopped  # what rests goes on resting
            client, other = await node.client(), await node.client()
            assert (await client.ask(request()))[0] == 200
            client.writer.write(request())
            await node.event(lambda e: isinstance(e, RequestReceived) and e.request_id == 2)
            client.writer.close()
            await node.event(lambda e: isinstance(e, ClientDisconnected))
            go_on.set()
            while upstream.background_attempts:
                await asyncio.sleep(0)
            assert served.connections == 1 and len(served.seen) == 1
            assert (await other.ask(request()))[0] == 200

    run(test())


def test_a_request_that_is_wrong_goes_to_one_server_and_is_no_failure_of_it() -> None:
    """Answered with 400, one went to six servers in a row, and each then looked as if it failed."""

    async def wrong(seen: Seen) -> bytes:
        return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"

    async def test() -> None:
        async with (
            endpoint(wrong) as one,
            endpoint(wrong) as other,
            sidecar(one.dial, other.dial) as node,
        ):
            client = await node.client()
            for n in range(1, 5):
                assert (await client.ask(request()))[0] == 503
                assert len(one.seen) + len(other.seen) == n
            members = node.balancer.membership.endpoints.values()
            known = [(m.failure_rate, m.consecutive_failures, m.in_flight) for m in members]
            assert known == [(0.0, 0, 0)] * 2

    run(test())


KEYED = {"Effect": "dedup", "KeyScope": "all", "WindowNs": 2_000_000_000}
KEY = b"Idempotency-Key: 5c0f\r\n"


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_resend_is_written_within_the_window_or_not_at_all(late: bool) -> None:
    """It was decided within the window and written when its connection was up, by then a repeat that runs."""

    async def test() -> None:
        go_on = asyncio.Event()

        async def break_once(seen: Seen) -> bytes | None:
            if len(one.seen) + len(other.seen) > 1:
                return ok()
            await go_on.wait()
            return None

        async with (
            endpoint(break_once) as one,
            endpoint(break_once) as other,
            sidecar(one.dial, other.dial, settings=settings({}, KEYED)) as node,
        ):
            gate, clock = Gate(node), node.dispatcher.now_ns
            gate.opened.set()
            client = await node.client()
            client.writer.write(request("post", extra=KEY))
            while not one.seen and not other.seen:
                await asyncio.sleep(0)
            gate.opened.clear()
            gate.reached.clear()
            go_on.set()
            await gate.reached.wait()  # the resend is decided, and has no connection yet
            if late:
                node.dispatcher.now_ns = node.dispatcher.upstream.now_ns = lambda: clock() + 2 * SECOND
            gate.opened.set()
            code, _, _ = await client.answer()
            again = await node.event(lambda e: completed(e) and e.attempt_index == 1)
            if late:
                assert (code, again.outcome) == (502, AttemptOutcome.NOT_SENT)
            else:
                assert (code, again.outcome) == (200, AttemptOutcome.SUCCESS)
            assert len(one.seen) + len(other.seen) == (1 if late else 2)

    run(test())


@pytest.mark.parametrize("cls", ["post", "read"])
def test_an_id_that_has_run_is_not_sent_again_once_its_request_is_over(cls: str) -> None:
    """Forgotten with the answer, the same id ran again for a client whose answer was lost on the way."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            first, again = await node.client(), await node.client()
            assert (await first.ask(request(cls, rid="9b1f")))[0] == 200
            assert not node.dispatcher.ledger.in_flight
            code, _, _ = await again.ask(request(cls, rid="9b1f"))
            assert code == (409 if cls == "post" else 200)  # what is safe to repeat may come again
            clock = node.dispatcher.now_ns
            node.dispatcher.now_ns = lambda: clock() + 9 * SECOND  # its client has given up by now
            last = await node.client()
            assert (await last.ask(request("post", rid="77")))[0] == 200
            assert list(node.dispatcher.ledger.executed_ids_expire_at_ns) == ([b"77"])

    run(test())


def test_an_id_that_never_ran_may_come_again() -> None:
    """The client sends a request once more if our close crossed it, or to be served after a refusal."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(dead_dial()) as node:
            client = await node.client()
            assert (await client.ask(request("post", rid="9b1f")))[0] == 503
            told = {"seq": 2, "whole": True, "hosts": [entry("s-1", served.dial)]}
            node.dispatcher.on_endpoint_update(
                parse_endpoint_list(told, node.config.name_indices), EndpointUpdateKind.SNAPSHOT
            )
            assert (await client.ask(request("post", rid="9b1f")))[0] == 200

    run(test())


# ---- discovery that has to be asked


ASKED = settings(Discovery="on_request")


def listed(kind: EndpointUpdateKind) -> Callable[[Event], bool]:
    return lambda event: isinstance(event, EndpointUpdate) and event.kind == kind


SPOILT = [
    None,  # the watch falls silent
    ok(b'{"seq":2,"whole":false,"hosts":[{"host":"s-0","hea'),
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b'{"seq":2,"whole":false,"hosts":[',
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
]


@pytest.mark.parametrize("first", SPOILT, ids=["silent", "malformed", "cut", "junk"])
def test_where_lists_are_asked_for_a_watch_that_may_have_told_is_opened_anew_at_once(
    first: bytes | None,
) -> None:
    """The decisions put the next call off by up to 4 s: a server that drained meanwhile got requests."""
    calls: list[bytes] = []
    first_comes: list[Callable[[], None]] = []

    async def script(seen: Seen) -> bytes | None:
        calls.append(seen.line.split()[1])
        if len(calls) == 1:
            first_comes[0]()
        if len(calls) > 2:
            return await never(seen)
        if len(calls) == 2:
            drained = {"seq": 2, "whole": False, "hosts": [entry("s-0", "127.0.0.1:9", "draining")]}
            return ok(json.dumps(drained, indent=2).encode())
        return first if first is not None else await never(seen)

    async def test() -> None:
        async with (
            endpoint(script) as served,
            sidecar("127.0.0.1:9", discovery=served.dial, settings=ASKED) as node,
        ):
            brief = replace(node.discovery.profile, hold_seconds=1.0, grace_seconds=0.0)
            long = replace(brief, hold_seconds=WAIT)
            node.discovery.profile = brief
            node.discovery.caller.connect_timeout_seconds = WAIT
            first_comes.append(lambda: setattr(node.discovery, "profile", long))  # the others may be slow
            node.discovery.set_watching(True)
            told = await node.event(listed(EndpointUpdateKind.DELTA))
            assert told.endpoints[0].health == EndpointHealth.DRAINING
            assert not [e for e in node.events if listed(EndpointUpdateKind.DISCOVERY_FAILED)(e)]
            assert [call.split(b"&")[0] for call in calls[:2]] == [b"/discovery/hosts?from=1"] * 2

    run(test())


@pytest.mark.parametrize("answer", [None, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", SPOILT[1]])
def test_where_lists_are_asked_for_one_that_fails_again_is_left_to_the_decisions(
    answer: bytes | None,
) -> None:
    async def script(seen: Seen) -> bytes | None:
        return answer

    async def test() -> None:
        async with (
            endpoint(script) as served,
            sidecar("127.0.0.1:9", discovery=served.dial, settings=ASKED) as node,
        ):
            node.discovery.profile = replace(node.discovery.profile, grace_seconds=WAIT)
            node.discovery.caller.connect_timeout_seconds = WAIT
            node.discovery.set_watching(True)
            await node.event(listed(EndpointUpdateKind.DISCOVERY_FAILED))
            assert len(served.seen) == (2 if answer == SPOILT[1] else 1)

    run(test())


def test_where_lists_are_asked_for_a_new_address_is_asked_until_it_tells() -> None:
    """A call that failed there was left to the decisions: later than what it has to tell counts as told."""
    old = asyncio.Event()
    answers = [None, SPOILT[1], status(503)]

    async def silent(seen: Seen) -> bytes:
        old.set()
        return await never(seen)

    async def stumbling(seen: Seen) -> bytes | None:
        if answers:
            return answers.pop(0)
        hosts = [entry("s-2", "127.0.0.1:9")]
        return ok(json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode())

    async def test() -> None:
        async with (
            endpoint(silent) as before,
            endpoint(stumbling) as after,
            sidecar("127.0.0.1:9", discovery=before.dial, settings=ASKED) as node,
        ):
            node.discovery.set_watching(True)
            await old.wait()
            host, _, port = after.dial.rpartition(":")
            node.discovery.change_address((host, int(port)))
            told = await node.event(listed(EndpointUpdateKind.SNAPSHOT))
            assert told.endpoints[0].id == derive_endpoint_id("s-2")
            assert not [e for e in node.events if listed(EndpointUpdateKind.DISCOVERY_FAILED)(e)]
            assert [seen.line.split()[1] for seen in after.seen[:4]] == [b"/discovery/hosts"] * 4
            assert len(before.seen) == 1

    run(test())

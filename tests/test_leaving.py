"""Clients that leave: nothing begins for them any more, however their leaving is hidden."""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any

import pytest

import tests.sidecar.harness
from balancer.policy_api import Action, AttemptCompleted, AttemptOutcome, ClientDisconnected, Event
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.exchange import MAX_PIPELINED_REQUESTS
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from balancer.sidecar.upstream.connection import UpstreamConnection
from balancer.sidecar.upstream.pool import EndpointPool
from tests.sidecar.harness import Seen, Sidecar, always_ok, endpoint, ok, request, run

LAST = b"Connection: close\r\n"


# Whatever these tests see was not found by the sweep, which comes by time.
sidecar = partial(tests.sidecar.harness.sidecar, timeouts=DownstreamTimeouts(sweep_interval_seconds=1e6))


class Peer:
    """A client on a blocking socket: what it does has reached the sidecar's socket before the loop turns."""

    def __init__(self, node: Sidecar) -> None:
        self.socket = socket.create_connection(("127.0.0.1", node.port))

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def leave(self, how: str) -> None:
        if how == "half-close":
            self.socket.shutdown(socket.SHUT_WR)
        else:
            if how == "reset":
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.socket.close()


def gone(node: Sidecar) -> int:
    return sum(isinstance(event, ClientDisconnected) for event in node.events)


async def until(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(0)


def only(node: Sidecar) -> DownstreamConnection:
    [connection] = node.listener._connections.accepting()
    return connection


HIDDEN = ["unread", "last", "flooded", "pipelined"]


async def hide(node: Sidecar, peer: Peer, hidden: str, out: Any) -> int:
    """Ask, so that no event tells of the client's leaving once all requests have come; how many have."""
    if hidden == "pipelined":
        peer.send(b"".join(request() for _ in range(MAX_PIPELINED_REQUESTS + 3)))
        await until(lambda: out() == MAX_PIPELINED_REQUESTS and only(node)._transport.is_reading_paused)
        return MAX_PIPELINED_REQUESTS
    peer.send(request(extra=LAST if hidden != "unread" else b""))
    await until(lambda: out() == 1)
    if hidden == "flooded":
        peer.socket.setblocking(False)
        peer.socket.send(b"x" * 200_000)
        await until(lambda: only(node)._transport.is_reading_paused)
    return 1


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("hidden", HIDDEN)
def test_a_first_attempt_that_waited_for_its_connection_does_not_begin_for_a_client_that_left(
    hidden: str, how: str
) -> None:
    """It was written when the connection came up; where nothing was read up to a sweep after the leaving."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            waiting, connect = 0, node.dispatcher.upstream.connect
            go_on = asyncio.Event()

            async def late(pool: EndpointPool) -> UpstreamConnection:
                nonlocal waiting
                connection = await connect(pool)
                waiting += 1
                await go_on.wait()
                leave()
                return connection  # and in this turn it is written

            def leave() -> None:
                if peer.socket.fileno() >= 0:
                    peer.leave(how)

            node.dispatcher.upstream.connect = late  # type: ignore[method-assign]
            peer = Peer(node)
            asked = await hide(node, peer, hidden, lambda: waiting)
            go_on.set()
            await until(lambda: gone(node) == asked)
            await until(lambda: not node.dispatcher.ledger.in_flight)
            assert not served.seen
            moot = [e for e in node.events if isinstance(e, AttemptCompleted)]
            assert [(e.outcome, e.request_finished) for e in moot] == [
                (AttemptOutcome.NOT_SENT, True)
            ] * asked
            node.dispatcher.upstream.connect = connect  # type: ignore[method-assign]
            other = await node.client()
            assert (await other.ask(request(rid="77")))[0] == 200
            assert [seen.headers[b"req-id"] for seen in served.seen] == [b"77"]
            peer.socket.close()

    run(test())


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("hidden", HIDDEN)
def test_no_further_attempt_begins_for_a_client_that_left(hidden: str, how: str) -> None:
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
            peer = Peer(node)
            asked = await hide(node, peer, hidden, lambda: len(one.seen) + len(other.seen))
            handle = node.balancer.handle

            def leaves(now: int, event: Event) -> list[Action]:
                # The client goes as the first attempt's end is told: whatever is decided now comes later.
                if isinstance(event, AttemptCompleted) and peer.socket.fileno() >= 0:
                    peer.leave(how)
                return handle(now, event)

            node.balancer.handle = leaves  # type: ignore[method-assign]
            left.set()
            await until(lambda: not node.dispatcher.ledger.in_flight)
            assert gone(node)  # of a full pipeline not all: some are refused, as retries are few
            assert len(one.seen) + len(other.seen) == asked
            peer.socket.close()

    run(test())


@pytest.mark.parametrize("how", ["half-close", "reset"])
@pytest.mark.parametrize("extra", [b"", LAST], ids=["nothing read", "last"])
def test_a_client_that_leaves_answers_unread_gets_no_further_attempt(extra: bytes, how: str) -> None:
    """Its connection was to close once the answers had left, which never came: what followed went out."""

    async def test() -> None:
        left = asyncio.Event()
        posts: list[Seen] = []

        async def script(seen: Seen) -> bytes:
            if not seen.body:
                return ok(b"x" * 1_000_000)
            posts.append(seen)
            await left.wait()
            return b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

        async with endpoint(script) as one, endpoint(script) as other, sidecar(one.dial, other.dial) as node:
            node.dispatcher.upstream.buffer_budget.max_bytes = 1 << 30
            peer = Peer(node)
            long = [request() for _ in range(MAX_PIPELINED_REQUESTS - 1)]
            peer.send(b"".join(long) + request("post", body=b"x", extra=extra))
            await until(lambda: posts and len(node.dispatcher.ledger.in_flight) == 1)
            connection = only(node)
            assert connection._is_write_blocked and connection._transport.is_reading_paused == (not extra)
            peer.leave(how)
            if extra and how == "half-close":
                await until(lambda: gone(node))  # the event tells
            left.set()
            await until(lambda: not node.dispatcher.ledger.in_flight)
            assert len(posts) == 1 and gone(node) == 1
            peer.socket.close()

    run(test())

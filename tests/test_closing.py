"""How the sidecar ends connections of clients: no answer is cut off, nothing that comes late is sent on."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from cranespindle.node import frontend
from cranespindle.node.frontend import (
    IDLE,
    LINGER,
    LINGER_MOST,
    LINGER_STOPPING,
    SILENT,
    UNREAD,
    ClientConnection,
)
from cranespindle.node.request import BadRequest
from tests.sidecar import Seen, Sidecar, always_ok, endpoint, ok, request, run, sidecar

LAST = b"Connection: close\r\n"


@pytest.fixture(autouse=True)
def no_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sweeps come when a test makes one, at the time that it says."""
    monkeypatch.setattr(frontend, "SWEEP", 1e6)


async def until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0)


@contextlib.contextmanager
def peer(node: Sidecar) -> Iterator[socket.socket]:
    """A client whose bytes have reached the sidecar's socket before the loop turns."""
    with socket.create_connection(("127.0.0.1", node.port)) as client:
        yield client


async def accepted(node: Sidecar) -> ClientConnection:
    await until(lambda: node.frontend._others)
    return next(reversed(node.frontend._others))


async def everything(client: socket.socket) -> bytes:
    """What comes until the sidecar ends its side. Raises ConnectionResetError if it resets the connection."""
    client.setblocking(False)
    loop, got = asyncio.get_running_loop(), bytearray()
    while data := await loop.sock_recv(client, 65536):
        got += data
    return bytes(got)


def ends_whole(got: bytes, code: bytes, body: bytes) -> bool:
    return got.startswith(b"HTTP/1.1 " + code) and got.endswith(b"\r\n\r\n" + body)


def sweep(node: Sidecar, seconds: float) -> None:
    """A sweep so much later."""
    now = node.frontend.now() + seconds
    node.frontend.now = lambda: now
    node.frontend._sweep()


MORE = [b"x" * 3_000, request(), b"x" * 200_000]


@pytest.mark.parametrize("more", MORE, ids=["bytes", "a request", "many bytes"])
@pytest.mark.parametrize("end", ["rejected", "last", "late", "idle", "stopping", "evicted"])
def test_bytes_that_come_after_the_end_neither_reset_the_connection_nor_go_on(
    end: str, more: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close over them was a reset."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial, limits={"sockets": 3}) as node:
            assert node.config.clients_most == 1
            with peer(node) as client:
                connection = await accepted(node)
                want: tuple[bytes, bytes] | None = None
                if end == "rejected":
                    client.sendall(b"nonsense\r\n\r\n")
                    want = b"400", b"malformed request\n"
                elif end == "last":
                    client.sendall(request(extra=LAST))
                    want = b"200", b"done"
                elif end == "late":
                    client.sendall(request()[:-2])
                    await until(lambda: connection._buffer)
                    sweep(node, 10)
                    want = b"408", b"Request Timeout\n"
                else:
                    client.sendall(request())
                    await until(lambda: served.seen and connection.idle)
                    want = b"200", b"done"
                    if end == "idle":
                        sweep(node, IDLE + 1)
                    elif end == "stopping":
                        node.frontend.wind_down()
                        node.frontend.close_idle()
                    else:
                        second = socket.create_connection(("127.0.0.1", node.port))
                await until(lambda: connection._ended and not connection.owed)
                seen = len(served.seen)
                client.sendall(more)
                await until(lambda: connection._dropped >= len(more) or connection._transport is None)
                assert ends_whole(await everything(client), *want)
                assert len(served.seen) == seen
            if end == "evicted":
                second.close()
            await until(lambda: not len(node.frontend))

    run(test())


def test_a_long_last_answer_comes_whole_though_more_was_sent_than_is_read() -> None:
    """What the client had not yet taken of it was thrown away by the reset."""

    async def test() -> None:
        body = b"x" * 1_000_000

        async def script(seen: Seen) -> bytes:
            return ok(body)

        async with endpoint(script) as served, sidecar(served.dial) as node:
            with peer(node) as client:
                connection = await accepted(node)
                client.sendall(request(extra=LAST))
                await until(lambda: served.seen)
                client.sendall(b"x" * 100_000)
                await until(lambda: connection._ended and not connection.owed)
                client.sendall(b"x" * 1_000)
                assert ends_whole(await everything(client), b"200", body)

    run(test())


@pytest.mark.parametrize("end", ["idle", "stopping", "silent", "evicted"])
def test_a_request_that_came_before_the_close_and_is_not_read_yet_is_answered(end: str) -> None:
    """It was thrown away with the connection, a reset one. The loop had not turned since it came."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial, limits={"sockets": 6}) as node:
            assert node.config.clients_most == 2
            with peer(node) as client:
                connection = await accepted(node)
                if end != "silent":
                    client.sendall(request())
                    await until(lambda: served.seen and connection.idle)
                client.sendall(request(rid="77", extra=LAST))
                if end == "idle":
                    sweep(node, IDLE + 1)
                elif end == "silent":
                    sweep(node, SILENT + 1)
                elif end == "stopping":
                    node.frontend.wind_down()
                    node.frontend.close_idle()
                else:
                    node.frontend.now = lambda: 0.0  # so no newcomer has waited yet
                    for _ in range(2):
                        node.frontend.opened(ClientConnection(node.frontend))
                got = await everything(client)
                assert got.count(b"HTTP/1.1 200 OK") == (1 if end == "silent" else 2)
                assert served.seen[-1].headers[b"req-id"] == b"77"

    run(test())


@pytest.mark.parametrize("answers", [False, True])
def test_a_connection_that_is_closed_over_a_reset_says_nothing_and_is_gone(answers: bool) -> None:
    async def test() -> None:
        problems: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: problems.append(context))
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            with peer(node) as client:
                connection = await accepted(node)
                if not answers:
                    client.sendall(request())
                    await until(lambda: served.seen and connection.idle)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if answers:
                connection._reject(BadRequest(400))
            else:
                connection.close()
            await until(lambda: not len(node.frontend))
            assert not problems

    run(test())


@pytest.mark.parametrize("stopping", [False, True])
def test_a_client_that_never_ends_its_side_lingers_for_a_short_time(stopping: bool) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            if stopping:
                node.frontend.wind_down()
            most = LINGER_STOPPING if stopping else LINGER
            with peer(node) as client:
                connection = await accepted(node)
                client.sendall(b"nonsense\r\n\r\n")
                await until(lambda: connection._shut)
                closed = node.frontend.now()
                node.frontend.now = lambda: closed + 0.9 * most
                node.frontend._sweep()
                assert not connection._transport.is_closing()  # type: ignore[union-attr]
                client.sendall(b"x")  # whatever it sends gives it no more time
                await until(lambda: connection._dropped)
                node.frontend.now = lambda: closed + 1.1 * most
                node.frontend._sweep()
                await until(lambda: not len(node.frontend))
                assert ends_whole(await everything(client), b"400", b"malformed request\n")

    run(test())


def test_connections_that_linger_count_and_the_oldest_make_room_first() -> None:
    """Each newcomer had another one closed, the same one too, and what lingered came on top of the share."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial, limits={"sockets": 19}) as node:
            assert node.config.clients_most == 7
            node.frontend.now = lambda: 0.0  # so no connection has waited yet
            held: list[ClientConnection] = []
            opened, most = node.frontend.opened, 0

            def watched(connection: ClientConnection) -> None:
                nonlocal most
                held.append(connection)
                opened(connection)
                most = max(most, len(node.frontend))

            async def come(n: int, client: socket.socket) -> None:
                client.sendall((b"nonsense\r\n\r\n", request(), b"")[n % 3])
                await until(lambda: len(held) > n)
                if n % 3 < 2:
                    await until(lambda: held[n]._shut or (held[n].proven and held[n].idle))

            node.frontend.opened = watched  # type: ignore[method-assign]
            with contextlib.ExitStack() as clients:
                for n in range(60):  # none of them ends its side, each third one sends no request
                    await come(n, clients.enter_context(peer(node)))
                lingering = [c for c in held if c._shut and c._transport is not None]
                assert most <= 7 + 2 and len(lingering) <= 3
                # The newest that linger are still there, and no other has gone before them.
                assert lingering == [c for c in held if c._shut][-len(lingering) :]
                assert sum(c._transport is not None for c in held) == len(node.frontend)
            await until(lambda: not len(node.frontend))

    run(test())


def test_of_what_a_closed_connection_still_sends_a_part_is_read() -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            with peer(node) as client:
                connection = await accepted(node)
                client.sendall(b"nonsense\r\n\r\n")
                client.setblocking(False)
                loop = asyncio.get_running_loop()
                flood = asyncio.ensure_future(loop.sock_sendall(client, b"x" * 60_000_000))
                await until(lambda: connection._paused)
                assert LINGER_MOST < connection._dropped < 2 * LINGER_MOST and not connection._buffer
                assert (await loop.sock_recv(client, 65536)).startswith(b"HTTP/1.1 400 ")
                sweep(node, LINGER + 1)
                with pytest.raises(ConnectionError):
                    await flood
                assert not len(node.frontend)
            assert UNREAD > LINGER  # the other limit on who does not read

    run(test())

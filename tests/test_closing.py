"""How the sidecar ends connections of clients: no answer is cut off, nothing that comes late is sent on."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Any

import pytest

import tests.sidecar.harness
from balancer.sidecar.downstream.connection import MAX_DISCARDED_BYTES_LINGERING, DownstreamConnection
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from balancer.sidecar.http_request import HttpRequestError
from tests.sidecar.harness import (
    Endpoint,
    Seen,
    Sidecar,
    always_ok,
    configuration,
    dead_dial,
    endpoint,
    entry,
    ok,
    request,
    run,
)
from tests.test_program import connect, start

LAST = b"Connection: close\r\n"


# Sweeps come when a test makes one, at the time that it says.
TIMEOUTS = DownstreamTimeouts(sweep_interval_seconds=1e6)
sidecar = partial(tests.sidecar.harness.sidecar, timeouts=TIMEOUTS)


async def until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0)


@contextlib.contextmanager
def peer(node: Sidecar) -> Iterator[socket.socket]:
    """A client whose bytes have reached the sidecar's socket before the loop turns."""
    with socket.create_connection(("127.0.0.1", node.port)) as client:
        yield client


async def accepted(node: Sidecar) -> DownstreamConnection:
    await until(lambda: node.listener._connections._without_request)
    return next(reversed(node.listener._connections._without_request))


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
    now = node.listener.now_seconds() + seconds
    node.listener.now_seconds = lambda: now
    node.listener.sweep()


MORE = [b"x" * 3_000, request(), b"x" * 200_000]


@pytest.mark.parametrize("more", MORE, ids=["bytes", "a request", "many bytes"])
@pytest.mark.parametrize("end", ["rejected", "last", "late", "idle", "stopping", "evicted"])
def test_bytes_that_come_after_the_end_neither_reset_the_connection_nor_go_on(
    end: str, more: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close over them was a reset."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial, limits={"sockets": 3}) as node:
            assert node.config.max_downstream_connections == 1
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
                    await until(lambda: not connection._reader.is_empty)
                    sweep(node, 10)
                    want = b"408", b"Request Timeout\n"
                else:
                    client.sendall(request())
                    await until(lambda: served.seen and connection.is_idle)
                    want = b"200", b"done"
                    if end == "idle":
                        sweep(node, TIMEOUTS.idle_seconds + 1)
                    elif end == "stopping":
                        node.listener.begin_draining()
                        node.listener.close_idle_connections()
                    else:
                        second = socket.create_connection(("127.0.0.1", node.port))
                await until(lambda: not connection.accepts_requests and not connection.has_pending_responses)
                seen = len(served.seen)
                client.sendall(more)
                await until(lambda: connection._discarded_bytes >= len(more) or not connection.is_connected)
                assert ends_whole(await everything(client), *want)
                assert len(served.seen) == seen
            if end == "evicted":
                second.close()
            await until(lambda: not len(node.listener))

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
                await until(lambda: not connection.accepts_requests and not connection.has_pending_responses)
                client.sendall(b"x" * 1_000)
                assert ends_whole(await everything(client), b"200", body)

    run(test())


@pytest.mark.parametrize("end", ["idle", "stopping", "silent", "evicted"])
def test_a_request_that_came_before_the_close_and_is_not_read_yet_is_answered(end: str) -> None:
    """It was thrown away with the connection, a reset one. The loop had not turned since it came."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial, limits={"sockets": 6}) as node:
            assert node.config.max_downstream_connections == 2
            with peer(node) as client:
                connection = await accepted(node)
                if end != "silent":
                    client.sendall(request())
                    await until(lambda: served.seen and connection.is_idle)
                client.sendall(request(rid="77", extra=LAST))
                if end == "idle":
                    sweep(node, TIMEOUTS.idle_seconds + 1)
                elif end == "silent":
                    sweep(node, TIMEOUTS.first_byte_seconds + 1)
                elif end == "stopping":
                    node.listener.begin_draining()
                    node.listener.close_idle_connections()
                else:
                    node.listener.now_seconds = lambda: 0.0  # so no newcomer has waited yet
                    for _ in range(2):
                        node.listener.on_connection_opened(DownstreamConnection(node.listener))
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
                    await until(lambda: served.seen and connection.is_idle)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if answers:
                connection._reject(HttpRequestError(HTTPStatus.BAD_REQUEST))
            else:
                connection.close()
            await until(lambda: not len(node.listener))
            assert not problems

    run(test())


@pytest.mark.parametrize("stopping", [False, True])
def test_a_client_that_never_ends_its_side_lingers_for_a_short_time(stopping: bool) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial) as node:
            if stopping:
                node.listener.begin_shutdown()
            most = TIMEOUTS.linger_shutdown_seconds if stopping else TIMEOUTS.linger_seconds
            with peer(node) as client:
                connection = await accepted(node)
                client.sendall(b"nonsense\r\n\r\n")
                await until(lambda: connection.is_lingering)
                closed = node.listener.now_seconds()
                node.listener.now_seconds = lambda: closed + 0.9 * most
                node.listener.sweep()
                assert connection._transport.is_open()
                client.sendall(b"x")  # whatever it sends gives it no more time
                await until(lambda: connection._discarded_bytes)
                node.listener.now_seconds = lambda: closed + 1.1 * most
                node.listener.sweep()
                await until(lambda: not len(node.listener))
                assert ends_whole(await everything(client), b"400", b"malformed request\n")

    run(test())


def test_connections_that_linger_count_and_the_oldest_make_room_first() -> None:
    """Each newcomer had another one closed, the same one too, and what lingered came on top of the share."""

    async def test() -> None:
        async with endpoint(always_ok) as served, sidecar(served.dial, limits={"sockets": 19}) as node:
            assert node.config.max_downstream_connections == 7
            node.listener.now_seconds = lambda: 0.0  # so no connection has waited yet
            held: list[DownstreamConnection] = []
            opened, most = node.listener.on_connection_opened, 0

            def watched(connection: DownstreamConnection) -> None:
                nonlocal most
                held.append(connection)
                opened(connection)
                most = max(most, len(node.listener))

            async def come(n: int, client: socket.socket) -> None:
                client.sendall((b"nonsense\r\n\r\n", request(), b"")[n % 3])
                await until(lambda: len(held) > n)
                if n % 3 < 2:
                    await until(
                        lambda: held[n].is_lingering or (held[n].has_sent_request and held[n].is_idle)
                    )

            node.listener.on_connection_opened = watched  # type: ignore[method-assign]
            with contextlib.ExitStack() as clients:
                for n in range(60):  # none of them ends its side, each third one sends no request
                    await come(n, clients.enter_context(peer(node)))
                lingering = [c for c in held if c.is_lingering and c.is_connected]
                assert most <= 7 + 2 and len(lingering) <= 3
                # The newest that linger are still there, and no other has gone before them.
                assert lingering == [c for c in held if c.is_lingering][-len(lingering) :]
                assert sum(c.is_connected for c in held) == len(node.listener)
            await until(lambda: not len(node.listener))

    run(test())


def test_closed_connections_whose_answers_are_left_unread_stay_within_the_share() -> None:
    """One of them was closed anew for each newcomer, which made no room."""

    async def test() -> None:
        async def script(seen: Seen) -> bytes:
            return ok(b"x" * 1_000_000)

        async with endpoint(script) as served, sidecar(served.dial, limits={"sockets": 19}) as node:
            assert node.config.max_downstream_connections == 7
            node.dispatcher.upstream.buffer_budget.max_bytes = 1 << 30

            async def ask(client: socket.socket) -> None:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect(("127.0.0.1", node.port))
                asked = len(served.seen)
                client.sendall(b"".join([request() for _ in range(7)]) + request(extra=LAST))
                await until(lambda: len(served.seen) >= asked + 8 and not node.dispatcher.ledger.in_flight)

            with contextlib.ExitStack() as clients:
                for _ in range(30):
                    await ask(clients.enter_context(socket.socket()))
                    assert len(node.listener) <= 7 + 2
            await until(lambda: not len(node.listener))

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
                await until(lambda: connection._transport.is_reading_paused)
                assert (
                    MAX_DISCARDED_BYTES_LINGERING
                    < connection._discarded_bytes
                    < 2 * MAX_DISCARDED_BYTES_LINGERING
                )
                assert connection._reader.is_empty
                assert (await loop.sock_recv(client, 65536)).startswith(b"HTTP/1.1 400 ")
                sweep(node, TIMEOUTS.linger_seconds + 1)
                with pytest.raises(ConnectionError):
                    await flood
                assert not len(node.listener)
            # The other limit on who does not read.
            assert TIMEOUTS.unread_response_seconds > TIMEOUTS.linger_seconds

    run(test())


# ---- the program under a flood, with few descriptors

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
SOCKETS = 256


def descriptors(process: asyncio.subprocess.Process) -> set[int]:
    return {int(entry.name) for entry in Path(f"/proc/{process.pid}/fd").iterdir()}


def may_hold(most: int) -> Callable[[], None]:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


@contextlib.asynccontextmanager
async def listing(listen: str, *dials: str) -> AsyncIterator[Endpoint]:
    """Discovery at an address that was dead before, with one change to tell."""
    hosts = [entry(f"s-{i}", dial) for i, dial in enumerate(dials)]

    async def script(seen: Seen) -> bytes:
        if b"from=2&" in seen.line:
            await asyncio.Event().wait()
        return ok(json.dumps({"seq": 2, "whole": True, "hosts": hosts}).encode())

    discovery = Endpoint(script)
    host, _, port = listen.rpartition(":")
    server = await asyncio.start_server(discovery._serve, host, int(port))
    try:
        yield discovery
    finally:
        server.close()


@contextlib.asynccontextmanager
async def flooded(
    tmp_path: Path, listen: str, discovery: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, list[socket.socket]]]:
    """A sidecar that was started with no list, discovery down, and more clients than it may have descriptors,
    most of which never ask."""
    file = tmp_path / "config.json"
    told = configuration(listen=listen, discovery=discovery, limits={"sockets": SOCKETS, "memory_mb": 64})
    file.write_text(json.dumps(told))
    process = await start(file, preexec_fn=may_hold(SOCKETS))
    host, _, port = listen.rpartition(":")
    with contextlib.ExitStack() as clients:
        (await connect(listen)).writer.close()
        held = []
        for n in range(2 * SOCKETS):
            client = clients.enter_context(socket.create_connection((host, int(port))))
            held.append(client)
            client.sendall((b"", request()[:-2], UP, b"", b"nonsense\r\n\r\n", request())[n % 6])
            assert len(descriptors(process)) < SOCKETS
            await asyncio.sleep(0)
        yield process, held
    process.terminate()
    assert await process.wait() == 0


def test_clients_that_fill_their_share_keep_neither_discovery_nor_servers_nor_others_out(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        listen, discovery = dead_dial(), dead_dial()
        async with endpoint(always_ok) as served, flooded(tmp_path, listen, discovery) as (process, _):
            assert (await (await connect(listen)).ask(request()))[0] == 503
            async with listing(discovery, served.dial) as told:
                await told.arrived.wait()
                code = 503
                while code == 503:  # the list is on its way
                    code = (await (await connect(listen)).ask(request("post")))[0]
                assert code == 200 and len(served.seen) == 1
                assert len(descriptors(process)) < SOCKETS

    run(test())


def test_a_sidecar_with_no_list_is_ready_after_a_short_time_and_refuses() -> None:
    """Where it was started with an empty list and discovery was down, it never was."""

    async def test() -> None:
        async with sidecar() as node:
            client, began = await node.client(), node.listener.started_at_seconds
            unlisted = TIMEOUTS.first_endpoint_list_seconds
            for seconds, code in ((0.0, 503), (unlisted - 0.001, 503), (unlisted, 200)):
                node.listener.now_seconds = lambda now=began + seconds: now  # type: ignore[misc]
                assert (await client.ask(UP))[0] == code
            assert (await client.ask(request("post")))[0] == 503
            assert not node.dispatcher.ledger.in_flight

    run(test())


def test_a_sidecar_with_an_old_list_is_ready_at_once_though_discovery_is_down(tmp_path: Path) -> None:
    async def test() -> None:
        listen, file = dead_dial(), tmp_path / "config.json"
        file.write_text(json.dumps(configuration(dead_dial(), listen=listen)))
        process = await start(file)
        client = await connect(listen)
        assert (await client.ask(UP))[0] == 200
        assert (await client.ask(request("post")))[0] == 503  # nothing listens at its only address
        client.writer.close()
        process.terminate()
        assert await process.wait() == 0

    run(test())


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_sidecar_comes_back_at_its_address_though_connections_of_the_last_one_are_not_over(
    tmp_path: Path, number: signal.Signals
) -> None:
    async def test() -> None:
        async with endpoint(always_ok) as served:
            listen, file = dead_dial(), tmp_path / "config.json"
            file.write_text(json.dumps(configuration(served.dial, listen=listen)))
            kept = []
            for _ in range(3):
                process = await start(file)
                idle, last = await connect(listen), await connect(listen)
                kept += [last] if number == signal.SIGTERM else [idle, last]
                assert (await idle.ask(request()))[0] == 200
                assert (await last.ask(request(extra=LAST)))[0] == 200 and await last.ended()
                if number == signal.SIGTERM:
                    idle.writer.close()
                process.send_signal(number)
                await process.wait()

    run(test())


def test_a_sidecar_that_starts_under_a_flood_with_no_list_and_discovery_down_gets_ready(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        listen = dead_dial()
        async with flooded(tmp_path, listen, dead_dial()):
            code = 503
            while code != 200:
                client = await connect(listen)
                with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                    code = (await client.ask(UP))[0]
                client.writer.close()
                await asyncio.sleep(0.01)
            assert (await (await connect(listen)).ask(request()))[0] == 503

    run(test())


def test_with_no_descriptor_left_the_listener_lives_and_shuts_new_connections_unread(tmp_path: Path) -> None:
    async def test() -> None:
        listen, discovery = dead_dial(), dead_dial()
        async with endpoint(always_ok) as served:
            file = tmp_path / "config.json"
            file.write_text(json.dumps(configuration(served.dial, listen=listen, discovery=discovery)))
            process = await start(file, stderr=asyncio.subprocess.PIPE)
            kept = await connect(listen)
            assert (await kept.ask(request()))[0] == 200
            _, hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
            held = descriptors(process)
            first_free = next(n for n in itertools.count() if n not in held)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (first_free, hard))
            clients, shut = [], 0
            for _ in range(40):  # a few may find one that another has left
                clients.append(await connect(listen))
                try:
                    assert (await clients[-1].ask(request()))[0] in (200, 503)
                except (ConnectionError, asyncio.IncompleteReadError):
                    shut += 1
            assert shut > 30
            assert (await kept.ask(request()))[0] == 200
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, hard))
            async with listing(discovery, served.dial) as told:
                await told.arrived.wait()
                assert (await (await connect(listen)).ask(request()))[0] == 200
            process.terminate()
            kept.writer.close()
            assert await process.wait() == 0
            assert process.stderr is not None and await process.stderr.read() == b""

    run(test())

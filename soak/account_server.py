"""An account server that stands behind a fault proxy and misbehaves on request."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import cast

from soak.deployment import Deployment
from soak.fault_proxy import FaultProxy, Ingress, reset_transport
from soak.history import Attempt, EndOfAttempt, HarnessClock, History, ServerLife

CORES = 2
SLOW_FACTOR = 8.0
"""By which a slow server is slower."""
MAX_SECOND_ANSWER_DELAY_SECONDS = 0.003
"""A second answer comes some milliseconds late at most."""
MAX_FILLER_BYTES = 6000
FILLER = "x"
SECOND_ANSWER_MARK = "y"
"""Stands in a second answer where the first has its filler."""


class ServerFault(StrEnum):
    """How a server misbehaves."""

    NONE = "none"
    HANG = "hangs"
    SLOW = "is slow"
    ERROR = "answers 500"
    DECLINE = "declines"
    RESET = "resets after it has read a request"
    GARBAGE = "answers garbage"
    TRUNCATED = "closes within its answer"
    SECOND_ANSWER = "sends a second answer"
    NO_LENGTH = "answers with no length and closes"
    CLOSE_IDLE = "closes after each answer without a word"


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """What the endpoint list says of a server."""

    name: str
    zone: str
    cell: int
    host: str
    """The loopback address at which its proxy listens."""


class _ServerConnection(asyncio.Protocol):
    """One connection from the proxy: one request at a time."""

    def __init__(self, server: AccountServer, number: int) -> None:
        self._server = server
        self._number = number
        self._buffer = b""
        self._consumed_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._attempt: Attempt | None = None
        self._known_ingress: Ingress | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Serve a request once it is whole."""
        self._buffer += data
        while self._attempt is None:
            size = _size_of_request(self._buffer)
            if size is None or len(self._buffer) < size:
                return
            message, self._buffer = self._buffer[:size], self._buffer[size:]
            began_byte = self._consumed_bytes + 1
            self._consumed_bytes += size
            self._serve(message, began_byte)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the attempt that is in work."""
        self._server.connections.discard(self)
        ingress = self._ingress()
        was_abandoned = ingress is not None and ingress.closed_at is not None and ingress.broken_at is None
        self._end_attempt(EndOfAttempt.ABANDONED if was_abandoned else EndOfAttempt.BROKEN)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_transport(self._transport)

    def _ingress(self) -> Ingress | None:
        if self._known_ingress is None and self._transport is not None:
            peer = self._transport.get_extra_info("peername")
            self._known_ingress = self._server.proxy.ingress_of(peer[1]) if peer else None
        return self._known_ingress

    def _serve(self, message: bytes, began_byte: int) -> None:
        fields = _fields(message)
        if message.startswith((b"GET /alive", b"GET /metrics/load")):
            self._write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        now = self._server.clock.now()
        ingress = self._ingress()
        began_at = ingress.time_of_byte(began_byte) if ingress else now
        whole_at = ingress.time_of_byte(self._consumed_bytes) if ingress else now
        self._attempt = Attempt(
            request_id=fields.get("req-id", ""),
            server=self._server.identity.name,
            connection=self._number,
            began_at=began_at,
            whole_at=whole_at,
            told_seconds=float(fields.get("req-deadline", "nan")),
        )
        self._server.history.attempts.append(self._attempt)
        self._begin_answer()

    def _begin_answer(self) -> None:
        fault = self._server.fault
        if fault == ServerFault.HANG:
            return
        if fault == ServerFault.RESET:
            self.abort()
            return
        if fault == ServerFault.DECLINE:
            self._write(b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            self._end_attempt(EndOfAttempt.DECLINED)
            return
        self._server.work_queue.add(self._answer)

    def _answer(self) -> None:
        attempt = self._attempt
        if attempt is None or self._transport is None or self._transport.is_closing():
            return
        filler = FILLER * self._server.random.randrange(MAX_FILLER_BYTES)
        attempt.body = f"{attempt.request_id} {self._server.next_execution()} {filler}"
        self._send_answer(attempt.body.encode())

    def _send_answer(self, body: bytes) -> None:
        fault = self._server.fault
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if fault == ServerFault.ERROR:
            self._write(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
        elif fault == ServerFault.GARBAGE:
            self._write(b"HTTP/9 garbage\x00\r\n")
        elif fault == ServerFault.TRUNCATED:
            self._write(whole[: len(whole) // 2])
            self._close()
        elif fault == ServerFault.NO_LENGTH:
            self._write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            self._close()
        else:
            self._write(whole)
            if fault == ServerFault.SECOND_ANSWER:
                late = whole.replace(FILLER.encode(), SECOND_ANSWER_MARK.encode())
                delay = self._server.random.random() * MAX_SECOND_ANSWER_DELAY_SECONDS
                now = self._server.clock.now()
                self._server.loop.call_later(delay, self._write_second_answer, late, now)
            elif fault == ServerFault.CLOSE_IDLE:
                self._close()
        self._end_attempt(EndOfAttempt.ANSWERED)
        self.data_received(b"")

    def _write_second_answer(self, data: bytes, first_at: float) -> None:
        """Write it unless the harness is late: then it would come later than the terms say."""
        if self._server.clock.now() - first_at <= 2 * MAX_SECOND_ANSWER_DELAY_SECONDS:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _end_attempt(self, end: EndOfAttempt) -> None:
        if self._attempt is None:
            return
        ingress = self._ingress()
        known_ends = (ingress.closed_at, ingress.broken_at) if ingress is not None else ()
        ends = [at for at in known_ends if at is not None]
        self._attempt.end = end
        self._attempt.ended_at = min([self._server.clock.now(), *ends])
        self._attempt = None


class WorkQueue:
    """What a server has to do, on a few cores; cold or slow, each piece of work takes longer."""

    def __init__(self, server: AccountServer) -> None:
        self._server = server
        self._waiting: deque[Callable[[], None]] = deque()
        self._busy_cores = 0

    def add(self, finish: Callable[[], None]) -> None:
        """Do a piece of work once a core is free, and call `finish` then."""
        self._waiting.append(finish)
        self._begin_work()

    def _begin_work(self) -> None:
        while self._waiting and self._busy_cores < CORES:
            self._busy_cores += 1
            finish = self._waiting.popleft()
            self._server.loop.call_later(self._server.draw_service_seconds(), self._end_work, finish)

    def _end_work(self, finish: Callable[[], None]) -> None:
        self._busy_cores -= 1
        finish()
        self._begin_work()


class AccountServer:
    """One account server with its proxy; it can be stopped and started again, as another process."""

    def __init__(
        self,
        identity: ServerIdentity,
        deployment: Deployment,
        clock: HarnessClock,
        history: History,
        random: Random,
    ) -> None:
        self.identity = identity
        self._deployment = deployment
        self.clock = clock
        self.history = history
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.proxy = FaultProxy(clock, random, identity.host)
        self.fault = ServerFault.NONE
        self.connections: set[_ServerConnection] = set()
        self.life: ServerLife | None = None
        self.work_queue = WorkQueue(self)
        self.born_ms = 0
        self._listener: asyncio.Server | None = None
        self._connection_count = 0
        self._execution_count = 0

    async def start(self, is_cold: bool) -> None:
        """Start the process, cold or as one that has run for long."""
        self._listener = await self.loop.create_server(self._make_connection, "127.0.0.1", 0)
        self.proxy.backend = self._listener.sockets[0].getsockname()[:2]
        await self.proxy.start()
        self.work_queue = WorkQueue(self)
        now = self.clock.now()
        self.born_ms = self.clock.wall_time_ns() // 1_000_000 if is_cold else 0
        self.life = ServerLife(
            self.identity.name, self.identity.zone, self.identity.cell, now, is_cold, is_healthy_since=now
        )
        self.history.servers.append(self.life)

    def stop(self) -> None:
        """End the process: its connections are reset and new ones refused."""
        self.proxy.stop()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()
        if self.life is not None:
            self.life.ended_at = self.clock.now()
            self.life = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.life is not None

    def note_fault_over(self) -> None:
        """Note that the server is in order from now on."""
        if self.life is not None:
            self.life.is_healthy_since = self.clock.now()

    def draw_service_seconds(self) -> float:
        """Draw how long one request takes on one core now."""
        mean = CORES / self._deployment.server_requests_per_second
        if self.life is not None and self.life.is_cold:
            mean /= self._deployment.warmth(self.clock.now() - self.life.started_at)
        if self.fault == ServerFault.SLOW:
            mean *= SLOW_FACTOR
        return self.random.expovariate(1 / mean)

    def next_execution(self) -> str:
        """Return a name for an execution, which stands in the body of its answer."""
        self._execution_count += 1
        return f"{self.identity.name}-{self._execution_count}"

    def _make_connection(self) -> _ServerConnection:
        self._connection_count += 1
        return _ServerConnection(self, self._connection_count)


def _size_of_request(data: bytes) -> int | None:
    """Return the size of the first request in bytes, or None if its head is not whole."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    return end + 4 + int(_fields(data[: end + 4]).get("content-length", "0"))


def _fields(message: bytes) -> dict[str, str]:
    head = message.partition(b"\r\n\r\n")[0].decode("latin-1")
    pairs = (line.partition(":") for line in head.split("\r\n")[1:])
    return {name.strip().lower(): value.strip() for name, _, value in pairs}

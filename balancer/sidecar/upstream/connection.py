"""Connections to endpoints: pools, attempts, probes, and what became of them."""

from __future__ import annotations

import asyncio
import errno
import os
import re
import select
import socket
from collections.abc import Callable, Iterable
from typing import cast

import httptools

from balancer.policy_api import AttemptOutcome, EndpointHealth, EndpointId, HealthCheckCompleted
from balancer.sidecar.configuration import SECOND, Address, DiscoveredEndpoint, SidecarConfiguration
from balancer.sidecar.http_message import MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES, Headers, HttpResponse
from balancer.sidecar.sockets import shut_down_socket

PROBE_TIMEOUT = 0.5
IDLE_SHARE = 0.9  # a connection idle for this share of the endpoint's limit is not used again
# A surplus connection, left by a burst, is closed once idle for so long. Each takes a part of the endpoint's
# capacity; a new handshake costs as much work as holding one for two to six seconds.
SURPLUS_IDLE = 4 * SECOND

# A second answer may come some milliseconds after the first: taken for that of a request written meanwhile,
# it would be served, or say that the request never ran. So a connection rests before its next request.
CONNECTION_REST_NS = SECOND // 125

_NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,15})?(?:e-[0-9]{1,2})?", re.ASCII)

NOT_THE_REQUEST = frozenset((408, 425, 429))  # answers of this range that speak of the moment

# What a failure to connect says of this machine, not of the endpoint.
OWN_LACK = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class BufferBudget:
    """What the bodies of answers under way take, together."""

    def __init__(self, most: int) -> None:
        self.max_bytes = most
        self.used_bytes = 0


class UpstreamConnection(asyncio.Protocol):
    """One HTTP/1.1 client connection; it carries a request at a time and never sends one again by itself."""

    def __init__(
        self, on_lost: Callable[[UpstreamConnection], None] | None = None, store: BufferBudget | None = None
    ) -> None:
        self._on_lost = on_lost
        self._store = store or BufferBudget(MAX_RESPONSE_BODY_BYTES)
        self._held = 0  # of the store
        self.is_established = False
        self._transport: asyncio.Transport | None = None
        self._done: Callable[[HttpResponse | None], None] | None = None
        self._fd = -1
        self._poll = select.poll()
        self._answer: HttpResponse | None = None
        self._junk = False
        self._unframed = False  # the answer ends with its connection
        self._raw = 0  # bytes of the answer so far
        self.address: Address | None = None  # of the endpoint
        self.idle_since_ns = 0
        self.max_body_bytes = MAX_RESPONSE_BODY_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports have the methods but are no subclasses of asyncio's: nothing to check by type.
        self._transport = cast(asyncio.Transport, transport)
        self.is_established = True
        self._fd = self._transport.get_extra_info("socket").fileno()
        self._poll.register(self._fd, select.POLLIN)

    def is_reusable(self) -> bool:
        """Whether a request may go out here: open, nothing under way, nothing sent by the peer.

        The peer's end of the connection may lie unread in the kernel. A request written after it would be
        lost as a reset, which may have run, so the socket itself is asked.
        """
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll.poll(0)

    @property
    def response_started(self) -> bool:
        """Whether anything of the answer to the last request has come."""
        return self._raw > 0

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of the request is not written yet: ended now, it never runs."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def send(self, data: bytes, done: Callable[[HttpResponse | None], None]) -> bool:
        """Write a request. False: its last byte surely did not go out. Else `done` gets the answer, once, or
        None if the connection broke.

        The write goes to the socket itself, as the transport would not tell how much the kernel took.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        self._parser = httptools.HttpResponseParser(self)
        self._answer, self._junk, self._unframed = None, False, False
        self._status = self._size = self._raw = 0
        self._in_head = True
        self._headers: Headers = []
        self._chunks: list[bytes] = []
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.close()
            return False
        self._done = done
        if written < len(data):
            transport.write(data[written:])  # from here on a break counts as may-have-run
        return True

    def close(self) -> None:
        if self._done is not None and self._transport is not None and not self._transport.is_closing():
            # The loop closes the socket in its next turn only. A further attempt may be written before that,
            # and two would be out at once: this one ends now.
            shut_down_socket(self._fd, socket.SHUT_RDWR)
        self._done = None
        self._finish(None, False)

    def data_received(self, data: bytes) -> None:
        if self._done is None:
            self.close()  # an answer that nobody asked for
            return
        # The parser keeps an unfinished header and skips chunk extensions unseen: raw bytes are counted.
        self._raw += len(data)
        try:
            self._parser.feed_data(data)
            self._junk |= self._raw > (
                MAX_HEAD_BYTES if self._in_head else MAX_HEAD_BYTES + 2 * self.max_body_bytes
            )
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._junk = True
        if self._answer is not None:
            # Bytes past the end of the answer make the connection unfit, not the answer.
            self._finish(self._answer, self._keep and not self._junk)
        elif self._junk:
            self._finish(None, False)

    def eof_received(self) -> None:
        """The peer's end of the connection; the transport closes after this. A reset does not come here, but
        it may have followed at once."""
        if self._unframed and not any(flags & select.POLLERR for _, flags in self._poll.poll(0)):
            self._finish(HttpResponse(self._status, self._headers, b"".join(self._chunks)), False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._finish(None, False)
        if self._on_lost is not None:
            self._on_lost(self)

    def _finish(self, answer: HttpResponse | None, keep: bool) -> None:
        done, self._done = self._done, None
        self._store.used_bytes -= self._held
        self._held = 0
        if not keep and self._transport is not None:
            if done is not None and not self._transport.is_closing():
                shut_down_socket(
                    self._fd, socket.SHUT_RDWR
                )  # a further attempt may go out at once: see `close`
            self._transport.abort()
        if done is not None:
            done(answer)

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        if self._answer is not None:
            self._junk = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value), MAX_HEAD_BYTES)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._status, self._size = self._parser.get_status_code(), 0
        if self._status < 200 or self._answer is not None:
            return
        self._in_head = False
        told = [value for name, value in self._headers if name in (b"content-length", b"transfer-encoding")]
        # Refused at the head: an answer of 3 GB, and one whose length is told twice.
        if len(told) > 1 or (told and told[0].isdigit() and int(told[0]) > self.max_body_bytes):
            raise ValueError("an answer too long, or of two lengths")
        if told or self._status in (204, 304):
            return
        # With no length it ends with the connection (RFC 9112, 6.3). Where only the head counts, that is not
        # waited for: it may never come.
        if self._status == 200:
            self._unframed = True
        else:
            self._answer, self._keep = HttpResponse(self._status, self._headers, b""), False

    def on_body(self, body: bytes) -> None:
        self._grow(len(body), self.max_body_bytes)
        self._held += len(body)
        self._store.used_bytes += len(body)
        if self._store.used_bytes > self._store.max_bytes:
            raise ValueError("no room for more of the answer")
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        if self._status < 200:  # an interim answer: the real one follows
            self._headers = []
        elif self._answer is None:
            self._answer = HttpResponse(self._status, self._headers, b"".join(self._chunks))
            # Asked after this callback, the parser has forgotten the length and always says no.
            self._keep = self._parser.should_keep_alive()

    def _grow(self, size: int, most: int) -> None:
        self._size += size
        if self._size > most:
            raise ValueError("answer too long")


class EndpointPool:
    """What is held to one endpoint."""

    __slots__ = ("address", "health", "idle_connections")

    def __init__(self, dial: Address, health: EndpointHealth) -> None:
        self.address, self.health = dial, health
        self.idle_connections: list[UpstreamConnection] = []


class Attempt:
    """A request on its way to an endpoint. It ends exactly once."""

    __slots__ = (
        "__weakref__",
        "_connect",
        "_connection",
        "_cut_off",
        "_done",
        "_freed",
        "_latest",
        "_payload",
        "_pool",
        "_upstream",
    )

    def __init__(
        self,
        upstream: UpstreamManager,
        pool: EndpointPool,
        payload: Callable[[], bytes],
        done: Callable[[AttemptOutcome, HttpResponse | None], None],
        latest: int,
    ) -> None:
        self._upstream, self._pool, self._payload, self._latest = upstream, pool, payload, latest
        self._done: Callable[[AttemptOutcome, HttpResponse | None], None] | None = done
        self._connection: UpstreamConnection | None = None
        self._connect: asyncio.Task[None] | None = None
        self._freed: Callable[[], None] | None = (
            None  # told when an attempt that outlived its request is over
        )
        self._cut_off: asyncio.TimerHandle | None = None

    def start(self) -> None:
        connection = self._upstream.acquire(self._pool)
        rest = 0.0 if connection is not None else self._upstream.seconds_until_rested(self._pool)
        if connection is not None:
            self._write(connection)
        elif rest > 0 or self._upstream.has_capacity():
            self._connect = self._upstream.loop.create_task(self._open(rest))
        else:
            self._end(
                AttemptOutcome.NOT_SENT, None
            )  # the lack of room is ours: it says nothing of the endpoint

    def abort(self, outcome: AttemptOutcome) -> None:
        """Stop waiting: the connection closes before anything else happens for the request."""
        if self._connect is not None:
            self._connect.cancel()
        if self._connection is not None:
            self._connection.close()
        self._end(outcome, None)

    def detach(self) -> None:
        """End it if nothing of it has been written. The pool gets the connection that comes up."""
        if self._connect is not None:
            self._upstream.background_attempts.add(self)
            done, self._done = self._done, None
            if done is not None:
                done(AttemptOutcome.NOT_SENT, None)

    def expire(self) -> None:
        """Its own time is over, which may find it while it still connects."""
        if self._connect is not None:
            self.detach()
        else:
            self.abort(AttemptOutcome.NOT_SENT if self._unsent() else AttemptOutcome.TIMEOUT)

    def continue_in_background(self, seconds: float, freed: Callable[[], None]) -> None:
        """Stop waiting as its request is over, but let the connection live if the answer comes in this time.

        Closed, it would cost the endpoint a handshake, about the work of a request, and the next request the
        time of it. `freed` is called once nothing of the attempt is out any more.
        """
        # Not written, it never ran. Nor does that speak against the endpoint: the connect has time left.
        unsent = self._unsent()
        outcome = AttemptOutcome.NOT_SENT if self._connect is not None or unsent else AttemptOutcome.TIMEOUT
        if self._cut_off is not None:
            self._cut_off.cancel()
        if self._connection is not None and (seconds <= 0 or unsent):
            self._connection.close()
        elif self._connection is not None:
            self._freed = freed
            self._cut_off = self._upstream.loop.call_later(seconds, self._give_up)
            self._upstream.background_attempts.add(self)
        elif self._connect is not None:  # the pool gets what comes up; nothing has been written
            self._upstream.background_attempts.add(self)
        done, self._done = self._done, None
        if done is not None:
            done(outcome, None)
        if self._freed is None:
            freed()

    def _unsent(self) -> bool:
        return self._connection is not None and self._connection.has_unsent_bytes

    def _too_late(self) -> None:
        if self._unsent():
            self.abort(AttemptOutcome.NOT_SENT)

    def _give_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._end(AttemptOutcome.TIMEOUT, None)

    async def _open(self, rest: float) -> None:
        """Wait for a connection: one that rests, which is cheaper than a handshake, else a new one."""
        ours, connection = False, None
        if rest > 0:
            await asyncio.sleep(rest + 0.001)  # the loop rounds to milliseconds
            if self._done is None:  # nobody waits any more: neither taken nor opened
                self._connect = None
                self._upstream.background_attempts.discard(self)
                return
            connection = self._upstream.acquire(self._pool)
            ours = connection is None and not self._upstream.has_capacity()
        if connection is None and not ours:
            connection, ours = await self._dial()
        self._connect = None
        if self._done is None:
            self._upstream.background_attempts.discard(self)
            if connection is not None:
                self._upstream.release(self._pool, connection)
        elif connection is None:
            self._end(AttemptOutcome.NOT_SENT if ours else AttemptOutcome.CONNECT_FAILED, None)
        elif self._pool.health != EndpointHealth.READY:
            # It began to drain or went while the connection came up: nothing new may go to it.
            connection.close()
            self._end(AttemptOutcome.CONNECT_FAILED, None)
        elif self._latest and self._upstream.now_ns() >= self._latest:
            self._upstream.release(self._pool, connection)
            self._end(AttemptOutcome.NOT_SENT, None)
        else:
            self._write(connection)

    async def _dial(self) -> tuple[UpstreamConnection | None, bool]:
        """A new connection, or None and whether the lack is ours. What comes of an address that the endpoint
        has left meanwhile says nothing of it: the new one is tried."""
        while True:
            dial, connection, ours = self._pool.address, None, False
            try:
                connection = await self._upstream.connect(self._pool)
            except OSError as problem:  # a time-out is one too
                ours = problem.errno in OWN_LACK
            if dial == self._pool.address:
                return connection, ours
            if connection is not None:
                connection.close()
            if self._done is None or self._pool.health != EndpointHealth.READY:
                return None, False
            if not self._upstream.has_capacity():
                return None, True

    def _write(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        if not connection.send(self._payload(), self._answered):
            self._end(AttemptOutcome.CONNECT_FAILED, None)
        elif self._latest and connection.has_unsent_bytes:  # its last byte must not go out later either
            seconds = max(0, self._latest - self._upstream.now_ns()) / SECOND
            self._cut_off = self._upstream.loop.call_later(seconds, self._too_late)

    def _answered(self, answer: HttpResponse | None) -> None:
        if self._connection is not None and answer is not None:
            self._upstream.release(self._pool, self._connection)
        self._end(outcome_of_response(answer), answer)

    def _end(self, outcome: AttemptOutcome, answer: HttpResponse | None) -> None:
        done, self._done = self._done, None
        freed, self._freed = self._freed, None
        self._connection = self._connect = None
        self._upstream.background_attempts.discard(self)
        if self._cut_off is not None:
            self._cut_off.cancel()
            self._cut_off = None
        if done is not None:
            done(outcome, answer)
        if freed is not None:
            freed()


def outcome_of_response(answer: HttpResponse | None) -> AttemptOutcome:
    """What is not plainly declined or served may have run."""
    if answer is None:
        return AttemptOutcome.CONNECTION_RESET
    if answer.status == 200:
        return AttemptOutcome.SUCCESS
    if answer.status in (503, 504) and answer.header(b"srv-declined") == b"1":
        return AttemptOutcome.REJECTED
    if 400 <= answer.status < 500 and answer.status not in NOT_THE_REQUEST:
        return AttemptOutcome.CLIENT_ERROR
    return AttemptOutcome.SERVER_ERROR


class UpstreamManager:
    def __init__(
        self, config: SidecarConfiguration, loop: asyncio.AbstractEventLoop, now: Callable[[], int]
    ) -> None:
        self.loop, self.now_ns = loop, now
        self._idle_most = int(config.connection_idle_timeout_ns * IDLE_SHARE)
        self._connect_timeout = config.connect_timeout_ns / SECOND
        self._fields = config.settings.load_report_fields
        path = "/metrics/load" if config.load_reports_enabled else "/alive"
        self._probe = f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode()
        self._most = config.max_upstream_connections
        self._store = BufferBudget(config.memory_limit_bytes // 4)
        self._open = 0
        self._pools: dict[EndpointId, EndpointPool] = {}
        self._probes: set[Attempt] = set()
        self.background_attempts: set[Attempt] = set()  # those whose request is over

    # ---- the list

    def update_endpoints(self, hosts: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        """Take up the list before the decisions see it, so that connections on their way up see a drain."""
        named = set()
        for host in hosts:
            named.add(host.endpoint.id)
            pool = self._pools.get(host.endpoint.id)
            if pool is None:
                self._pools[host.endpoint.id] = EndpointPool(host.address, host.endpoint.health)
                continue
            if pool.address != host.address:
                self._drop_idle(pool)
            pool.address, pool.health = host.address, host.endpoint.health
            if pool.health != EndpointHealth.READY:
                self._drop_idle(pool)
        if whole:
            for endpoint, pool in self._pools.items():
                if endpoint not in named:
                    pool.health = EndpointHealth.REMOVED
                    self._drop_idle(pool)
        self._pools = {
            key: pool for key, pool in self._pools.items() if pool.health != EndpointHealth.REMOVED
        }

    def close_idle_connections(self, endpoint: EndpointId) -> None:
        if (pool := self._pools.get(endpoint)) is not None:
            self._drop_idle(pool)

    def _drop_idle(self, pool: EndpointPool) -> None:
        idle, pool.idle_connections = pool.idle_connections, []
        for connection in idle:
            connection.close()

    # ---- attempts and probes

    def create_attempt(
        self,
        endpoint: EndpointId,
        payload: Callable[[], bytes],
        done: Callable[[AttemptOutcome, HttpResponse | None], None],
        latest: int = 0,
    ) -> Attempt | None:
        """A new attempt, not yet started; None where the endpoint wants nothing new. With its connection up
        only at the clock `latest` (0: none) or after it, it is not written."""
        pool = self._pools.get(endpoint)
        if pool is None or pool.health != EndpointHealth.READY:
            return None
        return Attempt(self, pool, payload, done, latest)

    def start_health_check(
        self, endpoint: EndpointId, on_completed: Callable[[HealthCheckCompleted], None]
    ) -> None:
        began = self.now_ns()

        def ended(outcome: AttemptOutcome, answer: HttpResponse | None) -> None:
            timer.cancel()
            self._probes.discard(attempt)
            if answer is not None and answer.status == 503:
                outcome = AttemptOutcome.REJECTED
            report = self.parse_load_report(answer, body=True)
            on_completed(HealthCheckCompleted(endpoint, outcome, self.now_ns() - began, report))

        attempt = self.create_attempt(endpoint, lambda: self._probe, ended)
        if attempt is None:
            on_completed(HealthCheckCompleted(endpoint, AttemptOutcome.CONNECT_FAILED, 0, ()))
            return
        self._probes.add(attempt)
        timer = self.loop.call_later(PROBE_TIMEOUT, attempt.abort, AttemptOutcome.TIMEOUT)
        attempt.start()

    def parse_load_report(self, answer: HttpResponse | None, body: bool = False) -> tuple[float, ...]:
        """The load report that came with an answer, in the order of the settings; () if there is none."""
        if answer is None or not self._fields:
            return ()
        text = answer.header(b"srv-load") or (answer.body if body and answer.status == 200 else b"")
        return parse_report(text, self._fields)

    # ---- connections

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room if need be."""
        if self._open < self._most:
            return True
        pools = [pool for pool in self._pools.values() if pool.idle_connections]
        if not pools:
            return False
        oldest = min(pools, key=lambda pool: pool.idle_connections[0].idle_since_ns)
        oldest.idle_connections.pop(0).close()
        return True

    def acquire(self, pool: EndpointPool) -> UpstreamConnection | None:
        """The most recently used idle connection that has rested and is still good; the others grow old and
        close."""
        now = self.now_ns()
        for at in range(len(pool.idle_connections) - 1, -1, -1):
            if pool.idle_connections[at].idle_since_ns > now - CONNECTION_REST_NS:
                continue
            connection = pool.idle_connections.pop(at)
            if connection.idle_since_ns > now - self._idle_most and connection.is_reusable():
                return connection
            connection.close()
        return None

    def seconds_until_rested(self, pool: EndpointPool) -> float:
        """In how many seconds the first idle connection will have rested; 0: none is idle."""
        return (
            min(
                (c.idle_since_ns + CONNECTION_REST_NS - self.now_ns() for c in pool.idle_connections),
                default=0,
            )
            / SECOND
        )

    def release(self, pool: EndpointPool, connection: UpstreamConnection) -> None:
        if (
            pool.health == EndpointHealth.READY
            and connection.address == pool.address
            and connection.is_reusable()
        ):
            connection.idle_since_ns = now = self.now_ns()
            pool.idle_connections.append(connection)
            # The newest is used first, so the surplus gathers at the old end; the last one stays.
            while pool.idle_connections[0].idle_since_ns < now - SURPLUS_IDLE:
                pool.idle_connections.pop(0).close()
        else:
            connection.close()

    async def connect(self, pool: EndpointPool) -> UpstreamConnection:
        """A new connection. It is counted until it is lost, which may be before this returns."""

        def lost(connection: UpstreamConnection) -> None:
            self._open -= 1
            if connection in pool.idle_connections:
                pool.idle_connections.remove(connection)

        connection = UpstreamConnection(lost, self._store)
        self._open += 1
        host, port = connection.address = pool.address
        try:
            async with asyncio.timeout(self._connect_timeout):
                await self.loop.create_connection(lambda: connection, host, port)
        except BaseException:
            if connection.is_established:
                connection.close()
            else:
                self._open -= 1
            raise
        return connection


def parse_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """`TEXT name=value, ...` as values in the order of `fields`; () where any is missing or malformed."""
    values: dict[str, float] = {}
    try:
        for part in text.decode("ascii").strip().removeprefix("TEXT").split(","):
            name, _, value = part.strip().partition("=")
            if _NUMBER.fullmatch(value):  # float() would take nan, inf, 1_0 and more
                values[name] = float(value)
        return tuple(values[field] for field in fields)
    except (ValueError, KeyError):
        return ()

"""The client side: an HTTP/1.1 server for the application beside this sidecar."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from http import HTTPStatus
from itertools import islice
from typing import cast

from balancer.sidecar.configuration import SECOND, SidecarConfiguration
from balancer.sidecar.dispatcher import Dispatcher
from balancer.sidecar.http_message import MAX_REQUEST_BODY_BYTES, Headers, HttpResponse
from balancer.sidecar.http_request import Checker, Head, HttpRequestError, begins_badly, parse_head
from balancer.sidecar.sockets import shut_down_socket

MAX_PIPELINED_REQUESTS = 16  # requests taken ahead of their turn on one connection
# What concerns one connection only, is written anew, or is meant for sidecars.
NOT_PASSED_BACK = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"srv-load",
        b"srv-declined",
    )
)

# How long a connection may wait, in seconds. One sweep over all of them serves every limit.
SWEEP = 0.25
SILENT = 2.25  # nothing sent since it was opened
FIRST_BYTES = 0.5  # the same where room is short: until then it is taken for a usual client's
FIRST_REQUEST = 2.25  # its first request is under way, and not whole
REQUEST = 6.0  # a further one is: this client has shown that it can finish
IDLE = 30.0  # between requests
IDLE_CROWDED = 2.25  # the same once half the room for clients is taken
UNREAD = 5.0  # the client does not read its answers
LINGER = 2.0  # it is being closed: the rest of an answer does not go out, or the client does not close
LINGER_STOPPING = 0.25  # the same while the sidecar stops: the end must not wait for such clients
LINGER_MOST = 1024 * 1024  # bytes that are read and dropped meanwhile
# A sidecar that knows no endpoint says so for this long, as a list comes at once where discovery is up. Then
# it is ready all the same: the application waits for it, and what is refused until a list comes is harmless.
UNLISTED = 2.0


def reply(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, HTTPStatus(status).phrase.encode())]
    lines += [b"%s: %s" % header for header in headers]
    lines.append(b"Content-Length: %d" % len(body))
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Exchange:
    """A request of a connection and its answer, which goes out in its turn."""

    __slots__ = ("_connection", "answer", "id", "last")

    def __init__(self, connection: DownstreamConnection, last: bool) -> None:
        self._connection, self.last = connection, last
        self.id = 0  # the host's; 0: answered here
        self.answer: HttpResponse | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.answer = HttpResponse(status, headers, body)
        self._connection.flush()

    def send_response(self, answer: HttpResponse) -> None:
        self.respond(200, [h for h in answer.headers if h[0] not in NOT_PASSED_BACK], answer.body)

    def reject(self, stay_away: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (stay_away / SECOND))] if stay_away else []
        self.respond(503, headers, b"refused; trying again is harmless\n")

    def fail(self, timed_out: bool) -> None:
        self.respond(504 if timed_out else 502, [], b"failed; it may have run\n")

    def is_disconnected(self) -> bool:
        return self._connection.is_disconnected()


class DownstreamConnection(asyncio.Protocol):
    def __init__(self, frontend: Listener) -> None:
        self.listener = frontend
        self._transport: asyncio.Transport | None = None
        self._fd = -1
        self._poll = select.poll()
        self._buffer = bytearray()  # what has come and is not taken yet
        self._searched = 0  # so far of it holds no end of a head
        self._head: Head | None = None  # of the request whose body is still coming
        self._exchanges: deque[Exchange] = deque()
        self._taking = False
        self._ended = False  # nothing more is taken
        self._shut = False  # nor sent, but for what is written: the connection lingers until the client ends
        self._clogged = False  # the client does not read its answers
        self._paused = False  # nothing is read for now
        self._dropped = 0  # bytes that came after the last request to be taken here
        self._since = 0.0  # when the wait began that goes on now
        self.has_sent_request = False  # it has sent a whole request that makes sense

    @property
    def is_idle(self) -> bool:
        return not self.has_pending_responses and not self._buffer and self._head is None

    @property
    def has_pending_responses(self) -> bool:
        return bool(self._exchanges)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports have the methods but are no subclasses of asyncio's: nothing to check by type.
        self._transport = cast(asyncio.Transport, transport)
        self._fd = self._transport.get_extra_info("socket").fileno()
        self._poll.register(self._fd, select.POLLRDHUP)
        self._wait_anew()
        self.listener.on_connection_opened(self)

    def eof_received(self) -> None:
        # The loop closes the connection, but not before answers that this client may never read have left.
        self.listener.on_connection_lingering(self)
        self._forget()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.listener.on_connection_closed(self)
        self._forget()

    def _forget(self) -> None:
        """The client has gone: nothing that it asked is wanted any more."""
        self._ended = True
        self._buffer.clear()
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            if exchange.answer is None:
                self.listener.dispatcher.on_client_disconnected(exchange.id)

    def is_disconnected(self) -> bool:
        """Whether the client has ended its side, asked of the socket: where nothing is read, or not yet, no
        event tells."""
        transport = self._transport
        # Errors and hang-ups are always told.
        return transport is None or transport.is_closing() or bool(self._poll.poll(0))

    # ---- requests

    def data_received(self, data: bytes) -> None:
        if self._ended:
            self._dropped += len(data)
            self._pace()
            return
        if self.is_idle:
            self._wait_anew()
        self._buffer += data
        self._take()

    def _take(self) -> None:
        """Take the requests that are whole, as far as there is room for them."""
        if self._taking:  # an answer given at once makes room: the loop below goes on
            return
        self._taking = True
        try:
            while self._buffer and not self._full():
                if not self._take_one():
                    break
        except HttpRequestError as error:
            self._reject(error)
        finally:
            self._taking = False
        self._pace()

    def _take_one(self) -> bool:
        """Take a request; False: it is not whole yet."""
        if self._head is None and not self._take_head():
            return False
        head = self._head
        assert head is not None
        if len(self._buffer) < head.content_length:
            return False
        body = bytes(self._buffer[: head.content_length])
        del self._buffer[: head.content_length]
        self._head = None
        self._request(head, body)
        return True

    def _take_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n", self._searched)
        if end < 0:
            self._searched = max(0, len(self._buffer) - 3)
            if (error := begins_badly(self._buffer)) is not None:
                raise error
            return False
        self._head = head = parse_head(bytes(self._buffer[: end + 4]))
        del self._buffer[: end + 4]
        self._searched = 0
        if (
            head.expects_continue
            and len(self._buffer) < head.content_length
            and not self.has_pending_responses
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _request(self, head: Head, body: bytes) -> None:
        if head.method == b"GET" and head.path == b"/up":
            self._exchange(head).respond(*self.listener.readiness_response())
            return
        incoming = self.listener.validator.check(head, body)
        if self.listener.dispatcher.is_duplicate(incoming.client_request_id):
            # Two copies of one request must not meet at an endpoint, nor one run after the other.
            raise HttpRequestError(409, "a request with this Req-Id was taken already")
        self.listener.on_request_accepted(self)
        exchange = self._exchange(head)
        exchange.id = self.listener.dispatcher.submit(exchange, incoming)

    def _exchange(self, head: Head) -> Exchange:
        exchange = Exchange(self, last=not head.keeps_alive)
        if exchange.last:
            self._ended = True
        self._exchanges.append(exchange)
        return exchange

    def _reject(self, error: HttpRequestError) -> None:
        """Answer what goes no further, in its turn, and end the connection: its client would send on."""
        self._ended = True
        self._head = None
        self._buffer.clear()
        exchange = Exchange(self, last=True)
        self._exchanges.append(exchange)
        exchange.respond(error.status, [], error.reason.encode() + b"\n")

    # ---- answers

    def flush(self) -> None:
        """Send the answers whose turn has come."""
        while self._exchanges and (answer := self._exchanges[0].answer) is not None:
            exchange = self._exchanges.popleft()
            self._wait_anew()
            if self._transport is None:
                continue
            # A stopping sidecar ends the connection, but not before what was taken on it is answered.
            last = exchange.last or (self.listener.is_draining and self.is_idle)
            self._transport.write(reply(*answer, close=last))
            if last:
                self.close()
        self._take()

    def close(self) -> None:
        """End our side, and the connection once the client has ended its own or LINGER is over.

        Closed at once over bytes that have come unread, it would be reset, and an answer under way lost.
        """
        self._ended = True
        transport = self._transport
        if self._shut or transport is None or transport.is_closing():
            return
        self._shut = True
        self._wait_anew()
        if transport.get_write_buffer_size():
            transport.write_eof()
        else:
            # The loop would do it in a later turn and might read a request before, which would be lost.
            shut_down_socket(self._fd, socket.SHUT_WR)
        self.listener.on_connection_lingering(self)
        self._pace()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close_unless_unread(self) -> None:
        """Close between requests. What has come and is not read yet may be one: that is answered first."""
        if not self.has_unread_bytes():
            self.close()

    def has_unread_bytes(self) -> bool:
        if self._transport is None:
            return False
        arrived = select.poll()
        arrived.register(self._fd, select.POLLIN)
        return bool(arrived.poll(0))

    def pause_writing(self) -> None:
        self._clogged = True
        self._wait_anew()
        self._pace()

    def resume_writing(self) -> None:
        self._clogged = False
        self._wait_anew()
        self._take()

    def _full(self) -> bool:
        """Whether nothing more is taken here, at least for now."""
        return self._ended or self._clogged or len(self._exchanges) >= MAX_PIPELINED_REQUESTS

    def _pace(self) -> None:
        """Read on, unless requests or answers pile up. After the last request too, for the client's leaving
        shows only there; but not whatever it sends."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        most = LINGER_MOST if self._shut else MAX_REQUEST_BODY_BYTES
        paused = self._dropped > most if self._ended else self._full()
        if paused != self._paused:
            self._paused = paused
            (transport.pause_reading if paused else transport.resume_reading)()

    # ---- limits of time

    def _wait_anew(self) -> None:
        self._since = self.listener.now()

    def seconds_waited(self, now: float) -> float:
        return now - self._since

    def enforce_timeouts(self, now: float, idle_most: float) -> None:
        """End what has waited too long."""
        transport, waited = self._transport, self.seconds_waited(now)
        if transport is None:
            return
        if self._paused and not transport.is_closing() and self.is_disconnected():
            transport.abort()
        elif self._shut or transport.is_closing():
            if waited > self.listener.linger_seconds:
                transport.abort()
        elif self._clogged:
            if waited > UNREAD:
                transport.abort()
        elif self.is_idle:
            if waited > (idle_most if self.has_sent_request else SILENT):
                self.close_unless_unread()
        elif not self.has_pending_responses and waited > (
            REQUEST if self.has_sent_request else FIRST_REQUEST
        ):
            self._reject(HttpRequestError(408))


class Listener:
    def __init__(
        self, config: SidecarConfiguration, host: Dispatcher, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.dispatcher = host
        self.is_draining = False
        self.linger_seconds = LINGER
        self.validator = Checker(config)
        self.now = loop.time
        self._loop = loop
        self._began = self.now()
        self._drained = asyncio.Event()
        self._most = config.max_downstream_connections
        # By when they were last used, oldest first: those that have shown a request of sense, and the others.
        self._proven: dict[DownstreamConnection, None] = {}
        self._others: dict[DownstreamConnection, None] = {}
        self._lingering: dict[
            DownstreamConnection, None
        ] = {}  # those that are closed but for the client's part
        self._open = 0  # descriptors: all of these, and what the loop has yet to close
        self._sweeping: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return self._open

    def on_connection_opened(self, connection: DownstreamConnection) -> None:
        self._open += 1
        self._others[connection] = None
        excess = self._open - self._most
        for lingering in list(islice(self._lingering, max(0, excess))):
            del self._lingering[lingering]
            lingering.abort()
            excess -= 1
        if excess > 0:
            self._victim(connection).close()
        if self._sweeping is None:
            self._sweeping = self._loop.call_later(SWEEP, self._sweep)

    def _victim(self, newcomer: DownstreamConnection) -> DownstreamConnection:
        """Who makes room: the oldest that ought to have asked by now, else the longest idle, else the oldest.

        A client may take a moment from connecting to its request: closed for newer ones that are no further,
        it would lose its turn while connections of clients that asked once stand idle.
        """
        other = next(
            (c for c in self._others if not c.has_pending_responses and not c.has_unread_bytes()), None
        )
        if other is not None and other.seconds_waited(self.now()) > FIRST_BYTES:
            return other
        return (
            next((c for c in self._proven if c.is_idle and not c.has_unread_bytes()), None)
            or other
            or newcomer
        )

    def on_request_accepted(self, connection: DownstreamConnection) -> None:
        """A request of sense has come there."""
        connection.has_sent_request = True
        self._others.pop(connection, None)
        self._proven.pop(connection, None)
        self._proven[connection] = None

    def on_connection_lingering(self, connection: DownstreamConnection) -> None:
        self._forget(connection)
        self._lingering[connection] = None

    def on_connection_closed(self, connection: DownstreamConnection) -> None:
        self._forget(connection)
        self._open -= 1
        if not self._open:
            self._drained.set()

    def _forget(self, connection: DownstreamConnection) -> None:
        for group in (self._proven, self._others, self._lingering):
            group.pop(connection, None)

    def _sweep(self) -> None:
        now = self.now()
        idle_most = IDLE if self._open <= self._most // 2 else IDLE_CROWDED
        for connection in [*self._lingering, *self._others, *self._proven]:
            connection.enforce_timeouts(now, idle_most)
        self._sweeping = self._loop.call_later(SWEEP, self._sweep) if self._open else None

    def readiness_response(self) -> tuple[int, Headers, bytes]:
        if self.dispatcher.has_endpoints or self.now() - self._began >= UNLISTED:
            return 200, [], b"up\n"
        return 503, [], b"no endpoint is known yet\n"

    def begin_shutdown(self) -> None:
        """Let no client that leaves its closed connection open put off the end."""
        self.linger_seconds = LINGER_STOPPING

    def begin_draining(self) -> None:
        """Let answers close their connections from here on, so that clients leave as they are served."""
        self.is_draining = True

    def close_idle_connections(self) -> None:
        for connection in [*self._others, *self._proven]:
            if connection.is_idle:
                connection.close_unless_unread()

    async def wait_until_closed(self) -> None:
        """Wait until every answer has left and its connection is closed."""
        while self._open:
            self._drained.clear()
            await self._drained.wait()

"""A client's connection to a sidecar. It writes requests and matches responses to them in order."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import cast

from soak.clients.response_parser import Response, ResponseParser
from soak.history.clock import HarnessClock
from soak.history.events import ClientRequest, ConnectionEnd
from soak.network.sockets import Address, limit_read_rate, make_narrow, reset_transport

SLOW_READ_BYTES_PER_SECOND = 64_000
"""How many bytes a client reads in a second that reads slowly."""
FIRST_BYTES_LENGTH = 64
"""Number of bytes that are kept of the first data from a sidecar; enough for a status line."""


@dataclass(slots=True)
class _PendingRequest:
    """A request whose response is pending on a connection."""

    request: ClientRequest
    completion: asyncio.Future[None]

    def finish(self) -> None:
        """Wake up the client that waits for the outcome."""
        if not self.completion.done():
            self.completion.set_result(None)


class ClientConnection(asyncio.Protocol):
    """One connection; the outcome of each request is recorded in its `ClientRequest`.

    Attributes:
        idle_since_seconds: when the last response arrived, or the connection was established if none has.
        request_count: the number of requests written.
        is_open: whether neither side has closed the connection or announced its close.
        first_bytes: the first bytes that the sidecar sent.
        reads_slowly: whether bytes are read at `SLOW_READ_BYTES_PER_SECOND`.
    """

    def __init__(self, clock: HarnessClock) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser()
        self._pending: deque[_PendingRequest] = deque()
        self._lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.idle_since_seconds = clock.now_seconds()
        self.request_count = 0
        self.is_open = False
        self.first_bytes = b""
        self.reads_slowly = False

    @classmethod
    async def open(
        cls, address: Address, clock: HarnessClock, timeout_seconds: float, reads_slowly: bool = False
    ) -> ClientConnection:
        """Connect to a sidecar, perhaps as a client that reads slowly.

        Raises:
            OSError: the connection failed or timed out.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_seconds):
            if not reads_slowly:
                _, protocol = await loop.create_connection(lambda: cls(clock), *address)
                return protocol
            unconnected = socket.socket()
            unconnected.setblocking(False)
            make_narrow(unconnected)
            await loop.sock_connect(unconnected, address)
            _, protocol = await loop.create_connection(lambda: cls(clock), sock=unconnected)
        protocol.reads_slowly = True
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Record the responses that are complete."""
        if self.reads_slowly and self._transport is not None:
            limit_read_rate(self._transport, len(data), SLOW_READ_BYTES_PER_SECOND)
        if not self.first_bytes:
            self.first_bytes = data[:FIRST_BYTES_LENGTH]
        self._parser.feed(data)
        while self._pending:
            response = self._parser.next_response()
            if response is None:
                return
            self._record_response(response)

    def eof_received(self) -> None:
        """Record that the sidecar has closed the connection."""
        self.is_open = False
        is_truncated = self._parser.has_partial_response
        self._end_pending(ConnectionEnd.TRUNCATED_RESPONSE if is_truncated else ConnectionEnd.CLOSED)

    def connection_lost(self, error: Exception | None) -> None:
        """Record the loss of the connection."""
        self.is_open = False
        self._end_pending(ConnectionEnd.CLOSED if error is None else ConnectionEnd.RESET)
        if not self._lost.done():
            self._lost.set_result(None)

    def write(self, data: bytes) -> None:
        """Write bytes that do not complete a request; `send` writes those that do."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def send(self, request: ClientRequest, last_bytes: bytes) -> asyncio.Future[None]:
        """Write the last bytes of a request and return a future that is done once the outcome is known."""
        completion: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        request.is_first_on_connection = not self.request_count
        request.connection_idle_seconds = self._clock.now_seconds() - self.idle_since_seconds
        request.blocked_until_seconds = max(
            (pending.request.deadline_seconds for pending in self._pending), default=0.0
        )
        self.request_count += 1
        self._pending.append(_PendingRequest(request, completion))
        self.write(last_bytes)
        request.sent_at_seconds = self._clock.now_seconds()
        if not self.is_open:
            # The connection ended while the request was being written, so nobody received the request.
            self.disconnect(by_reset=False)
        return completion

    def disconnect(self, by_reset: bool) -> None:
        """Close the connection for a client that does not wait for its responses any longer."""
        now_seconds = self._clock.now_seconds()
        for pending in self._pending:
            pending.request.disconnected_at_seconds = now_seconds
        self._close(by_reset)

    def close_after_timeout(self) -> None:
        """Close the connection after its requests have timed out; their responses count as missing."""
        self._close(by_reset=False)

    async def wait_until_lost(self, timeout_seconds: float) -> bool:
        """Wait until the connection has ended; return False if it has not ended within this time."""
        done, _ = await asyncio.wait((self._lost,), timeout=timeout_seconds)
        return bool(done)

    def _close(self, by_reset: bool) -> None:
        self.is_open = False
        for pending in self._pending:
            pending.finish()
        self._pending.clear()
        if self._transport is None:
            return
        if by_reset:
            reset_transport(self._transport)
        else:
            self._transport.close()

    def _record_response(self, response: Response) -> None:
        now_seconds = self._clock.now_seconds()
        pending = self._pending.popleft()
        pending.request.answered_at_seconds = now_seconds
        pending.request.status = response.status
        pending.request.body = response.body.decode("latin-1")
        self.idle_since_seconds = now_seconds
        if self._parser.announces_close:
            self.is_open = False
        pending.finish()

    def _end_pending(self, end: ConnectionEnd) -> None:
        now_seconds = self._clock.now_seconds()
        for pending in self._pending:
            pending.request.ended_at_seconds = now_seconds
            pending.request.end = end
            pending.finish()
        self._pending.clear()

"""A client's connection to a sidecar: writes requests and takes their answers in order."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import cast

from soak.fault_proxy import Address, reset_transport
from soak.history import ClientRequest, EndOfConnection, HarnessClock


@dataclass(slots=True)
class _Awaited:
    """A request that waits for its answer on a connection."""

    request: ClientRequest
    is_done: asyncio.Future[None]


class ClientConnection(asyncio.Protocol):
    """One connection; what comes of each request is noted in its record.

    Attributes:
        idle_since: when the last answer came, or the connection was made.
        request_count: how many requests were written.
        is_open: whether neither side has ended the connection.
        first_bytes: the first that the sidecar sent.
    """

    def __init__(self, clock: HarnessClock) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._awaited: deque[_Awaited] = deque()
        self._ends_after_answer = False
        self._lost = asyncio.get_running_loop().create_future()
        self.idle_since = clock.now()
        self.request_count = 0
        self.is_open = False
        self.first_bytes = b""

    @classmethod
    async def open(cls, address: Address, clock: HarnessClock, timeout_seconds: float) -> ClientConnection:
        """Connect. Raises OSError; a timeout is one."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_seconds):
            _, protocol = await loop.create_connection(lambda: cls(clock), *address)
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Take the answers that are whole."""
        if not self.first_bytes:
            self.first_bytes = data[:64]
        self._buffer += data
        while self._awaited and (answer := self._take_answer()) is not None:
            status, body = answer
            awaited = self._awaited.popleft()
            now = self._clock.now()
            awaited.request.answered_at, awaited.request.status = now, status
            awaited.request.body = body.decode("latin-1")
            self.idle_since = now
            if not awaited.is_done.done():
                awaited.is_done.set_result(None)

    def eof_received(self) -> None:
        """Take the end of the sidecar's side."""
        self.is_open = False
        self._end_awaited(EndOfConnection.BROKEN_ANSWER if self._buffer else EndOfConnection.CLOSED)

    def connection_lost(self, error: Exception | None) -> None:
        """Take the loss of the connection."""
        self.is_open = False
        self._end_awaited(EndOfConnection.RESET if error is not None else EndOfConnection.CLOSED)
        if not self._lost.done():
            self._lost.set_result(None)

    def write(self, data: bytes) -> None:
        """Write bytes that are no whole request."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def send(self, request: ClientRequest, last_bytes: bytes) -> asyncio.Future[None]:
        """Write the last bytes of a request; the result is done once there is an answer or none will come."""
        is_done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        request.is_first_on_connection = not self.request_count
        request.connection_idle_seconds = self._clock.now() - self.idle_since
        request.blocked_until = max((a.request.deadline_at for a in self._awaited), default=0.0)
        self.request_count += 1
        self._awaited.append(_Awaited(request, is_done))
        self.write(last_bytes)
        request.sent_at = self._clock.now()
        if not self.is_open:
            self.leave(by_reset=False)  # it ended while the request was being written: nobody was sent it
        return is_done

    def leave(self, by_reset: bool) -> None:
        """Close the connection as a client that has gone."""
        now = self._clock.now()
        self.is_open = False
        for awaited in self._awaited:
            awaited.request.left_at = now
            if not awaited.is_done.done():
                awaited.is_done.set_result(None)
        self._awaited.clear()
        if self._transport is None:
            return
        if by_reset:
            reset_transport(self._transport)
        else:
            self._transport.close()

    async def wait_until_lost(self, timeout_seconds: float) -> bool:
        """Wait for the end of the connection; False if it does not come in this time."""
        done, _ = await asyncio.wait((self._lost,), timeout=timeout_seconds)
        return bool(done)

    def _end_awaited(self, end: EndOfConnection) -> None:
        now = self._clock.now()
        for awaited in self._awaited:
            awaited.request.ended_at, awaited.request.end = now, end
            if not awaited.is_done.done():
                awaited.is_done.set_result(None)
        self._awaited.clear()

    def _take_answer(self) -> tuple[int, bytes] | None:
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return None
        lines = head.split(b"\r\n")
        status = int(lines[0].split()[1])
        if status < 200:
            self._buffer = rest
            return self._take_answer()
        length = 0
        for line in lines[1:]:
            name, _, value = line.lower().partition(b":")
            if name == b"content-length":
                length = int(value)
            elif name == b"connection" and b"close" in value:
                self._ends_after_answer = True
        if len(rest) < length:
            return None
        self._buffer = rest[length:]
        if self._ends_after_answer:
            self.is_open = False
        return status, rest[:length]

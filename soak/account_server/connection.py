"""A connection of an account server: reads requests, records them as attempts and responds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import cast

from soak.account_server.http_messages import (
    EMPTY_RESPONSE,
    ERROR_RESPONSE,
    GARBAGE_RESPONSE,
    REJECTION_RESPONSE,
    parse_headers,
    request_size_bytes,
    success_response,
    success_response_without_length,
)
from soak.account_server.server_fault import ServerFault
from soak.account_server.work_queue import WorkQueue
from soak.history.clock import HarnessClock
from soak.history.events import Attempt, AttemptEnd
from soak.history.history import History
from soak.network.arrival_log import ArrivalLog
from soak.network.fault_proxy import FaultProxy
from soak.network.sockets import reset_transport

MAX_DUPLICATE_DELAY_SECONDS = 0.003
"""Seconds after a response at which its duplicate is sent, at most."""
MAX_DUPLICATE_LATENESS_SECONDS = 2 * MAX_DUPLICATE_DELAY_SECONDS
"""Seconds after which a duplicate is not sent: the soak is late, and only a few milliseconds are allowed."""
MAX_FILLER_BYTES = 6000
"""Bytes; some responses exceed what one read of a socket returns."""
FILLER = "x"
DUPLICATE_FILLER = "y"
"""Replaces the filler in a duplicate response, so that the two can be distinguished."""
PROBE_PREFIXES = (b"GET /alive", b"GET /metrics/load")
"""Requests of sidecars themselves, which are no attempts."""


@dataclass(slots=True)
class ServerState:
    """What an account server shares with its connections."""

    name: str
    clock: HarnessClock
    history: History
    random: Random
    proxy: FaultProxy
    work_queue: WorkQueue
    fault: ServerFault = ServerFault.NONE
    execution_count: int = 0
    connections: set[ServerConnection] = field(default_factory=set)
    """The open connections."""

    def next_execution_id(self) -> str:
        """Return an identifier for an execution, which is part of its response."""
        self.execution_count += 1
        return f"{self.name}-{self.execution_count}"


class ServerConnection(asyncio.Protocol):
    """One connection from the proxy; it serves one request at a time."""

    def __init__(self, state: ServerState, number: int) -> None:
        self._state = state
        self._number = number
        self._buffer = b""
        self._consumed_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._attempt: Attempt | None = None
        self._known_arrivals: ArrivalLog | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._state.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Serve a request once it is complete."""
        self._buffer += data
        while self._attempt is None:
            size_bytes = request_size_bytes(self._buffer)
            if size_bytes is None or len(self._buffer) < size_bytes:
                return
            message = self._buffer[:size_bytes]
            self._buffer = self._buffer[size_bytes:]
            first_byte = self._consumed_bytes + 1
            self._consumed_bytes += size_bytes
            self._serve(message, first_byte)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the attempt that is being processed."""
        self._state.connections.discard(self)
        arrivals = self._arrivals()
        was_closed_by_sidecar = (
            arrivals is not None
            and arrivals.closed_at_seconds is not None
            and arrivals.reset_at_seconds is None
        )
        self._end_attempt(
            AttemptEnd.CLOSED_BY_SIDECAR if was_closed_by_sidecar else AttemptEnd.BROKEN_BY_FAULT
        )

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_transport(self._transport)

    # ---- attempts

    def _arrivals(self) -> ArrivalLog | None:
        """Return what arrived at the proxy on this connection, if that is known."""
        if self._known_arrivals is None and self._transport is not None:
            peer = self._transport.get_extra_info("peername")
            self._known_arrivals = self._state.proxy.arrivals_from(peer[1]) if peer else None
        return self._known_arrivals

    def _serve(self, message: bytes, first_byte: int) -> None:
        if message.startswith(PROBE_PREFIXES):
            self._write(EMPTY_RESPONSE)
            return
        self._start_attempt(message, first_byte)
        match self._state.fault:
            case ServerFault.HANG:
                pass
            case ServerFault.RESET:
                self.abort()
            case ServerFault.REJECT:
                self._write(REJECTION_RESPONSE)
                self._end_attempt(AttemptEnd.REJECTED)
            case _:
                self._state.work_queue.add(self._respond)

    def _start_attempt(self, message: bytes, first_byte: int) -> None:
        """Record an attempt; its times are those of its arrival at the proxy."""
        headers = parse_headers(message)
        now_seconds = self._state.clock.now_seconds()
        arrivals = self._arrivals()
        started_at_seconds = arrivals.time_of_byte_seconds(first_byte) if arrivals else now_seconds
        received_at_seconds = arrivals.time_of_byte_seconds(self._consumed_bytes) if arrivals else now_seconds
        self._attempt = Attempt(
            request_id=headers.get("req-id", ""),
            server=self._state.name,
            connection=self._number,
            started_at_seconds=started_at_seconds,
            received_at_seconds=received_at_seconds,
            propagated_timeout_seconds=float(headers.get("req-deadline", "nan")),
        )
        self._state.history.attempts.append(self._attempt)

    def _end_attempt(self, end: AttemptEnd) -> None:
        if self._attempt is None:
            return
        end_times_seconds = [self._state.clock.now_seconds()]
        arrivals = self._arrivals()
        if arrivals is not None:
            known_ends_seconds = (arrivals.closed_at_seconds, arrivals.reset_at_seconds)
            end_times_seconds += [at_seconds for at_seconds in known_ends_seconds if at_seconds is not None]
        self._attempt.end = end
        self._attempt.ended_at_seconds = min(end_times_seconds)
        self._attempt = None

    # ---- responses

    def _respond(self) -> None:
        attempt = self._attempt
        if attempt is None or self._transport is None or self._transport.is_closing():
            return
        filler = FILLER * self._state.random.randrange(MAX_FILLER_BYTES)
        attempt.body = f"{attempt.request_id} {self._state.next_execution_id()} {filler}"
        self._send_response(attempt.body.encode())
        self._end_attempt(AttemptEnd.ANSWERED)
        self.data_received(b"")

    def _send_response(self, body: bytes) -> None:
        response = success_response(body)
        match self._state.fault:
            case ServerFault.ERROR:
                self._write(ERROR_RESPONSE)
            case ServerFault.GARBAGE:
                self._write(GARBAGE_RESPONSE)
            case ServerFault.TRUNCATED:
                self._write(response[: len(response) // 2])
                self._close()
            case ServerFault.NO_LENGTH:
                self._write(success_response_without_length(body))
                self._close()
            case ServerFault.CLOSE_IDLE:
                self._write(response)
                self._close()
            case ServerFault.DUPLICATE_RESPONSE:
                self._write(response)
                self._schedule_duplicate(response)
            case _:
                self._write(response)

    def _schedule_duplicate(self, response: bytes) -> None:
        duplicate = response.replace(FILLER.encode(), DUPLICATE_FILLER.encode())
        delay_seconds = self._state.random.random() * MAX_DUPLICATE_DELAY_SECONDS
        now_seconds = self._state.clock.now_seconds()
        loop = asyncio.get_running_loop()
        loop.call_later(delay_seconds, self._write_duplicate, duplicate, now_seconds)

    def _write_duplicate(self, data: bytes, first_at_seconds: float) -> None:
        late_seconds = self._state.clock.now_seconds() - first_at_seconds
        if late_seconds <= MAX_DUPLICATE_LATENESS_SECONDS:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

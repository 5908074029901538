"""A connection of an account server. It reads requests and responds according to the fault of the server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import cast

from soak.account_server.attempt_recorder import AttemptRecorder
from soak.account_server.http_messages import (
    EMPTY_RESPONSE,
    ERROR_RESPONSE,
    GARBAGE_RESPONSE,
    REJECTION_RESPONSE,
    request_size_bytes,
    success_response,
    success_response_without_length,
)
from soak.account_server.server_fault import ServerFault
from soak.account_server.work_queue import WorkQueue
from soak.history.clock import HarnessClock
from soak.history.events import AttemptEnd
from soak.history.history import History
from soak.network.fault_proxy import FaultProxy
from soak.network.sockets import reset_transport

MAX_DUPLICATE_DELAY_SECONDS = 0.011
"""Longest delay, in seconds, between a response and its duplicate."""
MAX_DUPLICATE_LATENESS_SECONDS = 0.012
"""Seconds after a response beyond which its duplicate is dropped.

A duplicate is allowed only within a few milliseconds, and the event loop of the soak may be late.
"""
MAX_FILLER_BYTES = 6000
"""Upper limit of the filler in bytes; some responses exceed what one read of a socket returns."""
FILLER = "x"
"""Pads responses to different sizes; the letter occurs nowhere else in a response."""
DUPLICATE_FILLER = "y"
"""Replaces the filler in a duplicate, so that it can be distinguished from the original response."""
PROBE_PREFIXES = (b"GET /alive", b"GET /metrics/load")
"""Start of health checks and load probes, which sidecars send themselves and which are not attempts."""


@dataclass(slots=True)
class ServerState:
    """The state that an account server shares with its connections."""

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
        """Return the identifier of a new execution, which becomes part of the response body."""
        self.execution_count += 1
        return f"{self.name}-{self.execution_count}"


class ServerConnection(asyncio.Protocol):
    """One connection from the proxy; it serves one request at a time."""

    def __init__(self, state: ServerState, number: int) -> None:
        self._state = state
        self._attempts = AttemptRecorder(state.name, number, state.clock, state.history, state.proxy)
        self._buffer = b""
        self._consumed_bytes = 0
        self._rejected_at_seconds: float | None = None
        """When the request that is arriving was rejected; None if it was not."""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._attempts.attach(self._transport)
        self._state.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Serve each request once it is complete and the one before it is finished."""
        self._buffer += data
        while self._attempts.current is None:
            size_bytes = request_size_bytes(self._buffer)
            if size_bytes is None:
                return
            if len(self._buffer) < size_bytes:
                self._reject_early()
                return
            message = self._buffer[:size_bytes]
            self._buffer = self._buffer[size_bytes:]
            first_byte = self._consumed_bytes + 1
            self._consumed_bytes += size_bytes
            self._serve(message, first_byte)

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the connection and end the attempt in progress."""
        self._state.connections.discard(self)
        self._attempts.end_with_connection()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_transport(self._transport)

    def _serve(self, message: bytes, first_byte: int) -> None:
        if message.startswith(PROBE_PREFIXES):
            self._write(EMPTY_RESPONSE)
            return
        if self._rejected_at_seconds is not None:
            self._attempts.record_early_rejection(
                message, first_byte, self._consumed_bytes, self._rejected_at_seconds
            )
            self._rejected_at_seconds = None
            return
        self._attempts.start(message, first_byte, self._consumed_bytes)
        match self._state.fault:
            case ServerFault.HANG:
                pass
            case ServerFault.RESET:
                self.abort()
            case ServerFault.REJECT:
                self._write(REJECTION_RESPONSE)
                self._attempts.end(AttemptEnd.REJECTED)
            case _:
                self._state.work_queue.add(self._respond)

    def _reject_early(self) -> None:
        """Reject a request whose head is complete, under the fault that does so, and go on reading."""
        if self._state.fault == ServerFault.REJECT_EARLY and self._rejected_at_seconds is None:
            self._rejected_at_seconds = self._state.clock.now_seconds()
            self._write(REJECTION_RESPONSE)

    def _respond(self) -> None:
        attempt = self._attempts.current
        if attempt is None or self._transport is None or self._transport.is_closing():
            return
        requested_bytes = self._attempts.requested_response_bytes
        filler = FILLER * (requested_bytes or self._state.random.randrange(MAX_FILLER_BYTES))
        attempt.body = f"{attempt.request_id} {self._state.next_execution_id()} {filler}"
        self._send_response(attempt.body.encode())
        self._attempts.end(AttemptEnd.ANSWERED)
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
        lateness_seconds = self._state.clock.now_seconds() - first_at_seconds
        if lateness_seconds <= MAX_DUPLICATE_LATENESS_SECONDS:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

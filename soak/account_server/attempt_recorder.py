"""Records the attempts that arrive on one connection of an account server."""

from __future__ import annotations

import asyncio
import math

from soak.account_server.http_messages import parse_headers, requested_response_bytes
from soak.history.clock import HarnessClock
from soak.history.events import Attempt, AttemptEnd
from soak.history.history import History
from soak.network.arrival_log import ArrivalLog
from soak.network.fault_proxy import FaultProxy
from soak.request_content import content_digest


class AttemptRecorder:
    """Records the attempts of one connection.

    The times of an attempt are those at the proxy in front of the server, where the bytes of the sidecar
    arrive before the proxy delays them.

    Attributes:
        current: the attempt in progress, or None.
        requested_response_bytes: the size of the response that the last request asked for; 0 if it did not.
    """

    def __init__(
        self, server: str, connection: int, clock: HarnessClock, history: History, proxy: FaultProxy
    ) -> None:
        self.current: Attempt | None = None
        self.requested_response_bytes = 0
        self._server = server
        self._connection = connection
        self._clock = clock
        self._history = history
        self._proxy = proxy
        self._transport: asyncio.Transport | None = None
        self._cached_arrivals: ArrivalLog | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport of the connection; its remote port identifies the arrival log at the proxy."""
        self._transport = transport

    def start(self, message: bytes, first_byte: int, last_byte: int) -> None:
        """Record a new attempt.

        Args:
            message: the complete request.
            first_byte: the position of its first byte on the connection, counted from 1.
            last_byte: the position of its last byte on the connection, counted from 1.
        """
        headers = parse_headers(message)
        now_seconds = self._clock.now_seconds()
        arrivals = self._arrivals()
        self.requested_response_bytes = requested_response_bytes(message)
        self.current = Attempt(
            request_id=headers.get("req-id", ""),
            server=self._server,
            connection=self._connection,
            started_at_seconds=arrivals.time_of_byte_seconds(first_byte) if arrivals else now_seconds,
            received_at_seconds=arrivals.time_of_byte_seconds(last_byte) if arrivals else now_seconds,
            propagated_timeout_seconds=_parse_seconds(headers.get("req-deadline", "")),
            content_digest=content_digest(message),
            was_read_slowly=arrivals is not None and arrivals.was_read_slowly,
        )
        self._history.attempts.append(self.current)

    def record_early_rejection(
        self, message: bytes, first_byte: int, last_byte: int, rejected_at_seconds: float
    ) -> None:
        """Record an attempt that was rejected at this time, before its last byte arrived, and ended so."""
        self.start(message, first_byte, last_byte)
        if self.current is not None:
            self.current.received_at_seconds = rejected_at_seconds
            self.current.ended_at_seconds = rejected_at_seconds
            self.current.end = AttemptEnd.REJECTED
        self.current = None

    def end(self, end: AttemptEnd) -> None:
        """Record the end of the current attempt, if there is one.

        If the connection ended earlier at the proxy, the attempt ended at that time.
        """
        if self.current is None:
            return
        end_times_seconds = [self._clock.now_seconds()]
        arrivals = self._arrivals()
        if arrivals is not None:
            connection_end_seconds = (arrivals.closed_at_seconds, arrivals.reset_at_seconds)
            end_times_seconds += [
                at_seconds for at_seconds in connection_end_seconds if at_seconds is not None
            ]
        self.current.end = end
        self.current.ended_at_seconds = min(end_times_seconds)
        self.current = None

    def end_with_connection(self) -> None:
        """Record that the current attempt ended with its connection, which the sidecar or a fault closed."""
        arrivals = self._arrivals()
        was_closed_by_sidecar = (
            arrivals is not None
            and arrivals.closed_at_seconds is not None
            and arrivals.reset_at_seconds is None
        )
        self.end(AttemptEnd.CLOSED_BY_SIDECAR if was_closed_by_sidecar else AttemptEnd.BROKEN_BY_FAULT)

    def _arrivals(self) -> ArrivalLog | None:
        """Return the arrival log of this connection, or None if the proxy does not have one."""
        if self._cached_arrivals is None and self._transport is not None:
            peer = self._transport.get_extra_info("peername")
            self._cached_arrivals = self._proxy.arrivals_from(peer[1]) if peer else None
        return self._cached_arrivals


def _parse_seconds(text: str) -> float:
    """Return a number of seconds; not a number if the text is none, as in a request that no client sent."""
    try:
        return float(text)
    except ValueError:
        return math.nan

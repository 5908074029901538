"""Flow control of a client's connection: when bytes are read, and the arrival time of unread bytes."""

from __future__ import annotations

from balancer.sidecar.downstream.client_transport import ClientTransport
from balancer.sidecar.downstream.connection_lifecycle import ConnectionPhase
from balancer.sidecar.downstream.interfaces import TimeSource
from balancer.sidecar.http.message import MAX_REQUEST_BODY_BYTES

MAX_DISCARDED_BYTES_LINGERING = 1024 * 1024
"""Number of bytes that are read and discarded on a lingering connection before reading pauses.

The limit covers what a client may send before it notices the close. A client that sends more is flooding.
"""

MAX_DISCARDED_BYTES_FINISHING = MAX_REQUEST_BODY_BYTES
"""Number of bytes that are read and discarded after the last request while its response is pending.

Reading continues in order to detect a disconnect. A client that sends more than one request body is flooding.
"""


class FlowControl:
    """Pauses reading while requests or responses accumulate, and tracks since when bytes may be unread.

    Args:
        transport: the transport of the connection.
        clock: the event loop's time.
        unread_since_seconds: the event loop's time, in seconds, since which bytes may have been waiting in
            the socket; None if there are none.

    Attributes:
        is_write_blocked: whether written responses accumulate because the client does not read them.
        discarded_bytes: number of bytes read and discarded after the last request.
    """

    __slots__ = ("_clock", "_transport", "_unread_since_seconds", "discarded_bytes", "is_write_blocked")

    def __init__(
        self, transport: ClientTransport, clock: TimeSource, unread_since_seconds: float | None
    ) -> None:
        self.is_write_blocked = False
        self.discarded_bytes = 0
        self._transport = transport
        self._clock = clock
        self._unread_since_seconds = unread_since_seconds

    @property
    def is_reading_paused(self) -> bool:
        """Return whether nothing is read from the client for now."""
        return self._transport.is_reading_paused

    def earliest_arrival_seconds(self) -> float:
        """Return the earliest time at which the bytes that are read next may have arrived."""
        if self._unread_since_seconds is None:
            return self._clock.now_seconds()
        return self._unread_since_seconds

    def arrival_time_seconds(self) -> float:
        """Return the arrival time of the bytes just read; the earliest possible time if it is unknown."""
        arrived_at_seconds = self.earliest_arrival_seconds()
        if self._unread_since_seconds is not None and not self._transport.has_unread_bytes():
            self._unread_since_seconds = None
        return arrived_at_seconds

    def seconds_unread(self) -> float:
        """Return for how many seconds at most bytes have been waiting in the socket; 0 if none are."""
        if self._unread_since_seconds is None or not self._transport.has_unread_bytes():
            return 0.0
        return self._clock.now_seconds() - self._unread_since_seconds

    def record_read_ahead(self) -> None:
        """Record that bytes have been read while reading is paused, all of them or a part."""
        if not self._transport.has_unread_bytes():
            self._unread_since_seconds = self._clock.now_seconds()

    def record_unread_bytes(self) -> None:
        """Record that the bytes still unread arrived no later than now: a read may return only a part."""
        if self._unread_since_seconds is None and self._transport.has_unread_bytes():
            self._unread_since_seconds = self._clock.now_seconds()

    def update_reading(self, phase: ConnectionPhase, must_wait: bool) -> None:
        """Pause or resume reading according to the state of the connection.

        Reading continues after the last request, as the event loop detects a disconnect only by a read. The
        bytes that are discarded in this way are limited.

        Args:
            phase: the phase of the connection.
            must_wait: whether requests that have been read have to wait before further ones are read.
        """
        if phase is ConnectionPhase.ACCEPTING_REQUESTS:
            must_pause = self.is_write_blocked or must_wait
        elif phase is ConnectionPhase.LINGERING:
            must_pause = self.discarded_bytes > MAX_DISCARDED_BYTES_LINGERING
        else:
            must_pause = self.discarded_bytes > MAX_DISCARDED_BYTES_FINISHING
        if must_pause and self._unread_since_seconds is None:
            self._unread_since_seconds = self._clock.now_seconds()
        self._transport.set_reading_paused(must_pause)

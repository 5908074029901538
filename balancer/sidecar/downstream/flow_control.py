"""Flow control of a client's connection: when bytes are read, and when unread ones count as arrived."""

from __future__ import annotations

from balancer.sidecar.downstream.client_transport import ClientTransport
from balancer.sidecar.downstream.connection_lifecycle import ConnectionPhase
from balancer.sidecar.downstream.interfaces import TimeSource
from balancer.sidecar.http.message import MAX_REQUEST_BODY_BYTES

MAX_DISCARDED_BYTES_LINGERING = 1024 * 1024
"""Bytes that are read and discarded on a lingering connection before reading pauses.

That covers what a client may have sent before it learns of the close; one that sends more is flooding.
"""

MAX_DISCARDED_BYTES_FINISHING = MAX_REQUEST_BODY_BYTES
"""Bytes that are read and discarded after the last request while its response is pending.

Reading goes on to notice that the client leaves; a client that sends more than one request body is flooding.
"""


class FlowControl:
    """Pauses reading while requests or responses pile up, and remembers since when bytes may be unread.

    Args:
        transport: the transport of the connection.
        clock: the event loop's time.
        unread_since_seconds: since when bytes may have waited in the socket; None if they have not.

    Attributes:
        is_write_blocked: whether responses pile up because the client does not read them.
        discarded_bytes: how many bytes were read and discarded after the last request.
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

    def arrival_time_seconds(self) -> float:
        """Return when the bytes just read had arrived; the earliest time possible where that is unknown."""
        now_seconds = self._clock.now_seconds()
        if self._unread_since_seconds is None:
            return now_seconds
        arrived_at_seconds = self._unread_since_seconds
        if not self._transport.has_unread_bytes():
            self._unread_since_seconds = None
        return arrived_at_seconds

    def record_unread_bytes(self) -> None:
        """Remember that bytes still unread have arrived by now: a read may return less than there is."""
        if self._unread_since_seconds is None and self._transport.has_unread_bytes():
            self._unread_since_seconds = self._clock.now_seconds()

    def update_reading(self, phase: ConnectionPhase, is_pipeline_full: bool) -> None:
        """Pause or resume reading, as the state of the connection demands.

        Reading goes on after the last request, as only a read shows that the client leaves; but not without
        limit.
        """
        if phase is ConnectionPhase.ACCEPTING_REQUESTS:
            must_pause = self.is_write_blocked or is_pipeline_full
        elif phase is ConnectionPhase.LINGERING:
            must_pause = self.discarded_bytes > MAX_DISCARDED_BYTES_LINGERING
        else:
            must_pause = self.discarded_bytes > MAX_DISCARDED_BYTES_FINISHING
        if must_pause and self._unread_since_seconds is None:
            self._unread_since_seconds = self._clock.now_seconds()
        self._transport.set_reading_paused(must_pause)

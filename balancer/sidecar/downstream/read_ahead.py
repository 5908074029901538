"""Reads from a client while reading is paused, to find out whether the client has disconnected.

The end of a TCP stream comes behind all bytes that were sent before it. If the sidecar reads nothing, those
bytes fill the receive buffer, and the rest waits at the client's machine with the end. The socket then
shows an open connection although the client has left.
"""

from __future__ import annotations

from balancer.sidecar.downstream.client_transport import ClientTransport
from balancer.sidecar.downstream.connection_lifecycle import ConnectionPhase
from balancer.sidecar.downstream.flow_control import FlowControl
from balancer.sidecar.downstream.request_reader import RequestReader
from balancer.sidecar.downstream.stored_messages import StoredMessages

MAX_READ_AHEAD_BYTES = 256 * 1024
"""Number of bytes of further requests that a connection stores to look for the end behind them."""

MAX_DISCARDED_BYTES_PER_CHECK = 8 * 1024 * 1024
"""Number of bytes that one check discards after the last request; the buffers of both sides hold fewer."""

MAX_SECONDS_UNREAD = 0.05
"""How long bytes may be unread until a client may have left. An attempt may start 0.1 s after it has left."""


class ReadAhead:
    """Reads from one connection past the point at which reading paused.

    Args:
        transport: the transport of the connection.
        flow_control: tells whether reading is paused, and since when bytes may be unread.
        reader: stores the bytes of further requests.
        stored_messages: counts their memory.
        buffer: the buffer for one read.
    """

    __slots__ = ("_buffer", "_flow_control", "_reader", "_stored_messages", "_transport")

    def __init__(
        self,
        transport: ClientTransport,
        flow_control: FlowControl,
        reader: RequestReader,
        stored_messages: StoredMessages,
        buffer: memoryview,
    ) -> None:
        self._transport = transport
        self._flow_control = flow_control
        self._reader = reader
        self._stored_messages = stored_messages
        self._buffer = buffer

    def read(self, phase: ConnectionPhase) -> None:
        """Read what is unread while reading is paused, up to a limit."""
        if not self._flow_control.is_reading_paused:
            return
        if phase is ConnectionPhase.ACCEPTING_REQUESTS:
            self._store()
        else:
            self._discard()

    def is_end_hidden(self) -> bool:
        """Return whether bytes are left unread, behind which the client may have left some time ago."""
        if not self._flow_control.is_reading_paused:
            return False
        return self._flow_control.seconds_unread() > MAX_SECONDS_UNREAD

    def _store(self) -> None:
        while self._may_store_more():
            arrived_at_seconds = self._flow_control.earliest_arrival_seconds()
            size_bytes = self._transport.read_into(self._buffer)
            if not size_bytes:
                break
            self._reader.feed(bytes(self._buffer[:size_bytes]), arrived_at_seconds)
        self._stored_messages.record_requests(self._reader.buffered_byte_count)
        self._flow_control.record_read_ahead()

    def _may_store_more(self) -> bool:
        """Return whether there is room for another read."""
        stored_bytes = self._reader.buffered_byte_count
        if stored_bytes >= MAX_READ_AHEAD_BYTES:
            return False
        return self._stored_messages.try_store_requests(stored_bytes + len(self._buffer))

    def _discard(self) -> None:
        discarded_bytes = 0
        while discarded_bytes < MAX_DISCARDED_BYTES_PER_CHECK:
            size_bytes = self._transport.read_into(self._buffer)
            if not size_bytes:
                break
            discarded_bytes += size_bytes
        self._flow_control.discarded_bytes += discarded_bytes
        self._flow_control.record_read_ahead()

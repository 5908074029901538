"""Detects whether a client reads its responses."""

from __future__ import annotations

from balancer.sidecar.downstream.client_transport import ClientTransport


class ResponseProgress:
    """Compares at each check how many bytes of the responses the kernel has not taken yet.

    The kernel takes more bytes of a response as the client reads. The first check after a response has been
    written says nothing, as the kernel takes bytes at that moment for a client that reads none as well.

    Args:
        transport: the transport of the connection.

    Attributes:
        is_being_read: whether any check has found that the client reads the response that is still unsent.
    """

    __slots__ = ("_transport", "_unsent_bytes", "_written_bytes", "is_being_read")

    def __init__(self, transport: ClientTransport) -> None:
        self._transport = transport
        self._written_bytes = 0
        self._unsent_bytes = 0
        self.is_being_read = False

    def check(self) -> bool:
        """Return whether the client has read something since the last check."""
        written_bytes = self._transport.written_byte_count
        unsent_bytes = self._transport.unsent_byte_count
        is_comparable = written_bytes == self._written_bytes
        has_progressed = is_comparable and unsent_bytes < self._unsent_bytes
        self._written_bytes = written_bytes
        self._unsent_bytes = unsent_bytes
        was_being_read = is_comparable and self.is_being_read
        self.is_being_read = unsent_bytes > 0 and (has_progressed or was_being_read)
        return has_progressed

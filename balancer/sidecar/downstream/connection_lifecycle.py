"""The phases of a client's connection, and the reasons for which it is closed."""

from __future__ import annotations

from enum import Enum, StrEnum, auto


class CloseReason(StrEnum):
    """Why the sidecar closes its side of a connection."""

    LAST_RESPONSE = "last_response"
    """The client asked for the close, or sent an invalid request."""
    DRAINING = "draining"
    """The sidecar shuts down."""
    IDLE = "idle"
    """No request came within the idle timeout."""
    EVICTED = "evicted"
    """The limit on connections was exceeded by a new connection."""
    CLIENT_DISCONNECTED = "client_left"
    """The client has disconnected without an event of the transport that reports it."""
    UNREAD_RESPONSES = "unread_responses"
    """The client does not read its responses."""
    LINGERED = "lingered"
    """The client did not close its side in time, or a new connection exceeded the limit on connections."""


class ConnectionPhase(Enum):
    """The phases of a connection, in their order; phases may be skipped."""

    ACCEPTING_REQUESTS = auto()
    """Requests are accepted."""
    FINISHING = auto()
    """No further request is accepted, but responses may be pending.

    The last request has arrived, or the client has disconnected.
    """
    LINGERING = auto()
    """The sidecar's side is closed; bytes from the client are discarded until it closes its own side."""


class ConnectionLifecycle:
    """The phase of one connection, which never returns to an earlier one.

    Attributes:
        phase: the current phase; changed by the methods only.
        is_request_evicted: whether a request that was arriving has been rejected for a new connection.
    """

    __slots__ = ("is_request_evicted", "phase")

    def __init__(self) -> None:
        self.phase = ConnectionPhase.ACCEPTING_REQUESTS
        self.is_request_evicted = False

    @property
    def accepts_requests(self) -> bool:
        """Return whether further requests are accepted."""
        return self.phase is ConnectionPhase.ACCEPTING_REQUESTS

    @property
    def is_lingering(self) -> bool:
        """Return whether the sidecar's side is closed and the client's side is still open."""
        return self.phase is ConnectionPhase.LINGERING

    def stop_accepting_requests(self) -> None:
        """Accept no further request. A later phase stays as it is."""
        if self.phase is ConnectionPhase.ACCEPTING_REQUESTS:
            self.phase = ConnectionPhase.FINISHING

    def begin_lingering(self) -> None:
        """Record that the sidecar's side is being closed."""
        self.phase = ConnectionPhase.LINGERING

"""A client's connection: HTTP/1.1 with pipelining, a graceful close and time limits (RFC 9112, section 9)."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from http import HTTPStatus
from typing import Protocol

from balancer.sidecar.downstream.client_transport import ClientTransport
from balancer.sidecar.downstream.exchange import Exchange, ExchangeQueue
from balancer.sidecar.downstream.interfaces import RequestDispatcher
from balancer.sidecar.downstream.request_reader import (
    ARRIVAL_RESOLUTION_SECONDS,
    ReceivedRequest,
    RequestReader,
)
from balancer.sidecar.downstream.response import CONTINUE_RESPONSE, encode_response, request_error_response
from balancer.sidecar.downstream.timeouts import DownstreamTimeouts
from balancer.sidecar.http.message import MAX_REQUEST_BODY_BYTES, HttpResponse
from balancer.sidecar.http.request import HttpRequestError, RequestHead
from balancer.sidecar.requests.client_request import ClientRequest
from balancer.sidecar.runtime.metrics import Invariant, Metric

READINESS_METHOD = b"GET"
READINESS_PATH = b"/up"

MAX_DISCARDED_BYTES_LINGERING = 1024 * 1024
"""Of what arrives on a connection that lingers, this much is read and discarded."""
MAX_DISCARDED_BYTES = MAX_REQUEST_BODY_BYTES
"""The same after the last request, while its response is still to come."""


class CloseReason(StrEnum):
    """Why our side of a connection is closed."""

    LAST_RESPONSE = "last_response"
    """The client asked for it, or its request could not be read."""
    DRAINING = "draining"
    """The process ends."""
    IDLE = "idle"
    EVICTED = "evicted"
    """To make room for a new connection."""
    CLIENT_LEFT = "client_left"
    """Noticed by no event."""
    UNREAD_RESPONSES = "unread_responses"
    """The client does not read."""
    LINGERED = "lingered"
    """The client did not close its side in time."""


class ConnectionManager(Protocol):
    """What a connection needs of the listener that accepted it."""

    is_draining: bool
    """Whether a connection ends with the response after which it would be idle."""

    @property
    def dispatcher(self) -> RequestDispatcher:
        """Takes the valid requests."""

    @property
    def timeouts(self) -> DownstreamTimeouts:
        """The time limits in force."""

    @property
    def linger_timeout_seconds(self) -> float:
        """How long a connection may linger."""

    def now_seconds(self) -> float:
        """Return the event loop's time, in seconds."""

    def validate_request(self, head: RequestHead, body: bytes) -> ClientRequest:
        """Return the request as the dispatcher takes it. Raises HttpRequestError."""

    def readiness_response(self) -> HttpResponse:
        """Return the response to a readiness check."""

    def on_connection_opened(self, connection: DownstreamConnection) -> None:
        """Count a new connection and make room for it."""

    def on_request_accepted(self, connection: DownstreamConnection) -> None:
        """Note that a connection has sent a valid request."""

    def on_connection_lingering(self, connection: DownstreamConnection) -> None:
        """Note that a connection is closed but for the client's side."""

    def on_connection_closed(self, connection: DownstreamConnection) -> None:
        """Note that a connection is gone."""


class DownstreamConnection(asyncio.Protocol):
    """One connection of a client, from its first byte until both sides are closed.

    It takes requests until it is closed or one of them is the last. Then it lingers (RFC 9112, section 9.6):
    its own side is closed, and what the client still sends is discarded until the client closes too. Closed
    at once over bytes that have arrived unread, the connection would be reset and a response under way lost.

    Args:
        manager: the listener.
        unread_since_seconds: since when bytes may have waited in the socket, where the connection could not
            be accepted at once.

    Attributes:
        has_sent_request: whether a valid request has come.
    """

    def __init__(self, manager: ConnectionManager, unread_since_seconds: float | None = None) -> None:
        self.has_sent_request = False
        self._manager = manager
        self._metrics = manager.dispatcher.metrics
        self._transport = ClientTransport()
        self._reader = RequestReader()
        self._exchanges = ExchangeQueue()
        self._accepts_requests = True
        self._is_lingering = False
        self._is_parsing = False
        self._is_write_blocked = False
        self._discarded_bytes = 0
        self._waiting_since_seconds = 0.0
        self._unread_since_seconds = unread_since_seconds

    @property
    def is_connected(self) -> bool:
        """Whether the event loop has not reported the connection as lost, nor is yet to report it as made."""
        return self._transport.is_connected

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending and no part of a request has been read."""
        return not self._exchanges and self._reader.is_empty

    @property
    def has_pending_responses(self) -> bool:
        """Whether a request has been taken whose response has not been sent."""
        return bool(self._exchanges)

    @property
    def accepts_requests(self) -> bool:
        """Whether further requests are taken."""
        return self._accepts_requests

    @property
    def is_lingering(self) -> bool:
        """Whether our side is closed and the client's side is waited for."""
        return self._is_lingering

    @property
    def is_open(self) -> bool:
        """Whether the event loop is not closing the connection, nor has reported it as lost."""
        return self._transport.is_open()

    @property
    def is_reading_paused(self) -> bool:
        """Whether nothing is read from the client for now."""
        return self._transport.is_reading_paused

    @property
    def is_write_blocked(self) -> bool:
        """Whether the client does not read its responses, so that they pile up."""
        return self._is_write_blocked

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes of a request have been read that has not been taken yet."""
        return not self._reader.is_empty

    @property
    def discarded_bytes(self) -> int:
        """How many bytes were read and discarded after the last request."""
        return self._discarded_bytes

    def is_disconnected(self) -> bool:
        """Whether the client has closed its side, asked of the socket."""
        return self._transport.is_peer_closed()

    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that have not been read yet."""
        return self._transport.has_unread_bytes()

    def seconds_waited(self, now_seconds: float) -> float:
        """Return for how long the connection has waited for what it waits for now."""
        return now_seconds - self._waiting_since_seconds

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a connection that has been accepted."""
        self._transport.attach(transport)
        self._restart_wait()
        self._metrics.count(Metric.DOWNSTREAM_CONNECTIONS)
        self._manager.on_connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Take the requests that are whole with this data."""
        if not self._accepts_requests:
            self._discarded_bytes += len(data)
            self._update_reading()
            return
        if self.is_idle:
            self._restart_wait()
        self._reader.feed(data, self._arrival_time_seconds())
        self._process_requests()
        if not self._reader.is_empty:
            self._note_unread_bytes()

    def eof_received(self) -> None:
        """Let the loop close the connection, though not before responses that may never be read have left."""
        self._manager.on_connection_lingering(self)
        self._abandon_requests()

    def connection_lost(self, _error: Exception | None) -> None:
        """Give up what the client is owed."""
        self._transport.detach()
        self._manager.on_connection_closed(self)
        self._abandon_requests()

    def pause_writing(self) -> None:
        """Take no more requests while the client does not read its responses."""
        self._is_write_blocked = True
        self._restart_wait()
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on with the requests that have been read meanwhile."""
        self._is_write_blocked = False
        self._restart_wait()
        self._process_requests()

    # Requests

    def _arrival_time_seconds(self) -> float:
        """Return when the bytes just read had arrived; the earliest time where that is not known."""
        now_seconds = self._manager.now_seconds()
        if self._unread_since_seconds is None:
            return now_seconds
        arrived_at_seconds = self._unread_since_seconds
        if not self.has_unread_bytes():
            self._unread_since_seconds = None
        return arrived_at_seconds

    def _note_unread_bytes(self) -> None:
        """Remember that the rest of a request has arrived by now: a read may return less than there is."""
        if self._unread_since_seconds is None and self.has_unread_bytes():
            self._unread_since_seconds = self._manager.now_seconds()

    def _process_requests(self) -> None:
        """Take the requests that are whole, as far as there is room for them."""
        if self._is_parsing:  # a response that came at once has made room: the loop below goes on
            return
        self._is_parsing = True
        try:
            while self._reader.has_unparsed_bytes and self._has_room():
                request = self._reader.next_request()
                if request is None:
                    self._send_continue_if_expected()
                    break
                self._handle_request(request)
        except HttpRequestError as error:
            self._reject(error)
        finally:
            self._is_parsing = False
        self._update_reading()

    def _has_room(self) -> bool:
        """Whether a further request may be taken now."""
        return self._accepts_requests and not self._is_write_blocked and not self._exchanges.is_full

    def _send_continue_if_expected(self) -> None:
        # An interim response must not come between the responses to earlier requests.
        if self._reader.take_continue_expectation() and not self._exchanges:
            self._transport.write(CONTINUE_RESPONSE)

    def _handle_request(self, request: ReceivedRequest) -> None:
        head = request.head
        if head.method == READINESS_METHOD and head.path == READINESS_PATH:
            self._open_exchange(is_last=not head.keeps_alive).respond(self._manager.readiness_response())
            return
        client_request = self._manager.validate_request(head, request.body)
        waited_seconds = self._manager.now_seconds() - request.arrived_at_seconds
        if waited_seconds < ARRIVAL_RESOLUTION_SECONDS:
            waited_seconds = 0.0
        self.has_sent_request = True
        self._manager.on_request_accepted(self)
        exchange = self._open_exchange(is_last=not head.keeps_alive)
        exchange.request_id = self._manager.dispatcher.submit(exchange, client_request, waited_seconds)

    def _open_exchange(self, is_last: bool) -> Exchange:
        exchange = Exchange(self, is_last)
        if is_last:
            self._accepts_requests = False
        self._exchanges.append(exchange)
        return exchange

    def _reject(self, error: HttpRequestError) -> None:
        """Respond in its turn and end the connection, as the client would send on."""
        self._metrics.count(Metric.REQUESTS_REFUSED, str(error.status.value))
        self._reader.clear()
        self._open_exchange(is_last=True).respond(request_error_response(error))

    def _abandon_requests(self) -> None:
        """The client has left: nothing that it requested is wanted any more."""
        self._accepts_requests = False
        self._reader.clear()
        for request_id in self._exchanges.abandon():
            self._manager.dispatcher.on_client_disconnected(request_id)

    # Responses

    def send_ready_responses(self) -> None:
        """Send the responses whose turn has come, then go on with the requests that waited for room."""
        while (response := self._exchanges.first_response()) is not None:
            exchange = self._exchanges.popleft()
            self._restart_wait()
            # While the listener drains, what was taken on the connection before is answered first.
            is_last = exchange.is_last or (self._manager.is_draining and self.is_idle)
            self._transport.write(encode_response(response, close=is_last))
            if is_last:
                self.close(CloseReason.LAST_RESPONSE if exchange.is_last else CloseReason.DRAINING)
        self._process_requests()

    # Closing

    def close(self, reason: CloseReason) -> None:
        """Close our side, and the connection once the client has closed its own or the time is over.

        The one place where our side is closed in order; nothing that was requested may be unanswered then.
        """
        self._accepts_requests = False
        if self._is_lingering or not self._transport.is_open():
            return
        if self._exchanges:
            detail = f"{len(self._exchanges)} requests unanswered, closed as {reason}"
            self._metrics.record_violation(Invariant.CLOSE_AFTER_ANSWERS, detail)
        self._metrics.count(Metric.DOWNSTREAM_CLOSES, reason)
        self._is_lingering = True
        self._restart_wait()
        self._transport.close_sending_side()
        self._manager.on_connection_lingering(self)
        self._update_reading()

    def close_unless_unread(self, reason: CloseReason) -> None:
        """Close between requests. What has arrived unread may be one, which is answered first."""
        if not self.has_unread_bytes():
            self.close(reason)

    def abort(self, reason: CloseReason) -> None:
        """Close both sides at once."""
        self._metrics.count(Metric.DOWNSTREAM_CLOSES, reason)
        self._transport.abort()

    def _update_reading(self) -> None:
        """Read on, unless requests or responses pile up.

        After the last request too, as only there it shows that the client leaves; but not whatever it sends.
        """
        if self._accepts_requests:
            paused = not self._has_room()
        else:
            limit = MAX_DISCARDED_BYTES_LINGERING if self._is_lingering else MAX_DISCARDED_BYTES
            paused = self._discarded_bytes > limit
        if paused and self._unread_since_seconds is None:
            self._unread_since_seconds = self._manager.now_seconds()
        self._transport.set_reading_paused(paused)

    # Time limits

    def _restart_wait(self) -> None:
        self._waiting_since_seconds = self._manager.now_seconds()

    def enforce_timeouts(self, now_seconds: float, idle_timeout_seconds: float) -> None:
        """End the connection if it has waited for too long, or unnoticed by an event the client has left.

        Args:
            now_seconds: the event loop's time, in seconds.
            idle_timeout_seconds: the limit between requests.
        """
        if not self._transport.is_connected:
            return
        if self._has_left_unnoticed():
            self.abort(CloseReason.CLIENT_LEFT)
            return
        waited = self.seconds_waited(now_seconds)
        if self._is_lingering or not self._transport.is_open():
            if waited > self._manager.linger_timeout_seconds:
                self.abort(CloseReason.LINGERED)
        elif self._is_write_blocked:
            if waited > self._manager.timeouts.unread_response_seconds:
                self.abort(CloseReason.UNREAD_RESPONSES)
        elif self.is_idle:
            if waited > self._idle_timeout_seconds(idle_timeout_seconds):
                self.close_unless_unread(CloseReason.IDLE)
        elif not self.has_pending_responses and waited > self._request_timeout_seconds():
            self._reject(HttpRequestError(HTTPStatus.REQUEST_TIMEOUT))

    def _has_left_unnoticed(self) -> bool:
        """Whether the client has left while nothing is read, where no event tells of it."""
        transport = self._transport
        return transport.is_reading_paused and transport.is_open() and transport.is_peer_closed()

    def _idle_timeout_seconds(self, between_requests: float) -> float:
        return between_requests if self.has_sent_request else self._manager.timeouts.first_byte_seconds

    def _request_timeout_seconds(self) -> float:
        timeouts = self._manager.timeouts
        return timeouts.request_seconds if self.has_sent_request else timeouts.first_request_seconds

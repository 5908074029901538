"""A client's connection: HTTP/1.1 with pipelining and a graceful close (RFC 9112, section 9)."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from balancer.sidecar.downstream.client_transport import ClientTransport
from balancer.sidecar.downstream.connection_lifecycle import (
    CloseReason,
    ConnectionLifecycle,
    ConnectionPhase,
)
from balancer.sidecar.downstream.exchange import Exchange, ExchangeQueue
from balancer.sidecar.downstream.flow_control import FlowControl
from balancer.sidecar.downstream.interfaces import ConnectionManager
from balancer.sidecar.downstream.read_ahead import ReadAhead
from balancer.sidecar.downstream.request_reader import (
    ARRIVAL_RESOLUTION_SECONDS,
    ReceivedRequest,
    RequestReader,
)
from balancer.sidecar.downstream.request_turns import MAX_REQUESTS_PER_TURN, RequestTurns
from balancer.sidecar.downstream.response import CONTINUE_RESPONSE, encode_response, request_error_response
from balancer.sidecar.downstream.response_progress import ResponseProgress
from balancer.sidecar.downstream.stored_messages import StoredMessages
from balancer.sidecar.http.request import HttpRequestError
from balancer.sidecar.runtime.metrics import Invariant, Metric

READINESS_METHOD = b"GET"
"""Method of a readiness check."""
READINESS_PATH = b"/up"
"""Path of a readiness check, which the sidecar answers without the dispatcher."""


class DownstreamConnection(asyncio.BufferedProtocol):
    """One connection of a client, from its first byte until both sides are closed.

    It accepts requests until it is closed or its last request has arrived. Then it lingers (RFC 9112, section
    9.6): the sidecar's side is closed, and bytes that still arrive are discarded until the client closes its
    side too. If both sides were closed while bytes were unread, the kernel would reset the connection, and
    the client could lose a response that is under way.

    Args:
        manager: the listener.
        unread_since_seconds: the event loop's time, in seconds, since which bytes may have been waiting in
            the socket; None if the connection was accepted without a delay.

    Attributes:
        lifecycle: the phase of the connection.
        flow_control: whether reading is paused and writing blocked.
        response_progress: whether the client reads its responses.
        has_sent_request: whether the client has sent a valid request.
    """

    __slots__ = (
        "_exchanges",
        "_is_processing_requests",
        "_manager",
        "_metrics",
        "_read_ahead",
        "_reader",
        "_stored_messages",
        "_transport",
        "_turns",
        "_waiting_since_seconds",
        "flow_control",
        "has_sent_request",
        "lifecycle",
        "response_progress",
    )

    def __init__(self, manager: ConnectionManager, unread_since_seconds: float | None = None) -> None:
        self._manager = manager
        self._metrics = manager.dispatcher.metrics
        self._transport = ClientTransport()
        self._reader = RequestReader()
        self._exchanges = ExchangeQueue()
        self._stored_messages = StoredMessages(manager.dispatcher.budgets)
        self._turns = RequestTurns(manager)
        self._is_processing_requests = False
        self._waiting_since_seconds = 0.0
        self.lifecycle = ConnectionLifecycle()
        self.flow_control = FlowControl(self._transport, manager, unread_since_seconds)
        self._read_ahead = ReadAhead(
            self._transport, self.flow_control, self._reader, self._stored_messages, manager.read_buffer
        )
        self.response_progress = ResponseProgress(self._transport)
        self.has_sent_request = False

    # ---- state

    @property
    def is_connected(self) -> bool:
        """Return whether the event loop has reported the connection as made and not yet as lost."""
        return self._transport.is_connected

    @property
    def is_open(self) -> bool:
        """Return whether the connection is made and the event loop is not closing it."""
        return self._transport.is_open()

    @property
    def is_idle(self) -> bool:
        """Return whether no response is pending and no part of a request has been read."""
        return not self._exchanges and self._reader.is_empty

    @property
    def has_pending_responses(self) -> bool:
        """Return whether a request has been accepted whose response has not been sent."""
        return bool(self._exchanges)

    @property
    def has_unsent_response(self) -> bool:
        """Return whether a part of a response waits for the client to read, and would be lost by an abort."""
        return self._transport.unsent_byte_count > 0

    @property
    def has_partial_request(self) -> bool:
        """Return whether bytes have been read of a request that has not been accepted yet."""
        return not self._reader.is_empty

    @property
    def has_waiting_requests(self) -> bool:
        """Return whether bytes that have been read, perhaps with requests, wait for their turn."""
        return self._turns.is_waiting

    def seconds_since_last_arrival(self, now_seconds: float) -> float:
        """Return for how many seconds no byte of the partial request has arrived; there must be one."""
        return now_seconds - self._reader.last_arrival_seconds

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its side, according to the socket."""
        self._read_ahead.read(self.lifecycle.phase)
        return self._transport.is_peer_closed()

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have left some time ago, behind bytes that are still unread."""
        return self._read_ahead.is_end_hidden()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that have not been read yet."""
        return self._transport.has_unread_bytes()

    def seconds_waited(self, now_seconds: float) -> float:
        """Return for how many seconds the current wait has lasted.

        A wait starts when the connection is made, when bytes arrive on an idle connection, when writing is
        blocked or unblocked, with each response, when the sidecar's side is closed, and when
        `check_response_progress` finds that the client reads.
        """
        return now_seconds - self._waiting_since_seconds

    def check_response_progress(self) -> None:
        """Restart the current wait if the client has read a part of its responses since the last check."""
        if self.response_progress.check():
            self._restart_wait()
        self._record_stored_responses()

    def _restart_wait(self) -> None:
        self._waiting_since_seconds = self._manager.now_seconds()

    # ---- callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the listener."""
        self._transport.attach(transport)
        self._restart_wait()
        self._metrics.count(Metric.DOWNSTREAM_CONNECTIONS)
        self._manager.on_connection_opened(self)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return self._manager.read_buffer

    def buffer_updated(self, size_bytes: int) -> None:
        """Take the bytes of one read out of the buffer."""
        self.data_received(bytes(self._manager.read_buffer[:size_bytes]))

    def data_received(self, data: bytes) -> None:
        """Accept the requests that are complete with this data."""
        if self.lifecycle.phase is not ConnectionPhase.ACCEPTING_REQUESTS:
            self.flow_control.discarded_bytes += len(data)
            self._update_reading()
            return
        if self.is_idle:
            self._restart_wait()
        self._reader.feed(data, self.flow_control.arrival_time_seconds())
        self._process_requests()
        if not self._reader.is_empty:
            self.flow_control.record_unread_bytes()

    def eof_received(self) -> None:
        """Abandon the client's requests, and let the event loop close the connection.

        The event loop closes it once all written responses have been sent. The client may never read them,
        so the connection counts as lingering from now on.
        """
        self._manager.on_connection_lingering(self)
        self._abandon_requests()

    def connection_lost(self, _error: Exception | None) -> None:
        """Deregister the closed connection, and abandon the client's requests."""
        self._turns.cancel()
        self._transport.detach()
        self._manager.on_connection_closed(self)
        self._abandon_requests()
        self._stored_messages.clear()

    def pause_writing(self) -> None:
        """Accept no more requests while the client does not read its responses."""
        self.flow_control.is_write_blocked = True
        self._restart_wait()
        self._update_reading()

    def resume_writing(self) -> None:
        """Continue with the requests that were read while writing was blocked."""
        self.flow_control.is_write_blocked = False
        self._restart_wait()
        self._record_stored_responses()
        self._process_requests()

    def _update_reading(self) -> None:
        must_wait = self._exchanges.is_full or self._turns.is_waiting
        self.flow_control.update_reading(self.lifecycle.phase, must_wait)

    # ---- requests

    def _process_requests(self) -> None:
        """Accept the complete requests in the buffer, one turn now and the others in later turns."""
        if self._is_processing_requests:  # called for an immediate response; the loop of the turn goes on
            return
        if self._turns.is_waiting:  # called for a response while the next turn is scheduled
            return
        self._is_processing_requests = True
        try:
            self._process_turn()
        except HttpRequestError as error:
            self.reject_request(error)
        finally:
            self._is_processing_requests = False
        self._count_stored_requests()
        self._update_reading()

    def _count_stored_requests(self) -> None:
        """Count the bytes that are left in the buffer; reject a request that arrives if they do not fit.

        Requests that wait for their turn or for a place in the pipeline are not rejected: they are in memory
        already, and no more of them are read.
        """
        size_bytes = self._reader.buffered_byte_count
        if self._stored_messages.try_store_requests(size_bytes):
            return
        if self._can_accept_request() and not self._turns.is_waiting:
            self._metrics.count(Metric.MEMORY_REJECTIONS)
            self.reject_request(HttpRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "too many requests"))
        self._stored_messages.record_requests(self._reader.buffered_byte_count)

    def _process_turn(self) -> None:
        """Accept requests as long as `_can_accept_request` allows it. Raises HttpRequestError."""
        for _ in range(MAX_REQUESTS_PER_TURN):
            if not self._can_accept_request():
                return
            request = self._reader.next_request()
            if request is None:
                self._send_continue_if_expected()
                return
            self._handle_request(request)
        if self._can_accept_request():
            self._metrics.count(Metric.TURNS_DEFERRED)
            self._turns.schedule_next(self._process_requests)

    def _can_accept_request(self) -> bool:
        """Return whether a further request may be accepted now, if the buffer has one."""
        return (
            self._reader.has_unparsed_bytes
            and self.lifecycle.phase is ConnectionPhase.ACCEPTING_REQUESTS
            and not self.flow_control.is_write_blocked
            and not self._exchanges.is_full
        )

    def _send_continue_if_expected(self) -> None:
        # The interim response must not be sent before the responses to earlier requests.
        if self._reader.take_continue_expectation() and not self._exchanges:
            self._transport.write(CONTINUE_RESPONSE)

    def _handle_request(self, request: ReceivedRequest) -> None:
        head = request.head
        if head.method == READINESS_METHOD and head.path == READINESS_PATH:
            self._open_exchange(is_last=not head.keeps_alive).respond(self._manager.readiness_response())
            return
        self._stored_messages.record_requests(self._reader.buffered_byte_count)
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
            self.lifecycle.stop_accepting_requests()
        self._exchanges.append(exchange)
        return exchange

    def reject_request(self, error: HttpRequestError) -> None:
        """Respond to the current request with an error after earlier responses, and end the connection.

        The following bytes can't be split into requests, as the end of the current one is unknown.
        """
        self._metrics.count(Metric.INVALID_REQUESTS, str(error.status.value))
        self._reader.clear()
        self._open_exchange(is_last=True).respond(request_error_response(error))

    def evict_request(self) -> None:
        """Reject the request that is arriving, as a new connection needs the place of this one."""
        self.lifecycle.is_request_evicted = True
        self.reject_request(HttpRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections"))

    def _abandon_requests(self) -> None:
        """Abandon every request that has no response, as the client has disconnected."""
        self.lifecycle.stop_accepting_requests()
        self._reader.clear()
        self._stored_messages.record_requests(0)
        for request_id in self._exchanges.abandon():
            self._manager.dispatcher.on_client_disconnected(request_id)

    # ---- responses

    def send_ready_responses(self) -> None:
        """Send the responses that are next in order, then accept requests that waited in the buffer."""
        while (response := self._exchanges.first_response()) is not None:
            exchange = self._exchanges.popleft()
            self._restart_wait()
            # While the listener drains, requests accepted earlier on the connection get a response first.
            is_last = exchange.is_last or (self._manager.is_draining and self.is_idle)
            self._transport.write(encode_response(response, close=is_last))
            if is_last:
                self.close(CloseReason.LAST_RESPONSE if exchange.is_last else CloseReason.DRAINING)
        self._record_stored_responses()
        self._process_requests()

    def _record_stored_responses(self) -> None:
        unsent_bytes = self._transport.unsent_byte_count
        self._stored_messages.record_responses(self._exchanges.response_bytes + unsent_bytes)

    # ---- closing

    def close(self, reason: CloseReason) -> None:
        """Close the sidecar's side, and the connection once the client closes its own or a timeout expires.

        Every graceful close calls this method. It records a violation if responses are still pending.
        """
        self.lifecycle.stop_accepting_requests()
        if self.lifecycle.phase is ConnectionPhase.LINGERING or not self._transport.is_open():
            return
        if self._exchanges:
            detail = f"{len(self._exchanges)} responses pending at a close with reason {reason}"
            self._metrics.record_violation(Invariant.CLOSE_AFTER_RESPONSES, detail)
        self._metrics.count(Metric.DOWNSTREAM_CLOSES, reason)
        self.lifecycle.begin_lingering()
        self._restart_wait()
        self._transport.close_sending_side()
        self._manager.on_connection_lingering(self)
        self._update_reading()

    def close_unless_unread(self, reason: CloseReason) -> None:
        """Close an idle connection, unless bytes are unread: they may be a request to answer first."""
        if not self.has_unread_bytes():
            self.close(reason)

    def abort(self, reason: CloseReason) -> None:
        """Close both sides at once."""
        self._metrics.count(Metric.DOWNSTREAM_CLOSES, reason)
        self._transport.abort()

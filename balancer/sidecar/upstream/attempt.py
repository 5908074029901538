"""One attempt to have a request answered by one endpoint."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto
from typing import TypeAlias

from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.background_continuation import BackgroundContinuation
from balancer.sidecar.upstream.connection_acquisition import ConnectionAcquisition
from balancer.sidecar.upstream.connection_provider import ConnectError, ConnectionProvider
from balancer.sidecar.upstream.pool import EndpointPool
from balancer.sidecar.upstream.response_outcome import outcome_of_response
from balancer.time_units import SECOND_NS

CompletionCallback: TypeAlias = Callable[[AttemptOutcome, HttpResponse | None], None]
"""Gets the outcome of an attempt, and the response if there is one."""

log = logging.getLogger(__name__)


class AttemptState(Enum):
    """The state of an attempt.

    Attempts that are DETACHED or IN_BACKGROUND have reported their outcome, and are held by the connection
    provider. `Attempt.abort` leads to ENDED from every state, at once.
    """

    NEW = auto()
    """Not started.

    `start` writes the request to an idle connection (IN_FLIGHT), or else waits for a connection (CONNECTING),
    or else ends the attempt, as no further connection may be opened.
    """
    CONNECTING = auto()
    """A task waits until the reuse delay of a used connection is over, or a new connection is established.

    With the connection the request is written (IN_FLIGHT). The attempt ends if there is none, if it is too
    late, or if the endpoint accepts no new requests any more. `end_unless_sent`, `expire` and
    `continue_in_background` report that nothing was sent (DETACHED).
    """
    DETACHED = auto()
    """The outcome is reported while the connection is still being established.

    The connection goes to the pool, which ends the attempt.
    """
    IN_FLIGHT = auto()
    """The request is written, or a part of it.

    A response, the loss of the connection or `expire` ends the attempt. So does the time `start_before_ns` if
    a part of the request is still unsent by then. `continue_in_background` reports a timeout (IN_BACKGROUND),
    or ends the attempt if a part is unsent or no time is left.
    """
    IN_BACKGROUND = auto()
    """The outcome is reported, but the connection is kept for a limited time.

    The response may still come and leave the connection fit for the next request. The response, the loss of
    the connection or the end of the time ends the attempt.
    """
    ENDED = auto()
    """The attempt holds nothing any more."""


_UNREPORTED_STATES = (AttemptState.IN_FLIGHT, AttemptState.CONNECTING, AttemptState.NEW)
"""States before the outcome is reported.

A tuple, which is searched by identity: the hash of an enum member is computed in Python.
"""


class Attempt:
    """A request on its way to an endpoint. Its states and their transitions are those of `AttemptState`.

    Args:
        provider: the owner of all connections.
        pool: the pool of the endpoint.
        build_payload: returns the request; called just before it is written.
        on_completed: called exactly once, with the outcome and the response if there is one. The outcome is
            the one passed to `abort`. If the attempt ends otherwise and nothing of the request was written,
            the outcome is one of a request that was never executed.
        start_before_ns: the time, by the provider's clock, after which the request is not written any more;
            0: no limit.
    """

    __slots__ = (
        "_background",
        "_build_payload",
        "_connect_task",
        "_connection",
        "_on_completed",
        "_pool",
        "_provider",
        "_start_before_ns",
        "_state",
        "_unsent_timer",
    )

    def __init__(
        self,
        provider: ConnectionProvider,
        pool: EndpointPool,
        build_payload: Callable[[], bytes],
        on_completed: CompletionCallback,
        start_before_ns: int,
    ) -> None:
        self._provider = provider
        self._pool = pool
        self._build_payload = build_payload
        self._on_completed = on_completed
        self._start_before_ns = start_before_ns
        self._state = AttemptState.NEW
        self._connect_task: asyncio.Task[None] | None = None
        """Set while CONNECTING or DETACHED."""
        self._connection: OutboundConnection | None = None
        """Set while IN_FLIGHT or IN_BACKGROUND."""
        self._unsent_timer: OneShotTimer | None = None
        """Set if a part of the request was unsent at first, which is the case for few attempts."""
        self._background: BackgroundContinuation | None = None
        """Set while IN_BACKGROUND."""

    @property
    def state(self) -> AttemptState:
        """Return the state of the attempt."""
        return self._state

    def start(self) -> None:
        """Write the request to an idle connection, or begin to wait for a connection."""
        provider = self._provider
        connection = self._pool.acquire(provider.now_ns())
        if connection is not None:
            self._send(connection)
            return
        reuse_delay_seconds = self._pool.seconds_until_reusable(provider.now_ns())
        if reuse_delay_seconds > 0 or provider.ensure_connection_capacity():
            self._state = AttemptState.CONNECTING
            self._connect_task = provider.loop.create_task(self._connect_and_send(reuse_delay_seconds))
        else:
            # The limit on connections is the sidecar's own: it says nothing of the endpoint.
            self._end(AttemptOutcome.NOT_SENT)

    def abort(self, outcome: AttemptOutcome) -> None:
        """End the attempt with this outcome, closing its connection before it is reported."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._end(outcome)

    def end_unless_sent(self) -> bool:
        """End the attempt unless its request was sent completely. Returns whether it is ended or detached.

        The pool gets a connection that is still being established. If a part of the request was sent, the
        connection is closed: otherwise the rest would be sent whenever the endpoint continues to read.
        """
        if self._connect_task is not None:
            self._detach()
            return True
        if self._has_unsent_bytes:
            self.abort(AttemptOutcome.NOT_SENT)
            return True
        return False

    def expire(self) -> None:
        """End the attempt, as its timeout is over."""
        if not self.end_unless_sent():
            self.abort(AttemptOutcome.TIMEOUT)

    def continue_in_background(self, seconds: float, on_released: Callable[[], None]) -> None:
        """Report a timeout, but keep the connection if the response comes within this time.

        Closing the connection would cost the endpoint a handshake, which is about the work of a request, and
        the next request the time of it. A request that was not sent completely is never executed: its attempt
        ends with an outcome that does not count against the endpoint.

        Args:
            seconds: the time; without any the attempt ends now.
            on_released: called once nothing of the attempt is in flight any more.
        """
        if self._state is AttemptState.IN_FLIGHT and seconds > 0 and not self._has_unsent_bytes:
            if self._unsent_timer is not None:
                self._unsent_timer.cancel()
            self._state = AttemptState.IN_BACKGROUND
            self._background = BackgroundContinuation(self._provider.loop, on_released)
            self._background.start(seconds, self._on_background_timeout)
            self._provider.background_attempts.add(self)
            self._on_completed(AttemptOutcome.TIMEOUT, None)
        else:
            self.expire()
            on_released()

    # ---- connecting

    def _is_connecting(self) -> bool:
        return self._state is AttemptState.CONNECTING

    def _detach(self) -> None:
        """Report that nothing was sent, and leave the connection being established to the pool."""
        if self._state is not AttemptState.CONNECTING:
            return
        self._state = AttemptState.DETACHED
        self._provider.background_attempts.add(self)
        self._on_completed(AttemptOutcome.NOT_SENT, None)

    async def _connect_and_send(self, reuse_delay_seconds: float) -> None:
        connection: OutboundConnection | None = None
        failure_outcome = AttemptOutcome.NOT_SENT
        acquisition = ConnectionAcquisition(self._provider, self._pool, self._is_connecting)
        try:
            connection = await acquisition.acquire(reuse_delay_seconds)
        except ConnectError as error:
            failure_outcome = error.attempt_outcome
        except Exception:
            # Whatever the error is, the request must not wait for an attempt that will never end.
            host, port = self._pool.address
            endpoint = self._pool.endpoint_id.hex()
            log.exception("connect_failed_unexpectedly address=%s:%d endpoint=%s", host, port, endpoint)
        self._connect_task = None
        if self._state is not AttemptState.CONNECTING:
            self._end_detached(connection)
        elif connection is None:
            self._end(failure_outcome)
        else:
            self._use_connection(connection)

    def _end_detached(self, connection: OutboundConnection | None) -> None:
        self._state = AttemptState.ENDED
        self._provider.background_attempts.discard(self)
        if connection is not None:
            self._pool.release(connection, self._provider.now_ns())

    def _use_connection(self, connection: OutboundConnection) -> None:
        if not self._pool.is_ready:
            # The endpoint began to drain or was removed during the connect: it accepts no new requests.
            connection.close()
            self._end(AttemptOutcome.CONNECT_FAILED)
        elif self._start_before_ns and self._provider.now_ns() >= self._start_before_ns:
            self._pool.release(connection, self._provider.now_ns())
            self._end(AttemptOutcome.NOT_SENT)
        else:
            self._send(connection)

    # ---- in flight

    @property
    def _has_unsent_bytes(self) -> bool:
        return self._connection is not None and self._connection.has_unsent_bytes

    def _send(self, connection: OutboundConnection) -> None:
        self._state = AttemptState.IN_FLIGHT
        self._connection = connection
        # The owner of the payload may abort the attempt here. The closed connection then sends nothing.
        payload = self._build_payload()
        if not connection.send(payload, self._on_response):
            self._end(AttemptOutcome.CONNECT_FAILED)
        elif self._start_before_ns and connection.has_unsent_bytes:
            self._start_unsent_timer()

    def _on_response(self, response: HttpResponse | None) -> None:
        if self._connection is not None and response is not None:
            self._pool.release(self._connection, self._provider.now_ns())
        self._end(outcome_of_response(response), response)

    # ---- deadlines

    def _start_unsent_timer(self) -> None:
        """End the attempt when its start window is over, unless the rest of the request is sent by then."""
        remaining_ns = max(0, self._start_before_ns - self._provider.now_ns())
        self._unsent_timer = OneShotTimer(self._provider.loop)
        self._unsent_timer.start(remaining_ns / SECOND_NS, self._on_start_window_over)

    def _on_start_window_over(self) -> None:
        """End the attempt if a part of the request is unsent when it would be too late even to start."""
        if self._has_unsent_bytes:
            self.abort(AttemptOutcome.NOT_SENT)

    def _on_background_timeout(self) -> None:
        self.abort(AttemptOutcome.TIMEOUT)

    # ---- the end

    def _end(self, outcome: AttemptOutcome, response: HttpResponse | None = None) -> None:
        """Release what the attempt holds, and report the outcome unless one was reported before."""
        is_unreported = self._state in _UNREPORTED_STATES
        background = self._background
        self._state = AttemptState.ENDED
        self._connection = None
        self._connect_task = None
        self._background = None
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
        self._provider.background_attempts.discard(self)
        if is_unreported:
            self._on_completed(outcome, response)
        if background is not None:
            background.end()

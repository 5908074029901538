"""One attempt to send a request to an endpoint and to receive its response."""

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
"""Is called with the outcome of an attempt, and with the response if there is one."""

log = logging.getLogger(__name__)


class AttemptState(Enum):
    """The state of an attempt.

    An attempt that is DETACHED or IN_BACKGROUND has reported its outcome, and is in the `background_attempts`
    of the connection provider. `Attempt.abort` changes every state to ENDED at once.
    """

    NEW = auto()
    """The attempt is not started.

    `start` does one of the following:

    - It writes the request to an idle connection (IN_FLIGHT).
    - If there is none, it waits for a connection (CONNECTING).
    - If no connection may be opened either, it ends the attempt.
    """
    CONNECTING = auto()
    """A task waits for the reuse delay of a used connection, or for a new connection.

    - When the task has a connection, it writes the request to it (IN_FLIGHT).
    - The attempt ends if the task gets no connection, if `start_before_ns` has passed, or if the endpoint no
      longer accepts new requests.
    - `end_unless_sent`, `expire` and `continue_in_background` report that nothing was sent (DETACHED).
    """
    DETACHED = auto()
    """The outcome is reported, but the connection is still being established.

    The attempt ends when the connection is established, which then goes to the pool, or when that fails.
    """
    IN_FLIGHT = auto()
    """The request is written to the connection, but a part of it may be unsent or not transmitted.

    - A response, the loss of the connection or `expire` ends the attempt.
    - The attempt also ends at `start_before_ns` if a part of the request is not transmitted by then.
    - `continue_in_background` reports a timeout (IN_BACKGROUND). It ends the attempt if a part of the request
      is not transmitted or no time is left.
    """
    IN_BACKGROUND = auto()
    """The outcome is reported, but the connection stays open for a limited time.

    If the response arrives in this time, the connection can be used for the next request. The response, the
    loss of the connection or the end of the time ends the attempt.
    """
    ENDED = auto()
    """The attempt holds no connection, task or timer."""


_UNREPORTED_STATES = (AttemptState.IN_FLIGHT, AttemptState.CONNECTING, AttemptState.NEW)
"""The states in which the outcome is not reported yet.

It is a tuple, not a set, because a tuple is searched by identity. A set needs the hash of the enum member,
which is computed in Python.
"""


class Attempt:
    """One attempt at an endpoint. `AttemptState` describes its states and their transitions.

    Args:
        provider: The owner of all connections.
        pool: The connection pool of the endpoint.
        build_payload: Returns the request. It is called just before the request is written.
        on_completed: Is called exactly once, with the outcome and with the response if there is one. After
            `abort` the outcome is the one passed to it. If the attempt ends in another way and nothing of the
            request was written, the outcome is one of `OUTCOMES_NEVER_EXECUTED`.
        start_before_ns: The end of the start window: the time, by the provider's clock, from which on the
            request is no longer written; 0 for no limit.
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
        "_start_window_timer",
        "_state",
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
        self._start_window_timer: OneShotTimer | None = None
        """Set if a part of the request was not transmitted at once, which is rare."""
        self._background: BackgroundContinuation | None = None
        """Set while IN_BACKGROUND."""

    @property
    def state(self) -> AttemptState:
        """Return the state of the attempt."""
        return self._state

    def start(self) -> None:
        """Write the request to an idle connection, or start to wait for a connection."""
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
            # The limit on connections is the sidecar's own, so this must not count against the endpoint.
            self._end(AttemptOutcome.NOT_SENT)

    def abort(self, outcome: AttemptOutcome) -> None:
        """Close the connection, end the attempt and report this outcome, unless one was reported before."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._end(outcome)

    def end_unless_sent(self) -> bool:
        """End the attempt unless its request was sent completely. Returns whether it ended or is detached.

        A connection that is still being established goes to the pool. If only a part of the request was sent,
        the connection is closed. Otherwise the rest would be sent whenever the endpoint continues to read.
        """
        if self._connect_task is not None:
            self._detach()
            return True
        if self._has_unsent_bytes:
            self.abort(AttemptOutcome.NOT_SENT)
            return True
        return False

    def end_unless_transmitted(self, outcome: AttemptOutcome) -> None:
        """End the attempt unless its request has left this machine, because nobody waits for it any more.

        The endpoint executes a request only once its last byte has arrived. If the attempt went on, that
        could happen at any later time.

        Args:
            outcome: What to report if the kernel has taken the request; an outcome after which the request
                may have been executed, as the kernel may transmit the rest at any moment.
        """
        if not self.end_unless_sent() and self._has_untransmitted_bytes:
            self.abort(outcome)

    def expire(self) -> None:
        """End the attempt because its timeout has passed."""
        if not self.end_unless_sent():
            self.abort(AttemptOutcome.TIMEOUT)

    def continue_in_background(self, seconds: float, on_released: Callable[[], None]) -> None:
        """Report a timeout, but keep the connection if the response arrives within this time.

        If the connection were closed, a new handshake would be necessary. It costs the endpoint about as much
        work as a request, and it delays the next request. A request that was not sent completely is never
        executed, so its attempt ends with an outcome that does not count against the endpoint. An attempt
        whose request the kernel has not transmitted completely ends, too, so that it is not executed later.

        Args:
            seconds: How long to wait for the response. If it is not positive, the attempt ends now.
            on_released: Is called once nothing of the attempt is in flight any more.
        """
        if self._state is AttemptState.IN_FLIGHT and seconds > 0 and not self._has_untransmitted_bytes:
            if self._start_window_timer is not None:
                self._start_window_timer.cancel()
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
            # The attempt has to end after any error; otherwise its request would wait until its deadline.
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
            # The endpoint began to drain or was removed during the connect, so it accepts no new requests.
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

    @property
    def _has_untransmitted_bytes(self) -> bool:
        return self._connection is not None and self._connection.has_untransmitted_bytes

    def _send(self, connection: OutboundConnection) -> None:
        self._state = AttemptState.IN_FLIGHT
        self._connection = connection
        # `_build_payload` may abort the attempt. The closed connection then sends nothing.
        payload = self._build_payload()
        if not connection.send(payload, self._on_response):
            self._end(AttemptOutcome.CONNECT_FAILED)
        elif self._start_before_ns and connection.has_untransmitted_bytes:
            self._limit_transmission()

    def _on_response(self, response: HttpResponse | None) -> None:
        connection = self._connection
        if connection is not None and response is not None:
            self._pool.release(connection, self._provider.now_ns())
        is_request_truncated = connection is not None and connection.is_request_truncated
        self._end(outcome_of_response(response, is_request_truncated=is_request_truncated), response)

    # ---- deadlines

    def _limit_transmission(self) -> None:
        """End the attempt at `start_before_ns` unless the request has been transmitted by then."""
        remaining_ns = max(0, self._start_before_ns - self._provider.now_ns())
        self._start_window_timer = OneShotTimer(self._provider.loop)
        self._start_window_timer.start(remaining_ns / SECOND_NS, self._on_start_window_over)

    def _on_start_window_over(self) -> None:
        self.end_unless_transmitted(AttemptOutcome.TIMEOUT)

    def _on_background_timeout(self) -> None:
        self.abort(AttemptOutcome.TIMEOUT)

    # ---- the end

    def _end(self, outcome: AttemptOutcome, response: HttpResponse | None = None) -> None:
        """Release all resources of the attempt, and report the outcome unless one was reported before."""
        is_unreported = self._state in _UNREPORTED_STATES
        background = self._background
        self._state = AttemptState.ENDED
        self._connection = None
        self._connect_task = None
        self._background = None
        if self._start_window_timer is not None:
            self._start_window_timer.cancel()
        self._provider.background_attempts.discard(self)
        if is_unreported:
            self._on_completed(outcome, response)
        if background is not None:
            background.end()

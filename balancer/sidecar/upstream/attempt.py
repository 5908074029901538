"""One attempt to have a request answered by one endpoint."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus
from typing import Protocol, TypeAlias

from balancer.errors import UpstreamConnectionError
from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.address import Address
from balancer.sidecar.runtime.sockets import RESOURCE_SHORTAGE_ERRNOS
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.pool import EndpointPool
from balancer.time_units import SECOND_NS

CompletionCallback: TypeAlias = Callable[[AttemptOutcome, HttpResponse | None], None]

TIMER_RESOLUTION_SECONDS = 0.001  # the event loop rounds its timers to milliseconds

STATUS_OK = int(HTTPStatus.OK)
REJECTION_STATUSES = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT))
CLIENT_ERROR_STATUSES = range(400, 500)
# Client errors that speak of the moment, not of the request.
TRANSIENT_CLIENT_ERROR_STATUSES = frozenset(
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_EARLY, HTTPStatus.TOO_MANY_REQUESTS)
)

# Failures to connect that speak of this machine, not of the endpoint.
LOCAL_RESOURCE_ERRNOS = RESOURCE_SHORTAGE_ERRNOS | {errno.EADDRNOTAVAIL}

MAX_SHORTAGE_RETRIES = 5
SHORTAGE_PAUSE_SECONDS = 0.02
"""Between two tries to connect while this machine is short of something: a tenth of a second in all."""

log = logging.getLogger(__name__)


class ConnectError(UpstreamConnectionError):
    """An attempt has got no connection, which ends it with `attempt_outcome`."""

    attempt_outcome: AttemptOutcome
    reason: str

    def __init__(self, address: Address) -> None:
        super().__init__(f"no connection to {address[0]}:{address[1]}: {self.reason}")
        self.address = address


class EndpointUnreachableError(ConnectError):
    """The endpoint has accepted no connection at its address."""

    attempt_outcome = AttemptOutcome.CONNECT_FAILED
    reason = "the endpoint is unreachable"


class LocalResourceError(ConnectError):
    """This sidecar has no room for a further connection, which says nothing of the endpoint."""

    attempt_outcome = AttemptOutcome.NOT_SENT
    reason = "local resources are exhausted"


class ConnectionProvider(Protocol):
    """What an attempt needs of the owner of all connections."""

    loop: asyncio.AbstractEventLoop
    background_attempts: set[Attempt]

    def now_ns(self) -> int:
        """Return the time of the sidecar's clock."""

    def make_room(self) -> bool:
        """Return whether a connection may be opened, having closed an idle one if need be."""

    async def connect(self, pool: EndpointPool) -> OutboundConnection:
        """Open a connection to the endpoint of this pool. Raises OSError."""


class AttemptState(Enum):
    """Where an attempt stands; see `Attempt`."""

    NEW = auto()
    CONNECTING = auto()
    DETACHED = auto()
    IN_FLIGHT = auto()
    IN_BACKGROUND = auto()
    ENDED = auto()


# A tuple, as it is searched by identity: the hash of an enum member is computed in Python.
_AWAITED_STATES = (AttemptState.IN_FLIGHT, AttemptState.CONNECTING, AttemptState.NEW)


class Attempt:
    """A request on its way to an endpoint.

    `build_payload` is called just before the request is written. `on_completed` is called exactly once, with
    the outcome and the response if there is one. The outcome is the one that `abort` is given; any other way
    to end reports a request of which nothing was written as never executed.

    The states, and what leads from one to the next:

    - NEW: not started. `start` writes the request to an idle connection (IN_FLIGHT), else waits for a
      connection (CONNECTING), else ends, as there is no room for one.
    - CONNECTING: a task waits until the reuse delay of a used connection is over, or a new one is made. Once
      there is one the request is written (IN_FLIGHT), unless there is none, it is too late or the endpoint
      takes nothing new any more, which ends the attempt. `give_up_unsent`, `expire` and
      `continue_in_background` report that nothing was sent (DETACHED).
    - DETACHED: reported, while the connection is still being made. It goes to the pool, which ends the
      attempt.
    - IN_FLIGHT: the request is written, or a part of it. A response or the loss of the connection ends the
      attempt, as does `expire`. If a part of the request is still unsent at `start_before_ns` it is too late
      for the rest, which ends the attempt as well. `continue_in_background` reports a timeout
      (IN_BACKGROUND); where a part is unsent or no time is left it ends the attempt.
    - IN_BACKGROUND: reported, but its connection is kept for a while, as the response may still come and
      leave the connection fit for the next request. The response, the loss of the connection or the end of
      that time ends the attempt.
    - ENDED: nothing of the attempt is left. `abort` leads here from every state, at once.

    `on_completed` is called on the way from NEW, CONNECTING or IN_FLIGHT to DETACHED, IN_BACKGROUND or ENDED.
    Attempts that are DETACHED or IN_BACKGROUND are held by the connection provider.
    """

    __slots__ = (
        "_build_payload",
        "_connect_task",
        "_connection",
        "_on_completed",
        "_on_released",
        "_pool",
        "_provider",
        "_start_before_ns",
        "_state",
        "_timer",
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
        self._start_before_ns = start_before_ns  # 0: no limit
        self._state = AttemptState.NEW
        self._connect_task: asyncio.Task[None] | None = None  # while CONNECTING or DETACHED
        self._connection: OutboundConnection | None = None  # while IN_FLIGHT or IN_BACKGROUND
        self._on_released: Callable[[], None] | None = None  # while IN_BACKGROUND
        # The limit for unsent bytes, then that of the background; made on demand, as few attempts need it.
        self._timer: OneShotTimer | None = None

    @property
    def state(self) -> AttemptState:
        """Where the attempt stands."""
        return self._state

    def start(self) -> None:
        """Write the request to an idle connection, or begin to wait for a connection."""
        provider = self._provider
        connection = self._pool.acquire(provider.now_ns())
        if connection is not None:
            self._send(connection)
            return
        reuse_delay_seconds = self._pool.seconds_until_reusable(provider.now_ns())
        if reuse_delay_seconds > 0 or provider.make_room():
            self._state = AttemptState.CONNECTING
            self._connect_task = provider.loop.create_task(self._connect_and_send(reuse_delay_seconds))
        else:
            # The lack of room is this sidecar's: it says nothing of the endpoint.
            self._end(AttemptOutcome.NOT_SENT)

    def abort(self, outcome: AttemptOutcome) -> None:
        """End the attempt: its connection is closed before anything else happens for the request."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._end(outcome)

    def give_up_unsent(self) -> bool:
        """End the attempt unless its request was sent whole. Returns whether it is ended or about to end.

        While it is still connecting, the pool gets the connection that is being made. Where a part was sent,
        the connection is closed: the rest would go out whenever the endpoint reads on.
        """
        if self._connect_task is not None:
            self._detach()
            return True
        if self._has_unsent_bytes:
            self.abort(AttemptOutcome.NOT_SENT)
            return True
        return False

    def expire(self) -> None:
        """End the attempt as its own time is over."""
        if not self.give_up_unsent():
            self.abort(AttemptOutcome.TIMEOUT)

    def continue_in_background(self, seconds: float, on_released: Callable[[], None]) -> None:
        """End the attempt as its request is over, but keep its connection if the response comes in this time.

        Closed, the connection would cost the endpoint a handshake, about the work of a request, and the next
        request the time of it. `on_released` is called once nothing of the attempt is in flight any more.
        What was never sent is never executed; nor does that speak against the endpoint, as the connect has
        time left.
        """
        if self._state is AttemptState.IN_FLIGHT and seconds > 0 and not self._has_unsent_bytes:
            self._state = AttemptState.IN_BACKGROUND
            self._on_released = on_released
            self._start_timer(seconds, self._on_background_timeout)
            self._provider.background_attempts.add(self)
            self._on_completed(AttemptOutcome.TIMEOUT, None)
        else:
            self.expire()
            on_released()

    # ---- connecting

    def _detach(self) -> None:
        if self._state is not AttemptState.CONNECTING:
            return
        self._state = AttemptState.DETACHED
        self._provider.background_attempts.add(self)
        self._on_completed(AttemptOutcome.NOT_SENT, None)

    async def _connect_and_send(self, reuse_delay_seconds: float) -> None:
        connection: OutboundConnection | None = None
        failure_outcome = AttemptOutcome.NOT_SENT
        try:
            connection = await self._obtain_connection(reuse_delay_seconds)
        except ConnectError as error:
            failure_outcome = error.attempt_outcome
        except Exception:
            # Whatever it is, the request must not wait for an attempt that nobody works on any more.
            log.exception("connecting to %s:%d failed unexpectedly", *self._pool.address)
        self._connect_task = None
        if self._state is not AttemptState.CONNECTING:
            self._end_detached(connection)
        elif connection is None:
            self._end(failure_outcome)
        else:
            self._use_new_connection(connection)

    async def _obtain_connection(self, reuse_delay_seconds: float) -> OutboundConnection | None:
        """Return a used connection after its reuse delay, which is cheaper than a handshake, else a new one.

        Returns None where the attempt was detached during the delay: then neither is of use. Raises
        ConnectError.
        """
        if reuse_delay_seconds > 0:
            await asyncio.sleep(reuse_delay_seconds + TIMER_RESOLUTION_SECONDS)
            if self._state is not AttemptState.CONNECTING:
                return None
            connection = self._pool.acquire(self._provider.now_ns())
            if connection is not None:
                return connection
            if not self._provider.make_room():
                raise LocalResourceError(self._pool.address)
        return await self._open_connection()

    async def _open_connection(self) -> OutboundConnection:
        """Return a new connection. Raises ConnectError.

        What becomes of a connect to an address that the endpoint has left meanwhile says nothing of the
        endpoint: the new address is tried. Where this machine is short of something, it is tried again, and a
        connection that has become idle meanwhile will do as well.
        """
        retries_left = MAX_SHORTAGE_RETRIES
        while True:
            address = self._pool.address
            try:
                connection = await self._provider.connect(self._pool)
            except OSError as error:  # a timeout is one, too
                if address == self._pool.address:
                    if error.errno not in LOCAL_RESOURCE_ERRNOS or not retries_left:
                        raise _connect_error(address, error) from error
                    retries_left -= 1
                    await asyncio.sleep(SHORTAGE_PAUSE_SECONDS)
                    idle_connection = self._pool.acquire(self._provider.now_ns())
                    if idle_connection is not None:
                        return idle_connection
            else:
                if address == self._pool.address:
                    return connection
                connection.close()
            if self._state is not AttemptState.CONNECTING or not self._pool.is_ready:
                raise EndpointUnreachableError(address)
            if not self._provider.make_room():
                raise LocalResourceError(self._pool.address)

    def _end_detached(self, connection: OutboundConnection | None) -> None:
        self._state = AttemptState.ENDED
        self._provider.background_attempts.discard(self)
        if connection is not None:
            self._pool.release(connection, self._provider.now_ns())

    def _use_new_connection(self, connection: OutboundConnection) -> None:
        if not self._pool.is_ready:
            # The endpoint began to drain or was removed meanwhile: nothing new may be sent to it.
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
        # The payload's owner may abort the attempt here. Then the connection is closed and refuses it.
        payload = self._build_payload()
        if not connection.send(payload, self._on_response):
            self._end(AttemptOutcome.CONNECT_FAILED)
        elif self._start_before_ns and connection.has_unsent_bytes:
            remaining_ns = max(0, self._start_before_ns - self._provider.now_ns())
            self._start_timer(remaining_ns / SECOND_NS, self._on_start_window_over)

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        if self._timer is None:
            self._timer = OneShotTimer(self._provider.loop)
        self._timer.start(seconds, callback)

    def _on_response(self, response: HttpResponse | None) -> None:
        if self._connection is not None and response is not None:
            self._pool.release(self._connection, self._provider.now_ns())
        self._end(outcome_of_response(response), response)

    def _on_start_window_over(self) -> None:
        """End the attempt if a part of the request is still unsent when even its start would be too late."""
        if self._has_unsent_bytes:
            self.abort(AttemptOutcome.NOT_SENT)

    def _on_background_timeout(self) -> None:
        self.abort(AttemptOutcome.TIMEOUT)

    # ---- the end

    def _end(self, outcome: AttemptOutcome, response: HttpResponse | None = None) -> None:
        """Report the outcome if it is still awaited, and release what is held."""
        is_awaited = self._state in _AWAITED_STATES
        on_released = self._on_released
        self._state = AttemptState.ENDED
        self._connection = None
        self._connect_task = None
        self._on_released = None
        if self._timer is not None:
            self._timer.cancel()
        self._provider.background_attempts.discard(self)
        if is_awaited:
            self._on_completed(outcome, response)
        if on_released is not None:
            on_released()


def outcome_of_response(response: HttpResponse | None) -> AttemptOutcome:
    """Return what a response says of its attempt.

    What is not plainly rejected or served may have been executed.
    """
    if response is None:
        return AttemptOutcome.CONNECTION_RESET
    status = response.status
    if status == STATUS_OK:
        return AttemptOutcome.SUCCESS
    if status in REJECTION_STATUSES and response.header(b"srv-declined") == b"1":
        return AttemptOutcome.REJECTED
    if status in CLIENT_ERROR_STATUSES and status not in TRANSIENT_CLIENT_ERROR_STATUSES:
        return AttemptOutcome.CLIENT_ERROR
    return AttemptOutcome.SERVER_ERROR


def _connect_error(address: Address, error: OSError) -> ConnectError:
    if error.errno in LOCAL_RESOURCE_ERRNOS:
        return LocalResourceError(address)
    return EndpointUnreachableError(address)

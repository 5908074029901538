"""Single calls to discovery over HTTP/1.1, and the ways in which they fail."""

from __future__ import annotations

import asyncio
import json
from functools import partial
from http import HTTPStatus

from balancer.errors import DiscoveryError
from balancer.sidecar.discovery.endpoint_list import (
    EndpointListUpdate,
    MalformedEndpointListError,
    NameIndices,
    parse_endpoint_list,
)
from balancer.sidecar.discovery.late_calls import LateCalls
from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.address import Address

MAX_ENDPOINT_LIST_BYTES = 4 * 1024 * 1024
"""The largest response body that is accepted; the whole body is buffered in memory."""

ENDPOINT_LIST_PATH = "/discovery/hosts"
"""The path at which discovery serves the endpoint list."""


class DiscoveryCallError(DiscoveryError):
    """A call to discovery returned no usable endpoint list.

    Attributes:
        address: The address at which discovery was called.
        problem: Why the call failed.
    """

    def __init__(self, address: Address, problem: str) -> None:
        super().__init__(address, problem)
        self.address = address
        self.problem = problem

    def __str__(self) -> str:
        return f"call to discovery at {self.address} failed: {self.problem}"


class DiscoveryTimeoutError(DiscoveryCallError):
    """The connection was established, but the complete response did not arrive within the timeout.

    The response may still arrive late (see `LateCalls`). Discovery may have had a change in the meantime,
    which the sidecar has to know soon after.
    """


class MalformedDiscoveryResponseError(DiscoveryCallError):
    """A response was truncated or malformed.

    It may have contained a change, which the sidecar is expected to know from then on.
    """


class DiscoveryCaller:
    """Makes calls to discovery, one or more at a time, and keeps one idle connection for the next call.

    A call is one HTTP request and its response.

    Args:
        address: The address at which discovery is called.
        name_indices: Translates the names of zones and machine classes in endpoint lists.
        connect_timeout_seconds: How long establishing a connection may take.
        loop: The event loop of the calls.
        late_calls: Waits for the response of a call that has timed out; without it, such a call is cancelled.
    """

    def __init__(
        self,
        address: Address,
        name_indices: NameIndices,
        connect_timeout_seconds: float,
        loop: asyncio.AbstractEventLoop,
        late_calls: LateCalls | None = None,
    ) -> None:
        self.connect_timeout_seconds = connect_timeout_seconds
        self._address = address
        self._name_indices = name_indices
        self._loop = loop
        self._late_calls = late_calls
        self._idle_connection: OutboundConnection | None = None

    @property
    def address(self) -> Address:
        """The address at which discovery is called."""
        return self._address

    @property
    def idle_connection(self) -> OutboundConnection | None:
        """The connection that is kept open for the next call, if there is one."""
        return self._idle_connection

    def change_address(self, address: Address) -> None:
        """Use another address for the calls that begin from now on."""
        self._address = address
        self.close()

    def close(self) -> None:
        """Close the idle connection. Calls in progress keep their own connections."""
        if self._idle_connection is not None:
            self._idle_connection.close()
            self._idle_connection = None

    async def fetch_snapshot(self, timeout_seconds: float) -> EndpointListUpdate:
        """Return the complete list. Raises DiscoveryCallError if it does not arrive within the timeout."""
        return await self._call("", timeout_seconds)

    async def watch(
        self, version: int, long_poll_timeout_seconds: float, timeout_seconds: float
    ) -> EndpointListUpdate:
        """Return the changes since a version, by a long poll.

        Discovery may delay its response until there is a change or the timeout of the long poll is over.
        Raises DiscoveryCallError if no complete response arrives within `timeout_seconds`.
        """
        return await self._call(
            f"?from={version}&hold_ms={long_poll_timeout_seconds * 1000:.0f}", timeout_seconds
        )

    async def _call(self, query: str, timeout_seconds: float) -> EndpointListUpdate:
        """Make one call on a connection that no other call uses at the same time.

        The complete response has to arrive within the timeout, however slowly its bytes arrive; otherwise the
        call is a late one from then on.
        """
        connection = self._acquire_connection()
        call = self._loop.create_task(self._complete_call(connection, query))
        try:
            await asyncio.wait((call,), timeout=timeout_seconds)
        except asyncio.CancelledError:
            call.cancel()
            await asyncio.wait((call,))
            raise
        if call.done():
            return call.result()
        if not connection.is_established:
            call.cancel()
            raise DiscoveryCallError(self._address, "no connection within the timeout")
        if self._late_calls is None:
            call.cancel()
        else:
            self._late_calls.add(call)
        raise DiscoveryTimeoutError(self._address, "no complete response within the timeout")

    async def _complete_call(self, connection: OutboundConnection, query: str) -> EndpointListUpdate:
        """Make one call on this connection, which is kept for the next call or closed."""
        try:
            response = await self._request(connection, query)
        except BaseException:  # includes CancelledError
            connection.close()
            raise
        self.close()  # another call may have stored its connection in the meantime
        self._idle_connection = connection
        return self._parse(response.body)

    def _acquire_connection(self) -> OutboundConnection:
        """Return the idle connection if it is reusable, else a new one that is not established yet."""
        connection, self._idle_connection = self._idle_connection, None
        if connection is not None:
            if connection.is_reusable():
                return connection
            connection.close()
        return OutboundConnection(budget=BufferBudget(MAX_ENDPOINT_LIST_BYTES))

    async def _request(self, connection: OutboundConnection, query: str) -> HttpResponse:
        """Return a complete response with status 200. Raises DiscoveryCallError."""
        try:
            response = await self._exchange(connection, query)
        except OSError as error:  # includes TimeoutError, which is a connect timeout
            raise DiscoveryCallError(self._address, f"{type(error).__name__} {error}") from None
        if response is None:
            started = connection.response_started
            error_class = MalformedDiscoveryResponseError if started else DiscoveryCallError
            raise error_class(
                self._address, "the connection was lost, or the response is invalid or too large"
            )
        if response.status != HTTPStatus.OK:
            raise DiscoveryCallError(self._address, f"expected status 200, got {response.status}")
        return response

    async def _exchange(self, connection: OutboundConnection, query: str) -> HttpResponse | None:
        """Send a request and return its response.

        Returns None if the connection was lost or the response is unusable. Raises OSError if the connection
        cannot be established; TimeoutError, a subclass, if that takes too long.
        """
        host, port = self._address
        if not connection.is_established:
            async with asyncio.timeout(self.connect_timeout_seconds):
                await self._loop.create_connection(lambda: connection, host, port)
        connection.max_body_bytes = MAX_ENDPOINT_LIST_BYTES
        response: asyncio.Future[HttpResponse | None] = self._loop.create_future()
        request = f"GET {ENDPOINT_LIST_PATH}{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        if not connection.send(request, partial(_set_result_once, response)):
            return None
        return await response

    def _parse(self, body: bytes) -> EndpointListUpdate:
        try:
            return parse_endpoint_list(json.loads(body), self._name_indices)
        except (ValueError, RecursionError, MalformedEndpointListError) as error:
            raise MalformedDiscoveryResponseError(
                self._address, f"malformed endpoint list: {error}"
            ) from error


def _set_result_once(future: asyncio.Future[HttpResponse | None], response: HttpResponse | None) -> None:
    """Set the result unless the call has been cancelled."""
    if not future.done():
        future.set_result(response)

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
from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.address import Address

MAX_ENDPOINT_LIST_BYTES = 4 * 1024 * 1024
"""The longest response that is accepted; it is held in memory as a whole."""

ENDPOINT_LIST_PATH = "/discovery/hosts"
"""The path of the endpoint list at discovery."""


class DiscoveryCallError(DiscoveryError):
    """A call to discovery brought no endpoint list.

    Attributes:
        address: Where discovery was called.
        problem: Why the call failed.
    """

    def __init__(self, address: Address, problem: str) -> None:
        super().__init__(address, problem)
        self.address = address
        self.problem = problem

    def __str__(self) -> str:
        return f"call to discovery at {self.address} failed: {self.problem}"


class DiscoveryTimeoutError(DiscoveryCallError):
    """The connection was open, but the response was not there in time.

    A change that discovery had meanwhile counts as known soon after.
    """


class MalformedDiscoveryResponseError(DiscoveryCallError):
    """A response came that cannot be read. What it said counts as known already."""


class DiscoveryCaller:
    """Makes calls to discovery, one or more at a time, and keeps one idle connection for the next.

    Args:
        address: Where discovery is called.
        names: The positions of the names in endpoint lists.
        connect_timeout_seconds: How long a connection may take to come up.
        loop: The event loop of the calls.
    """

    def __init__(
        self,
        address: Address,
        name_indices: NameIndices,
        connect_timeout_seconds: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.connect_timeout_seconds = connect_timeout_seconds
        self._address = address
        self._name_indices = name_indices
        self._loop = loop
        self._idle_connection: OutboundConnection | None = None

    @property
    def address(self) -> Address:
        """Where discovery is called."""
        return self._address

    @property
    def idle_connection(self) -> OutboundConnection | None:
        """The connection that is kept for the next call, if there is one."""
        return self._idle_connection

    def change_address(self, address: Address) -> None:
        """Make the calls that begin from now on to another address."""
        self._address = address
        self.close()

    def close(self) -> None:
        """Close the idle connection. Calls under way keep their own."""
        if self._idle_connection is not None:
            self._idle_connection.close()
            self._idle_connection = None

    async def fetch_snapshot(self, timeout_seconds: float) -> EndpointListUpdate:
        """Return the complete list. Raises DiscoveryCallError, at the latest after the timeout."""
        return await self._call("", timeout_seconds)

    async def watch(
        self, version: int, long_poll_timeout_seconds: float, timeout_seconds: float
    ) -> EndpointListUpdate:
        """Return the changes since a version; discovery may hold its answer for as long as there are none.

        Raises DiscoveryCallError, at the latest after the timeout.
        """
        return await self._call(
            f"?from={version}&hold_ms={long_poll_timeout_seconds * 1000:.0f}", timeout_seconds
        )

    async def _call(self, query: str, timeout_seconds: float) -> EndpointListUpdate:
        """Make one call on a connection that is its own until it is over.

        The complete response, however slowly it comes, has to be there within the timeout.
        """
        connection = self._acquire_connection()
        try:
            response = await self._request(connection, query, timeout_seconds)
        except BaseException:  # also if the task is cancelled
            connection.close()
            raise
        self.close()  # another call may have left its connection meanwhile
        self._idle_connection = connection
        return self._parse(response.body)

    def _acquire_connection(self) -> OutboundConnection:
        """Return the idle connection if it can be used again, else one that is yet to be established."""
        connection, self._idle_connection = self._idle_connection, None
        if connection is not None:
            if connection.is_reusable():
                return connection
            connection.close()
        return OutboundConnection(budget=BufferBudget(MAX_ENDPOINT_LIST_BYTES))

    async def _request(
        self, connection: OutboundConnection, query: str, timeout_seconds: float
    ) -> HttpResponse:
        """Return a complete response of status 200. Raises DiscoveryCallError."""
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self._exchange(connection, query)
        except OSError as error:  # TimeoutError is one, too
            error_class = DiscoveryTimeoutError if connection.is_established else DiscoveryCallError
            raise error_class(self._address, f"{type(error).__name__} {error}") from None
        if response is None:
            started = connection.response_started
            error_class = MalformedDiscoveryResponseError if started else DiscoveryCallError
            raise error_class(self._address, "no complete response")
        if response.status != HTTPStatus.OK:
            raise DiscoveryCallError(self._address, f"status {response.status}")
        return response

    async def _exchange(self, connection: OutboundConnection, query: str) -> HttpResponse | None:
        """Send a request and return its response, or None if the connection broke. Raises OSError."""
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
            raise MalformedDiscoveryResponseError(self._address, f"malformed list: {error}") from error


def _set_result_once(future: asyncio.Future[HttpResponse | None], response: HttpResponse | None) -> None:
    """Set the result unless the call was cancelled meanwhile."""
    if not future.done():
        future.set_result(response)

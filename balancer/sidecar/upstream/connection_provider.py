"""The interfaces for opening connections to endpoints, and the errors of an attempt that gets none."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING, Protocol

from balancer.errors import UpstreamConnectionError
from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.runtime.address import Address
from balancer.sidecar.runtime.sockets import RESOURCE_SHORTAGE_ERRNOS
from balancer.sidecar.upstream.pool import EndpointPool

if TYPE_CHECKING:
    from balancer.sidecar.upstream.attempt import Attempt

LOCAL_RESOURCE_ERRNOS = RESOURCE_SHORTAGE_ERRNOS | {errno.EADDRNOTAVAIL}
"""Errors of connect(2) that are caused by this machine, not by the endpoint."""


class Connector(Protocol):
    """Opens connections to endpoints."""

    async def __call__(self, pool: EndpointPool, /) -> OutboundConnection:
        """Open a connection to the endpoint of this pool. Raises OSError, also for a timeout."""


class ConnectionProvider(Protocol):
    """The part of `UpstreamManager`, the owner of all connections to endpoints, that an attempt uses."""

    loop: asyncio.AbstractEventLoop
    """The event loop."""
    connect: Connector
    """Opens a connection."""
    background_attempts: set[Attempt]
    """The attempts whose outcome is reported but which have not ended."""

    def now_ns(self) -> int:
        """Return the time of the sidecar's clock."""

    def ensure_connection_capacity(self) -> bool:
        """Return whether a connection may be opened; at the limit, an idle one is closed first."""

    def has_established_connection(self, pool: EndpointPool, /) -> bool:
        """Return whether a connection to the endpoint of this pool is established, in use or idle."""


class ConnectError(UpstreamConnectionError):
    """An attempt got no connection.

    Attributes:
        address: The address of the endpoint.
        attempt_outcome: The outcome of the attempt.
        reason: Why there is no connection; a part of the error message.
    """

    attempt_outcome: AttemptOutcome
    reason: str

    def __init__(self, address: Address) -> None:
        super().__init__(f"no connection to {address[0]}:{address[1]}: {self.reason}")
        self.address = address


class EndpointUnreachableError(ConnectError):
    """The endpoint accepted no connection at its address."""

    attempt_outcome = AttemptOutcome.CONNECT_FAILED
    reason = "the endpoint is unreachable"


class LocalResourceError(ConnectError):
    """This sidecar cannot open another connection, which is not the fault of the endpoint."""

    attempt_outcome = AttemptOutcome.NOT_SENT
    reason = "local resources are exhausted"


def connect_error(address: Address, error: OSError) -> ConnectError:
    """Return the error of an attempt whose connect to this address failed with an `OSError`."""
    if error.errno in LOCAL_RESOURCE_ERRNOS:
        return LocalResourceError(address)
    return EndpointUnreachableError(address)

"""The interfaces of what opens connections to endpoints, and the errors of an attempt that gets none."""

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
"""Errors of connect(2) that concern this machine, not the endpoint."""


class Connector(Protocol):
    """Opens connections to endpoints."""

    async def __call__(self, pool: EndpointPool, /) -> OutboundConnection:
        """Open a connection to the endpoint of this pool. Raises OSError; a timeout is one."""


class ConnectionProvider(Protocol):
    """What an attempt needs of the owner of all connections to endpoints."""

    loop: asyncio.AbstractEventLoop
    """The event loop."""
    connect: Connector
    """Opens a connection."""
    background_attempts: set[Attempt]
    """Attempts whose outcome is reported but which have not ended."""

    def now_ns(self) -> int:
        """Return the time of the sidecar's clock."""

    def ensure_connection_capacity(self) -> bool:
        """Return whether a connection may be opened, having closed an idle one if need be."""


class ConnectError(UpstreamConnectionError):
    """An attempt has got no connection.

    Attributes:
        address: the address of the endpoint.
        attempt_outcome: the outcome of the attempt.
        reason: why there is no connection, in plain words.
    """

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
    """This sidecar can't open a further connection, which says nothing of the endpoint."""

    attempt_outcome = AttemptOutcome.NOT_SENT
    reason = "local resources are exhausted"


def connect_error(address: Address, error: OSError) -> ConnectError:
    """Return the error of an attempt whose connect to this address has failed."""
    if error.errno in LOCAL_RESOURCE_ERRNOS:
        return LocalResourceError(address)
    return EndpointUnreachableError(address)

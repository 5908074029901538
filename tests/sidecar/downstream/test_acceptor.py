"""Tests of the listening socket: connections are accepted after accept(2) has failed as Linux documents."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any, cast

import pytest

from balancer.sidecar.downstream.acceptor import Acceptor, open_listening_socket
from balancer.sidecar.runtime.address import Address
from balancer.sidecar.runtime.metrics import Metric, Metrics
from tests.sidecar.event_loop import async_test


class FailingSocket:
    """A listening socket whose first calls of `accept` fail, each with one of these errors."""

    def __init__(self, listening: socket.socket, *errors: int) -> None:
        self._listening = listening
        self._errors = list(errors)

    def accept(self) -> Any:
        """Raise the next error if one is left, and accept otherwise."""
        if self._errors:
            number = self._errors.pop(0)
            raise OSError(number, errno.errorcode[number])
        return self._listening.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)


class GreetingProtocol(asyncio.Protocol):
    """Sends a greeting, which shows that the protocol has been attached to a connection."""

    def __init__(self, unread_since_seconds: float | None) -> None:
        self.unread_since_seconds = unread_since_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting to the client."""
        cast(asyncio.Transport, transport).write(b"hello")


async def receive_greeting(address: tuple[str, int]) -> bytes:
    """Connect, and return the greeting."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        return await reader.readexactly(5)
    finally:
        writer.close()


@pytest.mark.parametrize(
    "number",
    [
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EPERM,
        errno.EINTR,
    ],
)
@async_test
async def test_connection_is_accepted_after_failures(number: int) -> None:
    listening = open_listening_socket(Address("127.0.0.1", 0))
    failing = cast(socket.socket, FailingSocket(listening, number, number))
    acceptor = Acceptor(failing, asyncio.get_running_loop(), GreetingProtocol, Metrics())
    acceptor.start()
    assert await receive_greeting(listening.getsockname()) == b"hello"
    await acceptor.close()


@async_test
async def test_close_attaches_connections_that_wait_already() -> None:
    listening = open_listening_socket(Address("127.0.0.1", 0))
    acceptor = Acceptor(listening, asyncio.get_running_loop(), GreetingProtocol, Metrics())
    client = socket.create_connection(listening.getsockname())
    await acceptor.close()
    with client:
        assert await asyncio.to_thread(client.recv, 5) == b"hello"


@async_test
async def test_close_while_accepting_fails_ends_at_once() -> None:
    listening = open_listening_socket(Address("127.0.0.1", 0))
    failing = cast(socket.socket, FailingSocket(listening, *[errno.ENFILE] * 3))
    acceptor = Acceptor(failing, asyncio.get_running_loop(), GreetingProtocol, Metrics())
    acceptor.start()
    with socket.create_connection(listening.getsockname()):
        await acceptor.close()
        await acceptor.close()
    assert listening.fileno() == -1


@async_test
async def test_protocol_is_given_the_time_since_which_connection_waited() -> None:
    loop = asyncio.get_running_loop()
    waited_since_seconds: list[float | None] = []

    def make_protocol(unread_since_seconds: float | None) -> GreetingProtocol:
        waited_since_seconds.append(unread_since_seconds)
        return GreetingProtocol(unread_since_seconds)

    listening = open_listening_socket(Address("127.0.0.1", 0))
    failing = cast(socket.socket, FailingSocket(listening, errno.ENFILE, errno.ENFILE))
    metrics = Metrics()
    acceptor = Acceptor(failing, loop, make_protocol, metrics)
    started_at_seconds = loop.time()
    acceptor.start()
    for _ in range(2):
        assert await receive_greeting(listening.getsockname()) == b"hello"
    first_seconds, second_seconds = waited_since_seconds
    assert first_seconds is not None
    assert started_at_seconds <= first_seconds <= loop.time()
    assert second_seconds is None
    assert metrics.value(Metric.ACCEPT_FAILURES, "ENFILE") == 2
    await acceptor.close()

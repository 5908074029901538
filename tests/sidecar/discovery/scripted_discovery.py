"""A discovery server whose responses a test scripts, and a recorder of the calls of a sidecar to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

import pytest

from balancer.policy_api import EndpointHealth, EndpointUpdate, EndpointUpdateKind, Event
from balancer.sidecar.discovery.call import DiscoveryCaller, DiscoveryCallError
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate
from balancer.sidecar.runtime.address import Address
from tests.sidecar.configuration_documents import SETTINGS, endpoint_entry
from tests.sidecar.event_loop import TEST_TIMEOUT_SECONDS
from tests.sidecar.messages import ok_response
from tests.sidecar.sidecar_under_test import Sidecar

ResponseScript: TypeAlias = Callable[[asyncio.StreamWriter], Awaitable[None]]
"""Responds to one call, or fails to do so, on the connection of the call."""

SHORT_TIMEOUT_SECONDS = 0.05  # replaces the timeout that a test checks; no other timeout may end its calls

DRAINING_UPDATE = json.dumps(
    {"seq": 2, "whole": False, "hosts": [endpoint_entry("s-0", "127.0.0.1:9", "draining")]}, indent=2
).encode()
UNCHANGED_UPDATE = b'{"seq":1,"whole":false,"hosts":[]}'
INCOMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + DRAINING_UPDATE[:40]
SNAPSHOT_WITH_DRAINING = json.dumps(
    {"seq": 2, "whole": True, "hosts": [endpoint_entry("s-0", "127.0.0.1:9", "draining")]}
).encode()
DISCOVERY_FAILED = EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ())


pushed_and_polled = pytest.mark.parametrize("polled", [False, True], ids=["pushed", "polled"])
"""Runs a test with endpoint lists that are pushed, and once more with lists that are polled."""


def start_watching(sidecar: Sidecar, polled: bool) -> None:
    """Start to watch as the policy does where lists are polled, else as the program does at its start."""
    if polled:
        sidecar.discovery.set_watching(True)
    else:
        sidecar.discovery.start()


def discovery_settings(polled: bool) -> dict[str, Any]:
    """Return the settings of a sidecar whose endpoint lists are polled or pushed."""
    return SETTINGS | {"Discovery": "on_request" if polled else "pushed"}


def is_update_of(kind: EndpointUpdateKind) -> Callable[[Event], bool]:
    """Return a predicate that holds for an endpoint update of this kind."""
    return lambda event: isinstance(event, EndpointUpdate) and event.kind == kind


def is_draining_update(event: Event) -> bool:
    if not isinstance(event, EndpointUpdate):
        return False
    return any(endpoint.health == EndpointHealth.DRAINING for endpoint in event.endpoints)


class ScriptedDiscovery:
    """A discovery server that handles one call by a script.

    On the first connection, the response to the first call has no changes, and the script handles the second
    call. The response to any other call reports that an endpoint is draining. Nothing listens on its address
    before `listen`.

    Args:
        script: Handles the second call. If it is None, the response to the first call reports the draining.
    """

    def __init__(self, script: ResponseScript | None) -> None:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.address = Address(*self.socket.getsockname())
        self.address_text = str(self.address)
        self.request_lines: list[bytes] = []
        self.request_received = asyncio.Event()
        self.connections = 0
        self._script = script
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self.socket)

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        scripts = [send(ok_response(DRAINING_UPDATE))]
        if self._script is not None and self.connections == 1:
            scripts = [send(ok_response(UNCHANGED_UPDATE)), self._script, *scripts]
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for script in scripts:
                head = await reader.readuntil(b"\r\n\r\n")
                self.request_lines.append(head.split(b"\r\n")[0])
                self.request_received.set()
                await script(writer)
                await writer.drain()
            await reader.read()
        writer.close()


def send(response: bytes) -> ResponseScript:
    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(response)

    return script


def send_and_close(response: bytes) -> ResponseScript:
    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(response)
        writer.close()

    return script


async def reset_connection(writer: asyncio.StreamWriter) -> None:
    writer.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    writer.transport.abort()


async def send_endless_response(writer: asyncio.StreamWriter) -> None:
    writer.write(INCOMPLETE_RESPONSE)
    while not writer.transport.is_closing():
        writer.write(b" ")
        await asyncio.sleep(SHORT_TIMEOUT_SECONDS / 10)


@contextlib.asynccontextmanager
async def unreachable(
    discovery: ScriptedDiscovery, connect_hangs: bool
) -> AsyncIterator[Callable[[], Awaitable[None]]]:
    """Make discovery unreachable until the function that is yielded is awaited.

    Connection attempts are refused. With `connect_hangs`, they hang: nothing is accepted, and another client
    takes the only place in the backlog.
    """
    with socket.socket() as queued_client:
        if connect_hangs:
            discovery.socket.listen(0)
            queued_client.connect(discovery.address)

        async def make_reachable() -> None:
            if connect_hangs:
                discovery.socket.accept()[0].close()
            await discovery.listen()

        yield make_reachable


@dataclass(frozen=True, slots=True)
class RecordedCall:
    """A call with the timing that the client chose for it."""

    timeout_seconds: float
    long_poll_timeout_seconds: float | None
    """The timeout of the long poll; None if the call fetches a snapshot."""


class CallRecorder:
    """Records the calls of a sidecar, and replaces their timeouts.

    All timeouts are too long to be reached in a test, except the short ones that it requests.

    Args:
        monkeypatch: Undoes the replacement after the test.
        short_call: The index of the call that gets a short timeout; None for no call.
        short_connect: Whether the connect timeout is short until the first call has failed.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, short_call: int | None = None, short_connect: bool = False
    ) -> None:
        self.calls: list[RecordedCall] = []
        self.call_started = asyncio.Event()
        self.error_types: list[type[DiscoveryCallError]] = []
        self.on_first_failure: Callable[[], Awaitable[None]] | None = None
        self._short_call = short_call
        self._short_connect = short_connect
        self._replace_methods(monkeypatch)

    def _replace_methods(self, monkeypatch: pytest.MonkeyPatch) -> None:
        original_fetch = DiscoveryCaller.fetch_snapshot
        original_watch = DiscoveryCaller.watch

        async def fetch_snapshot(caller: DiscoveryCaller, timeout_seconds: float) -> EndpointListUpdate:
            replaced_seconds = self._start_call(caller, RecordedCall(timeout_seconds, None))
            return await self._finish_call(original_fetch(caller, replaced_seconds))

        async def watch(
            caller: DiscoveryCaller, version: int, long_poll_timeout_seconds: float, timeout_seconds: float
        ) -> EndpointListUpdate:
            replaced_seconds = self._start_call(
                caller, RecordedCall(timeout_seconds, long_poll_timeout_seconds)
            )
            return await self._finish_call(
                original_watch(caller, version, long_poll_timeout_seconds, replaced_seconds)
            )

        monkeypatch.setattr(DiscoveryCaller, "fetch_snapshot", fetch_snapshot)
        monkeypatch.setattr(DiscoveryCaller, "watch", watch)

    def _start_call(self, caller: DiscoveryCaller, call: RecordedCall) -> float:
        """Record a call, set the connect timeout, and return the timeout of the call."""
        is_short = len(self.calls) == self._short_call
        self.calls.append(call)
        self.call_started.set()
        has_short_connect = self._short_connect and not self.error_types
        caller.connect_timeout_seconds = SHORT_TIMEOUT_SECONDS if has_short_connect else TEST_TIMEOUT_SECONDS
        return SHORT_TIMEOUT_SECONDS if is_short else 2 * TEST_TIMEOUT_SECONDS

    async def _finish_call(self, call: Awaitable[EndpointListUpdate]) -> EndpointListUpdate:
        try:
            return await call
        except DiscoveryCallError as error:
            self.error_types.append(type(error))
            if self.on_first_failure is not None:
                on_first_failure, self.on_first_failure = self.on_first_failure, None
                await on_first_failure()
            raise

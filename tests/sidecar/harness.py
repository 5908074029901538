"""The harness of the tests over loopback sockets.

It runs scripted endpoints, a whole sidecar and its clients in the event loop of the test.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any, NamedTuple, ParamSpec, TypeAlias, cast

import uvloop

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    EndpointUpdateKind,
    Event,
)
from balancer.sidecar.configuration import parse_configuration
from balancer.sidecar.discovery.client import DiscoveryClient
from balancer.sidecar.discovery.endpoint_list import parse_endpoint_list
from balancer.sidecar.downstream.connection import DownstreamConnection
from balancer.sidecar.downstream.listener import Listener
from balancer.sidecar.downstream.timeouts import DEFAULT_TIMEOUTS, DownstreamTimeouts
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.sidecar.runtime.clock import Clock

Script: TypeAlias = Callable[["ReceivedRequest"], Awaitable[bytes | None]]
"""Returns the response to a request as it goes on the wire; None closes the connection without one."""

TestParameters = ParamSpec("TestParameters")

TEST_TIMEOUT_SECONDS = 20.0
"""A test that hangs fails after this time; no test passes or fails by a shorter one."""

SETTINGS: dict[str, Any] = {
    "Azs": ["bangna"],
    "Kinds": ["new-4c"],
    "Categories": [
        {
            "Name": "read",
            "Effect": "retryable",
            "AimNs": 2_000_000_000,
            "HardLimitNs": 9_000_000_000,
            "Importance": 1,
            "LateWorth": 0.5,
        },
        {
            "Name": "post",
            "Effect": "fragile",
            "AimNs": 2_000_000_000,
            "HardLimitNs": 9_000_000_000,
            "Importance": 8,
            "LateWorth": 0.5,
        },
    ],
    "Limits": {
        "MaxAttempts": 5,
        "Probes": True,
        "Peers": True,
        "ConnectTimeoutNs": 5_000_000_000,
        "ConnIdleNs": 60_000_000_000,
    },
    "Stats": {"Fields": ["rate", "lat_ms", "busy"], "Via": "inline"},
    "Discovery": "pushed",
    "NInstances": 2,
}


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on the event loop that the program uses."""

    async def run_with_timeout() -> None:
        await asyncio.wait_for(test, TEST_TIMEOUT_SECONDS)

    uvloop.run(run_with_timeout())


def async_test(
    test: Callable[TestParameters, Coroutine[Any, Any, None]],
) -> Callable[TestParameters, None]:
    """Make a test function of a coroutine function, which runs on the event loop that the program uses."""

    @functools.wraps(test)
    def run_test(*args: TestParameters.args, **kwargs: TestParameters.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds. It is checked at once, then in every turn of the event loop."""
    loop = asyncio.get_running_loop()
    holds = loop.create_future()

    def check() -> None:
        if holds.done():
            return
        try:
            if condition():
                holds.set_result(None)
            else:
                loop.call_soon(check)
        except Exception as error:
            holds.set_exception(error)

    check()
    await holds


# ---- messages


def ok_response(body: bytes = b"done", *headers: bytes) -> bytes:
    """Return a response with status 200."""
    lines = [b"HTTP/1.1 200 OK", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def status_response(status: int, *headers: bytes) -> bytes:
    """Return a response with this status and an empty body."""
    return b"\r\n".join([b"HTTP/1.1 %d X" % status, *headers, b"Content-Length: 0"]) + b"\r\n\r\n"


_request_ids = itertools.count(0x9B1F)


def request_bytes(
    class_name: str = "read",
    deadline: str = "9",
    body: bytes = b"",
    extra_headers: bytes = b"",
    request_id: str = "",
) -> bytes:
    """Return a client's request; without `request_id` it has one of its own. The deadline is in seconds."""
    method = b"POST" if class_name == "post" else b"GET"
    content_length = b"Content-Length: %d\r\n" % len(body) if body else b""
    return (
        b"%s /api?k=7f3a HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\n"
        b"Req-Deadline: %s\r\n%s%s\r\n%s"
    ) % (
        method,
        (request_id or f"{next(_request_ids):x}").encode(),
        class_name.encode(),
        deadline.encode(),
        extra_headers,
        content_length,
        body,
    )


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Return header lines as a map from name to value, both in lower case."""
    headers: dict[bytes, bytes] = {}
    for line in lines:
        if line:
            name, value = line.lower().split(b": ", 1)
            headers[name] = value
    return headers


# ---- endpoints


class ReceivedRequest:
    """A request as an endpoint or discovery received it."""

    def __init__(self, request_line: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        self.request_line = request_line
        self.headers = headers
        self.body = body
        self.connection_closed = asyncio.Event()
        """Set when the sidecar closes the connection before it has a response."""


class ScriptedEndpoint:
    """An HTTP server that answers each request by its script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received_requests: list[ReceivedRequest] = []
        self.request_arrived = asyncio.Event()
        """Set once any request has arrived."""
        self.connection_count = 0
        """How many connections were accepted so far."""
        self.address = ""
        """Host and port, set once it listens."""

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until either side ends the connection."""
        self.connection_count += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_request(reader, writer):
                pass
        writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request, and return whether the connection stays open."""
        request = await self._read_request(reader)
        answering = asyncio.ensure_future(self.script(request))
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((answering, closing), return_when=asyncio.FIRST_COMPLETED)
        if not answering.done():
            request.connection_closed.set()
            answering.cancel()
            return False
        closing.cancel()
        await asyncio.wait((closing,))
        response = answering.result()
        if response is None:
            return False
        writer.write(response)
        await writer.drain()
        return True

    async def _read_request(self, reader: asyncio.StreamReader) -> ReceivedRequest:
        request_line, *header_lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        headers = _parse_headers(header_lines)
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        request = ReceivedRequest(request_line, headers, body)
        self.received_requests.append(request)
        self.request_arrived.set()
        return request


@contextlib.asynccontextmanager
async def run_endpoint(script: Script) -> AsyncIterator[ScriptedEndpoint]:
    """Run an endpoint on a port of its own."""
    endpoint = ScriptedEndpoint(script)
    server = await asyncio.start_server(endpoint.serve_connection, "127.0.0.1", 0)
    endpoint.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield endpoint
    finally:
        server.close()


async def answer_ok(request: ReceivedRequest) -> bytes:
    """Script: answer at once, with the body of the request."""
    return ok_response(request.body or b"done")


async def never_answer(_request: ReceivedRequest) -> bytes:
    """Script: leave the request unanswered."""
    await asyncio.Event().wait()
    return b""


def unreachable_address() -> str:
    """Return an address where nothing listens: its port was bound a moment ago and never listened on."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


# ---- the sidecar


def endpoint_entry(name: str, address: str, health: str = "up") -> dict[str, Any]:
    """Return the entry of an endpoint in an endpoint list."""
    return {
        "host": name,
        "dial": address,
        "site": "bangna",
        "class": "new-4c",
        "block": 1,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def endpoint_list(sequence: int, *entries: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    """Return an endpoint list as discovery gives it; with `whole` a snapshot, else a delta."""
    return {"seq": sequence, "whole": whole, "hosts": list(entries)}


def configuration(*addresses: str, discovery: str = "", **changes: Any) -> dict[str, Any]:
    """Return the configuration of a sidecar that knows endpoints s-0, s-1, ... at these addresses."""
    entries = [endpoint_entry(f"s-{index}", address) for index, address in enumerate(addresses)]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery or unreachable_address(),
        "seed": "1f",
        "limits": {"sockets": 1024},
        "known": endpoint_list(1, *entries),
        "settings": SETTINGS,
    } | changes


def change_classes(*changes: dict[str, Any], **settings: Any) -> dict[str, Any]:
    """Return the usual settings, with these changes of the first request classes and of further settings."""
    classes = list(SETTINGS["Categories"])
    for index, change in enumerate(changes):
        classes[index] = classes[index] | change
    return SETTINGS | {"Categories": classes} | settings


class Sidecar:
    """A sidecar in the event loop of the test, which records the events that its policy gets."""

    def __init__(self, document: dict[str, Any], timeouts: DownstreamTimeouts = DEFAULT_TIMEOUTS) -> None:
        self.timeouts = timeouts
        self.config = parse_configuration(json.loads(json.dumps(document)))
        self.events: list[Event] = []
        self.event_recorded = asyncio.Event()
        self.client_transports: list[asyncio.Transport] = []
        """The transports of the clients' connections, oldest first."""

    async def start(
        self, clock: Clock | None = None, dispatcher_loop: asyncio.AbstractEventLoop | None = None
    ) -> None:
        """Start to listen. A test may give the dispatcher a clock and timers of its own."""
        loop = asyncio.get_running_loop()
        self.balancer = Balancer(self.config.settings, self.config.seed)
        self.dispatcher = Dispatcher(self.config, dispatcher_loop or loop, clock or Clock(), policy=self)
        self.listener = Listener(self.config, self.dispatcher, loop, self.timeouts)
        self.discovery = DiscoveryClient(self.config.discovery_client(), self.dispatcher, loop)
        self.dispatcher.attach_discovery(self.discovery)
        self.dispatcher.start(self.config.known_endpoints)
        self.server = await loop.create_server(self._accept_client, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Record an event, as the policy of this sidecar, and leave the decision to the balancer."""
        self.events.append(event)
        self.event_recorded.set()
        return self.balancer.handle(now_ns, event)

    async def wait_for_event(self, is_wanted: Callable[[Any], bool]) -> Any:
        """Return the first event, past or to come, that is wanted."""
        while True:
            for event in self.events:
                if is_wanted(event):
                    return event
            self.event_recorded.clear()
            await self.event_recorded.wait()

    def update_endpoints(self, document: dict[str, Any], kind: EndpointUpdateKind) -> None:
        """Give the dispatcher an endpoint list, as if it came from discovery."""
        self.dispatcher.on_endpoint_update(parse_endpoint_list(document, self.config.name_indices), kind)

    async def connect_client(self) -> Client:
        """Return a new connection of a client."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    def _accept_client(self) -> DownstreamConnection:
        return _ObservedConnection(self.listener, self.client_transports)


class _ObservedConnection(DownstreamConnection):
    """A client's connection, whose transport a test may look at."""

    def __init__(self, listener: Listener, transports: list[asyncio.Transport]) -> None:
        super().__init__(listener)
        self._observed_transports = transports

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._observed_transports.append(cast(asyncio.Transport, transport))
        super().connection_made(transport)


@contextlib.asynccontextmanager
async def run_sidecar(
    *addresses: str,
    clock: Clock | None = None,
    dispatcher_loop: asyncio.AbstractEventLoop | None = None,
    timeouts: DownstreamTimeouts = DEFAULT_TIMEOUTS,
    **changes: Any,
) -> AsyncIterator[Sidecar]:
    """Run a sidecar with the configuration for these endpoints and changes."""
    sidecar = Sidecar(configuration(*addresses, **changes), timeouts)
    await sidecar.start(clock, dispatcher_loop)
    try:
        yield sidecar
    finally:
        sidecar.server.close()
        sidecar.discovery.set_watching(False)


def is_attempt_completed(event: Event) -> bool:
    """Whether an event reports the end of an attempt."""
    return isinstance(event, AttemptCompleted)


# ---- clients


class ClientResponse(NamedTuple):
    """A response as a client gets it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status_and_body(self) -> tuple[int, bytes]:
        """What most tests compare."""
        return self.status, self.body


class Client:
    """A connection of a client to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def exchange(self, request: bytes) -> ClientResponse:
        """Send a request and return the next response."""
        self.writer.write(request)
        return await self.read_response()

    async def read_response(self) -> ClientResponse:
        """Return the next response."""
        status_line, *header_lines = (await self.reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        headers = _parse_headers(header_lines)
        body = await self.reader.readexactly(int(headers[b"content-length"]))
        return ClientResponse(int(status_line.split()[1]), headers, body)

    async def is_closed(self) -> bool:
        """Return whether the sidecar closes the connection and sends nothing before."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

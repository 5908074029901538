"""The load on one sidecar: clients that start at random times, some of which misbehave."""

from __future__ import annotations

import asyncio
from random import Random

from soak.clients.behaviour import MALFORMED_BEHAVIOURS, Behaviour, default_profile
from soak.clients.connection import SLOW_READ_BYTES_PER_SECOND, ClientConnection
from soak.clients.connection_pool import ConnectionPool
from soak.clients.malformed_client import MalformedClientRunner
from soak.clients.request_factory import PreparedRequest, RequestFactory
from soak.deployment import Deployment
from soak.history.clock import HarnessClock
from soak.history.events import ClientRequest
from soak.history.history import History
from soak.history.keep_alive_race import KEEP_ALIVE_RACE_SECONDS, seconds_until_end
from soak.sidecar.process import SidecarProcess

RESPONSE_GRACE_SECONDS = 0.55
"""Seconds that clients wait beyond their deadline, to distinguish late responses from missing ones."""
LONG_RESPONSE_BYTES = 60_000
"""Size of the response that a client reads slowly."""
MAX_SLOW_WRITE_SECONDS = 0.3
"""Longest time, in seconds, that a client takes to write a request in pieces."""
SLOW_WRITE_CUT_COUNT = 3
"""Number of positions at which a request is cut to be written in pieces."""
MIN_PIPELINED_REQUESTS = 2
"""Smallest pipeline, in requests; with two, the second waits for the response to the first."""
MAX_PIPELINED_REQUESTS = 24
"""Largest pipeline, in requests; more than a sidecar processes at once on one connection."""
BURST_SIZES = (1, 1, 1, 1, 1, 1, 2, 2, 4, 6)
"""Numbers of requests that arrive at once, drawn with equal probability; most often it is one."""
MEAN_BURST_SIZE = sum(BURST_SIZES) / len(BURST_SIZES)
"""Mean number of requests in a burst."""


class ClientLoad:
    """The clients of one sidecar.

    Attributes:
        profile: the weights with which the behaviours of clients are drawn.
    """

    def __init__(
        self,
        sidecar: SidecarProcess,
        deployment: Deployment,
        clock: HarnessClock,
        history: History,
        random: Random,
    ) -> None:
        self.profile = default_profile()
        self._requests_per_second = deployment.requests_per_second
        self._history = history
        self._random = random
        self._pool = ConnectionPool(sidecar, clock, random)
        self._factory = RequestFactory(sidecar.name, deployment, random)
        self._malformed_clients = MalformedClientRunner(sidecar.name, clock, history, random)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start clients at random times until cancelled; clients that have started continue after that."""
        bursts_per_second = self._requests_per_second / MEAN_BURST_SIZE
        while True:
            await asyncio.sleep(self._random.expovariate(bursts_per_second))
            for _ in range(self._random.choice(BURST_SIZES)):
                task = asyncio.create_task(self._run_client(self.profile.draw(self._random)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until all clients that have started are done, and close their connections."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        self._pool.close_all()

    def disconnect_all(self) -> None:
        """Disconnect all clients at once."""
        self._pool.disconnect_all()

    async def _run_client(self, behaviour: Behaviour) -> None:
        is_malformed = behaviour in MALFORMED_BEHAVIOURS
        connection = await self._connect(behaviour)
        if connection is None:
            return
        if is_malformed:
            valid_request = self._factory.make().data
            await self._malformed_clients.run(connection, behaviour, valid_request)
        elif behaviour == Behaviour.PIPELINES:
            await self._run_pipeline(connection)
        else:
            await self._run_request(connection, behaviour)
        if not connection.is_open:
            self._pool.discard(connection)

    async def _connect(self, behaviour: Behaviour) -> ClientConnection | None:
        """Return a connection for a client, a new one where its behaviour needs that."""
        if behaviour == Behaviour.READS_SLOWLY:
            return await self._pool.connect(reads_slowly=True)
        if behaviour in MALFORMED_BEHAVIOURS or behaviour == Behaviour.PIPELINES:
            return await self._pool.connect()
        return await self._pool.acquire()

    async def _run_request(self, connection: ClientConnection, behaviour: Behaviour) -> None:
        reads_slowly = behaviour == Behaviour.READS_SLOWLY
        prepared = self._factory.make(
            requests_close=behaviour == Behaviour.REQUESTS_CLOSE,
            response_bytes=LONG_RESPONSE_BYTES if reads_slowly else 0,
        )
        request = prepared.request
        if reads_slowly:
            request.reading_seconds = LONG_RESPONSE_BYTES / SLOW_READ_BYTES_PER_SECOND
        data = prepared.data
        if behaviour == Behaviour.WRITES_SLOWLY:
            data = await self._write_all_but_last_piece(connection, data)
        self._history.requests[request.request_id] = request
        completion = connection.send(request, data)
        if behaviour in (Behaviour.DISCONNECTS, Behaviour.RESETS):
            await self._disconnect_early(connection, request, completion, behaviour)
            return
        await self._await_response(connection, request, completion)
        if request.end is not None and _is_keep_alive_race(request):
            await self._retry(request, prepared.data)

    async def _disconnect_early(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        completion: asyncio.Future[None],
        behaviour: Behaviour,
    ) -> None:
        """Disconnect at a random time before the deadline, unless the response arrives first."""
        disconnect_delay_seconds = request.timeout_seconds * self._random.random() ** 2
        await asyncio.wait((completion,), timeout=disconnect_delay_seconds)
        if not completion.done():
            connection.disconnect(by_reset=behaviour == Behaviour.RESETS)

    async def _await_response(
        self, connection: ClientConnection, request: ClientRequest, completion: asyncio.Future[None]
    ) -> None:
        response_seconds = request.timeout_seconds + 2 * request.reading_seconds
        await asyncio.wait((completion,), timeout=response_seconds + RESPONSE_GRACE_SECONDS)
        if completion.done():
            self._release(connection)
        else:
            connection.close_after_timeout()

    def _release(self, connection: ClientConnection) -> None:
        """Keep a connection for a later request, unless its client reads slowly: it then closes it."""
        if connection.reads_slowly:
            connection.disconnect(by_reset=False)
        self._pool.release(connection)

    async def _retry(self, request: ClientRequest, data: bytes) -> None:
        """Send a request once more, on a new connection."""
        connection = await self._pool.connect()
        if connection is None:
            return
        request.retried_after = request.end
        request.end = None
        request.ended_at_seconds = None
        await self._await_response(connection, request, connection.send(request, data))

    async def _write_all_but_last_piece(self, connection: ClientConnection, data: bytes) -> bytes:
        """Write a request in pieces, with pauses, and return the last piece."""
        cuts = sorted(self._random.randrange(1, len(data)) for _ in range(SLOW_WRITE_CUT_COUNT))
        for start, end in zip([0, *cuts[:-1]], cuts, strict=True):
            connection.write(data[start:end])
            await asyncio.sleep(self._random.random() * MAX_SLOW_WRITE_SECONDS / SLOW_WRITE_CUT_COUNT)
        return data[cuts[-1] :]

    async def _run_pipeline(self, connection: ClientConnection) -> None:
        count = self._random.randint(MIN_PIPELINED_REQUESTS, MAX_PIPELINED_REQUESTS)
        batch = [self._factory.make() for _ in range(count)]
        completions = [self._send(connection, prepared) for prepared in batch]
        longest_seconds = max(prepared.request.timeout_seconds for prepared in batch)
        await asyncio.wait(completions, timeout=longest_seconds + RESPONSE_GRACE_SECONDS)
        if not all(completion.done() for completion in completions):
            connection.close_after_timeout()

    def _send(self, connection: ClientConnection, prepared: PreparedRequest) -> asyncio.Future[None]:
        self._history.requests[prepared.request.request_id] = prepared.request
        return connection.send(prepared.request, prepared.data)


def _is_keep_alive_race(request: ClientRequest) -> bool:
    """Return whether an idle connection was closed while the request was sent, so that a retry is allowed."""
    if request.is_first_on_connection:
        return False
    return seconds_until_end(request) < KEEP_ALIVE_RACE_SECONDS

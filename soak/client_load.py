"""The application beside a sidecar: clients in open loop, some of which misbehave."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from soak.client_connection import ClientConnection
from soak.deployment import KEYED, SAFE, TENANTS, Deployment, RequestKind
from soak.history import ClientRequest, HarnessClock, History, MalformedPeer
from soak.sidecar_process import SidecarProcess

ANSWER_GRACE_SECONDS = 0.55
"""An answer up to half a second late earns nothing; clients here wait for it, to tell late from lost."""
CONNECT_TIMEOUT_SECONDS = 1.0
CROSSING_SECONDS = 0.05
"""A resting connection that ends this soon after a request was written to it crossed it."""
NEW_CONNECTIONS_AFTER_STOP_SECONDS = 0.3
MALFORMED_PEER_SECONDS = 4.0
MAX_IDLE_CONNECTIONS = 20
MAX_SLOW_WRITE_SECONDS = 0.3
KEY_COUNT = 200
BURSTS = (1, 1, 1, 1, 1, 1, 2, 2, 4, 6)
"""Requests that come at once, drawn with equal chances."""
MEAN_BURST = sum(BURSTS) / len(BURSTS)
MAX_BODY_BYTES = 20_000


class Behaviour(StrEnum):
    """What a client does with its request."""

    USUAL = "waits for the answer"
    LEAVES = "closes the connection before the answer"
    RESETS = "resets the connection before the answer"
    WRITES_SLOWLY = "writes in pieces"
    CLOSES = "asks for the connection to be closed"
    PIPELINES = "sends many requests at once"
    GARBAGE = "sends garbage"
    HALF = "stops in the middle of a request"
    SILENT = "sends nothing"
    RUNS = "sends much and goes"


MALFORMED_BEHAVIOURS = (Behaviour.GARBAGE, Behaviour.HALF, Behaviour.SILENT, Behaviour.RUNS)


@dataclass(slots=True)
class LoadProfile:
    """How often clients misbehave, as weights; faults change it for a while."""

    weights: dict[Behaviour, float]

    def draw(self, random: Random) -> Behaviour:
        """Draw what one client does."""
        return random.choices(list(self.weights), list(self.weights.values()))[0]


def usual_profile() -> LoadProfile:
    """Return the weights where no fault is on the clients."""
    return LoadProfile(
        {
            Behaviour.USUAL: 80.0,
            Behaviour.LEAVES: 3.0,
            Behaviour.RESETS: 1.0,
            Behaviour.WRITES_SLOWLY: 4.0,
            Behaviour.CLOSES: 4.0,
            Behaviour.PIPELINES: 0.5,
            Behaviour.GARBAGE: 0.3,
            Behaviour.HALF: 0.3,
            Behaviour.SILENT: 0.2,
            Behaviour.RUNS: 0.2,
        }
    )


class ClientLoad:
    """The clients of one sidecar."""

    def __init__(
        self,
        sidecar: SidecarProcess,
        deployment: Deployment,
        clock: HarnessClock,
        history: History,
        random: Random,
    ) -> None:
        self.profile = usual_profile()
        self._sidecar = sidecar
        self._deployment = deployment
        self._clock = clock
        self._history = history
        self._random = random
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    async def run(self) -> None:
        """Send requests at random times until cancelled; what is under way then goes on."""
        bursts_per_second = self._deployment.requests_per_second / MEAN_BURST
        while True:
            await asyncio.sleep(self._random.expovariate(bursts_per_second))
            for _ in range(self._random.choice(BURSTS)):
                task = asyncio.create_task(self._run_client(self.profile.draw(self._random)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the clients that are under way."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        for connection in list(self._open):
            connection.leave(by_reset=False)

    def leave_all(self) -> None:
        """Let every client that waits close its connection."""
        for connection in list(self._open):
            connection.leave(by_reset=self._random.random() < 0.3)
        self._open.clear()
        self._idle.clear()

    # ---- one client

    async def _run_client(self, behaviour: Behaviour) -> None:
        connection = await self._connection(behaviour)
        if connection is None:
            return
        if behaviour in MALFORMED_BEHAVIOURS:
            await self._run_malformed(connection, behaviour)
        elif behaviour == Behaviour.PIPELINES:
            await self._run_pipeline(connection)
        else:
            await self._run_request(connection, behaviour)
        if not connection.is_open:
            self._open.discard(connection)

    async def _connection(self, behaviour: Behaviour) -> ClientConnection | None:
        is_new = behaviour in (*MALFORMED_BEHAVIOURS, Behaviour.PIPELINES)
        while self._idle and not is_new:
            connection = self._idle.pop(self._random.randrange(len(self._idle)))
            if connection.is_open:
                return connection
            self._open.discard(connection)
        if not self._may_connect():
            return None
        try:
            connection = await ClientConnection.open(
                self._sidecar.address, self._clock, CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            return None
        self._open.add(connection)
        return connection

    def _may_connect(self) -> bool:
        life = self._sidecar.life
        if life is None or life.ready_at is None or life.killed_at is not None or life.ended_at is not None:
            return False
        stopped_at = life.stop_requested_at
        return stopped_at is None or self._clock.now() - stopped_at < NEW_CONNECTIONS_AFTER_STOP_SECONDS

    async def _run_request(self, connection: ClientConnection, behaviour: Behaviour) -> None:
        request, data = self._new_request(closes=behaviour == Behaviour.CLOSES)
        if behaviour == Behaviour.WRITES_SLOWLY:
            data = await self._write_slowly(connection, data)
        self._history.requests[request.request_id] = request
        is_done = connection.send(request, data)
        if behaviour in (Behaviour.LEAVES, Behaviour.RESETS):
            await asyncio.wait((is_done,), timeout=request.timeout_seconds * self._random.random() ** 2)
            if not is_done.done():
                connection.leave(by_reset=behaviour == Behaviour.RESETS)
            return
        await self._await_answer(connection, request, is_done)
        if request.end is not None and self._crossed(request):
            await self._resend(request, data)

    async def _await_answer(
        self, connection: ClientConnection, request: ClientRequest, is_done: asyncio.Future[None]
    ) -> None:
        await asyncio.wait((is_done,), timeout=request.timeout_seconds + ANSWER_GRACE_SECONDS)
        if not is_done.done():
            connection.leave(by_reset=False)
            request.left_at = None  # it waited for as long as it may; this is no client that left early
        elif connection.is_open and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            self._open.discard(connection)

    def _crossed(self, request: ClientRequest) -> bool:
        """Whether the request crossed the end of a resting connection: then it is sent once more."""
        ended_at = request.ended_at if request.ended_at is not None else request.sent_at
        return not request.is_first_on_connection and ended_at - request.sent_at < CROSSING_SECONDS

    async def _resend(self, request: ClientRequest, data: bytes) -> None:
        if not self._may_connect():
            return
        try:
            connection = await ClientConnection.open(
                self._sidecar.address, self._clock, CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            return
        self._open.add(connection)
        request.resent_from = request.end.value if request.end is not None else ""
        request.end, request.ended_at = None, None
        await self._await_answer(connection, request, connection.send(request, data))

    async def _write_slowly(self, connection: ClientConnection, data: bytes) -> bytes:
        """Write all but the last piece, and return that."""
        cuts = sorted(self._random.randrange(1, len(data)) for _ in range(3))
        for start, end in zip([0, *cuts[:-1]], cuts, strict=True):
            connection.write(data[start:end])
            await asyncio.sleep(self._random.random() * MAX_SLOW_WRITE_SECONDS / 3)
        return data[cuts[-1] :]

    async def _run_pipeline(self, connection: ClientConnection) -> None:
        batch = [self._new_request() for _ in range(self._random.randint(2, 24))]
        pending = []
        for request, data in batch:
            self._history.requests[request.request_id] = request
            pending.append(connection.send(request, data))
        longest = max(request.timeout_seconds for request, _ in batch)
        await asyncio.wait(pending, timeout=longest + ANSWER_GRACE_SECONDS)
        if not all(is_done.done() for is_done in pending):
            connection.leave(by_reset=False)
            for request, _ in batch:
                request.left_at = None

    # ---- peers that send no proper request

    async def _run_malformed(self, connection: ClientConnection, behaviour: Behaviour) -> None:
        peer = MalformedPeer(self._sidecar.name, behaviour.value, self._clock.now())
        _, data = self._new_request()
        if behaviour == Behaviour.GARBAGE:
            connection.write(self._random.randbytes(self._random.randint(1, 200)) + b"\r\n\r\n")
        elif behaviour == Behaviour.HALF:
            connection.write(data[: self._random.randrange(1, len(data))])
        elif behaviour == Behaviour.RUNS:
            connection.write(self._random.randbytes(200_000))
            connection.leave(by_reset=self._random.random() < 0.5)
            self._open.discard(connection)
            return
        self._history.malformed_peers.append(peer)
        if await connection.wait_until_lost(MALFORMED_PEER_SECONDS):
            peer.ended_at = self._clock.now()
        peer.first_bytes = connection.first_bytes.decode("latin-1")
        with contextlib.suppress(OSError):
            connection.leave(by_reset=False)
        self._open.discard(connection)

    # ---- requests

    def _new_request(self, closes: bool = False) -> tuple[ClientRequest, bytes]:
        kinds = self._deployment.kinds
        kind = self._random.choices(kinds, [kind.share for kind in kinds])[0]
        self._request_count += 1
        request_id = f"{self._sidecar.name}-{self._request_count:x}"
        timeout_seconds = round(kind.timeout_seconds * self._random.uniform(0.7, 1.0), 3)
        request = ClientRequest(request_id, self._sidecar.name, kind.name, 0.0, timeout_seconds, True)
        return request, self._encode(request, kind, closes)

    def _encode(self, request: ClientRequest, kind: RequestKind, closes: bool) -> bytes:
        body = b"" if kind.effect == SAFE else self._random.randbytes(self._random.randrange(MAX_BODY_BYTES))
        key = int(KEY_COUNT * self._random.random() ** 2)
        lines = [
            f"{'GET' if kind.effect == SAFE else 'POST'} /api?k={key:x} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {request.request_id}",
            f"Req-Kind: {kind.name}",
            f"Req-Owner: {self._random.choice(TENANTS)}",
            f"Req-Deadline: {request.timeout_seconds:.3f}",
        ]
        if kind.effect == KEYED:
            lines.append(f"Idempotency-Key: key-{request.request_id}")
        if kind.effect != SAFE:
            lines.append(f"Content-Length: {len(body)}")
        if closes:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

"""Stand-ins for the cases 6 to 10: clients, account servers, discovery, and the sidecar as a process.

They use the standard library alone, and loopback addresses alone. The sidecar is started by the `run` command of
the deploy file. Everything that is sent, answered and run goes into the record.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000
SECOND = 1000 * MS
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played: something outside of the program under review is in the way."""


class Record:
    """The lines of record.txt, with the time in seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# ---- account servers


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    begun_at: float
    """When its first byte arrived."""
    arrived_at: float
    """When its last byte arrived: the account server runs it from then on."""

    @property
    def id(self) -> str:
        return self.headers.get("req-id", "")


def answer(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


Serve = Callable[["AccountServer", Request, asyncio.StreamWriter], Awaitable[None]]


class AccountServer:
    """An account server. `serve` answers each request; by default it answers at once with the id in the body."""

    def __init__(self, name: str, record: Record, serve: Serve | None = None) -> None:
        self.name = name
        self.record = record
        self.serve = serve
        self.requests: list[Request] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, HOST, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first_byte = await reader.readexactly(1)
                begun_at = self.record.now()
                line, headers = parse_head(first_byte + await read_head(reader))
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = line.split(" ")
                request = Request(method, target, headers, body, begun_at, self.record.now())
                if target.startswith(("/alive", "/metrics")):
                    writer.write(answer(b"ok"))
                    continue
                if not request.id:
                    writer.write(answer(b"no id", "404 Not Found"))
                    continue
                self.requests.append(request)
                self.record.write(
                    f"run at {self.name}: id={request.id} {method} {target}"
                    f" Req-Deadline={headers.get('req-deadline')} body={len(body)} bytes"
                )
                if self.serve is None:
                    writer.write(answer(f"served {request.id}".encode()))
                else:
                    await self.serve(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


# ---- discovery


class Discovery:
    """The discovery agent of one sidecar: whole lists, and watches that wait for a change."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 41
        self.hosts: dict[str, dict] = {}
        self._changed_at: dict[str, int] = {}
        self._news = asyncio.Event()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.told: list[tuple[float, int]] = []
        """When which version was written to the sidecar."""

    def add(self, server: AccountServer, **fields: object) -> None:
        entry = {
            "host": server.name, "dial": f"{HOST}:{server.port}", "site": "a", "class": "m", "block": 1,
            "health": "up", "share": 1.0, "born_ms": 0,
        }
        entry.update(fields)
        self.hosts[server.name] = entry
        self._changed_at[server.name] = self.seq

    def change(self, name: str, **fields: object) -> None:
        self.seq += 1
        self.hosts[name] = {**self.hosts[name], **fields}
        self._changed_at[name] = self.seq
        self.record.write(f"discovery has seq={self.seq} {name} {fields}")
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict:
        hosts = [entry for entry in self.hosts.values() if entry["health"] != "removed"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, _headers = parse_head(await read_head(reader))
                query = line.split(" ")[1].partition("?")[2]
                values = dict(part.split("=") for part in query.split("&") if "=" in part)
                document = await self._document(values)
                writer.write(answer(json.dumps(document).encode()))
                self.told.append((self.record.now(), document["seq"]))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _document(self, values: dict[str, str]) -> dict:
        if "from" not in values:
            return self.whole()
        since = int(values["from"])
        if self.seq <= since:
            try:
                await asyncio.wait_for(self._news.wait(), int(values.get("hold_ms", "0")) / 1000)
            except TimeoutError:
                pass
        if not since:
            return self.whole()
        changed = [self.hosts[name] for name, seq in self._changed_at.items() if seq > since]
        return {"seq": self.seq, "whole": False, "hosts": changed}


# ---- the sidecar


def request_class(name: str, effect: str, aim_ms: int, limit_ms: int, **fields: object) -> dict:
    return {
        "Name": name, "Effect": effect, "AimNs": aim_ms * MS, "HardLimitNs": limit_ms * MS,
        "Importance": 3.0, "KeyScope": "all", "LateWorth": 0.5, "Stream": False, "WindowNs": 0, **fields,
    }


# The classes of `bogota-abonados`, with the figures of the site's page.
SITE_CLASSES = [
    request_class("consulta", "retryable", 500, 2500),
    request_class("cambio-plan", "dedup", 500, 1000, KeyScope="cell", LateWorth=0.2, WindowNs=750 * MS),
    request_class("factura", "fragile", 1500, 5000, Importance=5.0, LateWorth=0.3),
]


def settings(classes: list[dict] | None = None, **fields: object) -> dict:
    """Settings as the wire's page shows them, for one sidecar in one zone."""
    document = {
        "Azs": ["a"], "Kinds": ["m"], "Categories": classes or SITE_CLASSES,
        "Clients": {"MarksRetry": True},
        "Deductions": {"Connection": 0.06, "CrossZone": 0.016, "Handshake": 0.06, "LateFail": 0.08,
                       "Probe": 0.01, "Waste": 0.08},
        "Discovery": "pushed", "Extra": {}, "Family": "mesh",
        "Limits": {"Cancel": True, "ConnIdleNs": 60 * SECOND, "ConnectTimeoutNs": 150 * MS, "MaxAttempts": 6,
                   "MaxOpen": 27328, "MaxRetryAfterNs": 3 * SECOND, "ParallelTries": False, "Peers": False,
                   "Probes": True, "RetryAfter": True},
        "NInstances": 1, "Position": 0, "Zone": 0, "Orgs": [], "OverShareWorth": 0.2,
        "Rules": {"AnswerSlackNs": 20 * MS, "AskWithinNs": 10 * SECOND, "ColdFrom": 0.31, "ColdNs": 8500 * MS,
                  "DrainGraceNs": SECOND, "FallMultiple": 3.0, "FallNs": 3 * SECOND},
        "Stats": {"Fields": [], "Via": "off"}, "TickNs": 5 * MS, "WorthBy": "request",
    }
    for key, value in fields.items():
        document[key] = {**document[key], **value} if isinstance(value, dict) else value
    return document


class Sidecar:
    """One sidecar, started by `run` of the deploy file in a folder of its own."""

    def __init__(self, record: Record, discovery: Discovery, settings: dict, memory_mb: int = 80,
                 sockets: int = 384) -> None:
        self.record = record
        self.sockets = sockets
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="balancer-review-"))
        self.config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.whole(), "settings": settings,
        }
        self.process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def write_config(self) -> Path:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        return path

    async def start(self) -> None:
        if not (ROOT / ".venv/bin/python").exists():
            raise CannotRun("the build of the deploy file has not been made")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "PROXY_CONFIG": str(self.write_config()), "TMPDIR": str(self.folder)}
        with (self.folder / "log").open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        for _ in range(600):
            if self.process.poll() is not None:
                raise CannotRun(f"the sidecar ended at its start with status {self.process.returncode}")
            if await self._is_up():
                self.record.write(f"sidecar is ready, process {self.pid}")
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the sidecar was not ready within 30 s")

    def _limit_descriptors(self) -> None:
        """Set the platform's limit on descriptors for this process alone, as the configuration tells it."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

    def descriptors(self) -> int:
        """How many descriptors the process holds now."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def _is_up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        self.record.write(f"{number.name} to the sidecar")
        os.kill(self.pid, number)

    def memory_mb(self) -> float:
        """The resident memory of the process now."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.record.write(f"sidecar ended with status {self.process.wait()}")
            log = (self.folder / "log").read_text()
            if log:
                self.record.write("log of the sidecar:\n" + log[-4000:])
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- clients


@dataclass
class Sent:
    """A request of a client, and what came back."""

    id: str
    timeout: float
    sent_at: float
    status: int = 0
    body: bytes = b""
    answered_at: float | None = None
    note: str = ""


def encode(id: str, kind: str, timeout: float, body: bytes = b"", key: str = "7f3a9c21e0b4d655",
           extra: str = "") -> bytes:
    """A request as the protocol's page shows it; the class decides the method."""
    head = f"Host: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline: {timeout:.3f}\r\n{extra}"
    if kind == "consulta":
        return f"GET /api?k={key} HTTP/1.1\r\n{head}\r\n".encode()
    if kind == "cambio-plan":
        head += f"Idempotency-Key: key-{id}\r\n"
    return f"POST /api?k={key} HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@dataclass
class Client:
    """A connection of a client. It reads the answers in the order of its requests."""

    record: Record
    port: int
    name: str = "client"
    waiting: list[Sent] = field(default_factory=list)
    end: str = ""
    """How the connection ended, and when; empty while it is open."""
    ended_at: float | None = None
    _reading: asyncio.Task | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 22)
        self._reading = asyncio.create_task(self._read())

    def send(self, *requests: tuple[str, str, float]) -> list[Sent]:
        """Write requests (id, class, time to wait) at once."""
        return send_together([(self, requests)])

    async def _read(self) -> None:
        try:
            while True:
                line, headers = parse_head(await read_head(self.reader))
                body = await self.reader.readexactly(int(headers.get("content-length", "0")))
                status = int(line.split(" ")[1])
                if not self.waiting:
                    self.record.write(f"answer to {self.name} without a request: {line}")
                    continue
                sent = self.waiting.pop(0)
                sent.status, sent.body, sent.answered_at = status, body, self.record.now()
                close = ", Connection: close" if headers.get("connection") == "close" else ""
                self.record.write(f"answer to {self.name}: id={sent.id} {status} {body[:40]!r}{close}")
        except asyncio.IncompleteReadError as error:
            self.end = "closed" if not error.partial else "closed within an answer"
        except (ConnectionError, OSError) as error:
            self.end = type(error).__name__
        self.ended_at = self.record.now()
        self.record.write(f"connection of {self.name} {self.end}, {len(self.waiting)} requests without an answer")

    def close(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self.writer.close()


def send_together(batches: list[tuple[Client, tuple[tuple[str, str, float], ...]]]) -> list[Sent]:
    """Write the requests (id, class, time to wait) of several clients in the same moment."""
    encoded = [
        (client, b"".join(encode(id, kind, timeout) for id, kind, timeout in requests))
        for client, requests in batches
    ]
    all_sent: list[Sent] = []
    for client, requests in batches:
        sent = [Sent(id, timeout, client.record.now()) for id, _, timeout in requests]
        client.waiting += sent
        all_sent += sent
    for client, data in encoded:
        client.writer.write(data)
    for client, requests in batches:
        for id, kind, timeout in requests:
            client.record.write(f"sent by {client.name}: id={id} {kind} Req-Deadline={timeout:.3f}")
    return all_sent


LATE = 0.5
"""Up to so many seconds after its time an answer only earns nothing; later, or never, the request is lost."""


def lost(requests: list[Sent]) -> list[Sent]:
    """The requests that got no final answer, or got it more than half a second after their time."""
    return [
        sent for sent in requests
        if sent.answered_at is None or sent.answered_at > sent.sent_at + sent.timeout + LATE
    ]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Deployment:
    """One sidecar before its account servers, with its discovery. Everything is ended when the block ends."""

    def __init__(self, record: Record, servers: int, serve: Serve | None = None, settings_document: dict | None = None,
                 **limits: int) -> None:
        self.record = record
        self.servers = [AccountServer(f"s{index}", record, serve) for index in range(servers)]
        self.discovery = Discovery(record)
        self._settings = settings_document or settings()
        self._limits = limits
        self.clients: list[Client] = []

    async def __aenter__(self) -> Deployment:
        for server in self.servers:
            await server.start()
            self.discovery.add(server)
        await self.discovery.start()
        self.sidecar = Sidecar(self.record, self.discovery, self._settings, **self._limits)
        try:
            await self.sidecar.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def connect(self, name: str) -> Client:
        client = Client(self.record, self.sidecar.port, name)
        self.clients.append(client)
        await client.connect()
        return client

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            client.close()
        self.sidecar.end()
        for server in self.servers:
            await server.stop()
        await self.discovery.stop()


def main(folder: Path, case: Callable[[Record, bool], Awaitable[str | None]], limit: float = 110) -> None:
    """Play a case: `case` returns what broke the rule, or None if the rule held. TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    record.write(f"case {folder.name}, {'with' if trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), limit))
    except Exception as error:  # noqa: BLE001
        record.write(f"the case could not run: {type(error).__name__} {error}")
        print(f"case {folder.name}: could not run: {type(error).__name__} {error}")
        sys.exit(NOT_RUN)
    result = f"broken: {broken}" if broken else "the rule held"
    record.write(result)
    print(f"case {folder.name}: {result}")
    sys.exit(BROKEN if broken else HELD)

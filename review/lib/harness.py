"""Parts that the review's cases share: one sidecar process, a discovery agent, configuration and the record.

Standard library only. Every address is a loopback address, every port is free when it is taken, and every
process that is started here is ended here by its id.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses: the rule held, the rule was broken, the case could not run."""
MS = 1_000_000
SECOND = 1_000_000_000


LONGEST_SECONDS = 110.0
"""A case that is not over by then could not run."""
START_ATTEMPTS = 3
"""Another program may take the free port before the sidecar listens at it."""

_started: list[Sidecar] = []
"""The sidecars to end when the case ends, however it ends."""


def has_trouble() -> bool:
    """Return whether the disruption is on; TROUBLE=0 switches it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, who: str, what: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.4f} {who:<9} {what}\n")
            self._file.flush()


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]


def read_head(connection: socket.socket, buffer: bytearray, pause: float = 0.0, piece: int = 65536) -> bytes | None:
    """Read up to and including the empty line; None if the peer closes before."""
    while (end := buffer.find(b"\r\n\r\n")) < 0:
        if pause:
            time.sleep(pause)
        data = connection.recv(piece)
        if not data:
            return None
        buffer += data
    head = bytes(buffer[: end + 4])
    del buffer[: end + 4]
    return head


def field(head: bytes, name: str) -> str:
    """Return the value of a header field, or an empty text."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name.lower():
            return value.strip()
    return ""


def read_response(connection: socket.socket, buffer: bytearray) -> tuple[int, bytes, bytes] | None:
    """Read one response with a Content-Length; None if the connection ends before it is whole."""
    try:
        head = read_head(connection, buffer)
        if head is None:
            return None
        length = int(field(head, "Content-Length") or 0)
        while len(buffer) < length:
            data = connection.recv(65536)
            if not data:
                return None
            buffer += data
    except OSError:
        return None
    body = bytes(buffer[:length])
    del buffer[:length]
    return int(head.split(b" ", 2)[1]), head, body


HEALTH_CHECK = b"GET /alive "
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
"""The answer to a health check, which a sidecar sends to servers that it has taken out."""


class Agent:
    """A discovery agent: the whole list, and watches that end with a change or when their time is over."""

    def __init__(self, hosts: list[dict], record: Record) -> None:
        self._hosts = hosts
        self._record = record
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def document(self) -> dict:
        return {"seq": 1, "whole": True, "hosts": self._hosts}

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        buffer = bytearray()
        try:
            while (head := read_head(connection, buffer)) is not None:
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                document = self.document()
                if int(query.get("from", ["0"])[0]) >= 1:
                    time.sleep(int(query.get("hold_ms", ["0"])[0]) / 1000)
                    document = {"seq": 1, "whole": False, "hosts": []}
                body = json.dumps(document).encode()
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
        except OSError:
            pass
        finally:
            connection.close()


def host_entry(name: str, port: int, zone: str = "bogota", cell: int = 1) -> dict:
    return {
        "host": name,
        "dial": f"{HOST}:{port}",
        "site": zone,
        "class": "mediana",
        "block": cell,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
    }


def settings(categories: list[dict], **changes: object) -> dict:
    """Return settings of a small deployment: those of the page WIRE for bogota-abonados, with one sidecar."""
    document = {
        "Azs": ["bogota", "medellin", "cali"],
        "Kinds": ["grande", "mediana", "pequena"],
        "Categories": categories,
        "Clients": {"MarksRetry": True},
        "Deductions": {"Connection": 0.06, "CrossZone": 0.016, "Handshake": 0.06, "Waste": 0.08},
        "Discovery": "pushed",
        "Extra": {"WarmKeys": True},
        "Limits": {
            "Cancel": True,
            "ConnIdleNs": 60 * SECOND,
            "ConnectTimeoutNs": 150 * MS,
            "MaxAttempts": 6,
            "MaxRetryAfterNs": 3 * SECOND,
            "ParallelTries": False,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
            "StreamsPerConn": 1,
        },
        "NInstances": 1,
        "Orgs": [],
        "Position": 0,
        "Rules": {
            "AnswerSlackNs": 20 * MS,
            "AskWithinNs": 10 * SECOND,
            "ColdFrom": 0.31,
            "ColdNs": 8500 * MS,
            "DrainGraceNs": SECOND,
            "FallMultiple": 3.0,
            "FallNs": 3 * SECOND,
        },
        "Stats": {"Fields": [], "Via": "off"},
        "Zone": 0,
    }
    document.update(changes)
    return document


CONSULTA = {
    "Name": "consulta",
    "Effect": "retryable",
    "AimNs": 500 * MS,
    "HardLimitNs": 2500 * MS,
    "Importance": 3.0,
    "LateWorth": 0.5,
    "KeyScope": "all",
    "Stream": False,
    "WindowNs": 5 * SECOND,
}
CAMBIO = {
    "Name": "cambio-plan",
    "Effect": "dedup",
    "AimNs": 500 * MS,
    "HardLimitNs": 1000 * MS,
    "Importance": 3.0,
    "LateWorth": 0.2,
    "KeyScope": "cell",
    "Stream": False,
    "WindowNs": 750 * MS,
}
FACTURA = {
    "Name": "factura",
    "Effect": "fragile",
    "AimNs": 1500 * MS,
    "HardLimitNs": 5 * SECOND,
    "Importance": 5.0,
    "LateWorth": 0.3,
    "KeyScope": "all",
    "Stream": False,
    "WindowNs": 5 * SECOND,
}


class Sidecar:
    """One sidecar, started with the command `run` of the deploy file."""

    def __init__(
        self, agent: Agent, settings_document: dict, record: Record, sockets: int = 384, memory_mb: int = 80
    ) -> None:
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._folder.name)
        self.port = free_port()
        configuration = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": agent.document(),
            "settings": settings_document,
        }
        self._configuration = configuration
        self._path = folder / "config.json"
        self._log = (folder / "log").open("w+")
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._command = tomllib.load(file)["run"]
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process and wait until GET /up answers 200."""
        for _ in range(START_ATTEMPTS):
            if self._start_once():
                return
            self.port = free_port()
            self._configuration["listen"] = f"{HOST}:{self.port}"
        raise RuntimeError("the sidecar did not become ready")

    def _start_once(self) -> bool:
        self._path.write_text(json.dumps(self._configuration))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": self._folder.name,
            "PROXY_CONFIG": str(self._path),
        }
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", self._command], cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        _started.append(self)
        end = time.monotonic() + 30
        while time.monotonic() < end and self._process.poll() is None:
            if self._is_up():
                self._record.write("sidecar", "GET /up answered 200")
                return True
            time.sleep(0.02)
        self._end()
        return False

    def _is_up(self) -> bool:
        try:
            with self.connect() as connection:
                connection.sendall(b"GET /up HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n")
                response = read_response(connection, bytearray())
        except OSError:
            return False
        return response is not None and response[0] == 200

    def connect(self, timeout: float = 10.0) -> socket.socket:
        connection = socket.create_connection((HOST, self.port), timeout=timeout)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def send_signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._record.write("platform", f"{number.name} to the sidecar")
        self._process.send_signal(number)

    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def stop(self) -> None:
        """End the process, and add its log to the record."""
        self._end()
        self._log.seek(0)
        for line in self._log.read().splitlines():
            self._record.write("log", line)
        self._folder.cleanup()

    def _end(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


def _give_up(reason: str) -> None:
    """End the sidecars and the case, which could not run."""
    for sidecar in _started:
        sidecar._end()
    print(f"could not run: {reason}", file=sys.stderr, flush=True)
    os._exit(NOT_RUN)


def run_case(folder: Path, case) -> None:
    """Run `case(record)`, which returns whether the rule held; exit with the status of the case."""
    record = Record(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda received, _frame: _give_up(f"ended by signal {received}"))
    watchdog = threading.Timer(LONGEST_SECONDS, _give_up, ("it took too long",))
    watchdog.daemon = True
    watchdog.start()
    trouble = "on" if has_trouble() else "off (TROUBLE=0)"
    record.write("case", f"started, disruption {trouble}")
    try:
        held, verdict = case(record)
    except Exception as error:  # any failure of the stand-ins means that the case did not run
        record.write("case", f"could not run: {type(error).__name__}: {error}")
        _give_up(f"{type(error).__name__}: {error}")
    record.write("case", f"{'HELD' if held else 'BROKEN'}: {verdict}")
    print(f"{'held' if held else 'BROKEN'}: {verdict}")
    sys.stdout.flush()
    os._exit(HELD if held else BROKEN)

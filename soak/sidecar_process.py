"""One sidecar of the soak: its configuration, its processes one after the other, and what they use."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
from pathlib import Path

from soak.deployment import Deployment
from soak.discovery_agent import DiscoveryAgent
from soak.fault_proxy import Address
from soak.history import HarnessClock, History, SidecarLife
from soak.syscall_faults import SyscallFaults

REPOSITORY_ROOT = Path(__file__).parent.parent
READY_POLL_SECONDS = 0.02
READY_ANSWER_TIMEOUT_SECONDS = 1.0
BYTES_PER_MEGABYTE = 1_000_000
PAGE_BYTES = resource.getpagesize()


class SidecarProcess:
    """A sidecar under its name and address; `life` is the process that runs now."""

    def __init__(
        self,
        position: int,
        address: Address,
        deployment: Deployment,
        agent: DiscoveryAgent,
        clock: HarnessClock,
        history: History,
        directory: Path,
        faults: SyscallFaults,
    ) -> None:
        self.name = name = agent.sidecar
        self.address = address
        self.agent = agent
        self.faults = faults
        self.life: SidecarLife | None = None
        self._position = position
        self._deployment = deployment
        self._clock = clock
        self._history = history
        self._configuration_file = directory / f"{name}.config.json"
        self._log_file = directory / f"{name}.log"
        self._start_count = 0
        self._process: asyncio.subprocess.Process | None = None
        self._watch_task: asyncio.Task[None] | None = None

    @property
    def is_serving(self) -> bool:
        """Whether the process is ready and has not been told to stop."""
        return self.life is not None and self.life.ready_at is not None and not self.is_stopping

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been told to stop."""
        return self.life is not None and (self.life.stop_requested_at or self.life.killed_at) is not None

    def write_configuration(self) -> None:
        """Write the configuration with the present address of discovery, in one step."""
        host, port = self.agent.address
        document = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"{host}:{port}",
            "seed": f"{self._position + 1:x}{self._start_count:x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self._deployment.memory_megabytes,
                "sockets": self._deployment.max_descriptors,
            },
            "known": self.agent.directory.snapshot(),
            "settings": self._deployment.settings(self._position),
        }
        temporary = self._configuration_file.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(self._configuration_file)

    async def start(self) -> None:
        """Start a process; it need not be ready yet."""
        self._start_count += 1
        self.write_configuration()
        environment = os.environ | self.faults.environment | {"PROXY_CONFIG": str(self._configuration_file)}
        limit = self._deployment.max_descriptors
        with self._log_file.open("ab") as log:
            offset = log.tell()
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "balancer"),
                cwd=REPOSITORY_ROOT,
                env=environment,
                stderr=log,
                stdout=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
            )
        self.life = SidecarLife(self.name, self._process.pid, self._clock.now())
        self._history.sidecars.append(self.life)
        self.agent.note_process_start()
        self._watch_task = asyncio.create_task(self._watch(self._process, self.life, offset))

    async def wait_until_ready(self, timeout_seconds: float) -> bool:
        """Wait until the process answers its readiness check; False if it does not in this time."""
        life = self.life
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while life is not None and life.ended_at is None:
                    if await self._is_ready():
                        life.ready_at = self._clock.now()
                        return True
                    await asyncio.sleep(READY_POLL_SECONDS)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is None or self.life is None or self.life.ended_at is not None:
            return
        now = self._clock.now()
        if number == signal.SIGTERM and self.life.stop_requested_at is None:
            self.life.stop_requested_at = now
        elif number == signal.SIGKILL:
            self.life.killed_at = now
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait_until_ended(self, timeout_seconds: float) -> bool:
        """Wait for the end of the process; False if it has not ended in this time."""
        if self._watch_task is None:
            return True
        done, _ = await asyncio.wait((self._watch_task,), timeout=timeout_seconds)
        return bool(done)

    def measure(self) -> None:
        """Note how many descriptors and how much memory the process uses now."""
        if self.life is None or self.life.ended_at is not None:
            return
        directory = Path(f"/proc/{self.life.process_id}")
        with contextlib.suppress(OSError, IndexError, ValueError):
            descriptors = len(list((directory / "fd").iterdir()))
            pages = int((directory / "statm").read_text().split()[1])
            self.life.max_descriptors = max(self.life.max_descriptors, descriptors)
            megabytes = pages * PAGE_BYTES / BYTES_PER_MEGABYTE
            self.life.max_memory_megabytes = max(self.life.max_memory_megabytes, megabytes)

    async def _is_ready(self) -> bool:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(READY_ANSWER_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /up HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def _watch(self, process: asyncio.subprocess.Process, life: SidecarLife, log_offset: int) -> None:
        life.exit_status = await process.wait()
        life.ended_at = self._clock.now()
        with self._log_file.open("rb") as log:
            log.seek(log_offset)
            life.log = log.read().decode(errors="replace")

"""One sidecar under test: its successive processes, the signals they get and the resources they use."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import sys
from pathlib import Path

from soak.deployment import Deployment
from soak.discovery.agent import DiscoveryAgent
from soak.history.clock import HarnessClock
from soak.history.events import SidecarIncarnation
from soak.history.history import History
from soak.network.sockets import Address
from soak.sidecar.configuration import ConfigurationFile
from soak.sidecar.readiness import is_ready
from soak.sidecar.resource_usage import read_resource_usage
from soak.sidecar.syscall_faults import SyscallFaults

REPOSITORY_ROOT = Path(__file__).parent.parent.parent
READY_POLL_INTERVAL_SECONDS = 0.02
"""Seconds between two readiness checks."""


class SidecarProcess:
    """A sidecar with a fixed name and address, of which one process runs at a time.

    Attributes:
        incarnation: the record of the process that runs now, or of the last one.
        faults: the faults of the system calls in its processes.
    """

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
        self.name = agent.sidecar
        self.address = address
        self.agent = agent
        self.faults = faults
        self.incarnation: SidecarIncarnation | None = None
        self._max_descriptors = deployment.max_descriptors
        self._clock = clock
        self._history = history
        self._configuration_file = ConfigurationFile(
            directory / f"{self.name}.config.json", position, address, deployment, agent
        )
        self._log_file = directory / f"{self.name}.log"
        self._start_count = 0
        self._process: asyncio.subprocess.Process | None = None
        self._exit_task: asyncio.Task[None] | None = None

    @property
    def is_serving(self) -> bool:
        """Whether the process is ready and has not been asked to stop."""
        incarnation = self.incarnation
        return incarnation is not None and incarnation.ready_at_seconds is not None and not self.is_stopping

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been asked to stop, or killed."""
        incarnation = self.incarnation
        if incarnation is None:
            return False
        return incarnation.stop_requested_at_seconds is not None or incarnation.killed_at_seconds is not None

    def write_configuration(self) -> None:
        """Write the configuration with the current address of the discovery agent."""
        self._configuration_file.write(self._start_count)

    async def start(self) -> None:
        """Start a process without waiting until it is ready."""
        self._start_count += 1
        self.write_configuration()
        with self._log_file.open("ab") as log:
            log_offset = log.tell()
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "balancer"),
                cwd=REPOSITORY_ROOT,
                env=self._environment(),
                stderr=log,
                stdout=log,
                preexec_fn=self._limit_descriptors,
            )
        self.incarnation = SidecarIncarnation(self.name, self._process.pid, self._clock.now_seconds())
        self._history.sidecars.append(self.incarnation)
        self.agent.record_process_start()
        self._exit_task = asyncio.create_task(self._record_exit(self._process, self.incarnation, log_offset))

    async def wait_until_ready(self, timeout_seconds: float) -> bool:
        """Wait for the process to pass its readiness check; return False if it ends or times out first."""
        incarnation = self.incarnation
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while incarnation is not None and incarnation.ended_at_seconds is None:
                    if await is_ready(self.address):
                        incarnation.ready_at_seconds = self._clock.now_seconds()
                        return True
                    await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running, and record the time of SIGTERM and SIGKILL."""
        incarnation = self.incarnation
        if self._process is None or incarnation is None or incarnation.ended_at_seconds is not None:
            return
        now_seconds = self._clock.now_seconds()
        if number == signal.SIGTERM and incarnation.stop_requested_at_seconds is None:
            incarnation.stop_requested_at_seconds = now_seconds
        elif number == signal.SIGKILL:
            incarnation.killed_at_seconds = now_seconds
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait_until_ended(self, timeout_seconds: float) -> bool:
        """Wait until the process has ended; return False if it has not ended within this time."""
        if self._exit_task is None:
            return True
        done, _ = await asyncio.wait((self._exit_task,), timeout=timeout_seconds)
        return bool(done)

    def record_resource_usage(self) -> None:
        """Record how many descriptors and how much memory the process uses now."""
        incarnation = self.incarnation
        if incarnation is None or incarnation.ended_at_seconds is not None:
            return
        usage = read_resource_usage(incarnation.process_id)
        if usage is None:
            return
        incarnation.max_descriptors = max(incarnation.max_descriptors, usage.descriptors)
        incarnation.max_memory_megabytes = max(incarnation.max_memory_megabytes, usage.memory_megabytes)

    def _environment(self) -> dict[str, str]:
        configuration = {"PROXY_CONFIG": str(self._configuration_file.path)}
        return os.environ | self.faults.environment | configuration

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_descriptors, self._max_descriptors))

    async def _record_exit(
        self, process: asyncio.subprocess.Process, incarnation: SidecarIncarnation, log_offset: int
    ) -> None:
        """Wait until a process has ended, and record its end and its log."""
        incarnation.exit_status = await process.wait()
        incarnation.ended_at_seconds = self._clock.now_seconds()
        with self._log_file.open("rb") as log:
            log.seek(log_offset)
            incarnation.log = log.read().decode(errors="replace")

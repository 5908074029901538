"""Runs one sidecar as a separate process that uses a discovery agent on this machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Self

from benchmarks.errors import SidecarExitedError, SidecarNotReadyError
from benchmarks.process_usage import read_cpu_seconds, read_resident_megabytes
from benchmarks.topology import ZONE_COUNT

REPOSITORY_ROOT = Path(__file__).parent.parent
READY_TIMEOUT_SECONDS = 30.0
"""How long a sidecar may take to become ready, on a slow machine and with the longest endpoint list."""

READY_POLL_SECONDS = 0.02
"""Pause between two readiness checks; the measured time until ready may be too long by this much."""

STOP_TIMEOUT_SECONDS = 10.0
"""How long a sidecar may take to exit after SIGTERM before it is killed."""

SETTINGS = {
    "Azs": [f"z{zone}" for zone in range(ZONE_COUNT)],
    "Kinds": ["k"],
    "Categories": [
        {
            "Name": "read",
            "Effect": "retryable",
            "AimNs": 500_000_000,
            "HardLimitNs": 2_500_000_000,
            "Importance": 1,
            "LateWorth": 0.5,
        }
    ],
    "Limits": {
        "MaxAttempts": 5,
        "Probes": True,
        "ConnectTimeoutNs": 150_000_000,
        "ConnIdleNs": 60_000_000_000,
    },
    "Discovery": "pushed",
    "NInstances": 10_000,
}
"""Settings like those of a real deployment, with the names and units of the settings document."""


class SidecarProcess:
    """An asynchronous context manager that runs a sidecar, which starts with an empty endpoint list.

    Args:
        discovery_port: The port of discovery on 127.0.0.1.
        checkout: The directory of the checkout whose sidecar runs.

    Attributes:
        port: The port at which the sidecar serves.
    """

    def __init__(self, discovery_port: int, checkout: Path = REPOSITORY_ROOT) -> None:
        self.port = _free_port()
        self._discovery_port = discovery_port
        self._checkout = checkout
        self._cleanup = contextlib.AsyncExitStack()
        self._process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> Self:
        """Start the process, without waiting until it is ready."""
        async with contextlib.AsyncExitStack() as cleanup:
            directory = cleanup.enter_context(tempfile.TemporaryDirectory(prefix="balancer-benchmark-"))
            file = Path(directory) / "config.json"
            file.write_text(json.dumps(self._configuration()))
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "balancer",
                cwd=self._checkout,
                env=os.environ | {"PROXY_CONFIG": str(file)},
            )
            cleanup.push_async_callback(_stop, self._process)
            self._cleanup = cleanup.pop_all()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop the process and remove its configuration file."""
        await self._cleanup.aclose()

    async def wait_until_ready(self) -> None:
        """Wait until the sidecar passes its readiness check.

        Raises:
            SidecarNotReadyError: it is not ready after `READY_TIMEOUT_SECONDS`.
            SidecarExitedError: it has exited.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not await self._is_ready():
            self._running_process_id()
            if time.monotonic() > deadline:
                raise SidecarNotReadyError(READY_TIMEOUT_SECONDS)
            await asyncio.sleep(READY_POLL_SECONDS)

    def cpu_seconds(self) -> float:
        """Return the processor time so far; raises SidecarExitedError if the process has exited."""
        return self._read_usage(read_cpu_seconds)

    def resident_megabytes(self) -> float:
        """Return the resident set size in MiB; raises SidecarExitedError if the process has exited."""
        return self._read_usage(read_resident_megabytes)

    def _read_usage(self, read: Callable[[int], float]) -> float:
        process_id = self._running_process_id()
        try:
            return read(process_id)
        except OSError:
            raise SidecarExitedError(None) from None

    def _running_process_id(self) -> int:
        if self._process is None or self._process.returncode is not None:
            raise SidecarExitedError(self._process.returncode if self._process else None)
        return self._process.pid

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: sidecar\r\n\r\n")
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                status_line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        return b" 200 " in status_line

    def _configuration(self) -> dict[str, object]:
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self._discovery_port}",
            "seed": "1f",
            "limits": {"sockets": 1024, "memory_mb": 192},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": SETTINGS,
        }


async def _stop(process: asyncio.subprocess.Process) -> None:
    """Stop the process with SIGTERM, and with SIGKILL if it does not exit or if the wait is cancelled."""
    with contextlib.suppress(ProcessLookupError):
        process.terminate()
    try:
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            await process.wait()
    except TimeoutError:
        pass  # the process is killed below
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
    await process.wait()


def _free_port() -> int:
    """Return a port that was free a moment ago; a sidecar cannot report which port it got for port 0."""
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        port: int = bound_socket.getsockname()[1]
        return port

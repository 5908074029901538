"""Runs the sidecar as a separate process, and waits for changes of its state."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from tests.sidecar.client import Client
from tests.sidecar.configuration_documents import configuration
from tests.sidecar.scripted_endpoint import unreachable_address

COMMAND = (sys.executable, "-m", "balancer")
"""The command line of the sidecar."""
REPOSITORY_ROOT = Path(__file__).parent.parent.parent
LAST_STANDARD_STREAM = 2
"""The descriptor of the standard error stream."""
POLL_INTERVAL_SECONDS = 0.01
"""Pause between two calls; short compared with a process start, which takes some tenths of a second."""

Result = TypeVar("Result")


async def retry_until_result(
    operation: Callable[[], Awaitable[Result | None]], interval_seconds: float = POLL_INTERVAL_SECONDS
) -> Result:
    """Call an operation until it returns something other than None, and return that result."""
    while True:
        result = await operation()
        if result is not None:
            return result
        await asyncio.sleep(interval_seconds)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class ConfigurationFile:
    """The configuration file of a sidecar that listens at a free port of 127.0.0.1."""

    def __init__(self, directory: Path) -> None:
        self.path = directory / "config.json"
        self.listen_address = unreachable_address()

    def write(self, *endpoint_addresses: str, **overrides: Any) -> None:
        """Write a configuration with endpoints at these addresses; `overrides` replace top-level keys."""
        document = configuration(*endpoint_addresses, listen=self.listen_address, **overrides)
        self.write_text(json.dumps(document))

    def write_text(self, text: str) -> None:
        """Write any text, which need not be a valid configuration."""
        self.path.write_text(text)


def keep_descriptors_private() -> None:
    """Let no process that is started from now on inherit a descriptor, beside those of its streams.

    The event loop passes on each descriptor that this process has inherited itself, from a shell, say. Tests
    that count or limit the descriptors of a sidecar would depend on it.
    """
    for path in Path("/proc/self/fd").iterdir():
        descriptor = int(path.name)
        if descriptor > LAST_STANDARD_STREAM:
            with contextlib.suppress(OSError):  # the descriptor of the listing itself is closed by now
                os.set_inheritable(descriptor, False)


async def start_process(configuration_path: Path, **options: Any) -> asyncio.subprocess.Process:
    """Start the sidecar; `options` are passed to `asyncio.create_subprocess_exec`."""
    keep_descriptors_private()
    return await asyncio.create_subprocess_exec(
        *COMMAND,
        env=os.environ | {"PROXY_CONFIG": str(configuration_path)},
        cwd=REPOSITORY_ROOT,
        **options,
    )


async def connect(listen_address: str) -> Client:
    """Connect to a sidecar as a client, and wait for it if it is still starting."""
    host, port = split_address(listen_address)

    async def try_to_connect() -> Client | None:
        with contextlib.suppress(ConnectionError):
            return Client(*await asyncio.open_connection(host, port))
        return None

    return await retry_until_result(try_to_connect)


async def wait_until_refused(listen_address: str) -> None:
    """Wait until the sidecar accepts no new connections."""
    host, port = split_address(listen_address)

    async def is_refused() -> bool | None:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except ConnectionError:
            return True
        writer.close()
        return None

    await retry_until_result(is_refused)

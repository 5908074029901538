"""Tests of the sidecar that a benchmark runs as a separate process."""

from __future__ import annotations

import pytest

from benchmarks.discovery_stand_in import DiscoveryStandIn
from benchmarks.errors import SidecarExitedError
from benchmarks.sidecar_process import SidecarProcess
from tests.benchmarks.runner import run, run_with_discovery

INVALID_PORT = 65_536
"""One more than the highest port, so that the configuration is invalid."""


def test_running_process_is_measured_and_then_ended() -> None:
    async def test(discovery: DiscoveryStandIn) -> None:
        async with SidecarProcess(discovery.port) as sidecar:
            await sidecar.wait_until_ready()
            assert sidecar.cpu_seconds() > 0
            assert sidecar.resident_megabytes() > 0
        with pytest.raises(SidecarExitedError):
            sidecar.cpu_seconds()

    run_with_discovery(test)


def test_failed_start_is_reported_with_the_exit_code() -> None:
    async def test() -> None:
        async with SidecarProcess(discovery_port=INVALID_PORT) as sidecar:
            with pytest.raises(SidecarExitedError, match="exit code 2") as error_info:
                await sidecar.wait_until_ready()
            assert error_info.value.exit_code == 2

    run(test)

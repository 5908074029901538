"""Tests of the discovery client whose address is changed."""

from __future__ import annotations

import asyncio

import pytest

from balancer.sidecar.discovery.call import (
    DiscoveryCallError,
)
from balancer.sidecar.discovery.profile import POLLED_DISCOVERY
from balancer.sidecar.runtime.address import Address
from tests.sidecar.discovery.scripted_discovery import (
    DISCOVERY_FAILED,
    CallRecorder,
    ScriptedDiscovery,
    discovery_settings,
    pushed_and_polled,
    send,
    start_watching,
    unreachable,
)
from tests.sidecar.event_loop import run
from tests.sidecar.scripted_endpoint import unreachable_address
from tests.sidecar.sidecar_under_test import run_sidecar
from tests.sidecar.waiting import run_ready_callbacks, wait_until_signalled


@pushed_and_polled
@pytest.mark.parametrize("hanging_part", ["connect", "call"])
def test_new_address_is_called_while_a_call_to_the_old_one_hangs(
    hanging_part: str, polled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    recorder = CallRecorder(monkeypatch)
    connect_hangs = hanging_part == "connect"

    async def test() -> None:
        old_discovery = ScriptedDiscovery(send(b""))
        new_discovery = ScriptedDiscovery(None)
        await new_discovery.listen()
        async with unreachable(old_discovery, connect_hangs) as make_reachable:
            if not connect_hangs:
                await make_reachable()
            settings = discovery_settings(polled)
            async with run_sidecar(
                "127.0.0.1:9", discovery=old_discovery.address_text, settings=settings
            ) as sidecar:
                start_watching(sidecar, polled)
                hanging_call = 1 if connect_hangs else 2
                await wait_until_signalled(lambda: len(recorder.calls) >= hanging_call, recorder.call_started)
                await run_ready_callbacks()  # the call starts
                sidecar.discovery.change_address(new_discovery.address)
                await wait_until_signalled(
                    lambda: bool(new_discovery.request_lines), new_discovery.request_received
                )
                assert new_discovery.request_lines[0] == b"GET /discovery/hosts HTTP/1.1"
                assert DISCOVERY_FAILED not in sidecar.events
                assert new_discovery.connections == 1

    run(test())


def test_unreachable_new_address_is_called_with_growing_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pauses have jitter, as many sidecars may get the new address at the same time."""
    pauses: list[float] = []
    enough_pauses = asyncio.Event()
    original_sleep = asyncio.sleep
    recorder = CallRecorder(monkeypatch)

    async def record_pause(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) == 6:
            enough_pauses.set()
        await original_sleep(0)

    async def test() -> None:
        settings = discovery_settings(polled=True)
        async with run_sidecar("127.0.0.1:9", discovery=unreachable_address(), settings=settings) as sidecar:
            monkeypatch.setattr(asyncio, "sleep", record_pause)
            host, _, port = unreachable_address().rpartition(":")
            sidecar.discovery.change_address(Address(host, int(port)))
            await enough_pauses.wait()

    run(test())
    assert set(recorder.error_types) == {DiscoveryCallError}
    first_seconds = POLLED_DISCOVERY.first_retry_pause_seconds
    max_seconds = POLLED_DISCOVERY.max_retry_pause_seconds
    full_pauses = [min(first_seconds * 2**retry, max_seconds) for retry in range(6)]
    shares = [pause / full_pause for pause, full_pause in zip(pauses[:6], full_pauses, strict=True)]
    assert all(0.5 <= share <= 1 for share in shares)
    assert len(set(shares)) > 1

"""Tests of the discovery client with a source that takes longer than the timeout of a call."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from balancer.sidecar.runtime.address import Address
from tests.sidecar.discovery import scripted_discovery
from tests.sidecar.discovery.scripted_discovery import (
    DISCOVERY_FAILED,
    SNAPSHOT_WITH_DRAINING,
    CallRecorder,
    discovery_settings,
    is_draining_update,
)
from tests.sidecar.event_loop import run
from tests.sidecar.messages import ok_response
from tests.sidecar.scripted_endpoint import unreachable_address
from tests.sidecar.sidecar_under_test import run_sidecar
from tests.sidecar.waiting import wait_until_signalled

CONNECTED_TIMEOUT_SECONDS = 1.0
"""The timeout of a call that must not end before its connection is established."""


class SlowDiscovery:
    """A discovery server that responds to its first call late, and never to a later one."""

    def __init__(self) -> None:
        self.request_lines: list[bytes] = []
        self.request_received = asyncio.Event()
        self.may_respond = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the first call of all with a change, once the test lets it."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.request_lines.append(head.split(b"\r\n")[0])
            self.request_received.set()
            if len(self.request_lines) == 1:
                await self.may_respond.wait()
                writer.write(ok_response(SNAPSHOT_WITH_DRAINING))
            await reader.read()
        writer.close()


@pytest.mark.parametrize("has_new_address", [False, True], ids=["watch", "new address"])
def test_response_of_slow_source_is_accepted_after_the_timeout(
    has_new_address: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a source that takes longer than the timeout for each response is never heard.
    monkeypatch.setattr(scripted_discovery, "SHORT_TIMEOUT_SECONDS", CONNECTED_TIMEOUT_SECONDS)
    CallRecorder(monkeypatch, short_call=0)

    async def test() -> None:
        discovery = SlowDiscovery()
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        settings = discovery_settings(polled=True)
        initial_address = unreachable_address() if has_new_address else str(address)
        async with run_sidecar("127.0.0.1:9", discovery=initial_address, settings=settings) as sidecar:
            if has_new_address:
                sidecar.discovery.change_address(address)
            else:
                sidecar.discovery.set_watching(True)
            await wait_until_signalled(lambda: len(discovery.request_lines) >= 2, discovery.request_received)
            discovery.may_respond.set()
            await sidecar.wait_for_event(is_draining_update)
            assert sidecar.events.count(DISCOVERY_FAILED) == 0
        server.close()

    run(test())

"""Tests of single calls to discovery: their connections and errors."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from balancer.errors import DiscoveryError
from balancer.policy_api import EndpointUpdateKind
from balancer.sidecar.discovery import profile as discovery_profile
from balancer.sidecar.discovery.call import DiscoveryCaller, DiscoveryCallError
from balancer.sidecar.discovery.endpoint_list import NameIndices
from balancer.sidecar.runtime.address import Address
from tests.sidecar.configuration_documents import endpoint_entry
from tests.sidecar.discovery.scripted_discovery import (
    DRAINING_UPDATE,
    CallRecorder,
    RecordedCall,
    discovery_settings,
    is_draining_update,
    is_update_of,
)
from tests.sidecar.event_loop import TEST_TIMEOUT_SECONDS, run
from tests.sidecar.messages import ok_response
from tests.sidecar.scripted_endpoint import unreachable_address
from tests.sidecar.sidecar_under_test import run_sidecar


class SnapshotServer:
    """A discovery server that responds to snapshot calls at once, and to the first watch when it is released.

    It never responds to later watches.
    """

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.request_received = asyncio.Event()
        self.watch_released = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                self.targets.append(target)
                self.request_received.set()
                await self._answer(target, writer)
                await writer.drain()

    async def _answer(self, target: bytes, writer: asyncio.StreamWriter) -> None:
        if target == b"/discovery/hosts":
            snapshot = {"seq": 1, "whole": True, "hosts": [endpoint_entry("s-0", "127.0.0.1:9")]}
            writer.write(ok_response(json.dumps(snapshot).encode()))
        elif len([target for target in self.targets if b"from" in target]) == 1:
            await self.watch_released.wait()
            writer.write(ok_response(DRAINING_UPDATE))


def test_snapshot_is_fetched_beside_an_open_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each call has its own connection: a snapshot call on the watch's connection would end the watch."""
    recorder = CallRecorder(monkeypatch)

    async def test() -> None:
        discovery = SnapshotServer()
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", 0)
        address_text = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        settings = discovery_settings(polled=True)
        async with run_sidecar("127.0.0.1:9", discovery=address_text, settings=settings) as sidecar:
            sidecar.discovery.set_watching(True)
            await discovery.request_received.wait()
            sidecar.discovery.fetch_snapshot()
            await sidecar.wait_for_event(is_update_of(EndpointUpdateKind.SNAPSHOT))
            discovery.watch_released.set()
            await sidecar.wait_for_event(is_draining_update)
            assert [target.split(b"&")[0] for target in discovery.targets[:2]] == [
                b"/discovery/hosts?from=1",
                b"/discovery/hosts",
            ]
        assert recorder.calls[1] == RecordedCall(
            discovery_profile.FETCH_TIMEOUT_SECONDS, long_poll_timeout_seconds=None
        )
        server.close()

    run(test())


def test_error_carries_the_address_and_the_problem() -> None:
    async def test() -> None:
        address_text = unreachable_address()
        host, _, port = address_text.rpartition(":")
        loop = asyncio.get_running_loop()
        caller = DiscoveryCaller(Address(host, int(port)), NameIndices({}, {}), TEST_TIMEOUT_SECONDS, loop)
        with pytest.raises(
            DiscoveryCallError, match=f"call to discovery at {address_text} failed: "
        ) as caught:
            await caller.fetch_snapshot(TEST_TIMEOUT_SECONDS)
        assert isinstance(caught.value, DiscoveryError)
        assert caught.value.address == (host, int(port))
        assert caught.value.problem.startswith("ConnectionRefusedError")

    run(test())

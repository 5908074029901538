"""Tests of the tasks of the discovery client: how they are stopped, and survive an exception."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from balancer.policy_api import EndpointUpdateKind
from balancer.sidecar.discovery.client import DiscoveryClient, EndpointListObserver
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate
from tests.sidecar.discovery.scripted_discovery import (
    SNAPSHOT_WITH_DRAINING,
    UNCHANGED_UPDATE,
    CallRecorder,
    discovery_settings,
    is_draining_update,
    is_update_of,
    pushed_and_polled,
    start_watching,
)
from tests.sidecar.event_loop import run
from tests.sidecar.messages import ok_response
from tests.sidecar.scripted_endpoint import ReceivedRequest, never_answer, run_endpoint
from tests.sidecar.sidecar_under_test import run_sidecar
from tests.sidecar.waiting import wait_until_signalled


def running_calls() -> list[asyncio.Task[Any]]:
    return [task for task in asyncio.all_tasks() if "DiscoveryClient" in repr(task.get_coro())]


@pushed_and_polled
def test_stop_cancels_all_calls_and_prevents_new_ones(polled: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = CallRecorder(monkeypatch)

    async def test() -> None:
        settings = discovery_settings(polled)
        async with (
            run_endpoint(never_answer) as discovery,
            run_sidecar("127.0.0.1:9", discovery=discovery.address, settings=settings) as sidecar,
        ):
            start_watching(sidecar, polled)
            sidecar.discovery.fetch_snapshot()
            await wait_until_signalled(
                lambda: len(discovery.received_requests) >= 2, discovery.request_arrived
            )
            assert len(running_calls()) == 2
            await sidecar.discovery.stop()
            assert running_calls() == []
            for request in discovery.received_requests:
                await request.connection_closed.wait()
            sidecar.discovery.set_watching(True)
            sidecar.discovery.fetch_snapshot()
            assert running_calls() == []

    run(test())
    assert len(recorder.calls) == 2
    assert recorder.error_types == []


def test_stop_closes_the_idle_connection() -> None:
    async def test() -> None:
        async with (
            run_endpoint(lambda _request: asyncio.sleep(0, ok_response(UNCHANGED_UPDATE))) as discovery,
            run_sidecar(
                "127.0.0.1:9", discovery=discovery.address, settings=discovery_settings(polled=True)
            ) as sidecar,
        ):
            sidecar.discovery.fetch_snapshot()
            await sidecar.wait_for_event(is_update_of(EndpointUpdateKind.DELTA))
            connection = sidecar.discovery.caller.idle_connection
            assert connection is not None
            assert connection.is_reusable()
            await sidecar.discovery.stop()
            assert not connection.is_reusable()
            assert sidecar.discovery.caller.idle_connection is None

    run(test())


class FailingOnceObserver:
    """An observer that fails to apply the first update, and forwards all later calls to another observer."""

    def __init__(self, observer: EndpointListObserver) -> None:
        self._observer = observer
        self._failures = [RuntimeError("the update cannot be applied")]

    def on_endpoint_update(self, update: EndpointListUpdate, kind: EndpointUpdateKind) -> None:
        """Fail for the first update, and forward the others."""
        if self._failures:
            raise self._failures.pop()
        self._observer.on_endpoint_update(update, kind)

    def on_discovery_failed(self) -> None:
        """Forward the failure."""
        self._observer.on_discovery_failed()


@pushed_and_polled
def test_update_that_could_not_be_applied_is_fetched_again(polled: bool) -> None:
    """An exception of the observer must not end the watch: the change in the update would be lost."""

    async def answer_snapshot(_request: ReceivedRequest) -> bytes:
        return ok_response(SNAPSHOT_WITH_DRAINING)

    async def test() -> None:
        settings = discovery_settings(polled)
        async with (
            run_endpoint(answer_snapshot) as discovery,
            run_sidecar("127.0.0.1:9", discovery=discovery.address, settings=settings) as sidecar,
        ):
            observer = FailingOnceObserver(sidecar.dispatcher)
            loop = asyncio.get_running_loop()
            sidecar.discovery = DiscoveryClient(sidecar.config.discovery_client(), observer, loop)
            sidecar.dispatcher.attach_discovery(sidecar.discovery)
            start_watching(sidecar, polled)
            await sidecar.wait_for_event(is_draining_update)
            assert discovery.received_requests[1].request_line == b"GET /discovery/hosts HTTP/1.1"

    run(test())

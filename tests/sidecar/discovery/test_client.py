"""Tests of the discovery client over loopback sockets: outcomes of calls, new addresses, and its tasks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from dataclasses import dataclass
from typing import Any

import pytest

from balancer.policy.endpoints import discovery_polling
from balancer.policy_api import EndpointUpdateKind
from balancer.sidecar.discovery.call import (
    DiscoveryCallError,
    DiscoveryTimeoutError,
    MalformedDiscoveryResponseError,
)
from balancer.sidecar.discovery.client import DiscoveryClient, EndpointListObserver
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate
from balancer.sidecar.discovery.profile import POLLED_DISCOVERY, PUSHED_DISCOVERY
from balancer.sidecar.runtime.address import Address
from balancer.time_units import SECOND_NS
from tests.sidecar.configuration_documents import endpoint_entry
from tests.sidecar.discovery import scripted_discovery
from tests.sidecar.discovery.scripted_discovery import (
    DISCOVERY_FAILED,
    DRAINING_UPDATE,
    INCOMPLETE_RESPONSE,
    UNCHANGED_UPDATE,
    CallRecorder,
    ResponseScript,
    ScriptedDiscovery,
    discovery_settings,
    is_draining_update,
    is_update_of,
    reset_connection,
    send,
    send_and_close,
    send_endless_response,
    unreachable,
)
from tests.sidecar.event_loop import run
from tests.sidecar.messages import ok_response, status_response
from tests.sidecar.scripted_endpoint import ReceivedRequest, never_answer, run_endpoint, unreachable_address
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar
from tests.sidecar.waiting import run_ready_callbacks, wait_until_signalled

SNAPSHOT_WITH_DRAINING = json.dumps(
    {"seq": 2, "whole": True, "hosts": [endpoint_entry("s-0", "127.0.0.1:9", "draining")]}
).encode()

pushed_and_polled = pytest.mark.parametrize("polled", [False, True], ids=["pushed", "polled"])


def start_watching(sidecar: Sidecar, polled: bool) -> None:
    """Start to watch as the policy does where lists are polled, else as the program does at its start."""
    if polled:
        sidecar.discovery.set_watching(True)
    else:
        sidecar.discovery.start()


@pushed_and_polled
def test_connect_timeout_is_at_most_the_grace_period(polled: bool) -> None:
    """A call whose connection is established late then still has the whole timeout of the long poll."""

    async def test() -> None:
        async with run_sidecar(settings=discovery_settings(polled)) as sidecar:
            client = sidecar.discovery
            assert 0 < client.caller.connect_timeout_seconds <= client.profile.grace_seconds

    run(test())


# ---- outcomes of a call


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a call ends, and what causes this."""

    script: ResponseScript | None
    """Handles the call; None if discovery is unreachable."""
    error_type: type[DiscoveryCallError] | None
    """The error of the call; None if it succeeds."""
    connect_hangs: bool = False


CALL_OUTCOMES = {
    "error status": CallOutcome(send(status_response(503)), DiscoveryCallError),
    "closed": CallOutcome(send_and_close(b""), DiscoveryCallError),
    "reset": CallOutcome(reset_connection, DiscoveryCallError),
    "truncated response": CallOutcome(send_and_close(INCOMPLETE_RESPONSE), MalformedDiscoveryResponseError),
    "invalid HTTP": CallOutcome(
        send(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), MalformedDiscoveryResponseError
    ),
    "invalid JSON": CallOutcome(send(ok_response(DRAINING_UPDATE[:-9])), MalformedDiscoveryResponseError),
    "timeout before the response": CallOutcome(send(b""), DiscoveryTimeoutError),
    "timeout in the response": CallOutcome(send(INCOMPLETE_RESPONSE), DiscoveryTimeoutError),
    "response without end": CallOutcome(send_endless_response, DiscoveryTimeoutError),
    "no changes": CallOutcome(send(ok_response(UNCHANGED_UPDATE)), None),
    "connect refused": CallOutcome(None, DiscoveryCallError),
    "connect timed out": CallOutcome(None, DiscoveryCallError, connect_hangs=True),
}


def assert_timing_matches_profile(recorder: CallRecorder, request_lines: list[bytes], polled: bool) -> None:
    profile = POLLED_DISCOVERY if polled else PUSHED_DISCOVERY
    for call in recorder.calls:
        assert call.long_poll_timeout_seconds is not None
        assert (
            profile.long_poll_timeout_seconds / 2
            <= call.long_poll_timeout_seconds
            <= profile.long_poll_timeout_seconds
        )
        assert call.timeout_seconds <= profile.long_poll_timeout_seconds + profile.grace_seconds
    assert request_lines
    for line in request_lines:
        match = re.fullmatch(rb"GET /discovery/hosts\?from=\d+&hold_ms=(\d+) HTTP/1\.1", line)
        assert match is not None
        assert (
            profile.long_poll_timeout_seconds / 2 <= int(match[1]) / 1000 <= profile.long_poll_timeout_seconds
        )


@pushed_and_polled
@pytest.mark.parametrize("name", CALL_OUTCOMES)
def test_next_call_returns_the_change(name: str, polled: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_polling, "MAX_POLL_SPREAD_NS", SECOND_NS // 100)
    outcome = CALL_OUTCOMES[name]
    times_out = outcome.error_type is DiscoveryTimeoutError
    recorder = CallRecorder(monkeypatch, 1 if times_out else None, short_connect=outcome.connect_hangs)
    request_lines: list[bytes] = []

    async def test() -> None:
        discovery = ScriptedDiscovery(outcome.script)
        async with unreachable(discovery, outcome.connect_hangs) as make_reachable:
            if outcome.script is not None:
                await discovery.listen()
            else:
                recorder.on_first_failure = make_reachable
            settings = discovery_settings(polled)
            async with run_sidecar(
                "127.0.0.1:9", discovery=discovery.address_text, settings=settings
            ) as sidecar:
                start_watching(sidecar, polled)
                await sidecar.wait_for_event(is_draining_update)
                reported_failures = sidecar.events.count(DISCOVERY_FAILED)
        assert recorder.error_types == ([outcome.error_type] if outcome.error_type else [])
        # Where lists are polled, a failed call is reported once, and the policy starts the next watch. A call
        # that may have missed a change is not reported, as the client retries it.
        assert reported_failures == (polled and outcome.error_type is DiscoveryCallError)
        discovery.close()
        request_lines.extend(discovery.request_lines)

    run(test())
    assert_timing_matches_profile(recorder, request_lines, polled)


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


def test_long_poll_timeouts_of_polled_watches_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    timeouts_ms: list[str] = []

    async def test(seed: str) -> None:
        discovery = ScriptedDiscovery(send(ok_response(UNCHANGED_UPDATE)))
        await discovery.listen()
        settings = discovery_settings(polled=True)
        async with run_sidecar(
            "127.0.0.1:9", discovery=discovery.address_text, settings=settings, seed=seed
        ) as sidecar:
            start_watching(sidecar, polled=True)
            await sidecar.wait_for_event(is_draining_update)
        targets = [line.split()[1] for line in discovery.request_lines[:3]]
        timeouts_ms.extend(target.partition(b"hold_ms=")[2].decode() for target in targets)

    for seed in ("1f", "20", "21"):
        with monkeypatch.context() as patch:
            CallRecorder(patch)
            run(test(seed))
    assert len(timeouts_ms) == 9
    assert len(set(timeouts_ms)) > 6


# ---- a new address


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


# ---- stopping


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


# ---- failures to apply an update


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
    snapshot = json.dumps(
        {"seq": 2, "whole": True, "hosts": [endpoint_entry("s-0", "127.0.0.1:9", "draining")]}
    ).encode()

    async def answer_snapshot(_request: ReceivedRequest) -> bytes:
        return ok_response(snapshot)

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

"""Tests of the discovery client over loopback sockets: outcomes and timeouts of its calls."""

from __future__ import annotations

import re
from dataclasses import dataclass

import pytest

from balancer.policy.endpoints import discovery_polling
from balancer.sidecar.discovery.call import (
    DiscoveryCallError,
    DiscoveryTimeoutError,
    MalformedDiscoveryResponseError,
)
from balancer.sidecar.discovery.profile import POLLED_DISCOVERY, PUSHED_DISCOVERY
from balancer.time_units import SECOND_NS
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
    pushed_and_polled,
    reset_connection,
    send,
    send_and_close,
    send_endless_response,
    start_watching,
    unreachable,
)
from tests.sidecar.event_loop import run
from tests.sidecar.messages import ok_response, status_response
from tests.sidecar.sidecar_under_test import run_sidecar


@pushed_and_polled
def test_connect_timeout_is_at_most_the_grace_period(polled: bool) -> None:
    """A call whose connection is established late then still has the whole timeout of the long poll."""

    async def test() -> None:
        async with run_sidecar(settings=discovery_settings(polled)) as sidecar:
            client = sidecar.discovery
            assert 0 < client.caller.connect_timeout_seconds <= client.profile.grace_seconds

    run(test())


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

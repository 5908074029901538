"""How long a change may stay unheard once discovery can be reached: each way that a call can end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random
from typing import Any

import pytest

from balancer.errors import DiscoveryError
from balancer.policy import membership, overload
from balancer.policy.balancer import Balancer
from balancer.policy_api import EndpointHealth, EndpointUpdate, EndpointUpdateKind, Event, WatchEndpoints
from balancer.sidecar import discovery_profile as discovery
from balancer.sidecar.discovery_call import (
    DiscoveryCaller,
    DiscoveryCallError,
    DiscoveryTimeoutError,
    MalformedDiscoveryResponseError,
)
from balancer.sidecar.discovery_profile import POLLED_DISCOVERY, PUSHED_DISCOVERY
from balancer.sidecar.discovery_retry import Backoff, WatchRetryPolicy
from balancer.sidecar.endpoint_list import EndpointListUpdate, NameIndices
from tests.helpers import SECOND, Bench
from tests.helpers import settings as rules
from tests.sidecar.harness import (
    SETTINGS,
    WAIT,
    Sidecar,
    dead_dial,
    endpoint,
    entry,
    never,
    ok,
    run,
    sidecar,
    status,
)

TOLD_AFTER, MARGIN = 6.0, 0.5  # s: a change counts as told then; and what is to be left of it
AFTER_SIGHUP = 4.0
ANSWERED = 0.5  # s for a call that goes well: its connection, the answer, and what the loop is late
SHORT = 0.05  # s, in place of the bound that ends the call of a test; no other bound may end it

DRAINS = json.dumps(
    {"seq": 2, "whole": False, "hosts": [entry("s-0", "127.0.0.1:9", "draining")]}, indent=2
).encode()
NOTHING_NEW = b'{"seq":1,"whole":false,"hosts":[]}'


def site(asked: bool) -> dict[str, Any]:
    return SETTINGS | {"Discovery": "on_request" if asked else "pushed"}


# ---- the longest path of each ending, from the constants


def paths(asked: bool, ask_within: int) -> dict[str, float]:
    """Seconds from when discovery can be reached to when a change is heard. At the worst the call that ends
    so was begun just before; the one that follows goes well."""
    module = Balancer(rules(polls_discovery=asked, discovery_poll_window_ns=ask_within), 1)
    if asked:
        profile = POLLED_DISCOVERY
        pause, at_once = (module.membership.poll_spread_ns + overload.CYCLE_NS) / SECOND, 0.0
    else:
        profile = PUSHED_DISCOVERY
        pause = at_once = profile.max_retry_pause_seconds
    call, connect = profile.hold_seconds + profile.grace_seconds, profile.grace_seconds
    first, again = profile.snapshot_timeout_seconds, profile.max_retry_pause_seconds
    before = {
        "refused": pause,
        "connect hangs": connect + pause,
        "another status": call + pause,
        "cut or reset before the answer": call + pause,
        "cut in the answer, junk, malformed": call + at_once,
        "the same, and the next call fails at once": call + pause,
        "silent, before the answer or in it": call + at_once,
        "silent, and the next call fails at once": call + pause,
        "trickles without end": call + at_once,
        "nothing new": discovery.UNCHANGED_PAUSE_SECONDS,
        "the first call of a process, silent": (pause if asked else 0.0) + call + at_once,
        "the new address fails": first + again,
        "the whole list, asked once, fails": discovery.FETCH_TIMEOUT_SECONDS + pause,
    }
    return {ending: seconds + ANSWERED for ending, seconds in before.items()}


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("ask_within", [SECOND, 10 * SECOND, 60 * SECOND])
def test_every_ending_leaves_time_before_a_change_counts_as_told(asked: bool, ask_within: int) -> None:
    late = {k: s for k, s in paths(asked, ask_within).items() if s > TOLD_AFTER - MARGIN}
    assert not late


def test_three_calls_to_a_new_address_fit_in_the_time_after_sighup() -> None:
    polled, pushed = POLLED_DISCOVERY, PUSHED_DISCOVERY
    pauses = [polled.first_retry_pause_seconds * 2**n for n in range(2)]
    assert max(pauses) <= polled.max_retry_pause_seconds
    assert 3 * polled.snapshot_timeout_seconds + sum(pauses) < AFTER_SIGHUP
    assert 3 * pushed.snapshot_timeout_seconds + 2 * pushed.max_retry_pause_seconds < AFTER_SIGHUP


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_a_connection_that_comes_up_late_leaves_the_call_its_whole_hold(asked: bool) -> None:
    async def test() -> None:
        async with sidecar(settings=site(asked)) as node:
            assert 0 < node.discovery.caller.connect_timeout_seconds <= node.discovery.profile.grace_seconds

    run(test())


# ---- what the decisions put off


@pytest.mark.parametrize("ask_within", [10 * SECOND, 60 * SECOND])
def test_calls_are_put_off_for_a_bounded_time_and_not_in_step(ask_within: int) -> None:
    first: set[int] = set()
    again: set[int] = set()
    for seed in range(40):
        b = Bench(rules(polls_discovery=True, discovery_poll_window_ns=ask_within), seed=seed)
        for waits in (first, again):
            if waits is again:
                b.give(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
            since = b.now
            while not any(
                isinstance(action, WatchEndpoints) for action in b.tick(overload.CYCLE_NS / SECOND / 5)
            ):
                assert b.now - since <= membership.MAX_POLL_SPREAD_NS, "put off for too long"
            waits.add(b.now - since)
    assert len(first) > 10 and len(again) > 10
    assert min(again) >= 0.2 * SECOND  # or 200 sidecars would be a storm while it is down


# ---- each ending on sockets


class StandIn:
    """A discovery scripted by connection: on the first it says nothing new, then ends the next call in its
    way; on any other, and after that, it tells of a drain."""

    def __init__(self, end: Callable[[asyncio.StreamWriter], Awaitable[None]] | None) -> None:
        self.end = end
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.socket.getsockname()
        self.dial = "{}:{}".format(*self.address)
        self.lines: list[bytes] = []
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, sock=self.socket)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        script: list[Any] = [ok(NOTHING_NEW), self.end] if self.end and self.connections == 1 else []
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for step in [*script, ok(DRAINS)]:
                self.lines.append((await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0])
                if isinstance(step, bytes):
                    writer.write(step)
                else:
                    await step(writer)
                await writer.drain()
            await reader.read()
        writer.close()


def says(answer: bytes) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def end(writer: asyncio.StreamWriter) -> None:
        writer.write(answer)

    return end


def closes(answer: bytes) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def end(writer: asyncio.StreamWriter) -> None:
        writer.write(answer)
        writer.close()

    return end


async def resets(writer: asyncio.StreamWriter) -> None:
    writer.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    writer.transport.abort()


async def trickles(writer: asyncio.StreamWriter) -> None:
    writer.write(HALF)
    while not writer.transport.is_closing():
        writer.write(b" ")
        await asyncio.sleep(SHORT / 10)


HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + DRAINS[:40]
ENDINGS: dict[str, tuple[Any, type[DiscoveryCallError] | None]] = {
    "status": (says(status(503)), DiscoveryCallError),
    "closed": (closes(b""), DiscoveryCallError),
    "reset": (resets, DiscoveryCallError),
    "cut": (closes(HALF), MalformedDiscoveryResponseError),
    "junk": (says(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), MalformedDiscoveryResponseError),
    "malformed": (says(ok(DRAINS[:-9])), MalformedDiscoveryResponseError),
    "silent": (says(b""), DiscoveryTimeoutError),
    "silent in the answer": (says(HALF), DiscoveryTimeoutError),
    "trickles": (trickles, DiscoveryTimeoutError),
    "nothing new": (says(ok(NOTHING_NEW)), None),
    "connect refused": (None, DiscoveryCallError),
    "connect hangs": (None, DiscoveryCallError),
}


@contextlib.asynccontextmanager
async def out_of_reach(stand_in: StandIn, hangs: bool) -> AsyncIterator[Callable[[], Awaitable[None]]]:
    """Connects are refused, or hang as nobody takes the one connection that may wait; until it is opened."""
    with socket.socket() as filler:
        if hangs:
            stand_in.socket.listen(0)
            filler.connect(stand_in.address)

        async def reach() -> None:
            if hangs:
                stand_in.socket.accept()[0].close()
            await stand_in.open()

        yield reach


class Calls:
    """The calls of a sidecar: none ends by its time but the one that the test gives a short one."""

    def __init__(self, patch: pytest.MonkeyPatch, short: int | None, short_connect: bool = False) -> None:
        self.made: list[tuple[str, float]] = []
        self.failed: list[type[DiscoveryCallError]] = []
        self.on_failure: Callable[[], Awaitable[None]] | None = None
        original = DiscoveryCaller._call

        async def call(caller: DiscoveryCaller, query: str, timeout: float) -> EndpointListUpdate:
            number = len(self.made)
            self.made.append((query, timeout))
            caller.connect_timeout_seconds = SHORT if short_connect and not self.failed else WAIT
            try:
                return await original(caller, query, SHORT if number == short else 2 * WAIT)
            except DiscoveryCallError as problem:
                self.failed.append(type(problem))
                if self.on_failure is not None:
                    on_failure, self.on_failure = self.on_failure, None
                    await on_failure()
                raise

        patch.setattr(DiscoveryCaller, "_call", call)


def drained(event: Event) -> bool:
    return isinstance(event, EndpointUpdate) and any(
        told.health == EndpointHealth.DRAINING for told in event.endpoints
    )


def begin(node: Sidecar, asked: bool) -> None:
    node.discovery.set_watching(True) if asked else node.discovery.start()


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("ending", ENDINGS)
def test_after_every_ending_the_next_call_brings_the_change(
    ending: str, asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(membership, "MAX_POLL_SPREAD_NS", SECOND // 100)
    end, kind = ENDINGS[ending]
    calls = Calls(monkeypatch, 1 if kind is DiscoveryTimeoutError else None, ending == "connect hangs")

    async def test() -> None:
        stand_in = StandIn(end)
        async with out_of_reach(stand_in, ending == "connect hangs") as reach:
            if end is not None:
                await stand_in.open()
            else:
                calls.on_failure = reach
            async with sidecar("127.0.0.1:9", discovery=stand_in.dial, settings=site(asked)) as node:
                begin(node, asked)
                await node.event(drained)
                reported = [
                    e for e in node.events if e == EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ())
                ]
        assert calls.failed == ([kind] if kind else [])
        # A failed call is reported once, and the decisions call again; one that may have told they never see.
        assert len(reported) == (asked and kind is DiscoveryCallError)
        assert stand_in.server is not None
        stand_in.server.close()

    run(test())
    profile = POLLED_DISCOVERY if asked else PUSHED_DISCOVERY
    hold, grace = profile.hold_seconds, profile.grace_seconds
    for query, timeout in calls.made:
        told = re.fullmatch(r"\?from=\d+&hold_ms=(\d+)", query)
        assert told is not None and hold / 2 <= int(told[1]) / 1000 <= hold
        assert timeout <= hold + grace


def test_sidecars_that_ask_do_not_call_in_step(monkeypatch: pytest.MonkeyPatch) -> None:
    holds: list[str] = []

    async def test(seed: str) -> None:
        stand_in = StandIn(says(ok(NOTHING_NEW)))
        await stand_in.open()
        async with sidecar("127.0.0.1:9", discovery=stand_in.dial, settings=site(True), seed=seed) as node:
            begin(node, True)
            await node.event(drained)
        holds.extend(line.split()[1].partition(b"hold_ms=")[2].decode() for line in stand_in.lines[:3])

    for seed in ("1f", "20", "21"):
        with monkeypatch.context() as patch:
            Calls(patch, None)
            run(test(seed))
    assert len(holds) == 9 and len(set(holds)) > 6


# ---- a new address while a call hangs, and two calls at once


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("hung", ["connect", "call"])
def test_a_new_address_is_asked_at_once_while_a_call_to_the_old_one_hangs(
    hung: str, asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = Calls(monkeypatch, None)

    async def test() -> None:
        old, new = StandIn(says(b"")), StandIn(None)
        await new.open()
        async with out_of_reach(old, hung == "connect") as reach:
            if hung == "call":
                await reach()
            async with sidecar("127.0.0.1:9", discovery=old.dial, settings=site(asked)) as node:
                begin(node, asked)
                while len(calls.made) < (2 if hung == "call" else 1):
                    await asyncio.sleep(0.001)
                for _ in range(5):
                    await asyncio.sleep(0)  # so that it is under way
                node.discovery.change_address(new.address)
                while len(new.lines) < 1:
                    await asyncio.sleep(0.001)
                assert new.lines[0] == b"GET /discovery/hosts HTTP/1.1"
                assert not [
                    e for e in node.events if e == EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ())
                ]
                assert new.connections == 1

    run(test())


def test_an_address_that_stays_down_is_asked_less_and_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was asked four times a second by every sidecar, in step after one signal to all."""
    slept: list[float] = []
    enough = asyncio.Event()
    sleep = asyncio.sleep
    calls = Calls(monkeypatch, None)

    async def noted(seconds: float) -> None:
        slept.append(seconds)
        if len(slept) == 6:
            enough.set()
        await sleep(0)

    async def test() -> None:
        async with sidecar("127.0.0.1:9", discovery=dead_dial(), settings=site(True)) as node:
            monkeypatch.setattr(asyncio, "sleep", noted)
            host, _, port = dead_dial().rpartition(":")
            node.discovery.change_address((host, int(port)))
            await enough.wait()

    run(test())
    assert set(calls.failed) == {DiscoveryCallError}
    first, most = POLLED_DISCOVERY.first_retry_pause_seconds, POLLED_DISCOVERY.max_retry_pause_seconds
    pauses = [min(first * 2**n, most) for n in range(len(slept[:6]))]
    assert all(pause / 2 <= had <= pause for pause, had in zip(pauses, slept, strict=False))
    assert len({had / pause for pause, had in zip(pauses, slept, strict=False)}) > 1


def test_a_whole_list_asked_for_while_a_watch_is_held_disturbs_it_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It went out on the connection of the watch, whose answer then found nobody."""
    fetched = asyncio.Event()
    calls = Calls(monkeypatch, None)

    async def test() -> None:
        hosts = [entry("s-0", "127.0.0.1:9")]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    line = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                    lines.append(line)
                    arrived.set()
                    if line == b"/discovery/hosts":
                        writer.write(ok(json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()))
                    elif len([line for line in lines if b"from" in line]) == 1:
                        await fetched.wait()
                        writer.write(ok(DRAINS))
                    await writer.drain()

        lines: list[bytes] = []
        arrived = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        dial = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with sidecar("127.0.0.1:9", discovery=dial, settings=site(True)) as node:
            begin(node, True)
            await arrived.wait()
            node.discovery.fetch_snapshot()
            await node.event(
                lambda e: isinstance(e, EndpointUpdate) and e.kind == EndpointUpdateKind.SNAPSHOT
            )
            fetched.set()
            await node.event(drained)
            assert [line.split(b"&")[0] for line in lines[:2]] == [
                b"/discovery/hosts?from=1",
                b"/discovery/hosts",
            ]
        assert calls.made[1] == ("", discovery.FETCH_TIMEOUT_SECONDS)
        server.close()

    run(test())


# ---- retries and tasks


def test_a_backoff_doubles_its_pauses_up_to_its_maximum() -> None:
    backoff = Backoff(first_seconds=0.25, max_seconds=1.5, jitter=0.0, random=Random(1))
    assert [backoff.next_pause_seconds() for _ in range(5)] == [0.25, 0.5, 1.0, 1.5, 1.5]


def test_a_backoff_shortens_each_pause_by_a_share_of_its_own() -> None:
    backoff = Backoff(first_seconds=1.0, max_seconds=1.0, jitter=0.5, random=Random(1))
    pauses = [backoff.next_pause_seconds() for _ in range(50)]
    assert all(0.5 < pause <= 1.0 for pause in pauses)
    assert len(set(pauses)) == 50


def failures(*kinds: type[DiscoveryCallError]) -> list[DiscoveryCallError]:
    return [kind(("127.0.0.1", 9), "a test") for kind in kinds]


def test_a_polled_watch_repeats_what_may_hide_a_change_and_a_malformed_response_only_once() -> None:
    policy = WatchRetryPolicy(POLLED_DISCOVERY, Random(1))
    plain, late, malformed = failures(
        DiscoveryCallError, DiscoveryTimeoutError, MalformedDiscoveryResponseError
    )
    answers = [policy.pause_seconds_after(error, False) for error in (late, late, malformed, malformed)]
    assert answers == [0.0, 0.0, 0.0, None]
    assert policy.pause_seconds_after(plain, False) is None
    assert policy.pause_seconds_after(late, False) == 0.0
    assert policy.pause_seconds_after(malformed, False) == 0.0
    policy.record_success()
    assert policy.pause_seconds_after(malformed, False) == 0.0


def test_a_pushed_watch_and_one_that_needs_a_snapshot_repeat_every_call_after_a_pause() -> None:
    for profile, needs_snapshot in ((PUSHED_DISCOVERY, False), (POLLED_DISCOVERY, True)):
        policy = WatchRetryPolicy(profile, Random(1))
        for error in failures(DiscoveryCallError, DiscoveryTimeoutError, MalformedDiscoveryResponseError):
            pause_seconds = policy.pause_seconds_after(error, needs_snapshot)
            assert pause_seconds is not None
            assert 0.02 < pause_seconds <= profile.max_retry_pause_seconds


def discovery_tasks() -> list[asyncio.Task[Any]]:
    return [task for task in asyncio.all_tasks() if "DiscoveryClient" in repr(task.get_coro())]


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_stop_cancels_and_awaits_every_call_and_none_begins_after_it(
    asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = Calls(monkeypatch, None)

    async def test() -> None:
        async with (
            endpoint(never) as served,
            sidecar("127.0.0.1:9", discovery=served.dial, settings=site(asked)) as node,
        ):
            begin(node, asked)
            node.discovery.fetch_snapshot()
            while len(served.seen) < 2:
                await asyncio.sleep(0.001)
            assert len(discovery_tasks()) == 2
            await node.discovery.stop()
            assert discovery_tasks() == []
            for seen in served.seen:
                await seen.left.wait()
            node.discovery.set_watching(True)
            node.discovery.fetch_snapshot()
            assert discovery_tasks() == []

    run(test())
    assert len(calls.made) == 2
    assert calls.failed == []


def test_stop_closes_the_idle_connection() -> None:
    async def test() -> None:
        async with (
            endpoint(lambda seen: asyncio.sleep(0, ok(NOTHING_NEW))) as served,
            sidecar("127.0.0.1:9", discovery=served.dial, settings=site(True)) as node,
        ):
            node.discovery.fetch_snapshot()
            await node.event(lambda e: isinstance(e, EndpointUpdate) and e.kind == EndpointUpdateKind.DELTA)
            connection = node.discovery.caller._idle_connection
            assert connection is not None
            assert connection.is_reusable()
            await node.discovery.stop()
            assert not connection.is_reusable()
            assert node.discovery.caller._idle_connection is None

    run(test())


def test_a_failed_call_carries_the_address_and_the_problem() -> None:
    async def test() -> None:
        dial = dead_dial()
        host, _, port = dial.rpartition(":")
        loop = asyncio.get_running_loop()
        caller = DiscoveryCaller((host, int(port)), NameIndices({}, {}), WAIT, loop)
        with pytest.raises(DiscoveryCallError, match=f"call to discovery at {dial} failed: ") as caught:
            await caller.fetch_snapshot(WAIT)
        assert isinstance(caught.value, DiscoveryError)
        assert caught.value.address == (host, int(port))
        assert caught.value.problem.startswith("ConnectionRefusedError")

    run(test())

"""Tests of discovery over loopback sockets: failed calls, new addresses, and polled endpoint lists."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from balancer.policy_api import EndpointHealth, EndpointUpdate, EndpointUpdateKind, Event
from balancer.sidecar.discovery.endpoint_list import NameIndices, derive_endpoint_id, parse_endpoint_list
from balancer.sidecar.runtime.address import Address
from tests.sidecar.configuration_documents import endpoint_entry, endpoint_list, settings_with_overrides
from tests.sidecar.event_loop import TEST_TIMEOUT_SECONDS, async_test, wait_until
from tests.sidecar.messages import ok_response, status_response
from tests.sidecar.scripted_endpoint import (
    ReceivedRequest,
    Script,
    never_answer,
    run_endpoint,
    unreachable_address,
)
from tests.sidecar.sidecar_under_test import Sidecar, run_sidecar

UNUSED_ADDRESS = "127.0.0.1:9"
POLLED_SETTINGS = settings_with_overrides(Discovery="on_request")
"""The settings of a sidecar whose endpoint lists are polled, not pushed."""


def is_endpoint_update(kind: EndpointUpdateKind) -> Callable[[Event], bool]:
    """Return a predicate that holds for an endpoint update of this kind."""
    return lambda event: isinstance(event, EndpointUpdate) and event.kind == kind


is_snapshot_update = is_endpoint_update(EndpointUpdateKind.SNAPSHOT)
is_discovery_failure = is_endpoint_update(EndpointUpdateKind.DISCOVERY_FAILED)


def respond_in_turn(*responses: bytes | None) -> tuple[Script, list[bytes]]:
    """Return a script that sends these responses in turn and then none, and the list of the paths called.

    For a response that is None, the script closes the connection.
    """
    paths: list[bytes] = []

    async def script(request: ReceivedRequest) -> bytes | None:
        paths.append(request.request_line.split()[1])
        if len(paths) > len(responses):
            return await never_answer(request)
        return responses[len(paths) - 1]

    return script, paths


def list_response(version: int, *entries: dict[str, Any], is_snapshot: bool = True) -> bytes:
    """Return a response with a snapshot of the endpoint list, or with changes."""
    return ok_response(json.dumps(endpoint_list(version, *entries, is_snapshot=is_snapshot)).encode())


def tolerate_late_responses(sidecar: Sidecar) -> None:
    """Extend the timeouts of the discovery client, so that no call times out on a slow machine."""
    sidecar.discovery.profile = replace(sidecar.discovery.profile, grace_seconds=TEST_TIMEOUT_SECONDS)
    sidecar.discovery.caller.connect_timeout_seconds = TEST_TIMEOUT_SECONDS


def change_discovery_address(sidecar: Sidecar, address: str) -> None:
    """Give the sidecar a new address of discovery."""
    host, _, port = address.rpartition(":")
    sidecar.discovery.change_address(Address(host, int(port)))


@async_test
async def test_watch_continues_from_last_version_after_any_failure() -> None:
    ready = endpoint_entry("s-1", UNUSED_ADDRESS)
    draining = endpoint_entry("s-1", UNUSED_ADDRESS, "draining")
    script, paths = respond_in_turn(
        None,
        status_response(503),
        ok_response(b"no JSON"),
        ok_response(b"[]"),
        ok_response(b'{"seq":1,"hosts":[7]}'),
        list_response(2, endpoint_entry("s-1", UNUSED_ADDRESS) | {"share": math.inf}, is_snapshot=False),
        list_response(1, is_snapshot=False),
        list_response(2, ready, is_snapshot=False),
        list_response(3, draining, is_snapshot=False),
        list_response(4, endpoint_entry("s-2", UNUSED_ADDRESS)),
    )

    async with (
        run_endpoint(script) as endpoint,
        run_sidecar(UNUSED_ADDRESS, discovery=endpoint.address) as sidecar,
    ):
        tolerate_late_responses(sidecar)
        sidecar.discovery.start()
        snapshot = await sidecar.wait_for_event(is_snapshot_update)
        assert [endpoint.id for endpoint in snapshot.endpoints] == [derive_endpoint_id("s-2")]
        updates = [event for event in sidecar.events if isinstance(event, EndpointUpdate)]
        assert [update.kind for update in updates] == [1, 2, 2, 3]
        assert [update.endpoints[0].health for update in updates] == [1, 1, 2, 1]
        await wait_until(lambda: len(paths) >= 11)
        assert [path.split(b"&")[0] for path in paths[:11]] == [
            b"/discovery/hosts?from=%d" % version for version in (1, 1, 1, 1, 1, 1, 2, 1, 2, 3, 4)
        ]


@async_test
async def test_hung_watch_times_out_and_next_one_brings_list() -> None:
    """Without the timeout, a watch that hangs would leave the sidecar with an outdated list."""
    calls: list[ReceivedRequest] = []

    async def script(received: ReceivedRequest) -> bytes:
        calls.append(received)
        if len(calls) == 1:
            return await never_answer(received)
        return list_response(2, endpoint_entry("s-2", UNUSED_ADDRESS))

    async with (
        run_endpoint(script) as endpoint,
        run_sidecar(UNUSED_ADDRESS, discovery=endpoint.address) as sidecar,
    ):
        sidecar.discovery.start()
        await sidecar.wait_for_event(is_snapshot_update)
        assert calls[0].connection_closed.is_set()
        assert len(calls) >= 2


@async_test
async def test_snapshot_is_requested_from_new_discovery_address_at_once() -> None:
    """The new address may number its versions differently.

    A list with the same version as the last list of the old address must not be skipped.
    """
    old_script, _ = respond_in_turn(list_response(7, endpoint_entry("s-1", UNUSED_ADDRESS)))
    new_script, paths = respond_in_turn(
        None, ok_response(b"no JSON"), list_response(7, endpoint_entry("s-2", UNUSED_ADDRESS))
    )
    async with (
        run_endpoint(old_script) as old_discovery,
        run_endpoint(new_script) as new_discovery,
        run_sidecar(UNUSED_ADDRESS, discovery=old_discovery.address) as sidecar,
    ):
        tolerate_late_responses(sidecar)
        sidecar.discovery.start()
        await sidecar.wait_for_event(is_snapshot_update)
        await wait_until(lambda: len(old_discovery.received_requests) >= 2)
        change_discovery_address(sidecar, new_discovery.address)
        change_discovery_address(sidecar, new_discovery.address)  # the same address
        await sidecar.wait_for_event(
            lambda event: is_snapshot_update(event) and event.endpoints[0].id == derive_endpoint_id("s-2")
        )
        await old_discovery.received_requests[1].connection_closed.wait()  # the old watch has ended
        await wait_until(lambda: len(paths) >= 4)
        assert paths[:3] == [b"/discovery/hosts"] * 3
        assert paths[3].startswith(b"/discovery/hosts?from=7&")
        assert len(old_discovery.received_requests) == 2


@async_test
async def test_last_of_several_new_discovery_addresses_is_used() -> None:
    unresponsive_script, _ = respond_in_turn()
    last_script, paths = respond_in_turn(list_response(1, endpoint_entry("s-2", UNUSED_ADDRESS)))
    async with (
        run_endpoint(unresponsive_script) as first,
        run_endpoint(last_script) as second,
        run_sidecar(UNUSED_ADDRESS, discovery=unreachable_address()) as sidecar,
    ):
        sidecar.discovery.start()
        for address in (first.address, unreachable_address(), first.address, second.address):
            change_discovery_address(sidecar, address)
        snapshot = await sidecar.wait_for_event(is_snapshot_update)
        assert snapshot.endpoints[0].id == derive_endpoint_id("s-2")
        assert paths


def test_malformed_entry_hides_no_other_entry() -> None:
    names = NameIndices({}, {})
    valid = endpoint_entry("s-1", UNUSED_ADDRESS)
    draining = endpoint_entry("s-2", "nowhere", "draining")
    malformed = [7, {}, endpoint_entry("s-3", "nowhere"), valid | {"share": math.inf}, valid | {"health": []}]
    document = {"seq": 1, "whole": True, "hosts": [*malformed, draining, valid]}
    update = parse_endpoint_list(document, names)
    assert [(listed.endpoint.id, listed.endpoint.health) for listed in update.endpoints] == [
        # An entry for a draining endpoint is applied even though its address is invalid.
        (derive_endpoint_id("s-2"), EndpointHealth.DRAINING),
        (derive_endpoint_id("s-1"), EndpointHealth.READY),
    ]


UNUSABLE_RESPONSES = [
    None,  # no response within the timeout
    ok_response(b'{"seq":2,"whole":false,"hosts":[{"host":"s-0","hea'),
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b'{"seq":2,"whole":false,"hosts":[',
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
]


@pytest.mark.parametrize(
    "first", UNUSABLE_RESPONSES, ids=["no response", "invalid JSON", "truncated", "invalid HTTP"]
)
@async_test
async def test_watch_that_may_have_missed_update_is_retried_at_once(first: bytes | None) -> None:
    """If the policy started the next call, it could be seconds late, and a draining endpoint get requests."""
    paths: list[bytes] = []
    on_first_call: list[Callable[[], None]] = []

    async def script(received: ReceivedRequest) -> bytes | None:
        paths.append(received.request_line.split()[1])
        if len(paths) == 1:
            on_first_call[0]()
        if len(paths) > 2:
            return await never_answer(received)
        if len(paths) == 2:
            delta = endpoint_list(2, endpoint_entry("s-0", UNUSED_ADDRESS, "draining"), is_snapshot=False)
            return ok_response(json.dumps(delta, indent=2).encode())
        return first if first is not None else await never_answer(received)

    async with (
        run_endpoint(script) as endpoint,
        run_sidecar(UNUSED_ADDRESS, discovery=endpoint.address, settings=POLLED_SETTINGS) as sidecar,
    ):
        short_profile = replace(sidecar.discovery.profile, long_poll_timeout_seconds=1.0, grace_seconds=0.0)
        long_profile = replace(short_profile, long_poll_timeout_seconds=TEST_TIMEOUT_SECONDS)
        sidecar.discovery.profile = short_profile
        sidecar.discovery.caller.connect_timeout_seconds = TEST_TIMEOUT_SECONDS
        # Only the first call may time out, as later ones may be slow.
        on_first_call.append(lambda: setattr(sidecar.discovery, "profile", long_profile))
        sidecar.discovery.set_watching(True)
        update = await sidecar.wait_for_event(is_endpoint_update(EndpointUpdateKind.DELTA))
        assert update.endpoints[0].health == EndpointHealth.DRAINING
        assert not any(is_discovery_failure(event) for event in sidecar.events)
        assert [path.split(b"&")[0] for path in paths[:2]] == [b"/discovery/hosts?from=1"] * 2


@pytest.mark.parametrize(
    "response", [None, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", UNUSABLE_RESPONSES[1]]
)
@async_test
async def test_watch_that_fails_again_is_retried_by_policy(response: bytes | None) -> None:
    async def script(_request: ReceivedRequest) -> bytes | None:
        return response

    async with (
        run_endpoint(script) as endpoint,
        run_sidecar(UNUSED_ADDRESS, discovery=endpoint.address, settings=POLLED_SETTINGS) as sidecar,
    ):
        tolerate_late_responses(sidecar)
        sidecar.discovery.set_watching(True)
        await sidecar.wait_for_event(is_discovery_failure)
        assert len(endpoint.received_requests) == (2 if response == UNUSABLE_RESPONSES[1] else 1)


@async_test
async def test_new_discovery_address_is_called_until_it_responds() -> None:
    """If the policy started the next call after a failure, the list would be out of date for too long."""
    old_address_called = asyncio.Event()
    failures = [None, UNUSABLE_RESPONSES[1], status_response(503)]

    async def never_respond(received: ReceivedRequest) -> bytes:
        old_address_called.set()
        return await never_answer(received)

    async def fail_at_first(_request: ReceivedRequest) -> bytes | None:
        if failures:
            return failures.pop(0)
        return list_response(1, endpoint_entry("s-2", UNUSED_ADDRESS))

    async with (
        run_endpoint(never_respond) as old_discovery,
        run_endpoint(fail_at_first) as new_discovery,
        run_sidecar(UNUSED_ADDRESS, discovery=old_discovery.address, settings=POLLED_SETTINGS) as sidecar,
    ):
        sidecar.discovery.set_watching(True)
        await old_address_called.wait()
        change_discovery_address(sidecar, new_discovery.address)
        update = await sidecar.wait_for_event(is_snapshot_update)
        assert update.endpoints[0].id == derive_endpoint_id("s-2")
        assert not any(is_discovery_failure(event) for event in sidecar.events)
        assert [received.request_line.split()[1] for received in new_discovery.received_requests[:4]] == [
            b"/discovery/hosts"
        ] * 4
        assert len(old_discovery.received_requests) == 1

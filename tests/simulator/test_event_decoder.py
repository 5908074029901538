"""Tests of the event decoder with records written by hand according to the simulator's manual."""

from __future__ import annotations

import pytest

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    RequestReceived,
    TimerFired,
)
from balancer.simulator import frames
from balancer.simulator.errors import WireFormatError
from balancer.simulator.event_decoder import EventDecoder, SimulatorEvent
from tests.simulator.wire_samples import SAMPLE_BATCH, request_id

BATCH_HEADER_BYTES = 16
"""Length of the header of a batch according to the simulator's manual."""

LIST_AND_UPDATE = bytes.fromhex(
    "10 0000 02000000"
    "0a124a07 8b13 00 0000 0000 01 0000803f 0000000000000000"
    "0a9011f2 b413 00 0000 0000 01 0000c03f 009d966b01000000"
    "17 0300 02 0000 2900000000000000"
)
"""An endpoint list with number 0, and an update that refers to it."""

EMPTY_LIST_AND_UPDATE = bytes.fromhex("10 0000 00000000  17 0400 04 0000 2a00000000000000")
"""An empty list, again with number 0, and an update that refers to it."""


def decode(records: bytes, record_count: int) -> list[tuple[int, SimulatorEvent]]:
    return list(EventDecoder().decode(records, record_count))


def test_documented_batch_is_decoded() -> None:
    frame_bytes, now_ns, record_count = frames.BATCH_HEADER.unpack_from(SAMPLE_BATCH)
    assert (frame_bytes, now_ns, record_count) == (len(SAMPLE_BATCH), 0x1F568BF90, 3)
    events = decode(SAMPLE_BATCH[BATCH_HEADER_BYTES:], record_count)
    key_hash = int.from_bytes(bytes.fromhex("640ad2557c3bf091"), "little")
    assert events[0] == (
        3,
        RequestReceived(request_id("c4913a5dfa790900"), 0, 0, key_hash, 0x203B6DB90, 12_000_000, False),
    )
    assert events[1] == (3, TimerFired(0x4D))
    assert events[2] == (5, ClientDisconnected(request_id("192b6f0e625f0b00")))


def test_endpoint_list_number_is_reused_within_a_batch() -> None:
    events = decode(LIST_AND_UPDATE + EMPTY_LIST_AND_UPDATE, 4)
    instance, update = events[0]
    assert instance == 3
    assert isinstance(update, EndpointUpdate)
    assert update.kind == EndpointUpdateKind.CACHED
    assert [endpoint.weight for endpoint in update.endpoints] == [1.0, 1.5]
    assert update.endpoints[1].started_at_ns == 6_100_000_000
    assert update.endpoints[0].health == EndpointHealth.READY
    assert events[1] == (4, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, ()))


def test_completed_attempt_carries_its_load_report() -> None:
    record = bytes.fromhex(
        "18 0300 c4913a5dfa790900 00 0a124a07 8b13 0000 a0491a0100000000 01 03 00000c43 00006841 52b81e3f"
    )
    [(_, event)] = decode(record, 1)
    assert isinstance(event, AttemptCompleted)
    assert event.outcome == AttemptOutcome.SUCCESS
    assert event.request_finished
    assert event.duration_ns == 18_500_000
    assert event.load_report == pytest.approx((140.0, 14.5, 0.62))


@pytest.mark.parametrize(
    ("records", "record_count", "message"),
    [
        ("63 0300", 1, "unknown record code 99"),
        ("14 0300 4d00", 1, "truncated"),
        ("14 0300 4d00000000000000", 2, "fewer records than its header announces"),
        ("14 0300 4d00000000000000 00", 1, "left after"),
        ("16 0300 02000000 0400 6869", 1, "past the end of the frame"),
        ("17 0300 02 0700 2900000000000000", 1, "endpoint list 7 is not defined"),
        ("17 0300 09 0000 2900000000000000", 1, "endpoint update kind 9"),
        ("10 0000 ffffff00 0000", 1, "truncated endpoint list"),
        ("11 0300 0a9011f2b413 6300 c05c150000000000 00", 1, "outcome code 99"),
    ],
)
def test_malformed_record_is_rejected(records: str, record_count: int, message: str) -> None:
    with pytest.raises(WireFormatError, match=message):
        decode(bytes.fromhex(records), record_count)

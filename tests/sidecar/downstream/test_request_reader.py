"""Tests of splitting the bytes of a connection into requests, and of their arrival times."""

from __future__ import annotations

from balancer.sidecar.downstream.request_reader import ARRIVAL_RESOLUTION_SECONDS, RequestReader
from tests.sidecar.memory import held_bytes
from tests.sidecar.messages import request_bytes


def arrival_times(reader: RequestReader) -> list[float]:
    """Remove all complete requests, and return their arrival times in seconds."""
    times_seconds = []
    while reader.has_unparsed_bytes and (request := reader.next_request()) is not None:
        times_seconds.append(request.arrived_at_seconds)
    return times_seconds


def test_request_arrives_with_its_last_byte() -> None:
    reader = RequestReader()
    raw = request_bytes("post", body=b"x" * 10)
    reader.feed(raw[:-1], 1.0)
    assert arrival_times(reader) == []
    reader.feed(raw[-1:] + request_bytes(), 2.0)
    reader.feed(request_bytes()[:5], 3.0)
    assert arrival_times(reader) == [2.0, 2.0]


def test_requests_that_are_removed_later_keep_their_times() -> None:
    reader = RequestReader()
    reader.feed(request_bytes() + request_bytes()[:7], 1.0)
    reader.feed(request_bytes()[7:], 2.0)
    reader.feed(request_bytes(), 3.0)
    assert arrival_times(reader) == [1.0, 2.0, 3.0]


def test_bytes_within_resolution_share_arrival_time_of_first() -> None:
    reader = RequestReader()
    raw = request_bytes()
    step_seconds = 2 * ARRIVAL_RESOLUTION_SECONDS / len(raw)
    for index in range(len(raw)):
        reader.feed(raw[index : index + 1], index * step_seconds)
    [arrived_at_seconds] = arrival_times(reader)
    end_seconds = (len(raw) - 1) * step_seconds
    assert end_seconds - ARRIVAL_RESOLUTION_SECONDS <= arrived_at_seconds <= end_seconds


def test_clear_discards_arrival_times() -> None:
    reader = RequestReader()
    reader.feed(request_bytes()[:9], 1.0)
    reader.clear()
    reader.feed(request_bytes(), 2.0)
    assert arrival_times(reader) == [2.0]


def test_request_that_arrives_byte_by_byte_holds_little_more_memory_than_its_bytes() -> None:
    """Guards against an arrival time in memory for each small piece of a request that arrives slowly."""
    reader = RequestReader()
    body = b"x" * 2000
    raw = request_bytes("post", body=body)

    def receive_all_but_the_last_byte() -> None:
        for index in range(len(raw) - 1):
            reader.feed(raw[index : index + 1], 100.0 + index)
            assert reader.next_request() is None

    assert held_bytes(receive_all_but_the_last_byte) <= 2 * len(raw) + 4096
    reader.feed(raw[-1:], 9000.0)
    request = reader.next_request()
    assert request is not None
    assert (request.body, request.arrived_at_seconds) == (body, 9000.0)

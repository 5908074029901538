"""Tests that gossip messages have the same bytes as in earlier versions, and that invalid ones are rejected.

A change of the format would keep sidecars of different versions from reading each other's gossip.
"""

from __future__ import annotations

import struct

import pytest

from balancer.gossip_codec import GossipCodec, GossipMessage, LatencySamples, QueueingEvidence

MAX_THRESHOLD = 256.0
PAYLOAD_OF_AN_EARLIER_VERSION = bytes.fromhex(
    "00295c1942c1ba3343334333430000000000000000664500005538b34500000000"
)
"""A message that version 0.1.0 sent, with two zones, two business levels and two classes."""


@pytest.fixture
def codec() -> GossipCodec:
    return GossipCodec(zone_count=2, business_level_count=2, class_count=2, max_threshold=MAX_THRESHOLD)


@pytest.fixture
def message() -> GossipMessage:
    """The message that the earlier version sent."""
    return GossipMessage(
        zone=0,
        admission_threshold=38.34000015258789,
        queueing=[
            QueueingEvidence(-0.84423828125, 3.599609375, 3.599609375, 3.599609375),
            QueueingEvidence(),
        ],
        keyless_arrivals=[5.3984375, 0.0],
        latencies=[LatencySamples(0.54150390625, 5.69921875), LatencySamples()],
    )


def test_payload_of_an_earlier_version_is_decoded(codec: GossipCodec, message: GossipMessage) -> None:
    assert codec.decode(PAYLOAD_OF_AN_EARLIER_VERSION) == message


def test_message_is_encoded_as_by_an_earlier_version(codec: GossipCodec, message: GossipMessage) -> None:
    assert codec.encode(message) == PAYLOAD_OF_AN_EARLIER_VERSION


def test_sender_without_a_threshold_is_decoded_as_such(codec: GossipCodec) -> None:
    payload = PAYLOAD_OF_AN_EARLIER_VERSION[:1] + struct.pack("<f", -1.0) + PAYLOAD_OF_AN_EARLIER_VERSION[5:]
    decoded = codec.decode(payload)
    assert decoded is not None
    assert decoded.admission_threshold is None


@pytest.mark.parametrize("threshold", [-1.5, MAX_THRESHOLD + 1, float("nan"), float("inf")])
def test_threshold_out_of_range_is_rejected(codec: GossipCodec, threshold: float) -> None:
    payload = (
        PAYLOAD_OF_AN_EARLIER_VERSION[:1] + struct.pack("<f", threshold) + PAYLOAD_OF_AN_EARLIER_VERSION[5:]
    )
    assert codec.decode(payload) is None


@pytest.mark.parametrize("position", range(5, len(PAYLOAD_OF_AN_EARLIER_VERSION), 2))
def test_value_that_is_not_a_number_is_rejected(codec: GossipCodec, position: int) -> None:
    payload = bytearray(PAYLOAD_OF_AN_EARLIER_VERSION)
    payload[position : position + 2] = struct.pack("<e", float("nan"))
    assert codec.decode(bytes(payload)) is None


@pytest.mark.parametrize("size", [0, 32, 34])
def test_payload_of_another_length_is_rejected(codec: GossipCodec, size: int) -> None:
    payload = PAYLOAD_OF_AN_EARLIER_VERSION.ljust(size, b"\0")[:size]
    assert codec.decode(payload) is None

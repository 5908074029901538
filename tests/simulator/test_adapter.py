"""Tests of the simulator's adapter: replies, failures of single instances, and malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from balancer.simulator import adapter, frames
from balancer.time_units import SECOND_NS
from tests.settings_samples import MINIMAL_SETTINGS

RANDOM_SEED = 7

# Values from the simulator's manual. They are literals, so that the tests notice a change of the constants.
BATCH_HEADER_BYTES = 16
REPLY_HEADER_BYTES = 8
INSTANCE_STARTED_CODE = 0x1A
REPORT_FAILURE_CODE = 25


def batch(*records: bytes) -> bytes:
    body = b"".join(records)
    return frames.BATCH_HEADER.pack(BATCH_HEADER_BYTES + len(body), SECOND_NS, len(records)) + body


def instance_started(instance: int, settings: bytes) -> bytes:
    return struct.pack("<BHQI", INSTANCE_STARTED_CODE, instance, RANDOM_SEED, len(settings)) + settings


def serve(frame: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(frame), sink)
    return sink.getvalue()


def test_empty_batch_gets_an_empty_reply() -> None:
    assert serve(batch()) == bytes.fromhex("00000000 08000000")


def test_failed_instance_is_reported_and_other_instances_continue() -> None:
    instance_stopped = b"\x15\x03\x00"
    valid_start = instance_started(3, json.dumps(MINIMAL_SETTINGS).encode())
    reply = serve(batch(instance_started(2, b"{}"), valid_start, instance_stopped, valid_start))
    assert b"Categories" in reply
    assert reply[REPLY_HEADER_BYTES] == REPORT_FAILURE_CODE
    # The failure report, and a timer for each start of the other instance.
    assert frames.REPLY_HEADER.unpack_from(reply)[0] == 3


@pytest.mark.parametrize(
    "frame", [b"\x05\x00\x00", b"\x05\0\0\0" + bytes(12), batch(b"\x63\0\0"), batch(b"\x14")[:-1]]
)
def test_malformed_frame_ends_the_process_with_one_line(frame: bytes) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "balancer.simulator"], input=frame, capture_output=True, check=False
    )
    assert process.returncode == 2
    assert process.stdout == b""
    assert process.stderr.count(b"\n") == 1
    assert process.stderr.startswith(b"simhost: ")
    assert b"Traceback" not in process.stderr

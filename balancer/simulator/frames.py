"""Frames of the simulator's protocol: received batches of event records, sent replies of action records.

All numbers are little-endian, without padding. A frame is a header, followed by as many records as the header
says.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from typing import BinaryIO

from balancer.simulator.errors import FrameLengthError, TruncatedFrameError

BATCH_HEADER = Struct("<IQI")
"""Length of the frame in bytes, including this header; clock in nanoseconds; number of records."""

REPLY_HEADER = Struct("<II")
"""Number of records; length of the frame in bytes, including this header."""


@dataclass(frozen=True, slots=True)
class Batch:
    """The events of one point in time."""

    now_ns: int
    record_count: int
    records: bytes
    """The bytes of all records, in order and without gaps."""


def read_batch(source: BinaryIO) -> Batch | None:
    """Return the next batch, or None at the end of the input.

    Raises:
        TruncatedFrameError: the input ended inside the frame.
        FrameLengthError: the length of the frame is less than that of its header.
    """
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise TruncatedFrameError("frame header", BATCH_HEADER.size, len(header))
    frame_bytes, now_ns, record_count = BATCH_HEADER.unpack(header)
    expected_bytes = frame_bytes - BATCH_HEADER.size
    if expected_bytes < 0:
        raise FrameLengthError(frame_bytes)
    records = source.read(expected_bytes)
    if len(records) < expected_bytes:
        raise TruncatedFrameError("frame", expected_bytes, len(records))
    return Batch(now_ns, record_count, records)


def encode_reply(records: list[bytes]) -> bytes:
    """Return the reply frame to a batch, with these action records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), REPLY_HEADER.size + len(body)) + body

"""Frames written by hand according to the simulator's manual."""

from __future__ import annotations

SAMPLE_BATCH = bytes.fromhex(
    "50000000 90bf68f501000000 03000000"
    "13 0300 c4913a5dfa790900 0000 00000000 640ad2557c3bf091 90dbb60302000000 001bb70000000000 01"
    "14 0300 4d00000000000000"
    "19 0500 192b6f0e625f0b00"
)
"""A batch with a request, a timer and the disconnection of a client, for two instances."""

SAMPLE_REPLY = bytes.fromhex(
    "03000000 4a000000"
    "10 0300 c4913a5dfa790900 0a124a07 8b13 00b4c40400000000"
    "14 0300 0065cd1d00000000 4d00000000000000"
    "18 0300 1100 74776f2073657276657273206b6e6f776e"
)
"""A reply with an attempt, a timer and a log line, of one instance."""


def request_id(wire_bytes: str) -> int:
    """Return the request id that these eight bytes, in hexadecimal digits, stand for on the wire."""
    return int.from_bytes(bytes.fromhex(wire_bytes), "little")

"""Reads the variable-length part of a record, which follows its fixed fields."""

from __future__ import annotations

import struct

from balancer.simulator.errors import RecordOverrunError

_MAX_FLOATS = 255
"""Maximum number of floats in a record: their count is one byte on the wire."""

_FLOAT_ARRAYS = tuple(struct.Struct(f"<{count}f") for count in range(_MAX_FLOATS + 1))
"""The layouts of float arrays, by the number of floats."""


class RecordReader:
    """Reads the records of a batch from a position that advances with each read."""

    __slots__ = ("_records", "position")

    def __init__(self, records: bytes) -> None:
        self._records = records
        self.position = 0

    def read_bytes(self, count: int) -> bytes:
        """Read a byte string. Raises RecordOverrunError if the batch ends inside it."""
        start = self.position
        end = start + count
        self.position = end
        if end > len(self._records):
            raise RecordOverrunError(count, len(self._records) - start)
        return self._records[start:end]

    def read_floats(self, count: int) -> tuple[float, ...]:
        """Read floats of four bytes each. Raises struct.error if the batch ends inside them."""
        layout = _FLOAT_ARRAYS[count]
        floats = layout.unpack_from(self._records, self.position)
        self.position += layout.size
        return floats

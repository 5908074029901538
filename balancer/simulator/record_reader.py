"""Reads what follows the fixed fields of a record, and keeps the position in the batch."""

from __future__ import annotations

import struct

from balancer.simulator.errors import RecordOverrunError

_MAX_FLOATS = 255  # their number is one byte on the wire
_FLOAT_ARRAYS = tuple(struct.Struct(f"<{count}f") for count in range(_MAX_FLOATS + 1))


class RecordReader:
    """A position in the records of a batch."""

    __slots__ = ("_records", "position")

    def __init__(self, records: bytes) -> None:
        self._records = records
        self.position = 0

    def read_bytes(self, count: int) -> bytes:
        """Read a byte string; raises RecordOverrunError if it is not all there."""
        start = self.position
        self.position = end = start + count
        if end > len(self._records):
            raise RecordOverrunError(count, len(self._records) - start)
        return self._records[start:end]

    def read_floats(self, count: int) -> tuple[float, ...]:
        """Read numbers of four bytes each; raises struct.error if they are not all there."""
        layout = _FLOAT_ARRAYS[count]
        floats = layout.unpack_from(self._records, self.position)
        self.position += layout.size
        return floats

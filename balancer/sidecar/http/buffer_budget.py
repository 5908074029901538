"""A bound on the bytes of response bodies that several connections buffer together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class BufferBudget:
    """Counts the buffered bytes of all responses in flight that share it."""

    max_bytes: int
    used_bytes: int = 0

    def reserve(self, size_bytes: int) -> bool:
        """Count these bytes as buffered. False, and nothing is counted, where they do not fit."""
        used_bytes = self.used_bytes + size_bytes
        if used_bytes > self.max_bytes:
            return False
        self.used_bytes = used_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give back bytes that were reserved."""
        self.used_bytes -= size_bytes

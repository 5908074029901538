"""A limit on the bytes of response bodies that several connections buffer together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class BufferBudget:
    """Counts the buffered bytes of all responses in flight that share it."""

    max_bytes: int
    """Limit on the bytes that are reserved at once."""
    used_bytes: int = 0
    """Number of bytes that are reserved now."""

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes to be buffered. Returns False, and reserves none, if they do not fit."""
        used_bytes = self.used_bytes + size_bytes
        if used_bytes > self.max_bytes:
            return False
        self.used_bytes = used_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self.used_bytes -= size_bytes

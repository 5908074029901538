"""Records when the bytes of a connection arrive at a proxy, which may forward them to the server later."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ArrivalLog:
    """When bytes arrived from a sidecar on one connection, and how the connection ended."""

    byte_counts: list[int] = field(default_factory=list)
    """The total number of bytes received after each piece."""
    times_seconds: list[float] = field(default_factory=list)
    """When each piece arrived."""
    closed_at_seconds: float | None = None
    """When the sidecar closed the connection."""
    reset_at_seconds: float | None = None
    """When the proxy reset the connection."""

    was_read_slowly: bool = False
    """Whether bytes had to wait until the proxy read them."""

    def record(self, byte_count: int, at_seconds: float) -> None:
        """Record the arrival of further bytes."""
        total_bytes = self.byte_counts[-1] if self.byte_counts else 0
        self.byte_counts.append(total_bytes + byte_count)
        self.times_seconds.append(at_seconds)

    def time_of_byte_seconds(self, position: int) -> float:
        """Return when the byte at this position, counted from 1, arrived."""
        for byte_count, at_seconds in zip(self.byte_counts, self.times_seconds, strict=True):
            if byte_count >= position:
                return at_seconds
        return self.times_seconds[-1] if self.times_seconds else 0.0

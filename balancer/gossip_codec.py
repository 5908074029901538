"""The messages between sidecars and their bytes.

A message is little-endian: the sender's zone (u8), its admission threshold (f32, -1 if it has none yet), then
as half floats the queueing evidence of each zone, the arrivals without keys of each business level, and the
latency samples of each class. All sidecars of a deployment have the same zones and classes, so all messages
are of one length.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from math import inf
from struct import Struct

MAX_VALUE = 60_000.0  # a half float holds little more, and a larger number would be a fault
MAX_MEAN_DELAY = 2.01  # delays are at most 2; the rest is for the rounding to half floats
NO_THRESHOLD = -1.0


class SharedSums:
    """Base of dataclasses with slots whose fields are sums that sidecars share."""

    __slots__: tuple[str, ...] = ()

    def values(self) -> list[float]:
        """Return the sums in the order of the message."""
        return [getattr(self, name) for name in self.__slots__]

    def scale(self, factor: float, maximum: float = inf) -> None:
        """Multiply the sums by a factor, and bound them."""
        for name in self.__slots__:
            setattr(self, name, min(getattr(self, name) * factor, maximum))

    def add(self, other: SharedSums) -> None:
        """Add the sums of another of the same class."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(slots=True)
class QueueingEvidence(SharedSums):
    """Attempts and answers in one zone, and samples of the queueing delay."""

    delay_sum: float = 0.0
    """Delays as shares of the slack, each from some way below 0 to 2."""
    sample_count: float = 0.0
    attempt_count: float = 0.0
    answer_count: float = 0.0


@dataclass(slots=True)
class LatencySamples(SharedSums):
    """Answers of one class."""

    latency_sum: float = 0.0
    """Latencies as shares of the latency objective."""
    sample_count: float = 0.0


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What a sidecar shares with another."""

    zone: int
    admission_threshold: float | None
    """None while the sender has no threshold of its own."""
    queueing: list[QueueingEvidence]
    """By zone."""
    keyless_arrivals: list[float]
    """By business level."""
    latencies: list[LatencySamples]
    """By class."""

    def scale(self, factor: float, maximum: float) -> None:
        """Multiply all sums by a factor, and bound them."""
        for sums in (*self.queueing, *self.latencies):
            sums.scale(factor, maximum)
        self.keyless_arrivals[:] = [min(mass * factor, maximum) for mass in self.keyless_arrivals]

    def add(self, other: GossipMessage) -> None:
        """Add the sums of another message."""
        for own, shared in zip(self.queueing, other.queueing, strict=True):
            own.add(shared)
        for own_samples, shared_samples in zip(self.latencies, other.latencies, strict=True):
            own_samples.add(shared_samples)
        for level, mass in enumerate(other.keyless_arrivals):
            self.keyless_arrivals[level] += mass


class GossipCodec:
    """Encodes and decodes the messages of one deployment."""

    def __init__(
        self, zone_count: int, business_level_count: int, class_count: int, max_threshold: float
    ) -> None:
        self._zone_count = zone_count
        self._business_level_count = business_level_count
        self._class_count = class_count
        self._max_threshold = max_threshold
        value_count = (
            len(QueueingEvidence.__slots__) * zone_count
            + business_level_count
            + len(LatencySamples.__slots__) * class_count
        )
        self._layout = Struct(f"<Bf{value_count}e")

    @property
    def message_bytes(self) -> int:
        """The length of every message."""
        return self._layout.size

    def encode(self, message: GossipMessage) -> bytes:
        """Return the bytes of a message whose values are all at most MAX_VALUE."""
        threshold = NO_THRESHOLD if message.admission_threshold is None else message.admission_threshold
        values: list[float] = []
        for evidence in message.queueing:
            values += evidence.values()
        values += message.keyless_arrivals
        for samples in message.latencies:
            values += samples.values()
        return self._layout.pack(message.zone, threshold, *values)

    def decode(self, payload: bytes) -> GossipMessage | None:
        """Return the message, or None if it has another length or values that no sidecar sends."""
        if len(payload) != self._layout.size:
            return None
        zone, threshold, *numbers = self._layout.unpack(payload)
        values = iter(numbers)
        message = GossipMessage(
            zone,
            threshold if threshold >= 0 else None,
            [QueueingEvidence(*islice(values, 4)) for _ in range(self._zone_count)],
            list(islice(values, self._business_level_count)),
            [LatencySamples(*islice(values, 2)) for _ in range(self._class_count)],
        )
        is_valid = NO_THRESHOLD <= threshold <= self._max_threshold and _has_valid_sums(message)
        return message if is_valid else None


def _has_valid_sums(message: GossipMessage) -> bool:
    """Return whether all sums are in their ranges; a sum of delays may be negative."""
    if not all(abs(e.delay_sum) <= MAX_MEAN_DELAY * e.sample_count for e in message.queueing):
        return False
    sums = list(message.keyless_arrivals)
    for evidence in message.queueing:
        sums += (evidence.sample_count, evidence.attempt_count, evidence.answer_count)
    for samples in message.latencies:
        sums += samples.values()
    return all(0 <= value <= MAX_VALUE for value in sums)

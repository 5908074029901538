"""The gossip messages between sidecars, and their encoding as bytes.

A message is little-endian and consists of:

- the sender's zone (u8),
- its admission threshold (f32, -1 if it has none yet),
- the queueing evidence of each zone,
- the number of arriving requests without a key (see `RequestReceived.key_hash`) of each business level,
- the latency samples of each class.

All but the first two are half floats. All sidecars of a deployment have the same zones and classes, so all
messages have the same length.

A queueing delay is measured as a share of the slack of its request class, which is the latency objective less
the latency without queueing.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from math import inf
from struct import Struct

MAX_SUM = 60_000.0
"""The largest sum in a message: a half float holds little more, and a larger number would be a defect."""

MAX_MEAN_DELAY = 2.01
"""The largest mean queueing delay, as a share of the slack.

A single delay is at most 2; the rest is a margin for rounding to half floats.
"""

NO_THRESHOLD = -1.0
"""The encoding of the threshold of a sender that has none yet; thresholds are at least 0."""


class SharedSums:
    """Base class of dataclasses with slots whose fields are sums that sidecars share."""

    __slots__: tuple[str, ...] = ()

    def values(self) -> list[float]:
        """Return the sums in the order in which a message carries them."""
        return [getattr(self, name) for name in self.__slots__]

    def scale(self, factor: float, maximum: float = inf) -> None:
        """Multiply the sums by a factor, and limit each to the maximum."""
        for name in self.__slots__:
            scaled = getattr(self, name) * factor
            setattr(self, name, min(scaled, maximum))

    def add(self, other: SharedSums) -> None:
        """Add the sums of another object of the same class."""
        for name in self.__slots__:
            total = getattr(self, name) + getattr(other, name)
            setattr(self, name, total)


@dataclass(slots=True)
class QueueingEvidence(SharedSums):
    """The number of attempts and of responses in one zone, and samples of the queueing delay there."""

    delay_sum: float = 0.0
    """Sum of the delays as shares of the slack; each is at most 2 and may be negative."""
    sample_count: float = 0.0
    attempt_count: float = 0.0
    response_count: float = 0.0


@dataclass(slots=True)
class LatencySamples(SharedSums):
    """Samples of the latency of the responses of one class."""

    latency_sum: float = 0.0
    """Sum of the latencies as shares of the latency objective."""
    sample_count: float = 0.0


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What one sidecar shares with another."""

    zone: int
    """The zone of the sender."""
    admission_threshold: float | None
    """The threshold of the sender; None while it has none of its own."""
    queueing: list[QueueingEvidence]
    """The queueing evidence by zone."""
    keyless_arrivals: list[float]
    """The number of arrivals of requests without a key, by business level."""
    latencies: list[LatencySamples]
    """The latency samples by class."""

    def scale(self, factor: float, maximum: float) -> None:
        """Multiply all sums by a factor, and limit each to the maximum."""
        for evidence in self.queueing:
            evidence.scale(factor, maximum)
        for samples in self.latencies:
            samples.scale(factor, maximum)
        self.keyless_arrivals[:] = [min(count * factor, maximum) for count in self.keyless_arrivals]

    def add(self, other: GossipMessage) -> None:
        """Add the sums of another message."""
        for own_evidence, other_evidence in zip(self.queueing, other.queueing, strict=True):
            own_evidence.add(other_evidence)
        for own_samples, other_samples in zip(self.latencies, other.latencies, strict=True):
            own_samples.add(other_samples)
        for business_level, count in enumerate(other.keyless_arrivals):
            self.keyless_arrivals[business_level] += count


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
        """The length of every message, in bytes."""
        return self._layout.size

    def encode(self, message: GossipMessage) -> bytes:
        """Return the bytes of a message whose values are all at most `MAX_SUM`."""
        threshold = NO_THRESHOLD if message.admission_threshold is None else message.admission_threshold
        values: list[float] = []
        for evidence in message.queueing:
            values += evidence.values()
        values += message.keyless_arrivals
        for samples in message.latencies:
            values += samples.values()
        return self._layout.pack(message.zone, threshold, *values)

    def decode(self, payload: bytes) -> GossipMessage | None:
        """Return the message, or None if the payload has another length or values that no sidecar sends."""
        if len(payload) != self._layout.size:
            return None
        zone, threshold, *values = self._layout.unpack(payload)
        if not NO_THRESHOLD <= threshold <= self._max_threshold:
            return None
        remaining_values = iter(values)
        message = GossipMessage(
            zone=zone,
            admission_threshold=threshold if threshold >= 0 else None,
            queueing=[_read_evidence(remaining_values) for _ in range(self._zone_count)],
            keyless_arrivals=list(islice(remaining_values, self._business_level_count)),
            latencies=[_read_latency_samples(remaining_values) for _ in range(self._class_count)],
        )
        return message if _has_valid_sums(message) else None


def _read_evidence(values: Iterator[float]) -> QueueingEvidence:
    """Consume the values of the queueing evidence of one zone."""
    return QueueingEvidence(*islice(values, len(QueueingEvidence.__slots__)))


def _read_latency_samples(values: Iterator[float]) -> LatencySamples:
    """Consume the values of the latency samples of one class."""
    return LatencySamples(*islice(values, len(LatencySamples.__slots__)))


def _has_valid_sums(message: GossipMessage) -> bool:
    """Return whether all sums are in their ranges; only a sum of delays may be negative."""
    for evidence in message.queueing:
        if not abs(evidence.delay_sum) <= MAX_MEAN_DELAY * evidence.sample_count:
            return False
    # The other sums must be from 0 to `MAX_SUM`. Comparisons with NaN are false, so NaN is invalid.
    nonnegative_sums = list(message.keyless_arrivals)
    for evidence in message.queueing:
        nonnegative_sums += (evidence.sample_count, evidence.attempt_count, evidence.response_count)
    for samples in message.latencies:
        nonnegative_sums += samples.values()
    return all(0 <= value <= MAX_SUM for value in nonnegative_sums)

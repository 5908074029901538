"""Gossip: what this sidecar shares with others each cycle, and how it merges what they share."""

from random import Random

from balancer.gossip_codec import MAX_VALUE, GossipCodec, GossipMessage
from balancer.policy.overload.admission import AdmissionControl
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy_api import GossipReceived, SendGossip, Settings

RETAINED_SHARE = 1 / 2
"""Share of all sums that a sidecar keeps; it sends the rest, so that all approach the mean of the fleet."""

THRESHOLD_WEIGHT = 0.25
"""Weight of a received threshold, so that the thresholds of the fleet converge and it sheds smoothly."""

RESTARTED_THRESHOLD_WEIGHT = 1.0
"""The same just after a start, when the own threshold says nothing."""

MIN_CYCLES_TO_SHARE_THRESHOLD = 4
"""Cycles after which a sidecar's own threshold is worth sharing."""


class Gossip:
    """Shares and merges the evidence of queueing, the arrivals, the latencies and the threshold."""

    def __init__(
        self, settings: Settings, random: Random, admission: AdmissionControl, overload: OverloadDetector
    ) -> None:
        self._settings = settings
        self._random = random
        self._admission = admission
        self._overload = overload
        self.cycle_count = 0
        self.codec = GossipCodec(
            zone_count=settings.zone_count,
            business_level_count=len(admission.arrivals.keyless),
            class_count=len(settings.classes),
            max_threshold=admission.max_threshold,
        )

    @property
    def _has_established_threshold(self) -> bool:
        """Whether the own threshold is worth sharing."""
        return self.cycle_count >= MIN_CYCLES_TO_SHARE_THRESHOLD

    def share(self) -> list[SendGossip]:
        """Halve all sums, and return the message that carries the other half if there is a recipient."""
        settings = self._settings
        if not settings.gossip_enabled or settings.instance_count <= 1:
            return []
        message = self._current_message()
        message.scale(RETAINED_SHARE, MAX_VALUE)
        return [SendGossip(self._draw_recipient(), self.codec.encode(message))]

    def merge(self, _now_ns: int, event: GossipReceived) -> None:
        """Add what another sidecar shared; a payload that no sidecar of this version sends is ignored."""
        message = self.codec.decode(event.payload)
        if message is None:
            return
        self._current_message().add(message)
        if message.zone == self._settings.local_zone and message.admission_threshold is not None:
            self._merge_threshold(message.admission_threshold)

    def _draw_recipient(self) -> int:
        """Return the index of a random other sidecar."""
        recipient_index = int(self._random.random() * (self._settings.instance_count - 1))
        if recipient_index >= self._settings.instance_index:
            recipient_index += 1
        return recipient_index

    def _merge_threshold(self, received_threshold: float) -> None:
        """Move the own threshold towards that of another sidecar of the zone."""
        weight = THRESHOLD_WEIGHT if self._has_established_threshold else RESTARTED_THRESHOLD_WEIGHT
        self._admission.threshold += weight * (received_threshold - self._admission.threshold)
        self.cycle_count = max(self.cycle_count, MIN_CYCLES_TO_SHARE_THRESHOLD)

    def _current_message(self) -> GossipMessage:
        """Return a message that refers to the sums themselves, so that changes of it change them."""
        return GossipMessage(
            zone=self._settings.local_zone,
            admission_threshold=self._admission.threshold if self._has_established_threshold else None,
            queueing=self._overload.queueing.evidence,
            keyless_arrivals=self._admission.arrivals.keyless,
            latencies=self._overload.latency.samples,
        )

"""Gossip: what this sidecar shares with others each control cycle, and how it merges what they share.

Sums are shared as in push-sum gossip: a sidecar sends half of each sum to a random other one, which adds it
to its own.
"""

from random import Random

from balancer.gossip_codec import MAX_SUM, GossipCodec, GossipMessage
from balancer.policy.overload.admission import AdmissionControl
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy_api import GossipReceived, SendGossip, Settings

RETAINED_SHARE = 1 / 2
"""Share of each sum that a sidecar keeps; it sends the rest, so that all approach the mean of the fleet."""

THRESHOLD_WEIGHT = 0.25
"""Weight of a received threshold, so that the thresholds converge and the fleet rejects evenly."""

RESTARTED_THRESHOLD_WEIGHT = 1.0
"""Weight of a received threshold just after a start, when the sidecar's own says nothing."""

MIN_CYCLES_TO_SHARE_THRESHOLD = 4
"""Measurement cycles after which a sidecar's own threshold is reliable enough to share."""


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
        """Measurement cycles since the start; a received threshold makes it the number that sharing needs."""
        self.codec = GossipCodec(
            zone_count=settings.zone_count,
            business_level_count=len(admission.arrivals.keyless),
            class_count=len(settings.classes),
            max_threshold=admission.max_threshold,
        )

    @property
    def _has_established_threshold(self) -> bool:
        """Whether the sidecar's own threshold is reliable enough to share."""
        return self.cycle_count >= MIN_CYCLES_TO_SHARE_THRESHOLD

    def share(self) -> list[SendGossip]:
        """Halve all sums and return a message with the other halves, if there is another sidecar."""
        settings = self._settings
        if not settings.gossip_enabled or settings.sidecar_count <= 1:
            return []
        message = self._current_message()
        message.scale(RETAINED_SHARE, MAX_SUM)
        return [SendGossip(self._draw_recipient(), self.codec.encode(message))]

    def merge(self, _now_ns: int, event: GossipReceived) -> None:
        """Add what another sidecar shared; ignore a payload that no sidecar of this version sends."""
        message = self.codec.decode(event.payload)
        if message is None:
            return
        self._current_message().add(message)
        if message.zone == self._settings.local_zone and message.admission_threshold is not None:
            self._merge_threshold(message.admission_threshold)

    def _draw_recipient(self) -> int:
        """Return the index of a random other sidecar."""
        recipient_index = int(self._random.random() * (self._settings.sidecar_count - 1))
        if recipient_index >= self._settings.sidecar_index:
            recipient_index += 1
        return recipient_index

    def _merge_threshold(self, received_threshold: float) -> None:
        """Move the sidecar's own threshold towards that of another sidecar of its zone."""
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

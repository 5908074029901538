"""Gossip: what this sidecar shares with others each cycle, and how it merges what they share."""

from random import Random

from balancer.gossip_codec import MAX_VALUE, GossipCodec, GossipMessage
from balancer.policy.admission import AdmissionControl
from balancer.policy.overload import OverloadDetector
from balancer.policy_api import GossipReceived, SendGossip, Settings

KEPT_PART = 1 / 2  # of all sums; one sidecar is sent the other, so the fleet's mean forms within some cycles
THRESHOLD_WEIGHT = 0.25  # of another's threshold, so that the fleet holds one and sheds smoothly
SETTLED_CYCLES = 4  # cycles after which a sidecar's own threshold is worth sharing


class Gossip:
    """Shares and merges the evidence of queueing, the arrivals, the latencies and the threshold."""

    def __init__(
        self, settings: Settings, random: Random, admission: AdmissionControl, overload: OverloadDetector
    ) -> None:
        self._settings, self._random = settings, random
        self._admission, self._overload = admission, overload
        self.cycle_count = 0
        sizes = settings.zone_count, len(admission.keyless_arrivals), len(settings.classes)
        self.codec = GossipCodec(*sizes, admission.max_threshold)

    def share(self) -> list[SendGossip]:
        """Give a part of all sums away, and return the message that carries it, if there is one."""
        settings = self._settings
        if not settings.gossip_enabled or settings.instance_count <= 1:
            return []
        message = self._current_message()
        message.scale(KEPT_PART, MAX_VALUE)
        recipient = int(self._random.random() * (settings.instance_count - 1))
        recipient += recipient >= settings.instance_index
        return [SendGossip(recipient, self.codec.encode(message))]

    def merge(self, _now: int, event: GossipReceived) -> None:
        """Add what another sidecar shared; what no sidecar of this version sends is passed over."""
        message = self.codec.decode(event.payload)
        if message is None:
            return
        self._current_message().add(message)
        if message.zone == self._settings.local_zone and message.admission_threshold is not None:
            weight = THRESHOLD_WEIGHT if self.cycle_count >= SETTLED_CYCLES else 1.0  # 1: as after a restart
            self._admission.threshold += weight * (message.admission_threshold - self._admission.threshold)
            self.cycle_count = max(self.cycle_count, SETTLED_CYCLES)

    def _current_message(self) -> GossipMessage:
        """Return a message that refers to the sums themselves."""
        admission = self._admission
        threshold = admission.threshold if self.cycle_count >= SETTLED_CYCLES else None
        sums = self._overload.evidence, admission.keyless_arrivals, self._overload.latency.samples
        return GossipMessage(self._settings.local_zone, threshold, *sums)

"""The queueing delay at the endpoints: evidence from attempts, by zone, and the estimate from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from balancer.gossip_codec import QueueingEvidence
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.requests.request_state import RequestState
from balancer.policy_api import Settings

MIN_COUNT = 0.5
"""Number of samples or attempts up to which their mean counts as unknown."""

MIN_DECAY = 0.6
"""Least share of the evidence that is kept per measurement cycle: a time constant of about 0.6 s."""

MAX_DECAY = 0.85
"""Largest share of the evidence that is kept, while samples are few: a time constant of about 1.7 s."""

SUFFICIENT_SAMPLES = 8.0
"""Number of samples that would make older evidence unnecessary.

The share of the evidence that is kept falls in proportion to the number of samples, within the bounds above.
"""


class LoadEstimate(NamedTuple):
    """The load of a group of endpoints."""

    queueing_delay: float
    """The mean queueing delay as a share of the slack."""
    response_ratio: float
    """Successful responses per attempt; below 1 while queues grow."""

    @staticmethod
    def of_evidence(evidence: QueueingEvidence) -> LoadEstimate:
        """Return the estimate from evidence; where there is too little of it, no queueing is assumed."""
        queueing_delay = 0.0
        if evidence.sample_count > MIN_COUNT:
            queueing_delay = evidence.delay_sum / evidence.sample_count
        response_ratio = 1.0
        if evidence.attempt_count > MIN_COUNT:
            response_ratio = evidence.answer_count / evidence.attempt_count
        return LoadEstimate(queueing_delay, response_ratio)

    def weighted_mean(self, other: LoadEstimate, other_share: float) -> LoadEstimate:
        """Return the weighted mean with another estimate."""
        return LoadEstimate(
            self.queueing_delay + (other.queueing_delay - self.queueing_delay) * other_share,
            self.response_ratio + (other.response_ratio - self.response_ratio) * other_share,
        )


class ZoneLoads(NamedTuple):
    """Load estimates of the local zone, of all other zones together, and for this sidecar's traffic."""

    local: LoadEstimate
    remote: LoadEstimate
    overall: LoadEstimate
    """The mean of both, weighted by the share of this sidecar's attempts that went to other zones."""


@dataclass(slots=True)
class AttemptCounts:
    """Decayed counts of the attempts of this sidecar alone, without those that gossip adds."""

    total: float = 0.0
    remote: float = 0.0

    @property
    def remote_share(self) -> float:
        """The share of the attempts that went to another zone."""
        return self.remote / self.total if self.total > MIN_COUNT else 0.0

    def scale(self, factor: float) -> None:
        """Multiply both counts by a factor."""
        self.total *= factor
        self.remote *= factor


class QueueingDelayEstimator:
    """Collects the evidence of queueing by zone and estimates the load from it."""

    def __init__(self, settings: Settings) -> None:
        self._local_zone = settings.local_zone
        # By zone; gossip shares it with other sidecars.
        self.evidence = [QueueingEvidence() for _ in range(settings.zone_count)]
        self.attempts = AttemptCounts()

    @property
    def sample_count(self) -> float:
        """The number of delay samples over all zones."""
        return sum(evidence.sample_count for evidence in self.evidence)

    def record_attempt(self, zone: int) -> None:
        """Count an attempt that starts."""
        self.evidence[zone].attempt_count += 1
        self.attempts.total += 1
        self.attempts.remote += zone != self._local_zone

    def discard_attempt(self, zone: int) -> None:
        """Remove an attempt from the counts, because its outcome says nothing about load."""
        self.evidence[zone].attempt_count -= 1

    def record_success(self, zone: int) -> None:
        """Count a successful response."""
        self.evidence[zone].answer_count += 1

    def record_delay(self, endpoint: EndpointState, request: RequestState, delay: float) -> None:
        """Record the queueing delay of an attempt, in place of what was recorded for it before."""
        evidence = self.evidence[endpoint.zone]
        evidence.delay_sum += delay - request.recorded_delay
        evidence.sample_count += not request.recorded_delay
        request.recorded_delay = delay

    def estimate(self) -> ZoneLoads:
        """Estimate the load of the local zone, of the other zones, and for this sidecar's traffic."""
        local_evidence = QueueingEvidence()
        remote_evidence = QueueingEvidence()
        for zone, evidence in enumerate(self.evidence):
            total = local_evidence if zone == self._local_zone else remote_evidence
            total.add(evidence)
        local = LoadEstimate.of_evidence(local_evidence)
        remote = LoadEstimate.of_evidence(remote_evidence)
        return ZoneLoads(local, remote, local.weighted_mean(remote, self.attempts.remote_share))

    def discount_attempts(self, rejected_share: float) -> None:
        """Reduce the counts of attempts as if this share of the traffic had been rejected all along."""
        for evidence in self.evidence:
            evidence.attempt_count *= 1 - rejected_share

    def end_cycle(self) -> None:
        """Reduce the weight of older evidence; the more samples there are, the faster it decays."""
        decay = min(MAX_DECAY, max(MIN_DECAY, 1 - self.sample_count / SUFFICIENT_SAMPLES))
        for evidence in self.evidence:
            evidence.scale(decay)
        self.attempts.scale(decay)

"""Overload detection: whether the queueing delay at the endpoints is above an adaptive threshold.

The detector combines the latencies, the queueing delays, the measurement cycle and the spillover to other
zones, each of which has its own module.
"""

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.latency_tracker import LatencyTracker
from balancer.policy.overload.measurement_cycle import MeasurementCycle
from balancer.policy.overload.queueing_delay import QueueingDelayEstimator
from balancer.policy.overload.spillover import CrossZoneSpillover
from balancer.policy.requests.request_state import RequestState
from balancer.policy_api import Settings

MIN_SAMPLES = 3.0
"""Number of samples that an estimate needs, so that a single late response does not count as overload."""

MIN_SAMPLES_WITH_GOSSIP = 0.5
"""Number of samples that an estimate needs with gossip, where they stand for samples of many sidecars."""

MIN_THRESHOLD = 0.1
"""Least mean queueing delay that counts as overload, as a share of the slack."""

BASELINE_MULTIPLE = 1.5
"""Multiple of the baseline in the threshold: endpoints with few cores queue that much at ordinary load."""

MAX_BASELINE_SHARE = 0.25
"""Upper bound of the baseline in the threshold (share of the slack).

The threshold starts with it, because no baseline is known if the sidecar starts during overload.
"""


class OverloadDetector:
    """Collects the evidence of a measurement cycle and estimates the queueing delay at its end."""

    def __init__(self, settings: Settings) -> None:
        self.measurement_cycle = MeasurementCycle()
        self.latency = LatencyTracker(settings.classes)
        self.queueing = QueueingDelayEstimator(settings)
        self.spillover = CrossZoneSpillover(settings)
        self._min_samples = MIN_SAMPLES_WITH_GOSSIP if settings.gossip_enabled else MIN_SAMPLES
        self.queueing_delay = 0.0
        """Queueing delay of the last estimate, as a share of the slack."""
        self.response_ratio = 1.0
        """Successful responses per attempt of the last estimate."""
        self.threshold = _delay_threshold(MAX_BASELINE_SHARE)
        """Queueing delay (share of the slack) above which the endpoints are overloaded."""

    @property
    def is_overloaded(self) -> bool:
        """Whether the queueing delay is above the threshold."""
        return self.queueing_delay > self.threshold

    @property
    def has_low_queueing_delay(self) -> bool:
        """Whether the queueing delay is at most half the threshold."""
        return self.queueing_delay <= self.threshold / 2

    def record_attempt(self, endpoint: EndpointState) -> None:
        """Count an attempt that starts."""
        self.measurement_cycle.attempt_count += 1
        self.queueing.record_attempt(endpoint.zone)

    def discard_attempt(self, endpoint: EndpointState) -> None:
        """Remove an attempt from the counts, because its outcome says nothing about load."""
        self.queueing.discard_attempt(endpoint.zone)

    def record_delay(self, endpoint: EndpointState, request: RequestState, delay: float) -> None:
        """Record the queueing delay of an attempt, in place of what was recorded for it before."""
        self.queueing.record_delay(endpoint, request, delay)

    def should_extend_cycle(self, now_ns: int) -> bool:
        """Return whether there are too few samples and the cycle may be extended to collect more."""
        return (
            self.measurement_cycle.may_be_extended(now_ns) and self.queueing.sample_count < self._min_samples
        )

    def update_estimate(self, has_remote: bool, now_ns: int) -> None:
        """Estimate the queueing delay, and adjust the spillover if there are endpoints in other zones."""
        loads = self.queueing.estimate()
        self.queueing_delay = loads.overall.queueing_delay
        self.response_ratio = loads.overall.response_ratio
        if has_remote:
            self.spillover.update(loads, self.threshold, self.measurement_cycle.elapsed_ns(now_ns))

    def discount_attempts(self, rejected_share: float) -> None:
        """Reduce the counts of attempts as if this share of the traffic had been rejected all along."""
        self.queueing.discount_attempts(rejected_share)

    def end_cycle(self, now_ns: int) -> None:
        """Update baselines and threshold, reduce the weight of older evidence, and begin the next cycle."""
        self.latency.end_cycle(self._min_samples)
        baseline_shares = self.latency.baseline_shares()
        if baseline_shares:
            mean_share = sum(baseline_shares) / len(baseline_shares)
            self.threshold = _delay_threshold(min(MAX_BASELINE_SHARE, mean_share))
        self.queueing.end_cycle()
        self.measurement_cycle.restart(now_ns)


def _delay_threshold(baseline_share: float) -> float:
    """Return the queueing delay that counts as overload where the baseline is this share of the slack."""
    return MIN_THRESHOLD + BASELINE_MULTIPLE * baseline_share

"""Latencies of each request class: their mean, and the baseline, which is the latency without queueing."""

from balancer.gossip_codec import LatencySamples
from balancer.policy.requests.request_state import RequestState
from balancer.policy_api import RequestClass

LATENCY_DECAY = 0.95
"""Share of the latency samples that is kept per measurement cycle: a time constant of about 5 s."""

BASELINE_DRIFT = 1.0025
"""Factor by which a baseline may rise in a measurement cycle, so that an old minimum is forgotten."""

MAX_BASELINE = 0.5
"""Upper bound of a baseline as a share of the latency objective, so that slack for queueing remains."""

DEFAULT_BASELINE = 0.25
"""Baseline as a share of the latency objective while no response of the class has been measured."""

HANDSHAKE_ALLOWANCE = 0.25
"""Allowance for a new connection as a share of the latency objective.

Just after a start all connections are new, and the time to establish them is not queueing.
"""

MIN_INFORMATIVE_TIMEOUT = 2.0
"""Multiple of the baseline below which a timeout is so short that it says nothing about the endpoint."""


class LatencyTracker:
    """Means and baselines by class index, in nanoseconds; 0 while nothing has been measured."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self._classes = classes
        self.samples = [LatencySamples() for _ in classes]  # gossip shares them with other sidecars
        self.means_ns = [0.0] * len(classes)
        self.baselines_ns = [0.0] * len(classes)

    def record_latency(self, request: RequestState, duration_ns: int) -> float:
        """Record the latency of a response, and return its ratio to the mean of the class."""
        samples = self.samples[request.class_index]
        samples.latency_sum += duration_ns / request.request_class.latency_objective_ns
        samples.sample_count += 1
        mean_ns = self.means_ns[request.class_index]
        return duration_ns / mean_ns if mean_ns else 1.0

    def queueing_delay(self, request: RequestState, duration_ns: int) -> float:
        """Return the time beyond the baseline as a share of the slack (the objective less the baseline)."""
        objective_ns = request.request_class.latency_objective_ns
        baseline_ns = self.baselines_ns[request.class_index] or objective_ns * DEFAULT_BASELINE
        handshake_ns = HANDSHAKE_ALLOWANCE * objective_ns if request.needs_connection else 0.0
        return (duration_ns - baseline_ns - handshake_ns) / (objective_ns - baseline_ns)

    def is_timeout_too_short(self, request: RequestState | None, duration_ns: int) -> bool:
        """Return whether a response without queueing could have taken longer than a timeout allowed.

        If the request is no longer known, the lowest baseline of all classes is compared.
        """
        if request is None:
            baseline_ns = min(self._baseline_or_default_ns(index) for index in range(len(self._classes)))
        else:
            baseline_ns = self._baseline_or_default_ns(request.class_index)
        return duration_ns < MIN_INFORMATIVE_TIMEOUT * baseline_ns

    def end_cycle(self, min_samples: float) -> None:
        """Update the mean and baseline of classes with enough samples; reduce the weight of older samples."""
        for class_index, samples in enumerate(self.samples):
            if samples.sample_count >= min_samples:
                mean_ratio = samples.latency_sum / samples.sample_count
                self._update_class(class_index, mean_ratio)
            samples.scale(LATENCY_DECAY)

    def baseline_shares(self) -> list[float]:
        """Return the known baselines as shares of the slack of their classes."""
        return [
            baseline_ns / (request_class.latency_objective_ns - baseline_ns)
            for baseline_ns, request_class in zip(self.baselines_ns, self._classes, strict=True)
            if baseline_ns
        ]

    def _update_class(self, class_index: int, mean_ratio: float) -> None:
        """Set the mean of a class, and set its baseline to the minimum of the means, which drifts upwards."""
        objective_ns = self._classes[class_index].latency_objective_ns
        mean_ns = mean_ratio * objective_ns
        # The mean of a few responses may be low by chance, which would make the minimum too low. Hence the
        # mean is taken over several seconds, and with gossip over several sidecars.
        drifted_baseline_ns = self.baselines_ns[class_index] * BASELINE_DRIFT or mean_ns
        self.means_ns[class_index] = mean_ns
        self.baselines_ns[class_index] = min(mean_ns, drifted_baseline_ns, objective_ns * MAX_BASELINE)

    def _baseline_or_default_ns(self, class_index: int) -> float:
        return (
            self.baselines_ns[class_index]
            or self._classes[class_index].latency_objective_ns * DEFAULT_BASELINE
        )

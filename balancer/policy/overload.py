"""Overload detection: latency baselines, the evidence of queueing, its estimate, and cross-zone spillover."""

from balancer.gossip_codec import LatencySamples, QueueingEvidence
from balancer.policy.endpoint_state import EndpointState
from balancer.policy.request_state import RequestState
from balancer.policy_api import RequestClass, Settings
from balancer.time_units import SECOND_NS

LATENCY_DECAY = 0.95  # share of the latency samples kept from cycle to cycle: about 5 s worth
BASELINE_DRIFT = 1.0025  # a baseline may rise this much a cycle, to forget an old minimum
MAX_BASELINE, DEFAULT_BASELINE = 0.5, 0.25  # shares of the latency objective: at most, and before any answer
HANDSHAKE = 0.25  # and what a new connection may add: where all are new, at a start, that is no queue
MIN_ANSWER_TIME = 2.0  # baselines within which a timeout says nothing of the endpoint

CYCLE_NS = SECOND_NS // 4  # a quarter of DAGOR's: bursts of 3 s are over before slower cycles shed
MAX_ATTEMPTS_PER_CYCLE = 2000  # or this many attempts, as in DAGOR
MAX_CYCLE_NS = 1.5 * SECOND_NS  # a cycle short of samples waits this long for more
MIN_SAMPLES, MIN_SHARED_SAMPLES = 3.0, 0.5  # that a verdict needs; with gossip it is over many sidecars
MIN_COUNT = 0.5  # sums over fewer say nothing
MIN_THRESHOLD = 0.1  # mean delay that counts as overload
THRESHOLD_BASELINES = 1.5  # and so many baselines more: few cores queue that much at ordinary load
MAX_BASELINE_SHARE = 0.25  # of the slack: at a start in overload no baseline is known
MIN_DECAY, MAX_DECAY = 0.6, 0.85  # share of the evidence kept a cycle: a second's worth, or that of some
AMPLE_SAMPLES = 8.0  # samples from which the shorter memory is enough

SPILLOVER_STEP = 0.025  # change of the ratio, a cycle, for a difference that counts as overload
WEIGHT_SMOOTHING = 0.01


class LatencyTracker:
    """Means and baselines by class index, in nanoseconds; 0 while nothing is known."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self._classes = classes
        self.samples = [LatencySamples() for _ in classes]  # shared with other sidecars
        self.means_ns, self.baselines_ns = [0.0] * len(classes), [0.0] * len(classes)

    def record_answer(self, request: RequestState, duration_ns: int) -> float:
        """Take in the latency of an answer, and return it over the mean of its class."""
        samples = self.samples[request.class_index]
        samples.latency_sum += duration_ns / request.request_class.latency_objective_ns
        samples.sample_count += 1
        mean = self.means_ns[request.class_index]
        return duration_ns / mean if mean else 1.0

    def queueing_delay(self, request: RequestState, duration_ns: int) -> float:
        """Return the time beyond the baseline as a share of the slack, the objective less the baseline."""
        objective = request.request_class.latency_objective_ns
        baseline = self.baselines_ns[request.class_index] or objective * DEFAULT_BASELINE
        handshake = request.needs_connection * HANDSHAKE * objective
        return (duration_ns - baseline - handshake) / (objective - baseline)

    def is_too_short(self, request: RequestState | None, duration_ns: int) -> bool:
        """Return whether a client gave less time than answers of its class, or of any, take with no queue."""
        known = zip(self.baselines_ns, self._classes, strict=True)
        baselines = [baseline or c.latency_objective_ns * DEFAULT_BASELINE for baseline, c in known]
        baseline = min(baselines) if request is None else baselines[request.class_index]
        return duration_ns < MIN_ANSWER_TIME * baseline

    def end_cycle(self, min_samples: float) -> list[float]:
        """Move means and baselines, let the older samples fade, and return the baselines as slack shares."""
        for index, samples in enumerate(self.samples):
            if samples.sample_count >= min_samples:
                objective = self._classes[index].latency_objective_ns
                mean = samples.latency_sum / samples.sample_count * objective
                # A mean of few answers strays low, and its minimum with it: hence pooled, over seconds.
                drifted = self.baselines_ns[index] * BASELINE_DRIFT or mean
                self.means_ns[index] = mean
                self.baselines_ns[index] = min(mean, drifted, objective * MAX_BASELINE)
            samples.scale(LATENCY_DECAY)
        known = zip(self.baselines_ns, self._classes, strict=True)
        return [baseline / (c.latency_objective_ns - baseline) for baseline, c in known if baseline]


class OverloadDetector:
    """The evidence by zone, the cycle in which it is gathered, and the estimate of the queueing delay."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.latency = LatencyTracker(settings.classes)
        self._min_samples = MIN_SHARED_SAMPLES if settings.gossip_enabled else MIN_SAMPLES
        self.cycle_started_at_ns, self.cycle_attempts = 0, 0
        self.evidence = [QueueingEvidence() for _ in range(settings.zone_count)]  # shared with other sidecars
        self.attempts, self.remote_attempts = 0.0, 0.0  # this sidecar's own, faded like the evidence
        self.queueing_delay, self.answer_ratio = 0.0, 1.0  # by the last estimate
        self.threshold = MIN_THRESHOLD + THRESHOLD_BASELINES * MAX_BASELINE_SHARE
        self.spillover_ratio = 0.0  # the chance that a request goes to another zone
        self._mean_weight = sum(c.priority_weight for c in settings.classes) / len(settings.classes)

    @property
    def is_overloaded(self) -> bool:
        """Whether the queueing delay is above the threshold."""
        return self.queueing_delay > self.threshold

    @property
    def is_calm(self) -> bool:
        """Whether the queueing delay is at most half the threshold."""
        return self.queueing_delay <= self.threshold / 2

    def record_attempt(self, endpoint: EndpointState) -> None:
        """Count an attempt that starts."""
        self.cycle_attempts += 1
        self.evidence[endpoint.zone].attempt_count += 1
        self.attempts += 1
        self.remote_attempts += endpoint.zone != self._settings.local_zone

    def discard_attempt(self, endpoint: EndpointState) -> None:
        """Leave out an attempt that turned out to say nothing of load."""
        self.evidence[endpoint.zone].attempt_count -= 1

    def record_delay(self, endpoint: EndpointState, request: RequestState, delay: float) -> None:
        """Add what is new of an attempt's queueing delay."""
        evidence = self.evidence[endpoint.zone]
        evidence.delay_sum += delay - request.recorded_delay
        evidence.sample_count += not request.recorded_delay
        request.recorded_delay = delay

    def may_await_samples(self, now: int) -> bool:
        """Return whether samples are short and may yet come in this cycle: without attempts none do."""
        is_short = sum(evidence.sample_count for evidence in self.evidence) < self._min_samples
        return self.cycle_attempts > 0 and is_short and now - self.cycle_started_at_ns < MAX_CYCLE_NS

    def record_request(self, request_class: RequestClass) -> None:
        """Take in the weight of an arriving request."""
        self._mean_weight += WEIGHT_SMOOTHING * (request_class.priority_weight - self._mean_weight)

    def is_worth_crossing(self, request_class: RequestClass) -> bool:
        """Return whether a request is worth more than to send it to another zone costs."""
        return request_class.priority_weight > self._settings.cross_zone_price * self._mean_weight

    def record_remote_connect_failure(self) -> None:
        """Bring traffic home: a zone that is cut off shows no delays, and would draw ever more."""
        self.spillover_ratio *= 1 - SPILLOVER_STEP * 4

    def update_estimate(self, has_remote: bool, now: int) -> None:
        """Estimate by where the attempts went; where other zones queue less, have more traffic spill over."""
        local, remote = QueueingEvidence(), QueueingEvidence()
        for zone, evidence in enumerate(self.evidence):
            (local if zone == self._settings.local_zone else remote).add(evidence)
        local_delay, remote_delay = _mean_delay(local), _mean_delay(remote)
        local_ratio, remote_ratio = _answer_ratio(local), _answer_ratio(remote)
        remote_share = self.remote_attempts / self.attempts if self.attempts > MIN_COUNT else 0.0
        self.queueing_delay = local_delay + (remote_delay - local_delay) * remote_share
        self.answer_ratio = local_ratio + (remote_ratio - local_ratio) * remote_share
        if has_remote:
            lead = (local_delay - remote_delay - self._settings.cross_zone_price) / self.threshold
            step = SPILLOVER_STEP * (now - self.cycle_started_at_ns) / CYCLE_NS  # cycles may be long
            ratio = self.spillover_ratio + step * max(-0.5, min(2.0, lead))
            self.spillover_ratio = min(1.0, max(0.0, ratio))

    def discount_attempts(self, shed_share: float) -> None:
        """Count the attempts as if this share of the traffic had been shed all the time."""
        for evidence in self.evidence:
            evidence.attempt_count *= 1 - shed_share

    def end_cycle(self, now: int) -> None:
        """Move baselines and threshold, let the older evidence fade, and begin the next cycle."""
        if shares := self.latency.end_cycle(self._min_samples):
            mean_share = min(MAX_BASELINE_SHARE, sum(shares) / len(shares))
            self.threshold = MIN_THRESHOLD + THRESHOLD_BASELINES * mean_share
        samples = sum(evidence.sample_count for evidence in self.evidence)
        decay = min(MAX_DECAY, max(MIN_DECAY, 1 - samples / AMPLE_SAMPLES))
        for evidence in self.evidence:
            evidence.scale(decay)
        self.attempts *= decay
        self.remote_attempts *= decay
        self.cycle_started_at_ns, self.cycle_attempts = now, 0


def _mean_delay(evidence: QueueingEvidence) -> float:
    return evidence.delay_sum / evidence.sample_count if evidence.sample_count > MIN_COUNT else 0.0


def _answer_ratio(evidence: QueueingEvidence) -> float:
    return evidence.answer_count / evidence.attempt_count if evidence.attempt_count > MIN_COUNT else 1.0

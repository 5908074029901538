"""Records the outcomes of attempts: load, failure rates, ejections, and token buckets of the slow start."""

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.endpoints.outlier_detection import OutlierDetector
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.requests.hung_attempts import HungAttempts, is_overtaken
from balancer.policy.requests.request_state import RequestState
from balancer.policy.selection.connection_budget import ConnectionBudget
from balancer.policy.selection.slow_start import capacity
from balancer.policy.selection.subset import SubsetSelector
from balancer.policy_api import AttemptCompleted, AttemptOutcome, Settings

MAX_DELAY = 2.0
"""Largest queueing delay (share of the slack) recorded for a response, so that none dominates the mean."""

FAILURE_DELAY = 1.0
"""Queueing delay (share of the slack) recorded for an attempt that failed because of overload."""

OVERLOAD_OUTCOMES = (AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED)
"""Outcomes that indicate overload, unless the endpoint is ejected."""

UNINFORMATIVE_OUTCOMES = (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT, AttemptOutcome.CLIENT_ERROR)
"""Outcomes that say nothing about the load or the health of the endpoint."""


class OutcomeRecorder:
    """Passes the outcome of an attempt to the components that use it."""

    def __init__(
        self,
        settings: Settings,
        overload: OverloadDetector,
        subsets: SubsetSelector,
        budget: ConnectionBudget,
        outliers: OutlierDetector,
        hung_attempts: HungAttempts,
    ) -> None:
        self._settings = settings
        self._overload = overload
        self._subsets = subsets
        self._budget = budget
        self._outliers = outliers
        self._hung_attempts = hung_attempts

    def record(
        self, endpoint: EndpointState, event: AttemptCompleted, request: RequestState | None, now_ns: int
    ) -> None:
        """Record the outcome of an attempt; the request is None if it already had its final response."""
        outcome = event.outcome
        if outcome in UNINFORMATIVE_OUTCOMES:
            self._overload.discard_attempt(endpoint)
            if outcome == AttemptOutcome.CLIENT_ERROR:  # the endpoint did respond
                endpoint.responses.restart_wait(now_ns)
            return
        if outcome == AttemptOutcome.CONNECT_FAILED:
            self._budget.record_connect_failure(now_ns)
        self._outliers.record_connection(endpoint, outcome, now_ns)
        is_timeout = outcome == AttemptOutcome.TIMEOUT
        if is_timeout and self._overload.latency.is_timeout_too_short(request, event.duration_ns):
            self._overload.discard_attempt(endpoint)
            return
        failed = outcome != AttemptOutcome.SUCCESS
        if request is not None:
            self._hung_attempts.record_outcome(endpoint, request, failed, now_ns)
            if is_timeout and is_overtaken(request):
                self._overload.discard_attempt(endpoint)
                return
            self._record_load(endpoint, request, event, now_ns)
        self._record_health(endpoint, outcome, failed, now_ns)

    def _record_load(
        self, endpoint: EndpointState, request: RequestState, event: AttemptCompleted, now_ns: int
    ) -> None:
        """Record the queueing delay of an attempt.

        An attempt that fails for another reason than load is not recorded: otherwise it would cause the
        rejection of requests that the other endpoints can serve.
        """
        overload = self._overload
        if event.outcome == AttemptOutcome.SUCCESS:
            endpoint.latency_ratio.record(overload.latency.record_latency(request, event.duration_ns))
            delay = min(MAX_DELAY, overload.latency.queueing_delay(request, event.duration_ns))
            overload.record_delay(endpoint, request, delay)
            overload.queueing.record_success(endpoint.zone)
        elif event.outcome in OVERLOAD_OUTCOMES and not endpoint.ejection.is_active(now_ns):
            overload.record_delay(endpoint, request, FAILURE_DELAY)
        else:
            overload.discard_attempt(endpoint)
            is_remote = endpoint.zone != self._settings.local_zone
            if is_remote and event.outcome == AttemptOutcome.CONNECT_FAILED:
                overload.spillover.record_connect_failure()

    def _record_health(
        self, endpoint: EndpointState, outcome: AttemptOutcome, failed: bool, now_ns: int
    ) -> None:
        """Record whether the endpoint served the attempt."""
        endpoint.record_outcome(failed, now_ns)
        if failed:
            self._outliers.record_failure(endpoint, outcome, now_ns)
        elif capacity(self._settings, endpoint, now_ns) >= 1:
            self._subsets.subset_of(endpoint).warm_up_bucket.record_response()

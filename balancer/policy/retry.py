"""Retries: their budget, whether a further attempt is of use, hung attempts, and the final answer."""

from random import Random

from balancer import policy_api as api
from balancer.policy.endpoint_state import EndpointState
from balancer.policy.load_probing import LoadProbing
from balancer.policy.overload import CYCLE_NS, OverloadDetector
from balancer.policy.request_state import RequestState
from balancer.policy_api import AttemptOutcome, Idempotency
from balancer.time_units import SECOND_NS

BUDGET_SHARE, MAX_BUDGET = 0.2, 10.0  # retries for each admitted request, and how many may be saved up
RETRY_AFTER_NS = SECOND_NS  # some cycles; all of the client's time once no answer can count
MIN_HUNG_DELAY = 0.5  # share of the slack after which an overtaken attempt is hung; in calm one in a hundred
MIN_HUNG_FAILURES, HUNG_SMOOTHING = 0.5, 0.1  # share of the hung that must fail before any is cancelled
CANCELLED_SHARE = 0.9  # share of them that is: the others tell whether it still is so


def is_overtaken(request: RequestState) -> bool:
    """Return whether the endpoint has served what was sent a cycle later: no queue keeps the attempt."""
    endpoint = request.endpoint
    return endpoint is not None and endpoint.newest_served_ns > request.attempt_started_at_ns + CYCLE_NS


class RetryPolicy:
    """Decides on further attempts, keeps the budget for them, and sees to attempts that hang."""

    def __init__(
        self, settings: api.Settings, random: Random, overload: OverloadDetector, load_probing: LoadProbing
    ) -> None:
        self._settings, self._random = settings, random
        self._overload, self._load_probing = overload, load_probing
        self._longest_first_try_ns = [0] * len(settings.classes)
        self._hung_failure_rate = 0.0  # share of the hung attempts that came to nothing
        self.budget = 1.0

    def record_admission(self) -> None:
        """Add to the budget."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_SHARE)

    def is_too_late_to_count(self, event: api.RequestReceived, now: int) -> bool:
        """Return whether a client's own retry has so little of the one deadline left that it is of no use."""
        request_class = self._settings.classes[event.class_index]
        time_left = event.expires_at_ns - now
        longest = self._longest_first_try_ns[event.class_index]
        if not event.is_retry:
            self._longest_first_try_ns[event.class_index] = max(longest, time_left)
            return False
        time_passed = request_class.client_timeout_ns - time_left
        is_late = time_left < longest and time_passed >= request_class.latency_objective_ns
        return is_late and not request_class.late_answer_value

    def attempt_timeout_ns(self, request: RequestState, now: int) -> int:
        """Return how long to wait for an attempt; 0: until the client gives up."""
        has_queues = self._load_probing.is_enabled and not self._overload.is_calm  # probed, and still late
        if request.request_class.late_answer_value and not has_queues:
            return 0
        time_left = request.objective_deadline_ns - now
        return time_left if 0 < time_left < request.expires_at_ns - now else 0

    def allows_retry(self, request: RequestState, outcome: AttemptOutcome, now: int) -> bool:
        """Return whether a further attempt is safe, within the budget, and in time to be useful."""
        request_class = request.request_class
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.CLIENT_ERROR):
            return False  # what is invalid fails anywhere
        if request.attempt_count >= self._settings.max_attempts or self.budget < 1:
            return False
        is_safe = request.may_run_again or now < request.deduplicated_until_ns
        if now >= request.expires_at_ns or not is_safe:
            return False
        if outcome != AttemptOutcome.CONNECT_FAILED and self._overload.is_overloaded:
            return False
        useful_until = request.expires_at_ns
        if not request_class.late_answer_value:
            useful_until = min(request.objective_deadline_ns, useful_until)
        return now + self._overload.latency.baselines_ns[request.class_index] < useful_until

    def final_answer(self, request: RequestState, now: int) -> api.RejectRequest | api.FailRequest:
        """Return the answer to a request that nothing served: rejected if a client's retry does no harm."""
        if not request.may_run_again:
            return api.FailRequest(request.id)
        request_class = request.request_class
        is_late = not request_class.late_answer_value and now >= request.objective_deadline_ns
        retry_after_ns = request_class.client_timeout_ns if is_late else RETRY_AFTER_NS
        return api.RejectRequest(request.id, min(retry_after_ns, self._settings.max_retry_after_ns))

    def record_outcome(self, endpoint: EndpointState, request: RequestState, failed: bool, now: int) -> None:
        """Take in what became of an attempt; a hung one has counted as a failure of its class already."""
        if not failed:
            endpoint.newest_served_ns = max(endpoint.newest_served_ns, request.attempt_started_at_ns)
        if request.is_hung:
            self._hung_failure_rate += HUNG_SMOOTHING * (failed - self._hung_failure_rate)
        if not (failed and request.is_hung):
            endpoint.record_class_outcome(request.class_index, failed, now)
        request.is_hung = False

    def cancels_hung(self, endpoint: EndpointState, request: RequestState, delay: float, now: int) -> bool:
        """Take in that an attempt is overtaken, and return whether to cancel it for a further one."""
        if delay < MIN_HUNG_DELAY or request.is_hung:
            return False
        self.record_outcome(endpoint, request, True, now)
        request.is_hung = True
        if self._hung_failure_rate < MIN_HUNG_FAILURES or self._random.random() > CANCELLED_SHARE:
            return False  # where few that hang fail, they are long by nature
        if request.request_class.idempotency != Idempotency.IDEMPOTENT or not self._overload.is_calm:
            return False  # in overload the cancelled work would go on beside the next attempt's
        can_cancel = self._settings.attempts_can_be_cancelled
        return can_cancel and self.allows_retry(request, AttemptOutcome.CANCELLED, now)

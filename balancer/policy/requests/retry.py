"""Retries: the retry budget, whether a further attempt is safe and useful, and the final response.

The budget is a token bucket: each admitted request adds a part of a token, and each retry takes one token.
"""

from balancer import policy_api as api
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.requests.request_state import RequestState
from balancer.policy.selection.load_probing import LoadProbing
from balancer.policy_api import AttemptOutcome
from balancer.time_units import SECOND_NS

TOKENS_PER_REQUEST = 0.2
"""Tokens added per admitted request, so that retries add a fifth to the load at most."""

BUCKET_CAPACITY = 10.0
"""Largest number of tokens, so that accumulated tokens do not allow a burst of retries."""

INITIAL_TOKENS = 1.0
"""Tokens at the start, so that the first request may be retried."""

RETRY_AFTER_NS = SECOND_NS
"""Usual `Retry-After` of a rejection (ns): several control cycles, in which the threshold may fall."""


class RetryPolicy:
    """Decides on further attempts and final responses, and maintains the retry budget."""

    def __init__(self, settings: api.Settings, overload: OverloadDetector, load_probing: LoadProbing) -> None:
        self._settings = settings
        self._overload = overload
        self._load_probing = load_probing
        self._max_first_timeout_ns = [0] * len(settings.classes)
        """The longest time that a client allowed for a request that is not a retry, by class index."""
        self.tokens = INITIAL_TOKENS

    def add_tokens(self) -> None:
        """Add the tokens for an admitted request."""
        self.tokens = min(BUCKET_CAPACITY, self.tokens + TOKENS_PER_REQUEST)

    def take_token(self) -> None:
        """Take a token for a retry."""
        self.tokens -= 1

    def is_client_retry_too_late(self, event: api.RequestReceived, now_ns: int) -> bool:
        """Return whether a client's retry comes so late that its response has no value.

        The latency objective counts from the client's first request. When that was sent is estimated from the
        time left.
        """
        request_class = self._settings.classes[event.class_index]
        time_left_ns = event.expires_at_ns - now_ns
        longest_ns = self._max_first_timeout_ns[event.class_index]
        if not event.is_retry:
            self._max_first_timeout_ns[event.class_index] = max(longest_ns, time_left_ns)
            return False
        time_passed_ns = request_class.client_timeout_ns - time_left_ns
        is_late = time_left_ns < longest_ns and time_passed_ns >= request_class.latency_objective_ns
        return is_late and not request_class.late_response_value

    def attempt_timeout_ns(self, request: RequestState, now_ns: int) -> int:
        """Return how long to wait for an attempt; 0 to wait until the client gives up.

        The attempt times out at the latency objective if a late response has no value, or if requests queue
        although endpoints are probed for load.
        """
        has_queues = self._load_probing.is_enabled and not self._overload.has_low_queueing_delay
        if request.request_class.late_response_value and not has_queues:
            return 0
        time_left_ns = request.objective_deadline_ns - now_ns
        return time_left_ns if 0 < time_left_ns < request.expires_at_ns - now_ns else 0

    def allows_retry(self, request: RequestState, outcome: AttemptOutcome, now_ns: int) -> bool:
        """Return whether a further attempt is safe, within the budget, and early enough to be useful."""
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.CLIENT_ERROR):
            return False
        if request.attempt_count >= self._settings.max_attempts or self.tokens < 1:
            return False
        is_safe = request.may_be_retried_anywhere or now_ns < request.deduplicated_until_ns
        if not is_safe or now_ns >= request.expires_at_ns:
            return False
        # A failed connect takes no capacity of the endpoint, so a retry is allowed during overload as well.
        if outcome != AttemptOutcome.CONNECT_FAILED and self._overload.is_overloaded:
            return False
        baseline_ns = self._overload.latency.baselines_ns[request.class_index]
        return now_ns + baseline_ns < _useful_until_ns(request)

    def final_response(self, request: RequestState, now_ns: int) -> api.RejectRequest | api.FailRequest:
        """Return the response to a request that no endpoint served.

        It is rejected if it is safe to retry by the client, and failed otherwise.
        """
        if not request.may_be_retried_anywhere:
            return api.FailRequest(request.id)
        request_class = request.request_class
        is_late = not request_class.late_response_value and now_ns >= request.objective_deadline_ns
        retry_after_ns = request_class.client_timeout_ns if is_late else RETRY_AFTER_NS
        return api.RejectRequest(request.id, min(retry_after_ns, self._settings.max_retry_after_ns))


def _useful_until_ns(request: RequestState) -> int:
    """Return the time from which a response to a request has no value."""
    if request.request_class.late_response_value:
        return request.expires_at_ns
    return min(request.objective_deadline_ns, request.expires_at_ns)

"""Attempts in flight as samples of the queueing delay."""

from balancer import policy_api as api
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.requests.hung_attempts import HungAttempts, is_overtaken
from balancer.policy.requests.request_state import RequestState

MAX_RUNNING_DELAY = 1.0
"""Largest delay (share of the slack) recorded for an attempt in flight, the same as for a timeout."""


class RunningAttemptSampler:
    """Records the delay of attempts in flight: it shows a sudden queue before the first late response."""

    def __init__(
        self,
        requests: dict[int, RequestState],
        actions: list[api.Action],
        overload: OverloadDetector,
        hung_attempts: HungAttempts,
    ) -> None:
        self._requests = requests
        self._actions = actions
        self._overload = overload
        self._hung_attempts = hung_attempts

    def sample_all(self, now_ns: int) -> None:
        """Record the delays of all attempts in flight, and cancel those that hang."""
        for request in self._requests.values():
            self._sample(request, now_ns)

    def _sample(self, request: RequestState, now_ns: int) -> None:
        """Record the delay of one attempt.

        An attempt at an ejected endpoint is skipped, as its delay says nothing about the other endpoints.
        """
        attempt = request.attempt
        endpoint = attempt.endpoint
        if endpoint is None or endpoint.ejection.is_active(now_ns):
            return
        duration_ns = now_ns - attempt.started_at_ns
        delay = min(MAX_RUNNING_DELAY, self._overload.latency.queueing_delay(request, duration_ns))
        if delay <= self._overload.threshold:
            return
        if not is_overtaken(request):
            self._overload.record_delay(endpoint, request, max(delay, attempt.recorded_delay))
        elif self._hung_attempts.should_cancel(endpoint, request, delay, now_ns):
            self._actions.append(api.CancelAttempt(request.id, request.attempt_count - 1))

"""Hung attempts: attempts that are late although their endpoint serves requests that were sent later."""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.overload.measurement_cycle import CYCLE_NS
from balancer.policy.requests.request_state import RequestState
from balancer.policy.requests.retry import RetryPolicy
from balancer.policy_api import AttemptOutcome, Idempotency, Settings

MIN_HUNG_DELAY = 0.5
"""Queueing delay (share of the slack) from which an overtaken attempt counts as hung.

Without overload one attempt in a hundred has such a delay.
"""

MIN_HUNG_FAILURE_RATE = 0.5
"""Share of hung attempts that must fail before any is cancelled.

Where few of them fail, the requests take that long without a fault of the endpoint.
"""

HUNG_SMOOTHING = 0.1
"""Weight of a hung attempt in the smoothed failure rate, so that about the last ten count."""

CANCELLED_SHARE = 0.9
"""Probability that a hung attempt is cancelled; the outcomes of the others update the failure rate."""


def is_overtaken(request: RequestState) -> bool:
    """Return whether the endpoint has served an attempt that started more than `CYCLE_NS` after this one."""
    attempt = request.attempt
    if attempt.endpoint is None:
        return False
    return attempt.endpoint.responses.latest_served_start_ns > attempt.started_at_ns + CYCLE_NS


class HungAttempts:
    """Detects hung attempts, counts them as failures of their class, and has them cancelled for a retry."""

    def __init__(
        self, settings: Settings, random: Random, overload: OverloadDetector, retry: RetryPolicy
    ) -> None:
        self._can_cancel = settings.attempts_can_be_cancelled
        self._random = random
        self._overload = overload
        self._retry = retry
        self._failure_rate = 0.0
        """Smoothed share of the hung attempts that ended with a failure."""

    def record_outcome(
        self, endpoint: EndpointState, request: RequestState, failed: bool, now_ns: int
    ) -> None:
        """Record the outcome of an attempt; a failure that was counted when it hung is not counted again."""
        attempt = request.attempt
        if not failed:
            endpoint.responses.record_served_attempt(attempt.started_at_ns)
        if attempt.is_hung:
            self._failure_rate += HUNG_SMOOTHING * (failed - self._failure_rate)
        if not (failed and attempt.is_hung):
            endpoint.failure_rate.record_for_class(request.class_index, failed, now_ns)
        attempt.is_hung = False

    def should_cancel(
        self, endpoint: EndpointState, request: RequestState, delay: float, now_ns: int
    ) -> bool:
        """Mark an overtaken attempt as hung if it is late enough; return whether to cancel it for a retry.

        It is only cancelled while the queueing delay is low, because its endpoint may continue to execute it
        in addition to the retry.
        """
        if delay < MIN_HUNG_DELAY or request.attempt.is_hung:
            return False
        endpoint.failure_rate.record_for_class(request.class_index, True, now_ns)
        request.attempt.is_hung = True
        if self._failure_rate < MIN_HUNG_FAILURE_RATE or self._random.random() > CANCELLED_SHARE:
            return False
        if (
            request.request_class.idempotency != Idempotency.IDEMPOTENT
            or not self._overload.has_low_queueing_delay
        ):
            return False
        return self._can_cancel and self._retry.allows_retry(request, AttemptOutcome.CANCELLED, now_ns)

"""Outlier detection: which endpoints are ejected, for how long, and how they return to service.

An ejected endpoint gets no requests, unless too many endpoints of its subset are ejected.
"""

from collections.abc import Iterable
from math import log
from random import Random

from balancer.policy.endpoints.endpoint_estimates import ESTIMATE_HALF_LIFE_NS
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.measurement_cycle import CYCLE_NS
from balancer.policy.selection.subset import SubsetSelector
from balancer.policy_api import AttemptOutcome, EndpointHealth, EndpointId, Settings
from balancer.time_units import SECOND_NS

BROKEN_CONNECTION_OUTCOMES = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CONNECTION_RESET)
"""Outcomes of attempts whose connection could not be established or was lost."""

FAILURES_TO_EJECT = 3
"""Number of consecutive failures after which a timeout ejects the endpoint.

It is also the upper bound for broken connections.
"""

REJECTIONS_TO_EJECT = 8
"""Number of consecutive failures after which a rejection ejects the endpoint.

An endpoint that rejects every request is draining, not overloaded.
"""

LOW_BROKEN_CONNECTION_SHARE = 0.08
"""Share of attempts with a broken connection up to which a single one ejects the endpoint.

While few connections break, the endpoint is taken to be the cause.
"""

SIGNIFICANCE_LEVEL = 0.01
"""Probability of a run of broken connections below which it is not taken for coincidence."""

BROKEN_CONNECTION_SMOOTHING = 0.03
"""Weight of an attempt in the moving average of the share of broken connections.

About the last thirty attempts count.
"""

SUCCESS_PROTECTION_NS = SECOND_NS // 2
"""Time after a success in which failures do not eject an endpoint (ns), as it serves some requests."""

MIN_IN_FLIGHT_TO_EJECT = 3
"""Number of attempts in flight from which an unresponsive endpoint is ejected.

A single attempt without a response may be a long request.
"""

MIN_EJECTION_NS = 2 * SECOND_NS
"""Duration of the first ejection (ns), before jitter; it doubles with each further one."""

MAX_EJECTION_NS = 20 * SECOND_NS
"""Longest ejection (ns), before jitter: a recovered endpoint must not be left out for minutes."""

MAX_EJECTION_DOUBLINGS = 8
"""Largest number of doublings in the exponential backoff; the duration has reached its maximum by then."""

MIN_JITTER = 0.75
"""Lower bound of the random factor of a duration.

The jitter keeps the sidecars from all sending requests to a returning endpoint at the same time.
"""

JITTER_WIDTH = 0.5
"""Width of the range of the random factor, whose mean is 1."""

HEALTH_CHECK_TIMEOUT_NS = 2 * SECOND_NS
"""Time for which an ejected endpoint waits for the result of its health check (ns).

Without a result it returns to service after that.
"""


class OutlierDetector:
    """Ejects endpoints that fail or are unresponsive, and returns them to service."""

    def __init__(self, settings: Settings, random: Random, subsets: SubsetSelector) -> None:
        self._has_health_checks = settings.health_checks_enabled
        self._random = random
        self._subsets = subsets
        self._broken_connection_share = 0.0
        """Moving average of the share of attempts with a broken connection, without ejected endpoints."""

    def record_connection(self, endpoint: EndpointState, outcome: AttemptOutcome, now_ns: int) -> None:
        """Update the share of broken connections with the outcome of an attempt."""
        if endpoint.ejection.is_active(now_ns):
            return
        is_broken = outcome in BROKEN_CONNECTION_OUTCOMES
        self._broken_connection_share += BROKEN_CONNECTION_SMOOTHING * (
            is_broken - self._broken_connection_share
        )

    def record_failure(self, endpoint: EndpointState, outcome: AttemptOutcome, now_ns: int) -> None:
        """Eject an endpoint that had too many consecutive failures and no recent success.

        A server error does not eject: the picker avoids the endpoint while others have capacity.
        """
        if endpoint.ejection.is_active(now_ns) or outcome == AttemptOutcome.SERVER_ERROR:
            return
        if now_ns - endpoint.responses.last_success_ns <= SUCCESS_PROTECTION_NS:
            return
        if endpoint.ejection.consecutive_failures >= self._failure_limit(endpoint, outcome, now_ns):
            self._eject(endpoint, now_ns)

    def check(self, endpoints: Iterable[EndpointState], now_ns: int) -> list[EndpointId]:
        """Eject unresponsive endpoints; return the ids of the ejected ones whose health check is due."""
        ready = [endpoint for endpoint in endpoints if endpoint.health == EndpointHealth.READY]
        for endpoint in ready:
            if endpoint.in_flight < MIN_IN_FLIGHT_TO_EJECT or endpoint.ejection.is_active(now_ns):
                continue
            if endpoint.responses.is_unresponsive(now_ns):
                self._eject(endpoint, now_ns)
        if not self._has_health_checks:
            return []
        due = [endpoint for endpoint in ready if _is_health_check_due(endpoint, now_ns)]
        for endpoint in due:
            endpoint.ejection.await_health_check(now_ns + HEALTH_CHECK_TIMEOUT_NS)
        return [endpoint.id for endpoint in due]

    def record_health_check(self, endpoint: EndpointState, is_healthy: bool, now_ns: int) -> None:
        """Return an endpoint to service or eject it again, if its ejection waited for this health check."""
        ejection = endpoint.ejection
        if ejection.health_check_pending and is_healthy:
            ejection.end(now_ns)
            endpoint.responses.restart_wait(now_ns)
            self._subsets.mark_stale()
        elif ejection.health_check_pending and ejection.is_active(now_ns):
            self._eject(endpoint, now_ns)
        ejection.end_health_check()

    def _failure_limit(self, endpoint: EndpointState, outcome: AttemptOutcome, now_ns: int) -> int:
        """Return the number of consecutive failures after which this outcome ejects an endpoint."""
        if outcome in BROKEN_CONNECTION_OUTCOMES:
            return self._broken_connection_limit(endpoint, now_ns)
        return REJECTIONS_TO_EJECT if outcome == AttemptOutcome.REJECTED else FAILURES_TO_EJECT

    def _broken_connection_limit(self, endpoint: EndpointState, now_ns: int) -> int:
        """Return the number of consecutive failures after which a broken connection ejects an endpoint.

        One is enough if few connections break, or if the last success is long ago. Otherwise the run has to
        be so long that it is unlikely to be a coincidence, but not longer than FAILURES_TO_EJECT.
        """
        success_age_ns = now_ns - endpoint.responses.last_success_ns
        if (
            self._broken_connection_share <= LOW_BROKEN_CONNECTION_SHARE
            or success_age_ns >= ESTIMATE_HALF_LIFE_NS
        ):
            return 1
        return min(FAILURES_TO_EJECT, round(log(SIGNIFICANCE_LEVEL) / log(self._broken_connection_share)))

    def _eject(self, endpoint: EndpointState, now_ns: int) -> None:
        """Eject an endpoint for a duration with exponential backoff and jitter."""
        doublings = min(endpoint.ejection.ejections_since_success, MAX_EJECTION_DOUBLINGS)
        duration_ns = min(MIN_EJECTION_NS << doublings, MAX_EJECTION_NS)
        jitter = MIN_JITTER + JITTER_WIDTH * self._random.random()
        endpoint.ejection.eject(now_ns + int(duration_ns * jitter))
        self._subsets.mark_stale()


def _is_health_check_due(endpoint: EndpointState, now_ns: int) -> bool:
    """Return whether the ejection ends within one control cycle and no health check is pending yet."""
    return endpoint.ejection.ends_within(CYCLE_NS, now_ns) and not endpoint.ejection.health_check_pending

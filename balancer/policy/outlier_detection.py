"""Outlier detection: which endpoints are ejected from the subset, for how long, and how they return."""

from collections.abc import Iterable
from math import log
from random import Random

from balancer.policy.endpoint_state import ESTIMATE_HALF_LIFE_NS, EndpointState
from balancer.policy.overload import CYCLE_NS
from balancer.policy.subset import SubsetSelector
from balancer.policy_api import AttemptOutcome, EndpointHealth, EndpointId, Settings
from balancer.time_units import SECOND_NS

BROKEN_CONNECTION = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CONNECTION_RESET)
FAILURES_TO_EJECT, REJECTIONS_TO_EJECT = 3, 8  # in a row
FEW_BROKEN = 0.08  # up to this share of attempts with a broken connection one is the endpoint's fault
CHANCE_LIMIT, BROKEN_SMOOTHING = 0.01, 0.03  # beyond, a row as unlikely as that is no chance
SUCCESS_PROTECTION_NS = SECOND_NS // 2  # an endpoint that served so lately is not ejected
MIN_SILENT_IN_FLIGHT = 3  # attempts that a silent endpoint has to owe
MIN_EJECTION_NS, MAX_EJECTION_NS = 2 * SECOND_NS, 20 * SECOND_NS  # the first time, doubled each time
HEALTH_CHECK_TIMEOUT_NS = 2 * SECOND_NS


class OutlierDetector:
    """Ejects endpoints that fail or are silent, and returns them to service."""

    def __init__(self, settings: Settings, random: Random, subsets: SubsetSelector) -> None:
        self._has_health_checks = settings.health_checks_enabled
        self._random, self._subsets = random, subsets
        self._broken_share = 0.0  # of the attempts at endpoints in service, those without a whole connection

    def record_connection(self, endpoint: EndpointState, outcome: AttemptOutcome, now: int) -> None:
        """Take in whether an attempt found no connection or lost it."""
        if endpoint.ejected_until_ns <= now:
            self._broken_share += BROKEN_SMOOTHING * ((outcome in BROKEN_CONNECTION) - self._broken_share)

    def record_failure(self, endpoint: EndpointState, outcome: AttemptOutcome, now: int) -> None:
        """Eject an endpoint that has failed too often in a row and served nothing lately."""
        if endpoint.ejected_until_ns > now or outcome == AttemptOutcome.SERVER_ERROR:
            return  # one that errs is passed over while others hold less, and there once they are full
        limit = FAILURES_TO_EJECT
        if outcome in BROKEN_CONNECTION:
            limit = self._broken_limit(endpoint, now)
        elif outcome == AttemptOutcome.REJECTED:  # one that rejects all for long drains, unknown to discovery
            limit = REJECTIONS_TO_EJECT
        if now - endpoint.last_success_ns > SUCCESS_PROTECTION_NS and endpoint.consecutive_failures >= limit:
            self._eject(endpoint, now)

    def check(self, endpoints: Iterable[EndpointState], now: int) -> list[EndpointId]:
        """Eject the silent endpoints, and return those to health-check before they get requests again."""
        ready = [e for e in endpoints if e.health == EndpointHealth.READY]
        for endpoint in ready:
            owes_much = endpoint.in_flight >= MIN_SILENT_IN_FLIGHT
            if owes_much and endpoint.ejected_until_ns <= now and endpoint.is_silent(now):
                self._eject(endpoint, now)
        if not self._has_health_checks:
            return []
        due = [e for e in ready if now < e.ejected_until_ns <= now + CYCLE_NS and not e.health_check_pending]
        for endpoint in due:
            endpoint.health_check_pending = True
            endpoint.ejected_until_ns = now + HEALTH_CHECK_TIMEOUT_NS
        return [endpoint.id for endpoint in due]

    def record_health_check(self, endpoint: EndpointState, is_healthy: bool, now: int) -> None:
        """Return an endpoint to service or eject it anew, if the health check was to decide that."""
        if endpoint.health_check_pending and is_healthy:
            endpoint.ejected_until_ns = endpoint.unanswered_since_ns = now
            endpoint.consecutive_failures = 0
            self._subsets.is_stale = True
        elif endpoint.health_check_pending and endpoint.ejected_until_ns > now:
            self._eject(endpoint, now)
        endpoint.health_check_pending = False

    def _broken_limit(self, endpoint: EndpointState, now: int) -> int:
        """Return how many broken connections in a row eject: one, if few break or it served long ago."""
        if self._broken_share <= FEW_BROKEN or now - endpoint.last_success_ns >= ESTIMATE_HALF_LIFE_NS:
            return 1
        return min(FAILURES_TO_EJECT, round(log(CHANCE_LIMIT) / log(self._broken_share)))

    def _eject(self, endpoint: EndpointState, now: int) -> None:
        duration = min(MIN_EJECTION_NS << min(endpoint.ejection_count, 8), MAX_EJECTION_NS)
        endpoint.ejected_until_ns = now + int(duration * (0.75 + self._random.random() / 2))
        endpoint.ejection_count += 1
        self._subsets.is_stale = True

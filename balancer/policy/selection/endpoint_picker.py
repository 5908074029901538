"""The pick of an endpoint for one attempt: the least loaded one, and among equals the fastest one.

The load of an endpoint is the number of attempts in flight that this sidecar has at it, and more if it often
fails. Costs of failures are given in multiples of the latency objective of the request class.
"""

from heapq import nsmallest

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.hashing import mix64
from balancer.policy.overload.detector import MIN_THRESHOLD
from balancer.policy.overload.latency_tracker import LatencyTracker
from balancer.policy.requests.request_state import DeduplicationBinding, RequestState
from balancer.policy.selection.slow_start import capacity
from balancer.policy.selection.subset import SubsetSelector, ZoneSubset
from balancer.policy_api import Idempotency, Settings

TOLERATED_FAILURE_RATE = 0.3
"""Failure rate (share) up to which an endpoint is not avoided; one failure after successes stays below it."""

NON_IDEMPOTENT_FAILURE_COST = 4.0
"""Cost of a failed attempt that must not be retried (latency objectives): its request is lost."""

RETRYABLE_FAILURE_COST = 1.0
"""Cost of a failed attempt that may be retried (latency objectives)."""

ENDPOINTS_PER_KEY = 2
"""Number of endpoints that serve one key if keys have affinity: a popular key would overload a single one."""


class EndpointPicker:
    """Picks endpoints by their attempts in flight, failure rates and latencies."""

    def __init__(self, settings: Settings, subsets: SubsetSelector, latency: LatencyTracker) -> None:
        self._settings = settings
        self._subsets = subsets
        self._latency = latency
        self._objectives_ns = [request_class.latency_objective_ns for request_class in settings.classes]
        self._failure_costs_ns = [
            request_class.latency_objective_ns * _failure_cost(request_class.idempotency)
            for request_class in settings.classes
        ]

    def pick(self, zone: ZoneSubset, request: RequestState, now_ns: int) -> EndpointState | None:
        """Return the least loaded candidate, among equals the one expected to respond first, or None.

        All candidates are compared: with only a few drawn at random, often all of these would be slow.
        """
        class_index = request.class_index
        return min(
            self.candidates(zone, request, now_ns),
            key=lambda endpoint: self._load_and_expected_time(endpoint, class_index, now_ns),
            default=None,
        )

    def prefers_remote(
        self, remote: EndpointState, local: EndpointState, class_index: int, now_ns: int
    ) -> bool:
        """Return whether the load of the remote endpoint is lower by more than the price of crossing zones.

        This comparison takes effect at once, while the spillover ratio follows the difference in load between
        zones slowly.
        """
        margin = self._settings.cross_zone_price / MIN_THRESHOLD
        return self.load(remote, class_index, now_ns) + margin < self.load(local, class_index, now_ns)

    def candidates(self, zone: ZoneSubset, request: RequestState, now_ns: int) -> list[EndpointState]:
        """Return the eligible endpoints that are idle and seldom fail, or all eligible ones otherwise."""
        eligible = self._eligible_endpoints(zone, request, now_ns)
        class_index = request.class_index
        idle_and_healthy = [
            endpoint
            for endpoint in eligible
            if not endpoint.in_flight
            and endpoint.failure_rate.expected(class_index, now_ns) <= TOLERATED_FAILURE_RATE
        ]
        return idle_and_healthy or eligible

    def load(self, endpoint: EndpointState, class_index: int, now_ns: int) -> float:
        """Return the load of an endpoint in attempts in flight: their number, and more if it often fails.

        An endpoint that fails quickly has few attempts in flight, which alone would bring it the most
        traffic.
        """
        failure_rate = endpoint.failure_rate.expected(class_index, now_ns)
        return self._load(endpoint, failure_rate, class_index)

    def expected_time_ns(self, endpoint: EndpointState, class_index: int, now_ns: int) -> float:
        """Return the expected time of an attempt (ns), including the expected cost of a failure.

        For an endpoint without recent outcomes it approaches the mean latency of the class.
        """
        failure_rate = endpoint.failure_rate.expected(class_index, now_ns)
        return self._expected_time_ns(endpoint, failure_rate, class_index, now_ns)

    def _load_and_expected_time(
        self, endpoint: EndpointState, class_index: int, now_ns: int
    ) -> tuple[float, float]:
        """Return the sort key of a candidate: its load, then the expected time of an attempt at it (ns)."""
        failure_rate = endpoint.failure_rate.expected(class_index, now_ns)
        load = self._load(endpoint, failure_rate, class_index)
        return load, self._expected_time_ns(endpoint, failure_rate, class_index, now_ns)

    def _load(self, endpoint: EndpointState, failure_rate: float, class_index: int) -> float:
        """Return the attempts in flight, plus the cost of failures above the tolerated rate.

        The cost is divided by the mean latency of the class to be comparable to attempts in flight.
        """
        if failure_rate <= TOLERATED_FAILURE_RATE:
            return endpoint.in_flight
        excess = failure_rate - TOLERATED_FAILURE_RATE
        mean_time_ns = self._latency.means_ns[class_index] or self._objectives_ns[class_index]
        return endpoint.in_flight + excess * self._failure_costs_ns[class_index] / mean_time_ns

    def _expected_time_ns(
        self, endpoint: EndpointState, failure_rate: float, class_index: int, now_ns: int
    ) -> float:
        mean_time_ns = self._latency.means_ns[class_index]
        latency_ratio = endpoint.latency_ratio
        if not latency_ratio.updated_at_ns:
            return mean_time_ns
        failure_time_ns = failure_rate * self._failure_costs_ns[class_index]
        return mean_time_ns * latency_ratio.expected(now_ns) + failure_time_ns

    def _eligible_endpoints(
        self, zone: ZoneSubset, request: RequestState, now_ns: int
    ) -> list[EndpointState]:
        """Return the warm endpoints that may get the request, except the endpoint of its last attempt.

        Endpoints that were already probed for the request are left out as well.
        """
        settings = self._settings
        key_hash = request.key_hash if settings.key_affinity else 0
        binding = request.deduplication
        last_endpoint = request.attempt.endpoint
        warm = [
            endpoint
            for endpoint in self._unfiltered_endpoints(zone, key_hash, binding)
            if endpoint is not last_endpoint and capacity(settings, endpoint, now_ns) >= 1
        ]
        if request.probe:
            probed = request.probe.endpoints
            warm = [endpoint for endpoint in warm if endpoint not in probed]
        if binding:
            scope = request.request_class.deduplication_scope
            warm = [endpoint for endpoint in warm if endpoint.drops_duplicates_of(binding.endpoint, scope)]
        if key_hash or binding:  # only the subsets leave out ejected endpoints
            warm = [endpoint for endpoint in warm if endpoint.ejection.until_ns <= now_ns]
        return _endpoints_of_key(warm, key_hash) if key_hash else warm

    def _unfiltered_endpoints(
        self, zone: ZoneSubset, key_hash: int, binding: DeduplicationBinding | None
    ) -> list[EndpointState]:
        """Return the endpoints to choose from, including some that may not get the request.

        A request that is bound to a deduplication group may go to any endpoint of the zone in that group.
        """
        if binding:
            return zone.ranked
        if key_hash:
            return self._subsets.reachable_endpoints(zone)
        return zone.members


def _failure_cost(idempotency: Idempotency) -> float:
    """Return the cost of a failed attempt of a class (latency objectives)."""
    is_lost = idempotency == Idempotency.NOT_IDEMPOTENT
    return NON_IDEMPOTENT_FAILURE_COST if is_lost else RETRYABLE_FAILURE_COST


def _endpoints_of_key(endpoints: list[EndpointState], key_hash: int) -> list[EndpointState]:
    """Return the endpoints that serve a key, in an order that is the same at all sidecars."""
    return nsmallest(
        ENDPOINTS_PER_KEY, endpoints, key=lambda endpoint: mix64(endpoint.affinity_hash ^ key_hash)
    )

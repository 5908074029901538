"""The subset of the endpoints that this sidecar connects to, its budget of connections, and picks from it."""

from heapq import nsmallest
from random import Random

from balancer.policy.endpoint_state import EndpointState, freshness
from balancer.policy.hashing import mix64
from balancer.policy.overload import MIN_THRESHOLD, LatencyTracker
from balancer.policy.request_state import RequestState
from balancer.policy.slow_start import WarmUpAllowance, capacity
from balancer.policy_api import EndpointHealth, EndpointId, Idempotency, Settings
from balancer.time_units import HOUR_NS, SECOND_NS

MIN_SUBSET_SIZE, MIN_FREE_SUBSET_SIZE = 4, 8  # when idle; where connections are priced, and where not
GROWTH = 1.5  # further endpoints for each request in flight, so that one is idle
CROWDED_IN_FLIGHT = 2  # requests in flight an endpoint at which the subset grows at once
PEAK_DECAY = 0.99  # the in-flight peak is forgotten this slowly a cycle, as connections cost
MAX_EJECTION_SHARE = 0.5  # at most this share of a subset is ejected: beyond that the trouble is shared
INITIAL_FAN_IN, MIN_FAN_IN = 16.0, 6.0  # any endpoint holds as many connections
FAN_IN_INCREASE, FAN_IN_DECREASE = 0.02, 0.8  # a cycle, and at a refused connect once a second at most
USUAL_FAILURE_RATE = 0.3  # failures that say nothing yet of an endpoint: a single one among answers
FAILURE_WEIGHTS = {Idempotency.NOT_IDEMPOTENT: 4.0}  # in latency objectives; 1 for what may be retried
ENDPOINTS_PER_KEY = 2  # with one alone a popular key would swamp it


class ZoneSubset:
    """The endpoints of the local zone, or of all others: by rank, and the subset that is in use."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.ranked: list[EndpointState] = []
        self.members: list[EndpointState] = []
        self.allowance = WarmUpAllowance(settings, random)
        self.fastest_probe_ns = 0  # of its health checks; 0: none yet


class SubsetSelector:
    """Chooses the subsets, and tracks the attempts at their endpoints and the connections to them."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        is_priced = settings.connection_price + settings.handshake_price > 0
        self._min_size = MIN_SUBSET_SIZE if is_priced else MIN_FREE_SUBSET_SIZE
        self._peak_in_flight, self.in_flight = 0.0, 0
        # The fan-in is how many sidecars are taken to hold connections to an endpoint. How many it accepts is
        # told nowhere, and a full table takes work from it: hence additive increase, multiplicative decrease.
        self.fan_in, self._fan_in_decreased_at_ns = INITIAL_FAN_IN, -HOUR_NS
        self.is_stale = True  # to be chosen anew before the next use
        self.connected: dict[EndpointId, EndpointState] = {}
        self.local, self.remote = ZoneSubset(settings, random), ZoneSubset(settings, random)

    def zone_of(self, endpoint: EndpointState) -> ZoneSubset:
        """Return the subset that an endpoint belongs to by its zone."""
        return self.local if endpoint.zone == self._settings.local_zone else self.remote

    def use_ranking(self, ranked: list[EndpointState]) -> None:
        """Choose from these endpoints from now on."""
        self.local.ranked = [e for e in ranked if self.zone_of(e) is self.local]
        self.remote.ranked = [e for e in ranked if self.zone_of(e) is self.remote]
        self.is_stale = True

    def refresh(self, now: int) -> None:
        """Choose the subsets anew if anything has changed."""
        if self.is_stale:
            self.select(now)

    def select(self, now: int) -> None:
        """Choose the first in rank that are not ejected; a warming one fills a part of a place."""
        self.is_stale = False
        size = self.target_size()
        for zone in (self.local, self.remote):
            zone.members = []
            ejected_count, filled = 0, 0.0
            max_ejected = MAX_EJECTION_SHARE * min(size, len(zone.ranked))  # of those that there are
            for endpoint in zone.ranked:
                if filled >= size:
                    break
                if endpoint.ejected_until_ns > now and ejected_count + 1 <= max_ejected:
                    ejected_count += 1
                else:
                    zone.members.append(endpoint)
                    filled += capacity(self._settings, endpoint, now)
            zone.allowance.use_subset(zone.members, now)

    def target_size(self) -> int:
        """Return the size of a subset: more as requests pile up, within the budget of connections."""
        wanted = self._min_size + int(GROWTH * self._peak_in_flight)
        return max(self._min_size, min(wanted, self._connections_per_zone()))

    def within_reach(self, zone: ZoneSubset) -> list[EndpointState]:
        """Return the endpoints that requests with key affinity go to."""
        return zone.ranked[: max(self._connections_per_zone(), len(zone.members))]

    def start_attempt(self, endpoint: EndpointState, is_overloaded: bool, now: int) -> bool:
        """Count an attempt and return whether it needs a new connection. A burst grows the subset at once."""
        if not endpoint.in_flight:
            endpoint.unanswered_since_ns = now
        endpoint.in_flight += 1
        self.in_flight += 1
        members = len(self.local.members) + len(self.remote.members)
        if self.in_flight > max(self._peak_in_flight, CROWDED_IN_FLIGHT * members) and not is_overloaded:
            self._peak_in_flight, self.is_stale = self.in_flight, True
        if endpoint.in_flight <= endpoint.connection_count * self._settings.streams_per_connection:
            return False
        endpoint.connection_count += 1
        self.connected[endpoint.id] = endpoint
        return True

    def end_attempt(self, endpoint: EndpointState) -> None:
        """Count the end of an attempt."""
        endpoint.in_flight -= 1
        self.in_flight -= 1

    def increase_fan_in(self) -> None:
        """Raise the fan-in by a cycle's step."""
        self.fan_in += FAN_IN_INCREASE

    def record_connect_failure(self, now: int) -> None:
        """Lower the fan-in."""
        if now - self._fan_in_decreased_at_ns >= SECOND_NS:
            self.fan_in = max(MIN_FAN_IN, self.fan_in * FAN_IN_DECREASE)
            self._fan_in_decreased_at_ns = now

    def end_cycle(self, is_overloaded: bool, now: int) -> None:
        """Choose the subsets anew, and let their warming endpoints earn attempts."""
        self._peak_in_flight *= PEAK_DECAY
        if not is_overloaded:  # in overload requests pile up: new connections would cost more yet
            self._peak_in_flight = max(self.in_flight, self._peak_in_flight)
        self.select(now)
        for zone in (self.local, self.remote):
            zone.allowance.end_cycle(len(zone.ranked), now)

    def take_surplus_connections(self) -> list[EndpointId]:
        """Return the ready endpoints that get nothing any more: connections kept would fill their tables."""
        kept = {endpoint.id for zone in (self.local, self.remote) for endpoint in zone.members}
        if self._settings.key_affinity:
            kept.update(e.id for zone in (self.local, self.remote) for e in self.within_reach(zone))
        surplus = [e for e in self.connected.values() if e.id not in kept and not e.in_flight]
        for endpoint in surplus:
            del self.connected[endpoint.id]
            endpoint.connection_count = 0
        return [endpoint.id for endpoint in surplus if endpoint.health == EndpointHealth.READY]

    def _connections_per_zone(self) -> int:
        """Return how many endpoints of a zone may hold connections of ours: our share of what all accept."""
        zone_count = bool(self.local.ranked) + bool(self.remote.ranked) or 1
        endpoint_count = len(self.local.ranked) + len(self.remote.ranked)
        return int(self.fan_in * endpoint_count / self._settings.instance_count / zone_count)


class EndpointPicker:
    """Picks by what the endpoints of a subset hold, and by what is known of them."""

    def __init__(self, settings: Settings, subsets: SubsetSelector, latency: LatencyTracker) -> None:
        self._settings, self._subsets = settings, subsets
        self._latency = latency
        self._objectives_ns = [c.latency_objective_ns for c in settings.classes]
        weights = [FAILURE_WEIGHTS.get(c.idempotency, 1.0) for c in settings.classes]
        self._failure_costs_ns = [t * w for t, w in zip(self._objectives_ns, weights, strict=True)]

    def pick(self, zone: ZoneSubset, request: RequestState, now: int) -> EndpointState | None:
        """Return the candidate that holds least, and of those the one expected to answer first."""
        index = request.class_index  # all are compared: of a few draws all are often slow
        return min(
            self.candidates(zone, request, now),
            key=lambda e: (self.load(e, index, now), self.expected_time_ns(e, index, now)),
            default=None,
        )

    def prefers_remote(self, remote: EndpointState, local: EndpointState, index: int, now: int) -> bool:
        """Return whether the remote endpoint holds so much less: the spillover ratio follows slowly."""
        margin = self._settings.cross_zone_price / MIN_THRESHOLD
        return self.load(remote, index, now) + margin < self.load(local, index, now)

    def candidates(self, zone: ZoneSubset, request: RequestState, now: int) -> list[EndpointState]:
        """Return the warm endpoints that may have the request: those that hold none of ours, else all."""
        key_hash = request.key_hash if self._settings.key_affinity else 0
        bound_to = request.deduplicating_endpoint
        pool = zone.ranked if bound_to else self._subsets.within_reach(zone) if key_hash else zone.members
        warm = [e for e in pool if e is not request.endpoint and capacity(self._settings, e, now) >= 1]
        if request.probe:
            warm = [e for e in warm if e not in request.probe.endpoints]
        if bound_to:
            scope = request.request_class.deduplication_scope
            warm = [e for e in warm if e.drops_duplicates_of(bound_to, scope)]
        if key_hash or bound_to:
            warm = [e for e in warm if e.ejected_until_ns <= now]
        if key_hash:  # by an order that all sidecars share
            warm = nsmallest(ENDPOINTS_PER_KEY, warm, key=lambda e: mix64(e.affinity_hash ^ key_hash))
        idle, index = [e for e in warm if not e.in_flight], request.class_index
        return [e for e in idle if e.expected_failure_rate(index, now) <= USUAL_FAILURE_RATE] or warm

    def load(self, endpoint: EndpointState, class_index: int, now: int) -> float:
        """Return what an endpoint holds, and more if it fails often: quick failures would draw the most."""
        excess = max(0.0, endpoint.expected_failure_rate(class_index, now) - USUAL_FAILURE_RATE)
        mean_time = self._latency.means_ns[class_index] or self._objectives_ns[class_index]
        return endpoint.in_flight + excess * self._failure_costs_ns[class_index] / mean_time

    def expected_time_ns(self, endpoint: EndpointState, class_index: int, now: int) -> float:
        """Return the expected time of a request, failures included; old estimates fade to the mean."""
        mean_time = self._latency.means_ns[class_index]
        if not endpoint.last_answer_ns:
            return mean_time
        ratio = 1 + (endpoint.latency_ratio - 1) * freshness(endpoint.last_answer_ns, now)
        failure_rate = endpoint.expected_failure_rate(class_index, now)
        return mean_time * ratio + failure_rate * self._failure_costs_ns[class_index]

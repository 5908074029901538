"""Subsetting: the part of the ranked endpoints that this sidecar sends requests to.

There are two subsets: "local" is chosen from the endpoints of the local zone, "remote" from those of all
other zones.
"""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.selection.attempt_accounting import AttemptAccounting
from balancer.policy.selection.connection_budget import ConnectionBudget
from balancer.policy.selection.slow_start import WarmUpTokenBucket, capacity
from balancer.policy_api import EndpointId, Settings

MIN_SUBSET_SIZE_PRICED = 4
"""Size of a subset without load (endpoints) if the settings give connections or handshakes a price."""

MIN_SUBSET_SIZE_UNPRICED = 8
"""Size of a subset without load (endpoints) if the settings give them no price."""

ENDPOINTS_PER_PEAK_ATTEMPT = 1.5
"""Additional endpoints of a subset per attempt in flight at the peak, so that some are likely to be idle."""

BURST_IN_FLIGHT_PER_ENDPOINT = 2
"""Attempts in flight per endpoint of the subsets above which they grow before the control cycle ends."""

MAX_EJECTION_SHARE = 0.5
"""Largest number of ejected endpoints that a subset leaves out, as a share of its target size.

If more endpoints fail, they are likely to have a common cause.
"""


class ZoneSubset:
    """The ranked endpoints of the local zone, or of all other zones, and the subset of them in use."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.ranked: list[EndpointState] = []
        self.members: list[EndpointState] = []
        self.warm_up_bucket = WarmUpTokenBucket(settings, random)
        self.fastest_health_check_ns = 0
        """Duration of the fastest successful health check (ns); 0 if there was none."""

    def record_health_check_duration(self, duration_ns: int) -> None:
        """Record how long a successful health check took."""
        self.fastest_health_check_ns = min(self.fastest_health_check_ns or duration_ns, duration_ns)


class SubsetSelector:
    """Selects the subset of the local endpoints and the subset of the remote ones."""

    def __init__(
        self, settings: Settings, random: Random, accounting: AttemptAccounting, budget: ConnectionBudget
    ) -> None:
        self._settings = settings
        self._accounting = accounting
        self._budget = budget
        has_connection_price = settings.connection_price + settings.handshake_price > 0
        self._min_size = MIN_SUBSET_SIZE_PRICED if has_connection_price else MIN_SUBSET_SIZE_UNPRICED
        self._is_stale = True
        self.local = ZoneSubset(settings, random)
        self.remote = ZoneSubset(settings, random)

    def subset_of(self, endpoint: EndpointState) -> ZoneSubset:
        """Return the local or the remote subset, by the zone of an endpoint."""
        return self.local if endpoint.zone == self._settings.local_zone else self.remote

    def set_ranking(self, ranked: list[EndpointState]) -> None:
        """Set the endpoints to select from, in the order of preference."""
        self.local.ranked = [endpoint for endpoint in ranked if self.subset_of(endpoint) is self.local]
        self.remote.ranked = [endpoint for endpoint in ranked if self.subset_of(endpoint) is self.remote]
        self.mark_stale()

    def mark_stale(self) -> None:
        """Mark the subsets as out of date, so that they are selected again before their next use."""
        self._is_stale = True

    def refresh(self, now_ns: int) -> None:
        """Select the subsets if they are out of date."""
        if self._is_stale:
            self.select(now_ns)

    def select(self, now_ns: int) -> None:
        """Select both subsets by the present load, ejections and capacities."""
        self._is_stale = False
        size = self.target_size()
        for zone in (self.local, self.remote):
            zone.members = self._select_members(zone.ranked, size, now_ns)
            zone.warm_up_bucket.set_members(zone.members, now_ns)

    def target_size(self) -> int:
        """Return the size of a subset: it grows with the attempts in flight, within the connection budget."""
        wanted = self._min_size + int(ENDPOINTS_PER_PEAK_ATTEMPT * self._accounting.peak_in_flight)
        return max(self._min_size, min(wanted, self._endpoints_per_zone()))

    def reachable_endpoints(self, zone: ZoneSubset) -> list[EndpointState]:
        """Return the endpoints that requests with key affinity may go to, within the connection budget."""
        return zone.ranked[: max(self._endpoints_per_zone(), len(zone.members))]

    def grow_in_burst(self, is_overloaded: bool) -> None:
        """Have the subsets grow at once if they have too many attempts in flight, except during overload."""
        member_count = len(self.local.members) + len(self.remote.members)
        limit = max(self._accounting.peak_in_flight, BURST_IN_FLIGHT_PER_ENDPOINT * member_count)
        if self._accounting.in_flight > limit and not is_overloaded:
            self._accounting.raise_peak()
            self.mark_stale()

    def end_cycle(self, is_overloaded: bool, now_ns: int) -> None:
        """Select the subsets by the load of the control cycle, and refill their token buckets."""
        self._accounting.end_cycle(is_overloaded)
        self.select(now_ns)
        for zone in (self.local, self.remote):
            zone.warm_up_bucket.end_cycle(len(zone.ranked), now_ns)

    def retained_ids(self) -> set[EndpointId]:
        """Return the ids of the endpoints whose idle connections stay open."""
        zones = (self.local, self.remote)
        retained = {endpoint.id for zone in zones for endpoint in zone.members}
        if self._settings.key_affinity:
            retained.update(endpoint.id for zone in zones for endpoint in self.reachable_endpoints(zone))
        return retained

    def _select_members(self, ranked: list[EndpointState], size: int, now_ns: int) -> list[EndpointState]:
        """Return the first endpoints that are not ejected and together have the capacity of `size` warm ones.

        An endpoint that is warming up counts by its capacity. At most MAX_EJECTION_SHARE of the endpoints are
        left out as ejected.
        """
        members: list[EndpointState] = []
        ejected_count = 0
        max_ejected = MAX_EJECTION_SHARE * min(size, len(ranked))
        total_capacity = 0.0
        for endpoint in ranked:
            if total_capacity >= size:
                break
            if endpoint.ejection.until_ns > now_ns and ejected_count + 1 <= max_ejected:
                ejected_count += 1
            else:
                members.append(endpoint)
                total_capacity += capacity(self._settings, endpoint, now_ns)
        return members

    def _endpoints_per_zone(self) -> int:
        return self._budget.endpoints_per_zone(len(self.local.ranked), len(self.remote.ranked))

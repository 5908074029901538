"""Load probing: idle endpoints are health-checked for a request, and the fastest one gets it."""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.requests.request_state import LoadProbe, RequestState
from balancer.policy.selection.endpoint_picker import EndpointPicker
from balancer.policy.selection.subset import SubsetSelector, ZoneSubset
from balancer.policy.timer_tokens import encode_probe_round
from balancer.policy_api import Action, EndpointId, SetTimer, Settings, StartHealthCheck
from balancer.time_units import SECOND_NS

ENDPOINTS_PER_ROUND = 2
"""Endpoints probed per round and zone: the power of two choices."""

DRAWN_PER_PROBED_ENDPOINT = 2
"""Endpoints drawn at random for each one that is probed; those expected to be slower are dropped."""

ROUND_TIMEOUT_TICKS = 3
"""Scheduling ticks, beyond the fastest known answer, in which an idle endpoint would have answered."""

MAX_ROUNDS = 4
"""Rounds per request: together about 0.1 s, which is short of usual latency objectives."""

MAX_SIDECAR_PAUSE_NS = 2.2 * SECOND_NS
"""Longest pause of a sidecar that is expected (ns): a request that waits for a probe must not expire."""


class LoadProbing:
    """Starts rounds of probes, and knows which requests wait for the answer of which endpoint."""

    def __init__(
        self, settings: Settings, random: Random, subsets: SubsetSelector, picker: EndpointPicker
    ) -> None:
        # With gossip, load is shed in time. Without load reports, a health check may bypass the queue.
        has_load_reports = bool(settings.load_report_fields) and not settings.gossip_enabled
        self.is_enabled = settings.health_checks_enabled and has_load_reports
        self._tick_ns = settings.scheduling_tick_ns
        self._random = random
        self._subsets = subsets
        self._picker = picker
        self._waiting_request_ids: dict[EndpointId, list[int]] = {}
        """Ids of the requests that wait for the answer of an endpoint."""

    def allows_round(self, request: RequestState, now_ns: int) -> bool:
        """Return whether a request may wait for a further round, even if the sidecar is paused meanwhile."""
        rounds = request.probe.rounds if request.probe else 0
        return rounds < MAX_ROUNDS and request.expires_at_ns - now_ns >= MAX_SIDECAR_PAUSE_NS

    def start_round(self, request: RequestState, may_cross_zones: bool, now_ns: int) -> list[Action]:
        """Return the actions that probe idle endpoints; none if no endpoint was ever probed for the request.

        The first round probes one zone, later ones both if the request may cross zones.
        """
        probe = request.probe or LoadProbe()
        zone = self._subsets.remote if may_cross_zones else self._subsets.local
        probes_both = may_cross_zones and probe.rounds > 0
        actions: list[Action] = []
        for probed_zone in (self._subsets.local, zone) if probes_both else (zone,):
            for endpoint in self._draw_endpoints(probed_zone, request, now_ns):
                if endpoint.id not in self._waiting_request_ids:
                    actions.append(StartHealthCheck(endpoint.id))
                self._waiting_request_ids.setdefault(endpoint.id, []).append(request.id)
                probe.add_endpoint(endpoint)
        if not probe.endpoints:
            return []
        request.probe = probe
        probe.rounds += 1
        delay_ns = ROUND_TIMEOUT_TICKS * self._tick_ns + zone.fastest_health_check_ns
        actions.append(SetTimer(delay_ns, encode_probe_round(request.id)))
        return actions

    def take_waiting_requests(self, endpoint_id: EndpointId) -> list[int]:
        """Return the ids of the requests that wait for an endpoint, and forget them."""
        return self._waiting_request_ids.pop(endpoint_id, [])

    def record_response(self, probe: LoadProbe, endpoint: EndpointState, duration_ns: int) -> None:
        """Keep the endpoint if its answer exceeds the fastest one of its zone by the least time so far."""
        zone = self._subsets.subset_of(endpoint)
        fastest_zone = self._subsets.remote if probe.fastest_is_remote else self._subsets.local
        fastest_excess_ns = probe.fastest_duration_ns - fastest_zone.fastest_health_check_ns
        if duration_ns - zone.fastest_health_check_ns < fastest_excess_ns:
            probe.set_fastest(endpoint, duration_ns, is_remote=zone is self._subsets.remote)

    def _draw_endpoints(self, zone: ZoneSubset, request: RequestState, now_ns: int) -> list[EndpointState]:
        """Draw idle endpoints at random, and return those of them that are expected to answer first."""
        candidates = self._picker.candidates(zone, request, now_ns)
        idle = [endpoint for endpoint in candidates if not endpoint.in_flight]
        drawn = self._random.sample(idle, min(DRAWN_PER_PROBED_ENDPOINT * ENDPOINTS_PER_ROUND, len(idle)))
        drawn.sort(key=lambda endpoint: self._picker.expected_time_ns(endpoint, request.class_index, now_ns))
        return drawn[:ENDPOINTS_PER_ROUND]

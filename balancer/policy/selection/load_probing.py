"""Load probing: for a request, idle endpoints get a health check, and the request goes to the fastest one.

A sidecar with few requests cannot infer the load of an endpoint from its own attempts in flight. A probe is a
health check that is sent for this purpose; probes are sent in rounds.
"""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.requests.request_state import LoadProbe, RequestState
from balancer.policy.selection.endpoint_picker import EndpointPicker
from balancer.policy.selection.subset import SubsetSelector, ZoneSubset
from balancer.policy.timer_tokens import encode_probe_round
from balancer.policy_api import Action, EndpointId, SetTimer, Settings, StartHealthCheck
from balancer.time_units import SECOND_NS

ENDPOINTS_PER_ROUND = 2
"""Number of endpoints probed per round and zone: the power of two choices."""

DRAWN_PER_PROBED_ENDPOINT = 2
"""Number of endpoints drawn at random for each probed one; the ones expected to be slower are dropped."""

ROUND_TIMEOUT_TICKS = 3
"""Timeout of a round (scheduling ticks) beyond the duration of the fastest health check of the zone.

An idle endpoint responds within that time.
"""

MAX_ROUNDS = 4
"""Largest number of rounds per request: together they take about 0.1 s, less than usual objectives."""

MAX_SIDECAR_PAUSE_NS = 2.2 * SECOND_NS
"""Longest expected pause of a sidecar (ns): a request must not expire while it waits for a probe."""


class LoadProbing:
    """Starts rounds of probes, and records which requests wait for the response of which endpoint."""

    def __init__(
        self, settings: Settings, random: Random, subsets: SubsetSelector, picker: EndpointPicker
    ) -> None:
        # With gossip, requests are rejected early enough without probes. If endpoints send no load reports, a
        # health check may bypass their queue.
        is_useful = bool(settings.load_report_fields) and not settings.gossip_enabled
        self.is_enabled = settings.health_checks_enabled and is_useful
        self._tick_ns = settings.scheduling_tick_ns
        self._random = random
        self._subsets = subsets
        self._picker = picker
        self._waiting_request_ids: dict[EndpointId, list[int]] = {}
        """Ids of the requests that wait for the response of an endpoint, by its id."""

    def allows_round(self, request: RequestState, now_ns: int) -> bool:
        """Return whether a request may wait for a further round, even if the sidecar is paused meanwhile."""
        rounds = request.probe.rounds if request.probe else 0
        return rounds < MAX_ROUNDS and request.expires_at_ns - now_ns >= MAX_SIDECAR_PAUSE_NS

    def start_round(self, request: RequestState, may_cross_zones: bool, now_ns: int) -> list[Action]:
        """Start a round for a request, and return the health checks and the timer that it needs.

        The first round probes the remote endpoints if `may_cross_zones` is set, else the local ones; later
        rounds probe both if it is set. The result is empty if no endpoint was ever probed for the request.
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
        """Return the ids of the requests that wait for an endpoint, and remove them from the waiting ones."""
        return self._waiting_request_ids.pop(endpoint_id, [])

    def record_response(self, probe: LoadProbe, endpoint: EndpointState, duration_ns: int) -> None:
        """Record a healthy response to a probe; the request goes to the endpoint with the smallest excess.

        The excess is the time beyond the fastest known health check of the endpoint's zone: it does not
        include the network delay to the zone.
        """
        zone = self._subsets.subset_of(endpoint)
        fastest_zone = self._subsets.remote if probe.fastest_is_remote else self._subsets.local
        fastest_excess_ns = probe.fastest_duration_ns - fastest_zone.fastest_health_check_ns
        if duration_ns - zone.fastest_health_check_ns < fastest_excess_ns:
            probe.set_fastest(endpoint, duration_ns, is_remote=zone is self._subsets.remote)

    def _draw_endpoints(self, zone: ZoneSubset, request: RequestState, now_ns: int) -> list[EndpointState]:
        """Draw idle endpoints at random, and return those of them that are expected to respond first."""
        candidates = self._picker.candidates(zone, request, now_ns)
        idle = [endpoint for endpoint in candidates if not endpoint.in_flight]
        drawn = self._random.sample(idle, min(DRAWN_PER_PROBED_ENDPOINT * ENDPOINTS_PER_ROUND, len(idle)))
        drawn.sort(key=lambda endpoint: self._picker.expected_time_ns(endpoint, request.class_index, now_ns))
        return drawn[:ENDPOINTS_PER_ROUND]

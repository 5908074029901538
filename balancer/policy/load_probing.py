"""Active probing of load: idle endpoints are health-checked, and the quickest gets the request."""

from random import Random

from balancer.policy.endpoint_state import EndpointState
from balancer.policy.request_state import LoadProbe, RequestState
from balancer.policy.subset import EndpointPicker, SubsetSelector
from balancer.policy_api import Action, EndpointId, SetTimer, Settings, StartHealthCheck
from balancer.time_units import SECOND_NS

ENDPOINTS_PER_ROUND = 2  # the second choice brings most of the gain
ROUND_TICKS = 3  # turns, beyond the way there and back, after which an idle endpoint would have answered
PROBE_TIMER_OFFSET = 1  # token of the timer that ends a round: the request's id and this
MAX_ROUNDS = 4  # a tenth of a second, short of any usual objective
MAX_STALL_NS = 2.2 * SECOND_NS  # a request held while a sidecar stands still is lost; longer is unheard of


class LoadProbing:
    """The rounds of probing, and the requests that wait for the answer of each endpoint."""

    def __init__(
        self, settings: Settings, random: Random, subsets: SubsetSelector, picker: EndpointPicker
    ) -> None:
        # Gossip sheds in time, and where no load is reported checks may be answered beside the queue.
        has_reports = bool(settings.load_report_fields) and not settings.gossip_enabled
        self.is_enabled = settings.health_checks_enabled and has_reports
        self.waiting: dict[EndpointId, list[int]] = {}
        self._tick_ns, self._random = settings.scheduling_tick_ns, random
        self._subsets, self._picker = subsets, picker

    def allows_round(self, request: RequestState, now: int) -> bool:
        """Return whether a further round may be started: not if a stall could lose the held request."""
        rounds = request.probe.rounds if request.probe else 0
        return rounds < MAX_ROUNDS and request.expires_at_ns - now >= MAX_STALL_NS

    def start_round(self, request: RequestState, may_cross: bool, now: int) -> list[Action]:
        """Probe some idle endpoints, in later rounds of both zones; nothing if no round has found any."""
        probe = request.probe or LoadProbe()
        zone = self._subsets.remote if may_cross else self._subsets.local
        actions: list[Action] = []
        for probed_zone in (self._subsets.local, zone) if may_cross and probe.rounds else (zone,):
            idle = [e for e in self._picker.candidates(probed_zone, request, now) if not e.in_flight]
            drawn = self._random.sample(idle, min(2 * ENDPOINTS_PER_ROUND, len(idle)))
            drawn.sort(key=lambda e: self._picker.expected_time_ns(e, request.class_index, now))
            for endpoint in drawn[:ENDPOINTS_PER_ROUND]:
                if endpoint.id not in self.waiting:
                    actions.append(StartHealthCheck(endpoint.id))
                self.waiting.setdefault(endpoint.id, []).append(request.id)
                probe.endpoints.append(endpoint)
                probe.unanswered += 1
        if not probe.endpoints:
            return []
        request.probe = probe
        probe.rounds += 1
        delay_ns = ROUND_TICKS * self._tick_ns + zone.fastest_probe_ns
        return [*actions, SetTimer(delay_ns, request.id + PROBE_TIMER_OFFSET)]

    def record_answer(self, probe: LoadProbe, endpoint: EndpointState, duration_ns: int) -> None:
        """Keep the quickest answer to a request's probes, beyond the fastest ever of the endpoint's zone."""
        zone, remote = self._subsets.zone_of(endpoint), self._subsets.remote
        fastest_zone = remote if probe.fastest_is_remote else self._subsets.local
        excess = probe.fastest_duration_ns - fastest_zone.fastest_probe_ns
        if duration_ns - zone.fastest_probe_ns < excess:
            probe.fastest, probe.fastest_duration_ns = endpoint, duration_ns
            probe.fastest_is_remote = zone is remote

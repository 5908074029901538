"""The rounds of load probing for a request: their start, the responses to the probes, and their end."""

from balancer import policy_api as api
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.requests.attempt_dispatcher import AttemptDispatcher
from balancer.policy.requests.request_state import RequestState
from balancer.policy.selection.load_probing import LoadProbing
from balancer.policy.selection.subset import SubsetSelector
from balancer.policy.selection.zone_router import ZoneRouter
from balancer.policy.timer_tokens import encode_probe_round
from balancer.policy_api import EndpointHealth

FIRST_RESPONSE_DELAY_NS = 1
"""Delay from the first response to the end of the round (ns).

Other responses that arrive in the same scheduling tick are still compared with the first one.
"""


class ProbeRounds:
    """Delays requests while endpoints are probed for them, and then dispatches them."""

    def __init__(
        self,
        requests: dict[int, RequestState],
        actions: list[api.Action],
        subsets: SubsetSelector,
        load_probing: LoadProbing,
        router: ZoneRouter,
        dispatcher: AttemptDispatcher,
    ) -> None:
        self._requests = requests
        self._actions = actions
        self._subsets = subsets
        self._load_probing = load_probing
        self._router = router
        self._dispatcher = dispatcher

    def start(self, request: RequestState, now_ns: int) -> bool:
        """Start a round for a request, or dispatch it to an endpoint that is warming up.

        Returns:
            Whether either was possible; otherwise the request has to be dispatched without probing.
        """
        if not self._load_probing.is_enabled:
            return False
        self._subsets.refresh(now_ns)
        if not self._load_probing.allows_round(request, now_ns):
            return False
        may_cross = self._router.may_cross_zones(request)
        if request.probe is None:
            may_cross = may_cross and self._router.draw_spillover()
            zone = self._subsets.remote if may_cross else self._subsets.local
            endpoint = zone.warm_up_bucket.draw_endpoint(now_ns)
            if endpoint is not None:
                self._dispatcher.dispatch(request, endpoint, now_ns)
                return True
        actions = self._load_probing.start_round(request, may_cross, now_ns)
        self._actions += actions
        return bool(actions)

    def end_by_timer(self, request_id: int, now_ns: int) -> None:
        """End the round of a request when its timer fires, unless it has been dispatched already."""
        request = self._requests.get(request_id)
        if request is not None and not request.attempt_count:
            self._end(request, now_ns)

    def record_response(
        self, request_id: int, endpoint: EndpointState, is_healthy: bool, duration_ns: int, now_ns: int
    ) -> None:
        """Record the result of a probe for a request.

        The first healthy response starts a timer that shortens the round. The round ends at once if no probe
        is outstanding and at least one response was healthy.
        """
        request = self._requests.get(request_id)
        if request is None or request.attempt_count or request.probe is None:
            return
        probe = request.probe
        probe.record_result()
        if is_healthy:
            if probe.fastest is None:
                timer = api.SetTimer(FIRST_RESPONSE_DELAY_NS, encode_probe_round(request_id))
                self._actions.append(timer)
            self._load_probing.record_response(probe, endpoint, duration_ns)
        if not probe.pending_count and probe.fastest is not None:
            self._end(request, now_ns)

    def _end(self, request: RequestState, now_ns: int) -> None:
        """Dispatch a request to the fastest endpoint.

        Without a healthy response from an endpoint that is still ready, another round starts; if none can
        start, the request is dispatched without probing. An expired request gets its final response.
        """
        fastest = request.probe.fastest if request.probe else None
        if now_ns >= request.expires_at_ns:
            self._dispatcher.send_final_response(request, now_ns)
        elif fastest is not None and fastest.health == EndpointHealth.READY:
            self._dispatcher.dispatch(request, fastest, now_ns)
        elif not self.start(request, now_ns):
            self._dispatcher.dispatch(request, self._router.choose(request, now_ns), now_ns)

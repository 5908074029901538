"""The rounds of load probing in the life cycle of a request: their start, the answers and their end."""

from balancer import policy_api as api
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.requests.attempt_dispatcher import AttemptDispatcher
from balancer.policy.requests.request_state import RequestState
from balancer.policy.selection.load_probing import LoadProbing
from balancer.policy.selection.subset import SubsetSelector
from balancer.policy.selection.zone_router import ZoneRouter
from balancer.policy.timer_tokens import encode_probe_round
from balancer.policy_api import EndpointHealth

FIRST_ANSWER_DELAY_NS = 1
"""Delay after the first answer (ns): other answers of the same scheduling tick are compared with it."""


class ProbeRounds:
    """Holds requests while endpoints are probed for them, and then sends them."""

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
        """Start a round for a request, or send it to an endpoint that is warming up.

        Returns:
            Whether either was possible; otherwise the request has to be sent without probing.
        """
        if not self._load_probing.is_enabled:
            return False
        self._subsets.refresh(now_ns)
        if not self._load_probing.allows_round(request, now_ns):
            return False
        may_cross = self._router.may_cross_zones(request)
        if request.probe is None:
            may_cross = may_cross and self._router.spills_over()
            zone = self._subsets.remote if may_cross else self._subsets.local
            endpoint = zone.allowance.take(now_ns)
            if endpoint is not None:
                self._dispatcher.dispatch(request, endpoint, now_ns)
                return True
        actions = self._load_probing.start_round(request, may_cross, now_ns)
        self._actions += actions
        return bool(actions)

    def end_by_timer(self, request_id: int, now_ns: int) -> None:
        """End the round of a request, unless it has been sent already."""
        request = self._requests.get(request_id)
        if request is not None and not request.attempt_count:
            self._end(request, now_ns)

    def record_answer(
        self, request_id: int, endpoint: EndpointState, is_healthy: bool, duration_ns: int, now_ns: int
    ) -> None:
        """Record the answer of an endpoint that was probed for a request."""
        request = self._requests.get(request_id)
        if request is None or request.attempt_count or request.probe is None:
            return
        probe = request.probe
        probe.record_result()
        if is_healthy:
            if probe.fastest is None:
                timer = api.SetTimer(FIRST_ANSWER_DELAY_NS, encode_probe_round(request_id))
                self._actions.append(timer)
            self._load_probing.record_answer(probe, endpoint, duration_ns)
        if not probe.pending_count and probe.fastest is not None:
            self._end(request, now_ns)

    def _end(self, request: RequestState, now_ns: int) -> None:
        """Send a request to the fastest endpoint, or go on without an answer."""
        fastest = request.probe.fastest if request.probe else None
        if now_ns >= request.expires_at_ns:
            self._dispatcher.send_final_response(request, now_ns)
        elif fastest is not None and fastest.health == EndpointHealth.READY:
            self._dispatcher.dispatch(request, fastest, now_ns)
        elif not self.start(request, now_ns):
            self._dispatcher.dispatch(request, self._router.choose(request, now_ns), now_ns)

"""The arrival of requests: admission control and the first attempt."""

from balancer import policy_api as api
from balancer.policy.overload.admission import AdmissionControl
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.requests.attempt_dispatcher import AttemptDispatcher
from balancer.policy.requests.request_state import RequestState
from balancer.policy.requests.retry import RetryPolicy
from balancer.policy.selection.probe_rounds import ProbeRounds
from balancer.policy.selection.zone_router import ZoneRouter


class RequestArrivalHandler:
    """Admits or rejects arriving requests."""

    def __init__(
        self,
        request_classes: tuple[api.RequestClass, ...],
        requests: dict[int, RequestState],
        overload: OverloadDetector,
        admission: AdmissionControl,
        retry: RetryPolicy,
        router: ZoneRouter,
        dispatcher: AttemptDispatcher,
        probe_rounds: ProbeRounds,
    ) -> None:
        self._request_classes = request_classes
        self._requests = requests
        self._overload = overload
        self._admission = admission
        self._retry = retry
        self._router = router
        self._dispatcher = dispatcher
        self._probe_rounds = probe_rounds

    def handle(self, now_ns: int, event: api.RequestReceived) -> None:
        """Start an attempt for a request that is admitted, and send the final response to any other.

        A request below the admission threshold may still go to an endpoint that is warming up.
        """
        request_class = self._request_classes[event.class_index]
        request = RequestState(event, request_class, now_ns)
        self._requests[request.id] = request
        self._overload.spillover.record_request(request_class)
        priority = self._admission.classify(event, now_ns)
        if event.expires_at_ns <= now_ns or self._retry.is_client_retry_too_late(event, now_ns):
            self._dispatcher.send_final_response(request, now_ns)
        elif priority < self._admission.threshold:
            self._dispatcher.dispatch(request, self._router.choose_warming(request, now_ns), now_ns)
        else:
            self._retry.add_tokens()
            if not self._probe_rounds.start(request, now_ns):
                self._dispatcher.dispatch(request, self._router.choose(request, now_ns), now_ns)

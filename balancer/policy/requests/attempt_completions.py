"""The end of attempts: the outcome is recorded, then the request is retried or gets its final response."""

from balancer import policy_api as api
from balancer.policy.endpoints.membership import Membership
from balancer.policy.requests.attempt_dispatcher import AttemptDispatcher
from balancer.policy.requests.outcome_recorder import OutcomeRecorder
from balancer.policy.requests.request_state import RequestState
from balancer.policy.requests.retry import RetryPolicy
from balancer.policy.selection.attempt_accounting import AttemptAccounting
from balancer.policy.selection.zone_router import ZoneRouter


class AttemptCompletionHandler:
    """Handles the end of attempts."""

    def __init__(
        self,
        requests: dict[int, RequestState],
        membership: Membership,
        accounting: AttemptAccounting,
        outcomes: OutcomeRecorder,
        retry: RetryPolicy,
        router: ZoneRouter,
        dispatcher: AttemptDispatcher,
    ) -> None:
        self._requests = requests
        self._membership = membership
        self._accounting = accounting
        self._outcomes = outcomes
        self._retry = retry
        self._router = router
        self._dispatcher = dispatcher

    def handle(self, now_ns: int, event: api.AttemptCompleted) -> None:
        """Record the outcome of an attempt; if its request is not finished, retry it or send a response."""
        request = self._requests.get(event.request_id)
        endpoint = self._membership.endpoints.get(event.endpoint_id)
        if endpoint is not None and endpoint.in_flight:
            self._accounting.record_end(endpoint)
            self._outcomes.record(endpoint, event, request, now_ns)
            self._membership.drop_if_unused(endpoint)
        if request is None or event.request_finished:
            self._requests.pop(event.request_id, None)
            return
        if event.outcome not in api.OUTCOMES_NEVER_EXECUTED:
            request.record_possible_execution()
        if self._retry.allows_retry(request, event.outcome, now_ns):
            self._retry.take_token()
            self._dispatcher.dispatch(request, self._router.choose(request, now_ns), now_ns)
        else:
            self._dispatcher.send_final_response(request, now_ns)

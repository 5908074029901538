"""The start of attempts, and the final responses to requests that get no further attempt."""

from balancer import policy_api as api
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.control_cycle import ControlCycle
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.requests.request_state import RequestState
from balancer.policy.requests.retry import RetryPolicy
from balancer.policy.selection.attempt_accounting import AttemptAccounting
from balancer.policy.selection.subset import SubsetSelector


class AttemptDispatcher:
    """Starts attempts and sends final responses."""

    def __init__(
        self,
        requests: dict[int, RequestState],
        actions: list[api.Action],
        accounting: AttemptAccounting,
        subsets: SubsetSelector,
        overload: OverloadDetector,
        retry: RetryPolicy,
        control_cycle: ControlCycle,
    ) -> None:
        self._requests = requests
        self._actions = actions
        self._accounting = accounting
        self._subsets = subsets
        self._overload = overload
        self._retry = retry
        self._control_cycle = control_cycle

    def dispatch(self, request: RequestState, endpoint: EndpointState | None, now_ns: int) -> None:
        """Start an attempt at the endpoint; if there is none, send the final response."""
        if endpoint is None:
            self.send_final_response(request, now_ns)
            return
        needs_connection = self._accounting.record_start(endpoint, now_ns)
        self._subsets.grow_in_burst(self._overload.is_overloaded)
        request.start_attempt(endpoint, needs_connection, now_ns)
        self._overload.record_attempt(endpoint)
        self._actions.append(
            api.StartAttempt(
                request.id,
                endpoint.id,
                timeout_ns=self._retry.attempt_timeout_ns(request, now_ns),
                start_before_ns=request.deduplicated_until_ns,
            )
        )
        self._control_cycle.run_if_attempt_limit_reached(now_ns)

    def send_final_response(self, request: RequestState, now_ns: int) -> None:
        """Reject or fail a request that no endpoint served, and forget it."""
        del self._requests[request.id]
        self._actions.append(self._retry.final_response(request, now_ns))

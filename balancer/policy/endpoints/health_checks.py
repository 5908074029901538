"""The handling of completed health checks, which decide about ejections and serve as load probes."""

from balancer.policy.endpoints.membership import Membership
from balancer.policy.endpoints.outlier_detection import OutlierDetector
from balancer.policy.selection.load_probing import LoadProbing
from balancer.policy.selection.probe_rounds import ProbeRounds
from balancer.policy.selection.subset import SubsetSelector
from balancer.policy_api import AttemptOutcome, HealthCheckCompleted


class HealthCheckHandler:
    """Passes the result of a health check to outlier detection and to load probing."""

    def __init__(
        self,
        membership: Membership,
        subsets: SubsetSelector,
        outliers: OutlierDetector,
        load_probing: LoadProbing,
        probe_rounds: ProbeRounds,
    ) -> None:
        self._membership = membership
        self._subsets = subsets
        self._outliers = outliers
        self._load_probing = load_probing
        self._probe_rounds = probe_rounds

    def handle(self, now_ns: int, event: HealthCheckCompleted) -> None:
        """Record the result for the endpoint and for all requests that wait for this probe."""
        waiting_request_ids = self._load_probing.take_waiting_requests(event.endpoint_id)
        endpoint = self._membership.endpoints.get(event.endpoint_id)
        if endpoint is None:
            return
        is_healthy = event.outcome == AttemptOutcome.SUCCESS
        self._outliers.record_health_check(endpoint, is_healthy, now_ns)
        if is_healthy:
            self._subsets.subset_of(endpoint).record_health_check_duration(event.duration_ns)
        for request_id in waiting_request_ids:
            self._probe_rounds.record_response(request_id, endpoint, is_healthy, event.duration_ns, now_ns)

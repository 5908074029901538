"""The periodic maintenance of endpoints: subsets, idle connections, ejections and the endpoint list."""

from balancer import policy_api as api
from balancer.policy.endpoints.membership import Membership
from balancer.policy.endpoints.outlier_detection import OutlierDetector
from balancer.policy.selection.attempt_accounting import AttemptAccounting
from balancer.policy.selection.subset import SubsetSelector


class EndpointMaintenance:
    """Maintains the endpoints each time the timer of the control cycle fires, every `CYCLE_NS`.

    A control cycle that ends earlier, by its number of attempts, is not followed by maintenance.
    """

    def __init__(
        self,
        membership: Membership,
        accounting: AttemptAccounting,
        subsets: SubsetSelector,
        outliers: OutlierDetector,
    ) -> None:
        self._membership = membership
        self._accounting = accounting
        self._subsets = subsets
        self._outliers = outliers

    def run(self, is_overloaded: bool, now_ns: int) -> list[api.Action]:
        """Select the subsets, eject unresponsive endpoints and return the actions that follow.

        These close idle connections, start health checks of ejected endpoints and poll discovery.
        """
        self._subsets.end_cycle(is_overloaded, now_ns)
        to_close = self._accounting.release_connections(self._subsets.retained_ids())
        to_check = self._outliers.check(self._membership.endpoints.values(), now_ns)
        actions: list[api.Action] = [api.CloseIdleConnections(endpoint_id) for endpoint_id in to_close]
        actions += [api.StartHealthCheck(endpoint_id) for endpoint_id in to_check]
        if self._membership.polling.is_due(now_ns):
            actions.append(api.WatchEndpoints(True))
        return actions

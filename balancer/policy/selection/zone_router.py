"""Zone routing: whether a request goes to an endpoint of the local zone or of another one, and to which."""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.requests.request_state import RequestState
from balancer.policy.selection.endpoint_picker import EndpointPicker
from balancer.policy.selection.subset import SubsetSelector, ZoneSubset


class ZoneRouter:
    """Chooses the zone and the endpoint for an attempt."""

    def __init__(
        self, random: Random, subsets: SubsetSelector, picker: EndpointPicker, overload: OverloadDetector
    ) -> None:
        self._random = random
        self._subsets = subsets
        self._picker = picker
        self._overload = overload

    def may_cross_zones(self, request: RequestState) -> bool:
        """Return whether there are remote endpoints and the request's weight exceeds the cross-zone price."""
        has_remote = bool(self._subsets.remote.members)
        return has_remote and self._overload.spillover.is_worth_crossing(request.request_class)

    def draw_spillover(self) -> bool:
        """Draw at random whether a request goes to another zone; the probability is the spillover ratio."""
        return self._random.random() < self._overload.spillover.ratio

    def choose(self, request: RequestState, now_ns: int) -> EndpointState | None:
        """Return the endpoint for the next attempt of a request, or None if there is none.

        The first attempt may go to an endpoint that is warming up; a retry needs a warm one.
        """
        self._subsets.refresh(now_ns)
        local = self._subsets.local
        remote = self._subsets.remote
        if not self.may_cross_zones(request):
            return self._choose_from_subset(local, request, now_ns)
        if not local.members or self.draw_spillover():
            return self._choose_from_subset(remote, request, now_ns)
        local_endpoint = self._choose_from_subset(local, request, now_ns)
        remote_endpoint = self._picker.pick(remote, request, now_ns)
        if local_endpoint is None or remote_endpoint is None:
            return local_endpoint or remote_endpoint
        class_index = request.class_index
        prefers_remote = self._picker.prefers_remote(remote_endpoint, local_endpoint, class_index, now_ns)
        return remote_endpoint if prefers_remote else local_endpoint

    def choose_warming(self, request: RequestState, now_ns: int) -> EndpointState | None:
        """Return an endpoint that is warming up and may get a request below the admission threshold, or None.

        The token buckets alone limit these requests: the queues that cause rejections are at warm endpoints.
        """
        self._subsets.refresh(now_ns)
        endpoint = self._subsets.local.warm_up_bucket.draw_endpoint(now_ns)
        if endpoint is None and self.may_cross_zones(request):
            endpoint = self._subsets.remote.warm_up_bucket.draw_endpoint(now_ns)
        return endpoint

    def _choose_from_subset(
        self, zone: ZoneSubset, request: RequestState, now_ns: int
    ) -> EndpointState | None:
        """Return a warming endpoint for a first attempt if there is a token, else pick a warm one."""
        is_first_choice = not request.attempt_count and not request.probe
        endpoint = zone.warm_up_bucket.draw_endpoint(now_ns) if is_first_choice else None
        return endpoint or self._picker.pick(zone, request, now_ns)

"""Cross-zone spillover: how much traffic goes to other zones while their queueing delay is lower."""

from balancer.policy.overload.measurement_cycle import CYCLE_NS
from balancer.policy.overload.queueing_delay import ZoneLoads
from balancer.policy_api import RequestClass, Settings

SPILLOVER_STEP = 0.025
"""Change of the ratio in a cycle of usual length, for a difference in delay of one overload threshold."""

MIN_DELAY_DIFFERENCE = -0.5
"""Lower bound of the difference in delay, in overload thresholds: the ratio falls slower than it rises."""

MAX_DELAY_DIFFERENCE = 2.0
"""Upper bound of the difference in delay, in overload thresholds, so that one cycle moves little traffic."""

CONNECT_FAILURE_STEPS = 4
"""Steps by which a failed connect to another zone reduces the ratio, as a share of its current value."""

WEIGHT_SMOOTHING = 0.01
"""Weight of a new request in the mean priority weight, so that about the last hundred requests count."""


class CrossZoneSpillover:
    """Maintains the spillover ratio, and decides which requests may go to another zone, by their weight."""

    def __init__(self, settings: Settings) -> None:
        self._cross_zone_price = settings.cross_zone_price
        self.ratio = 0.0
        """The probability that a request goes to another zone."""
        weight_sum = sum(request_class.priority_weight for request_class in settings.classes)
        self._mean_weight = weight_sum / len(settings.classes)

    def record_request(self, request_class: RequestClass) -> None:
        """Include the priority weight of an arriving request in the mean."""
        self._mean_weight += WEIGHT_SMOOTHING * (request_class.priority_weight - self._mean_weight)

    def is_worth_crossing(self, request_class: RequestClass) -> bool:
        """Return whether the weight of a request exceeds the price of sending it to another zone."""
        return request_class.priority_weight > self._cross_zone_price * self._mean_weight

    def record_connect_failure(self) -> None:
        """Reduce the spillover: an unreachable zone shows no delays and would get more and more traffic."""
        self.ratio *= 1 - SPILLOVER_STEP * CONNECT_FAILURE_STEPS

    def update(self, loads: ZoneLoads, overload_threshold: float, elapsed_ns: int) -> None:
        """Move the ratio by the difference in queueing delay, in proportion to the length of the cycle."""
        difference = loads.local.queueing_delay - loads.remote.queueing_delay
        normalized_difference = (difference - self._cross_zone_price) / overload_threshold
        step = SPILLOVER_STEP * elapsed_ns / CYCLE_NS
        ratio = self.ratio + step * max(
            MIN_DELAY_DIFFERENCE, min(MAX_DELAY_DIFFERENCE, normalized_difference)
        )
        self.ratio = min(1.0, max(0.0, ratio))

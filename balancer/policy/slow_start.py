"""Slow start: how much an endpoint can do while it warms up, and what may be sent to it meanwhile."""

from random import Random

from balancer.policy.endpoint_state import EndpointState
from balancer.policy.overload import CYCLE_NS
from balancer.policy_api import Settings
from balancer.time_units import SECOND_NS

RATE_SMOOTHING = 0.06  # weight of a cycle in the rate of answers: its memory is about 4 s
PEAK_DECAY = 0.98  # share of the best rate kept from cycle to cycle: about 12 s


def capacity(settings: Settings, endpoint: EndpointState, now: int) -> float:
    """Return the share of its work that an endpoint can do at least; below 1 it is warming up."""
    age, duration = now - endpoint.started_at_ns, settings.slow_start_duration_ns
    if not endpoint.started_at_ns or age >= duration:
        return 1.0
    initial = settings.slow_start_capacity
    return initial + (1 - initial) * max(age, 0) / duration


class WarmUpAllowance:
    """The attempts that warming endpoints may get: they earn their capacity by each answer of a warm one."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings, self._random = settings, random
        self._members: list[EndpointState] = []
        self._attempts, self._earned_per_answer = 0.0, 0.0  # what may be sent now, and what an answer adds
        self._answer_count = 0  # of warm endpoints, this cycle
        self._answer_rate, self._peak_rate = 0.0, 0.0  # of one, a cycle: smoothed, and its best of lately

    def use_subset(self, members: list[EndpointState], now: int) -> None:
        """Set the earning rate. Where all are warm nothing is saved up for a bulk restart."""
        self._members = members
        capacities = [capacity(self._settings, endpoint, now) for endpoint in members]
        warm_count = sum(share >= 1 for share in capacities)
        self._earned_per_answer = (sum(capacities) - warm_count) / max(1, warm_count)
        if warm_count == len(members):
            self._attempts = 0.0

    def record_answer(self) -> None:
        """Earn by the answer of a warm endpoint."""
        self._answer_count += 1
        self._attempts = min(1.0, self._attempts + self._earned_per_answer)

    def end_cycle(self, candidate_count: int, now: int) -> None:
        """Earn what the answers earned less than lately; with none warm, a request a second of the fleet."""
        capacities = [capacity(self._settings, endpoint, now) for endpoint in self._members]
        warm = [endpoint for endpoint, share in zip(self._members, capacities, strict=True) if share >= 1]
        owing = [endpoint for endpoint in warm if endpoint.in_flight]
        if warm and not (owing and all(endpoint.is_silent(now) for endpoint in owing)):
            self._answer_rate += RATE_SMOOTHING * (self._answer_count / len(warm) - self._answer_rate)
        self._peak_rate = max(self._answer_rate, self._peak_rate * PEAK_DECAY)
        if self._members:
            least = 0.0 if warm else candidate_count / self._settings.instance_count * CYCLE_NS / SECOND_NS
            usual = max(self._peak_rate * (sum(capacities) - len(warm)), least)
            missed = usual - self._answer_count * self._earned_per_answer
            if missed > 0:
                self._attempts = min(max(1.0, missed), self._attempts + missed)
        self._answer_count = 0

    def take(self, now: int) -> EndpointState | None:
        """Spend an attempt on a warming endpoint, if one holds less than its part of what warm ones do."""
        if self._attempts < 1:
            return None
        shares = [(endpoint, capacity(self._settings, endpoint, now)) for endpoint in self._members]
        held = [endpoint.in_flight for endpoint, share in shares if share >= 1]
        mean_held = sum(held) / max(1, len(held))
        warming = [
            (endpoint, share)
            for endpoint, share in shares
            if share < 1 and endpoint.in_flight < max(1.0, share * mean_held)
        ]
        if not warming:
            return None
        [(endpoint, _)] = self._random.choices(warming, weights=[share for _, share in warming])
        self._attempts -= 1
        return endpoint

"""Slow start: the capacity of endpoints that are warming up, and the attempts that they may get meanwhile."""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.measurement_cycle import CYCLE_NS
from balancer.policy_api import Settings
from balancer.time_units import SECOND_NS

RATE_SMOOTHING = 0.06
"""Weight of a control cycle in the smoothed answer rate (share): about the last 4 s count."""

PEAK_DECAY = 0.98
"""Share of the peak answer rate kept per control cycle: it decays over about 12 s."""


def capacity(settings: Settings, endpoint: EndpointState, now_ns: int) -> float:
    """Return the least capacity of an endpoint, as a share of its full one; below 1 it is warming up."""
    age_ns = now_ns - endpoint.started_at_ns
    duration_ns = settings.slow_start_duration_ns
    if not endpoint.started_at_ns or age_ns >= duration_ns:
        return 1.0
    initial = settings.slow_start_capacity
    return initial + (1 - initial) * max(age_ns, 0) / duration_ns


class WarmUpTokenBucket:
    """The attempts that endpoints may get while they warm up.

    Each answer of a warm endpoint earns the warming ones a part of an attempt, by their capacities. The rate
    of the fleet thus follows what the endpoints actually serve, however many sidecars there are.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._members: list[EndpointState] = []
        self._tokens = 0.0
        """Attempts that may be sent now."""
        self._tokens_per_response = 0.0
        """Attempts earned by one answer of a warm endpoint."""
        self._response_count = 0
        """Answers of warm endpoints in this control cycle."""
        self._response_rate = 0.0
        """Answers of one warm endpoint per control cycle, smoothed."""
        self._peak_response_rate = 0.0
        """The highest smoothed rate, decaying."""

    def set_members(self, members: list[EndpointState], now_ns: int) -> None:
        """Set the subset. While all its endpoints are warm nothing is saved up for a later bulk restart."""
        self._members = members
        capacities = self._capacities(now_ns)
        warm_count = sum(share >= 1 for share in capacities)
        self._tokens_per_response = (sum(capacities) - warm_count) / max(1, warm_count)
        if warm_count == len(members):
            self._tokens = 0.0

    def record_response(self) -> None:
        """Record an answer of a warm endpoint."""
        self._response_count += 1
        self._tokens = min(1.0, self._tokens + self._tokens_per_response)

    def end_cycle(self, candidate_count: int, now_ns: int) -> None:
        """Add the attempts by which the earnings of this control cycle fell short of recent ones.

        Without warm endpoints the fleet sends each of the `candidate_count` endpoints a request per second.
        """
        capacities = self._capacities(now_ns)
        warm = [member for member, share in zip(self._members, capacities, strict=True) if share >= 1]
        self._update_response_rate(warm, now_ns)
        if self._members:
            warming_capacity = sum(capacities) - len(warm)
            self._add_missing_tokens(warming_capacity, 0.0 if warm else self._min_tokens(candidate_count))
        self._response_count = 0

    def draw_endpoint(self, now_ns: int) -> EndpointState | None:
        """Spend an attempt on a warming endpoint; return None if there is no allowance or no such endpoint.

        An endpoint gets none while its attempts in flight reach its capacity times the mean of the warm ones.
        """
        if self._tokens < 1:
            return None
        capacities = self._capacities(now_ns)
        shares = list(zip(self._members, capacities, strict=True))
        warm_loads = [member.in_flight for member, share in shares if share >= 1]
        mean_load = sum(warm_loads) / max(1, len(warm_loads))
        warming = [
            (member, share)
            for member, share in shares
            if share < 1 and member.in_flight < max(1.0, share * mean_load)
        ]
        if not warming:
            return None
        [(endpoint, _)] = self._random.choices(warming, weights=[share for _, share in warming])
        self._tokens -= 1
        return endpoint

    def _capacities(self, now_ns: int) -> list[float]:
        return [capacity(self._settings, member, now_ns) for member in self._members]

    def _update_response_rate(self, warm: list[EndpointState], now_ns: int) -> None:
        """Update the answer rate, unless all warm endpoints with attempts in flight are silent."""
        busy = [endpoint for endpoint in warm if endpoint.in_flight]
        all_silent = bool(busy) and all(endpoint.responses.is_unresponsive(now_ns) for endpoint in busy)
        if warm and not all_silent:
            self._response_rate += RATE_SMOOTHING * (self._response_count / len(warm) - self._response_rate)
        self._peak_response_rate = max(self._response_rate, self._peak_response_rate * PEAK_DECAY)

    def _min_tokens(self, candidate_count: int) -> float:
        """Return this sidecar's part, per control cycle, of one request per second and endpoint."""
        return candidate_count / self._settings.instance_count * CYCLE_NS / SECOND_NS

    def _add_missing_tokens(self, warming_capacity: float, min_tokens: float) -> None:
        """Add the attempts by which the answers of this control cycle fell short of the usual number."""
        usual = max(self._peak_response_rate * warming_capacity, min_tokens)
        missed = usual - self._response_count * self._tokens_per_response
        if missed > 0:
            self._tokens = min(max(1.0, missed), self._tokens + missed)

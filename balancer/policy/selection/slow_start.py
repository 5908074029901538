"""Slow start: the capacity of endpoints that are warming up, and the limit of the attempts that they get.

A warm endpoint has its full capacity.
"""

from random import Random

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.overload.measurement_cycle import CYCLE_NS
from balancer.policy_api import Settings
from balancer.time_units import SECOND_NS

RATE_SMOOTHING = 0.06
"""Weight of a control cycle in the moving average of the response rate (share): about the last 4 s count."""

PEAK_DECAY = 0.98
"""Share of the peak response rate that is kept per control cycle: its time constant is about 12 s."""


def capacity(settings: Settings, endpoint: EndpointState, now_ns: int) -> float:
    """Return the minimum capacity of an endpoint, as a share of its full one; below 1 it is warming up.

    It grows linearly with the time since the start of the endpoint.
    """
    age_ns = now_ns - endpoint.started_at_ns
    duration_ns = settings.slow_start_duration_ns
    if not endpoint.started_at_ns or age_ns >= duration_ns:
        return 1.0
    initial = settings.slow_start_capacity
    return initial + (1 - initial) * max(age_ns, 0) / duration_ns


class WarmUpTokenBucket:
    """The token bucket of the attempts that the warming endpoints of a subset may get: one token per attempt.

    Each response of a warm endpoint adds a fraction of a token, in proportion to the capacity of the warming
    endpoints. The rate of all sidecars together thus follows what the endpoints actually serve, whatever the
    number of sidecars.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._members: list[EndpointState] = []
        self._tokens = 0.0
        """Tokens in the bucket."""
        self._tokens_per_response = 0.0
        """Tokens added per response of a warm endpoint."""
        self._response_count = 0
        """Number of responses of warm endpoints in this control cycle."""
        self._response_rate = 0.0
        """Moving average of the number of responses per warm endpoint and control cycle."""
        self._peak_response_rate = 0.0
        """Largest value of the response rate, with exponential decay."""

    def set_members(self, members: list[EndpointState], now_ns: int) -> None:
        """Set the endpoints of the subset and the refill rate; while all are warm, the bucket is empty.

        Accumulated tokens of all sidecars, spent at once after a bulk restart, would overload the endpoints.
        """
        self._members = members
        capacities = self._capacities(now_ns)
        warm_count = sum(share >= 1 for share in capacities)
        self._tokens_per_response = (sum(capacities) - warm_count) / max(1, warm_count)
        if warm_count == len(members):
            self._tokens = 0.0

    def record_response(self) -> None:
        """Add the tokens for a response of a warm endpoint; the bucket capacity is one token."""
        self._response_count += 1
        self._tokens = min(1.0, self._tokens + self._tokens_per_response)

    def end_cycle(self, candidate_count: int, now_ns: int) -> None:
        """Add the tokens by which this control cycle fell short of the recent peak rate.

        Without warm endpoints, all sidecars together send each of the `candidate_count` endpoints one request
        per second.
        """
        capacities = self._capacities(now_ns)
        warm = [member for member, share in zip(self._members, capacities, strict=True) if share >= 1]
        self._update_response_rate(warm, now_ns)
        if self._members:
            warming_capacity = sum(capacities) - len(warm)
            self._add_missing_tokens(warming_capacity, 0.0 if warm else self._min_tokens(candidate_count))
        self._response_count = 0

    def draw_endpoint(self, now_ns: int) -> EndpointState | None:
        """Take a token and return the warming endpoint that gets the attempt, drawn at random by capacity.

        The result is None if there is no token or no endpoint may get the attempt. An endpoint may not while
        its attempts in flight reach its capacity times the mean number at the warm endpoints (at least 1).
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
        """Update the response rate, unless all warm endpoints with attempts in flight are unresponsive."""
        busy = [endpoint for endpoint in warm if endpoint.in_flight]
        all_unresponsive = bool(busy) and all(endpoint.responses.is_unresponsive(now_ns) for endpoint in busy)
        if warm and not all_unresponsive:
            self._response_rate += RATE_SMOOTHING * (self._response_count / len(warm) - self._response_rate)
        self._peak_response_rate = max(self._response_rate, self._peak_response_rate * PEAK_DECAY)

    def _min_tokens(self, candidate_count: int) -> float:
        """Return this sidecar's share of one token per second and endpoint, per control cycle."""
        return candidate_count / self._settings.sidecar_count * CYCLE_NS / SECOND_NS

    def _add_missing_tokens(self, warming_capacity: float, min_tokens: float) -> None:
        """Add the tokens by which the responses of this control cycle fell short of the usual number.

        These may exceed one token; the bucket capacity is then their number.
        """
        usual_tokens = max(self._peak_response_rate * warming_capacity, min_tokens)
        missing_tokens = usual_tokens - self._response_count * self._tokens_per_response
        if missing_tokens > 0:
            self._tokens = min(max(1.0, missing_tokens), self._tokens + missing_tokens)

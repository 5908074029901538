"""The connection budget: how many endpoints this sidecar may hold connections to.

An endpoint accepts a limited number of connections, and a full connection table costs it work. The limit is
not known to the sidecars, so they search for it as TCP does for bandwidth: by additive increase and
multiplicative decrease of the fan-in, the number of sidecars that may connect to one endpoint.
"""

from balancer.time_units import HOUR_NS, SECOND_NS

INITIAL_FAN_IN = 16.0
"""Fan-in at the start (sidecars per endpoint): every endpoint accepts at least that many connections."""

MIN_FAN_IN = 6.0
"""Lower bound of the fan-in (sidecars per endpoint): below it, refusals have another cause."""

FAN_IN_INCREASE = 0.02
"""Additive increase of the fan-in per control cycle (sidecars per endpoint)."""

FAN_IN_DECREASE = 0.8
"""Factor of the multiplicative decrease when a connection cannot be established."""

MIN_DECREASE_INTERVAL_NS = SECOND_NS
"""Minimum time between two decreases (ns): one full connection table refuses several connections in a row."""


class ConnectionBudget:
    """Adapts the fan-in and derives the number of endpoints that this sidecar may connect to."""

    def __init__(self, sidecar_count: int) -> None:
        self._sidecar_count = sidecar_count
        self._decreased_at_ns = -HOUR_NS
        self.fan_in = INITIAL_FAN_IN

    def increase(self) -> None:
        """Raise the fan-in at the end of a control cycle."""
        self.fan_in += FAN_IN_INCREASE

    def record_connect_failure(self, now_ns: int) -> None:
        """Lower the fan-in, unless the last decrease was less than the minimum interval ago."""
        if now_ns - self._decreased_at_ns >= MIN_DECREASE_INTERVAL_NS:
            self.fan_in = max(MIN_FAN_IN, self.fan_in * FAN_IN_DECREASE)
            self._decreased_at_ns = now_ns

    def endpoints_per_zone(self, local_count: int, remote_count: int) -> int:
        """Return how many local endpoints, and how many remote ones, this sidecar may connect to.

        Each endpoint accepts connections of `fan_in` sidecars. Every sidecar gets an equal share of the sum,
        divided evenly between local and remote endpoints if there are both.
        """
        zone_count = bool(local_count) + bool(remote_count) or 1
        endpoint_count = local_count + remote_count
        return int(self.fan_in * endpoint_count / self._sidecar_count / zone_count)

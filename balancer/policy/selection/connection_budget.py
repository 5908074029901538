"""The connection budget: how many endpoints this sidecar may hold connections to.

An endpoint accepts a limited number of connections, and a full connection table costs it work. The limit is
published nowhere, so the sidecars probe for it as TCP does for bandwidth: by additive increase and
multiplicative decrease.
"""

from balancer.time_units import HOUR_NS, SECOND_NS

INITIAL_FAN_IN = 16.0
"""Fan-in at the start (sidecars per endpoint): any endpoint accepts as many connections."""

MIN_FAN_IN = 6.0
"""Lower bound of the fan-in (sidecars per endpoint): refused connections then have another cause."""

FAN_IN_INCREASE = 0.02
"""Additive increase (sidecars per endpoint and control cycle)."""

FAN_IN_DECREASE = 0.8
"""Multiplicative decrease (factor) when a connection fails."""

MIN_DECREASE_INTERVAL_NS = SECOND_NS
"""Time between two decreases (ns): one full connection table refuses several connections in a row."""


class ConnectionBudget:
    """Adapts the fan-in, the number of sidecars that may connect to one endpoint."""

    def __init__(self, sidecar_count: int) -> None:
        self._sidecar_count = sidecar_count
        self._decreased_at_ns = -HOUR_NS
        self.fan_in = INITIAL_FAN_IN

    def increase(self) -> None:
        """Raise the fan-in by the step of one control cycle."""
        self.fan_in += FAN_IN_INCREASE

    def record_connect_failure(self, now_ns: int) -> None:
        """Lower the fan-in, unless that was done just before."""
        if now_ns - self._decreased_at_ns >= MIN_DECREASE_INTERVAL_NS:
            self.fan_in = max(MIN_FAN_IN, self.fan_in * FAN_IN_DECREASE)
            self._decreased_at_ns = now_ns

    def endpoints_per_zone(self, local_count: int, remote_count: int) -> int:
        """Return to how many of the local endpoints, and of the remote ones, this sidecar may connect.

        All endpoints together accept `fan_in` connections each; a sidecar gets an equal share of them.
        """
        zone_count = bool(local_count) + bool(remote_count) or 1
        endpoint_count = local_count + remote_count
        return int(self.fan_in * endpoint_count / self._sidecar_count / zone_count)

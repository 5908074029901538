"""The schedule by which discovery is polled for the endpoint list."""

from random import Random

from balancer.policy_api import Settings
from balancer.time_units import SECOND_NS

POLL_SPREAD_SHARE = 0.4
"""Part of the poll window in which the first poll, and a poll after a failed one, is placed at random.

The sidecars would otherwise all poll discovery at the same time.
"""

MAX_POLL_SPREAD_NS = 1.5 * SECOND_NS
"""Upper bound of the spread (ns): a sidecar has to know a change at most 6 s after discovery does."""

MIN_RETRY_DELAY_SHARE = 0.25
"""Minimum delay of the poll after a failed one (share of the spread), to limit the load on discovery."""


class DiscoveryPolling:
    """Decides when to poll discovery; never if discovery pushes its endpoint lists.

    A poll starts a watch of the endpoint list. While the watch works, no further poll is needed.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._polls_discovery = settings.polls_discovery
        self._poll_window_ns = settings.discovery_poll_window_ns
        self._random = random
        self._is_watching = not settings.polls_discovery
        self._next_poll_ns = 0
        self.spread_ns = min(MAX_POLL_SPREAD_NS, POLL_SPREAD_SHARE * settings.discovery_poll_window_ns)
        """Longest time until a scheduled poll (ns)."""

    def schedule(self, now_ns: int, min_delay_share: float = 0.0) -> None:
        """Schedule a poll at a random time within the spread, after at least `min_delay_share` of it."""
        self._is_watching = not self._polls_discovery
        delay = min_delay_share + (1 - min_delay_share) * self._random.random()
        self._next_poll_ns = now_ns + int(delay * self.spread_ns)

    def is_due(self, now_ns: int) -> bool:
        """Return whether to poll now; if so, schedule the next poll in case discovery does not respond."""
        if self._is_watching or now_ns < self._next_poll_ns:
            return False
        self._next_poll_ns = now_ns + self._poll_window_ns // 2
        return True

    def record_response(self) -> None:
        """Record that discovery has responded: no poll is needed until the watch fails."""
        self._is_watching = True

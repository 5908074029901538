"""The schedule by which discovery is polled for the endpoint list."""

from random import Random

from balancer.policy_api import Settings
from balancer.time_units import SECOND_NS

POLL_SPREAD_SHARE = 0.4
"""Share of the poll window over which sidecars spread their first poll and those after a failure."""

MAX_POLL_SPREAD_NS = 1.5 * SECOND_NS
"""Longest spread: a change has to be known 6 s after discovery had it."""

MIN_RETRY_DELAY_SHARE = 0.25
"""Share of the spread that passes at least before the poll after a failed one, to spare discovery."""


class DiscoveryPolling:
    """Decides when to poll discovery. Where lists are pushed it never does."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._polls_discovery = settings.polls_discovery
        self._poll_window_ns = settings.discovery_poll_window_ns
        self._random = random
        self._is_watching = not settings.polls_discovery
        self._next_poll_ns = 0
        self.spread_ns = min(MAX_POLL_SPREAD_NS, POLL_SPREAD_SHARE * settings.discovery_poll_window_ns)

    def schedule(self, now_ns: int, min_delay_share: float = 0.0) -> None:
        """Schedule a poll at a random time within the spread, after at least a share of it."""
        self._is_watching = not self._polls_discovery
        delay = min_delay_share + (1 - min_delay_share) * self._random.random()
        self._next_poll_ns = now_ns + int(delay * self.spread_ns)

    def is_due(self, now_ns: int) -> bool:
        """Return whether to poll now; if so, schedule a further poll in case no reply comes."""
        if self._is_watching or now_ns < self._next_poll_ns:
            return False
        self._next_poll_ns = now_ns + self._poll_window_ns // 2
        return True

    def record_response(self) -> None:
        """Record that discovery has replied: no poll is needed until its watch fails."""
        self._is_watching = True

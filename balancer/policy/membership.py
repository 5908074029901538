"""Membership: the endpoint list, the polling of discovery for it, and this sidecar's ranking of it."""

from math import log
from random import Random

from balancer.policy.endpoint_state import EndpointState
from balancer.policy.hashing import mix64
from balancer.policy_api import EndpointHealth, EndpointId, EndpointUpdate, EndpointUpdateKind, Settings
from balancer.time_units import SECOND_NS

POLL_SPREAD = 0.4  # part of the poll window over which sidecars spread their first and further calls
MAX_POLL_SPREAD_NS = 1.5 * SECOND_NS  # a change has to be known 6 s after discovery had it
RETRY_MIN_DELAY = 0.25  # part of the spread that passes before a call that follows a failed one


class Membership:
    """The endpoints by id, in the order in which they became known."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings, self._random = settings, random
        self._rank_salt = mix64(settings.instance_index)  # the ranking outlives a restart
        self._is_watching, self._next_poll_ns = not settings.polls_discovery, 0
        self.poll_spread_ns = min(MAX_POLL_SPREAD_NS, POLL_SPREAD * settings.discovery_poll_window_ns)
        self.endpoints: dict[EndpointId, EndpointState] = {}

    def schedule_poll(self, now: int, min_delay: float = 0.0) -> None:
        """Have discovery called within the spread, the first time or as a call has failed."""
        self._is_watching = not self._settings.polls_discovery
        delay = min_delay + (1 - min_delay) * self._random.random()
        self._next_poll_ns = now + int(delay * self.poll_spread_ns)

    def should_poll(self, now: int) -> bool:
        """Return whether to call discovery now, and schedule a further call should no reply come."""
        if self._is_watching or now < self._next_poll_ns:
            return False
        self._next_poll_ns = now + self._settings.discovery_poll_window_ns // 2
        return True

    def apply(self, update: EndpointUpdate) -> None:
        """Take over a list or its changes; removed endpoints stay until their last attempt has ended."""
        self._is_watching |= update.kind != EndpointUpdateKind.CACHED
        for listed in update.endpoints:
            entry = listed._replace(zone=min(listed.zone, self._settings.zone_count - 1))  # it may be unknown
            if entry.id in self.endpoints:
                self.endpoints[entry.id].update(entry)
            else:
                self.endpoints[entry.id] = EndpointState(entry, self._rank_salt, len(self._settings.classes))
        if update.kind != EndpointUpdateKind.DELTA:
            for missing in self.endpoints.keys() - {entry.id for entry in update.endpoints}:
                self.endpoints[missing].health = EndpointHealth.REMOVED
        for endpoint in list(self.endpoints.values()):
            self.drop_if_unused(endpoint)

    def drop_if_unused(self, endpoint: EndpointState) -> None:
        """Forget a removed endpoint without attempts."""
        if endpoint.health == EndpointHealth.REMOVED and not endpoint.in_flight:
            del self.endpoints[endpoint.id]

    def ranked_endpoints(self) -> list[EndpointState]:
        """Return the ready endpoints, the preferred first: changes of the list move little of the order."""
        # Weighted rendezvous hashing by -log(hash) / weight (Schindelhauer and Schomaker, SPAA 2005).
        ready = [e for e in self.endpoints.values() if e.health == EndpointHealth.READY]
        return sorted(ready, key=lambda e: (-log((e.rank_hash + 1) / 2**64) / e.weight, e.id))

"""Membership: the endpoints that this sidecar knows from the lists of discovery."""

from random import Random

from balancer.policy.endpoints.discovery_polling import DiscoveryPolling
from balancer.policy.endpoints.endpoint_ranking import rank_endpoints
from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy.hashing import mix64
from balancer.policy_api import (
    Endpoint,
    EndpointHealth,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Settings,
)


class Membership:
    """The known endpoints by id, in the order in which they were added, and the polling for changes."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._class_count = len(settings.classes)
        self._last_zone = settings.zone_count - 1
        self._rank_salt = mix64(settings.sidecar_index)  # the same after a restart of the sidecar
        self.polling = DiscoveryPolling(settings, random)
        self.endpoints: dict[EndpointId, EndpointState] = {}

    def apply(self, update: EndpointUpdate) -> None:
        """Apply a complete endpoint list or changes to it.

        Removed endpoints are kept until their last attempt ends.
        """
        if update.kind != EndpointUpdateKind.CACHED:
            self.polling.record_response()
        for entry in update.endpoints:
            self._add_or_update(entry)
        if update.kind != EndpointUpdateKind.DELTA:
            self._mark_missing_as_removed(update)
        for endpoint in list(self.endpoints.values()):
            self.drop_if_unused(endpoint)

    def drop_if_unused(self, endpoint: EndpointState) -> None:
        """Delete an endpoint if discovery has removed it and it has no attempts in flight."""
        if endpoint.health == EndpointHealth.REMOVED and not endpoint.in_flight:
            del self.endpoints[endpoint.id]

    def ranked_endpoints(self) -> list[EndpointState]:
        """Return the ready endpoints in the order of preference."""
        return rank_endpoints(self.endpoints.values())

    def _add_or_update(self, listed: Endpoint) -> None:
        """Apply an entry of the list; a zone number beyond `zone_count` is taken as the last zone."""
        entry = listed._replace(zone=min(listed.zone, self._last_zone))
        known = self.endpoints.get(entry.id)
        if known is None:
            self.endpoints[entry.id] = EndpointState(entry, self._rank_salt, self._class_count)
        else:
            known.update(entry)

    def _mark_missing_as_removed(self, update: EndpointUpdate) -> None:
        """Mark the endpoints that are missing from a complete list as removed."""
        listed_ids = {entry.id for entry in update.endpoints}
        for missing_id in self.endpoints.keys() - listed_ids:
            self.endpoints[missing_id].health = EndpointHealth.REMOVED

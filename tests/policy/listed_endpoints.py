"""The endpoint list that was delivered to a balancer, and which endpoints it allows to be used."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy_api import Endpoint, EndpointHealth, EndpointId, EndpointUpdateKind
from balancer.time_units import SECOND_NS

NOT_READY_GRACE_NS = SECOND_NS // 2
"""Time for which an endpoint may still be used after the list declared it draining or removed."""


class ListedHealth(NamedTuple):
    """The health of an endpoint according to the list, and since when."""

    health: EndpointHealth
    since_ns: int


class ListedEndpoints:
    """The health of each endpoint according to the lists that were delivered to one balancer."""

    def __init__(self) -> None:
        self.health_by_id: dict[EndpointId, ListedHealth] = {}

    def apply(self, kind: EndpointUpdateKind, entries: list[Endpoint], now_ns: int) -> None:
        """Record a complete list, or the changes of a delta."""
        for entry in entries:
            before = self.health_by_id.get(entry.id)
            if before is None or entry.health != before.health:
                self.health_by_id[entry.id] = ListedHealth(entry.health, now_ns)
        if kind != EndpointUpdateKind.DELTA:
            for missing_id in set(self.health_by_id) - {entry.id for entry in entries}:
                self._remove(missing_id, now_ns)

    def check_may_be_used(self, identifier: EndpointId, now_ns: int) -> None:
        """Check that an endpoint is listed as ready, or was so within `NOT_READY_GRACE_NS`."""
        health, since_ns = self.health_by_id[identifier]
        assert health == EndpointHealth.READY or now_ns - since_ns <= NOT_READY_GRACE_NS

    def _remove(self, identifier: EndpointId, now_ns: int) -> None:
        if self.health_by_id[identifier].health != EndpointHealth.REMOVED:
            self.health_by_id[identifier] = ListedHealth(EndpointHealth.REMOVED, now_ns)

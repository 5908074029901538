"""The endpoint list as the caller of a balancer has sent it, and which endpoints may be used by it."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy_api import Endpoint, EndpointHealth, EndpointId, EndpointUpdateKind
from balancer.time_units import SECOND_NS

NOT_READY_GRACE_NS = SECOND_NS // 2
"""How long an endpoint may still be used after the list called it draining or removed."""


class ListedHealth(NamedTuple):
    """The health of an endpoint by the list, and since when."""

    health: EndpointHealth
    since_ns: int


class ListedEndpoints:
    """The health of each endpoint by the lists sent to one balancer."""

    def __init__(self) -> None:
        self.health_by_id: dict[EndpointId, ListedHealth] = {}

    def apply(self, kind: EndpointUpdateKind, entries: list[Endpoint], now_ns: int) -> None:
        """Record a list or changes of it."""
        for entry in entries:
            before = self.health_by_id.get(entry.id)
            if before is None or entry.health != before.health:
                self.health_by_id[entry.id] = ListedHealth(entry.health, now_ns)
        if kind != EndpointUpdateKind.DELTA:
            for missing_id in set(self.health_by_id) - {entry.id for entry in entries}:
                self._remove(missing_id, now_ns)

    def check_may_be_used(self, identifier: EndpointId, now_ns: int) -> None:
        """Check that an endpoint is listed as ready, or was so until just now."""
        health, since_ns = self.health_by_id[identifier]
        assert health == EndpointHealth.READY or now_ns - since_ns <= NOT_READY_GRACE_NS

    def _remove(self, identifier: EndpointId, now_ns: int) -> None:
        if self.health_by_id[identifier].health != EndpointHealth.REMOVED:
            self.health_by_id[identifier] = ListedHealth(EndpointHealth.REMOVED, now_ns)

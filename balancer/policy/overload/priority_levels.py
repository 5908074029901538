"""Priority levels of requests: a business level for the class, divided into user levels.

Source: DAGOR, "Overload Control for Scaling WeChat Microservices", SoCC 2018, section 4.
"""

from balancer.policy.hashing import mix64
from balancer.policy_api import RequestReceived, Settings
from balancer.time_units import HOUR_NS

USER_LEVELS = 128
"""User levels in each business level, as in DAGOR."""

_USER_LEVEL_BITS = 7
"""Number of bits of a hash that give the user level; the other bits give the position within the level."""

_POSITION_RANGE = 1 << (64 - _USER_LEVEL_BITS)
"""Number of positions within a level."""

_MIDDLE_OF_LEVEL = 0.5
"""Position of a request with a key within its level: all requests with the same key are treated alike."""


class PriorityLevels:
    """Assigns levels to requests. Classes of equal priority weight share a business level."""

    def __init__(self, settings: Settings) -> None:
        weights = sorted({request_class.priority_weight for request_class in settings.classes})
        self._business_level_by_class = [
            weights.index(request_class.priority_weight) for request_class in settings.classes
        ]
        self._sidecar_index = settings.sidecar_index
        self.business_level_count = len(weights)

    def business_level(self, event: RequestReceived) -> int:
        """Return the business level of a request, from 0 for the lowest priority."""
        return self._business_level_by_class[event.class_index]

    def keyed_level(self, event: RequestReceived, now_ns: int) -> int:
        """Return the level of a request with a key, the same in all sidecars."""
        user_hash = mix64(event.key_hash ^ _salt(now_ns))
        return self.business_level(event) * USER_LEVELS + user_hash % USER_LEVELS

    def keyed_priority(self, level: int) -> float:
        """Return the priority of the requests with a key that are on a level."""
        return level + _MIDDLE_OF_LEVEL

    def keyless_priority(self, event: RequestReceived, now_ns: int) -> float:
        """Return the level of a request without a key, plus its position within the level.

        At one sidecar all requests of a tenant without keys have the same user level and position. Over the
        fleet they are evenly distributed.
        """
        user_hash = mix64(self._sidecar_index ^ mix64(event.tenant_index ^ _salt(now_ns)))
        level = self.business_level(event) * USER_LEVELS + user_hash % USER_LEVELS
        return level + (user_hash >> _USER_LEVEL_BITS) / _POSITION_RANGE


def _salt(now_ns: int) -> int:
    """Return the salt of the user levels; it changes hourly so that no user always has the lowest level."""
    return mix64(now_ns // HOUR_NS)

"""The order in which this sidecar prefers endpoints; the first ones form its subset."""

from collections.abc import Iterable
from math import log

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy_api import EndpointHealth, EndpointId

_HASH_RANGE = 2**64
"""Number of possible values of a rank hash."""


def rank_endpoints(endpoints: Iterable[EndpointState]) -> list[EndpointState]:
    """Return the ready endpoints in the order of preference; a changed list changes little of the order.

    This is weighted rendezvous hashing: the sort key is -log(hash) / weight, with the hash scaled to (0, 1]
    (Schindelhauer and Schomaker, SPAA 2005).
    """
    ready = [endpoint for endpoint in endpoints if endpoint.health == EndpointHealth.READY]
    return sorted(ready, key=_rank)


def _rank(endpoint: EndpointState) -> tuple[float, EndpointId]:
    """Return the sort key of an endpoint; the id breaks ties."""
    uniform = (endpoint.rank_hash + 1) / _HASH_RANGE
    return -log(uniform) / endpoint.weight, endpoint.id

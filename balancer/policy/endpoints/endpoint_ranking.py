"""The ranking of the endpoints by this sidecar, from which it chooses its subset."""

from collections.abc import Iterable
from math import log

from balancer.policy.endpoints.endpoint_state import EndpointState
from balancer.policy_api import EndpointHealth, EndpointId

_HASH_RANGE = 2**64
"""Number of values that a rank hash may have."""


def rank_endpoints(endpoints: Iterable[EndpointState]) -> list[EndpointState]:
    """Return the ready endpoints, the preferred first; a changed list moves little of the order.

    This is weighted rendezvous hashing by -log(hash) / weight (Schindelhauer and Schomaker, SPAA 2005).
    """
    ready = [endpoint for endpoint in endpoints if endpoint.health == EndpointHealth.READY]
    return sorted(ready, key=_rank)


def _rank(endpoint: EndpointState) -> tuple[float, EndpointId]:
    """Return the sort key of an endpoint; its id decides between equal hashes."""
    uniform = (endpoint.rank_hash + 1) / _HASH_RANGE
    return -log(uniform) / endpoint.weight, endpoint.id

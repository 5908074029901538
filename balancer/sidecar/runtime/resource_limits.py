"""The limits on descriptors and memory of the process, and how connections share the descriptors."""

from __future__ import annotations

import math
import resource
from dataclasses import dataclass

MAX_DESCRIPTORS = 1024
"""The smallest limit of any deployment, so no sidecar counts on more descriptors."""

RESERVED_DESCRIPTORS = 28
"""Descriptors for the process itself, and for discovery, which for a moment has two connections."""

DEFAULT_MEMORY_MEBIBYTES = 64
"""The memory limit where the configuration has none."""

BYTES_PER_MEBIBYTE = 1024 * 1024
"""Converts the configured limit on memory."""


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the connections of a sidecar may take of the process's resources."""

    max_downstream_connections: int
    max_upstream_connections: int
    memory_limit_bytes: int


def resource_limits(max_descriptors: object, memory_mebibytes: object) -> ResourceLimits:
    """Return the limits of this process.

    Args:
        max_descriptors: The configured number of descriptors. An invalid one counts as absent, as the
            defaults are safe; the limit of the process holds as well.
        memory_mebibytes: The configured memory limit. An invalid one counts as absent.
    """
    descriptors = _max_descriptors(max_descriptors)
    max_downstream_connections = _max_downstream_connections(descriptors)
    return ResourceLimits(
        max_downstream_connections=max_downstream_connections,
        max_upstream_connections=_max_upstream_connections(descriptors, max_downstream_connections),
        memory_limit_bytes=_memory_limit_bytes(memory_mebibytes),
    )


def _max_descriptors(configured: object) -> int:
    """Return how many descriptors this process may have open."""
    limit = configured if isinstance(configured, int) and configured > 0 else MAX_DESCRIPTORS
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        limit = min(limit, soft_limit)
    return min(limit, MAX_DESCRIPTORS)


def _memory_limit_bytes(configured: object) -> int:
    mebibytes = DEFAULT_MEMORY_MEBIBYTES
    if isinstance(configured, int | float) and 1 <= configured < math.inf:
        mebibytes = int(configured)
    return mebibytes * BYTES_PER_MEBIBYTE


def _max_downstream_connections(descriptors: int) -> int:
    """Return how many connections of clients may be open.

    Those with a request under way take a third of the descriptors; the rest of this share is for those that
    are idle or silent.
    """
    return max(1, descriptors * 3 // 8)


def _max_upstream_connections(descriptors: int, max_downstream_connections: int) -> int:
    """Return how many connections to endpoints may be open.

    They get the most, as one that has to make room soon costs a handshake. What is left over is for the
    reserve, for gossip, and for connections that are just closing or refused.
    """
    closing_connections = descriptors // 32
    return max(1, descriptors - max_downstream_connections - RESERVED_DESCRIPTORS - closing_connections)

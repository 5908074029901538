"""The limits on descriptors and memory of the process, and how connections share the file descriptors."""

from __future__ import annotations

import math
import resource
from dataclasses import dataclass

MAX_DESCRIPTORS = 1024
"""The smallest descriptor limit of any deployment; no sidecar uses more."""

RESERVED_DESCRIPTORS = 28
"""Descriptors reserved for the process itself and for discovery, which briefly has two connections."""

DEFAULT_MEMORY_MEBIBYTES = 64
"""The memory limit unless the configuration has a valid one."""

BYTES_PER_MEBIBYTE = 1024 * 1024
"""Converts the configured memory limit to bytes."""

PROCESS_MEMORY_BYTES = 40 * BYTES_PER_MEBIBYTE
"""Memory that the process needs beside messages, for the interpreter, the connections and the heap."""

LARGEST_MESSAGE_MEMORY_DIVISOR = 2
"""The memory limit divided by this is the most that messages may take."""

SMALLEST_MESSAGE_MEMORY_DIVISOR = 8
"""The memory limit divided by this is left for messages, however little memory there is."""


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits on the connections of a sidecar, and on the memory of their messages."""

    max_downstream_connections: int
    max_upstream_connections: int
    message_buffer_bytes: int


def resource_limits(max_descriptors: object, memory_mebibytes: object) -> ResourceLimits:
    """Return the limits of this process.

    Args:
        max_descriptors: The configured number of descriptors. An invalid value counts as missing, as the
            default is safe. The limit of the operating system for the process applies as well.
        memory_mebibytes: The configured memory limit. An invalid value counts as missing.
    """
    descriptors = _max_descriptors(max_descriptors)
    max_downstream_connections = _max_downstream_connections(descriptors)
    return ResourceLimits(
        max_downstream_connections=max_downstream_connections,
        max_upstream_connections=_max_upstream_connections(descriptors, max_downstream_connections),
        message_buffer_bytes=message_buffer_bytes(_memory_limit_bytes(memory_mebibytes)),
    )


def message_buffer_bytes(memory_limit_bytes: int) -> int:
    """Return how much memory messages may take under this memory limit of the process."""
    largest = memory_limit_bytes // LARGEST_MESSAGE_MEMORY_DIVISOR
    smallest = memory_limit_bytes // SMALLEST_MESSAGE_MEMORY_DIVISOR
    return max(smallest, min(largest, memory_limit_bytes - PROCESS_MEMORY_BYTES))


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

    Those with a request in progress take a third of all descriptors. The rest of the 3/8 is for connections
    that are idle or stalled.
    """
    return max(1, descriptors * 3 // 8)


def _max_upstream_connections(descriptors: int, max_downstream_connections: int) -> int:
    """Return how many connections to endpoints may be open.

    They get most of the descriptors, as each connection that is closed to free one soon costs another
    handshake. The remaining descriptors are reserved for the process, discovery and gossip, and for
    connections that are being closed or refused.
    """
    closing_connections = descriptors // 32
    return max(1, descriptors - max_downstream_connections - RESERVED_DESCRIPTORS - closing_connections)

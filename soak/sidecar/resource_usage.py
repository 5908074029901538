"""The resource usage of a process, as Linux reports it under /proc."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MEGABYTE = 1_000_000
PAGE_BYTES = resource.getpagesize()
RESIDENT_PAGES_FIELD = 1
"""Index of the number of resident pages among the fields of /proc/PID/statm (proc(5))."""


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """The number of open descriptors and the resident memory of a process."""

    descriptors: int
    memory_megabytes: float


def read_resource_usage(process_id: int) -> ResourceUsage | None:
    """Return the current resource usage of a process, or None if the process is ending."""
    directory = Path(f"/proc/{process_id}")
    try:
        descriptors = len(list((directory / "fd").iterdir()))
        pages = int((directory / "statm").read_text().split()[RESIDENT_PAGES_FIELD])
    except (OSError, IndexError, ValueError):
        return None
    return ResourceUsage(descriptors, pages * PAGE_BYTES / BYTES_PER_MEGABYTE)

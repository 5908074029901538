"""Reads the processor time and memory of a running process from /proc (see proc(5))."""

from __future__ import annotations

import os
from pathlib import Path

_CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
"""Unit of the processor times in /proc/PID/stat."""

_USER_TICKS_FIELD = 11
"""Position of utime in /proc/PID/stat, counted from the state, which follows the name in parentheses."""

_SYSTEM_TICKS_FIELD = 12
"""Position of stime, counted in the same way."""

_KIBIBYTES_PER_MEBIBYTE = 1024


def read_cpu_seconds(process_id: int) -> float:
    """Return the processor time of a process so far, in user and kernel mode.

    Raises:
        OSError: there is no such process.
    """
    stat = Path(f"/proc/{process_id}/stat").read_text()
    _name, _parenthesis, rest = stat.rpartition(")")  # the name may contain parentheses itself
    fields = rest.split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _CLOCK_TICKS_PER_SECOND


def read_resident_megabytes(process_id: int) -> float:
    """Return the resident set size of a process, in MiB.

    Raises:
        OSError: there is no such process, or it has ended.
    """
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            kibibytes = int(line.split()[1])
            return kibibytes / _KIBIBYTES_PER_MEBIBYTE
    raise ProcessLookupError(f"process {process_id} has ended")

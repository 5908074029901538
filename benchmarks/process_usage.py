"""CPU time and memory of a running process, as Linux tells them under /proc (proc(5))."""

from __future__ import annotations

import os
from pathlib import Path

_CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Positions in /proc/PID/stat, counted from the state, which follows the name in parentheses.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


def read_cpu_seconds(process_id: int) -> float:
    """CPU time of a process so far, in user and kernel mode; raises OSError if there is no such process."""
    stat = Path(f"/proc/{process_id}/stat").read_text()
    _name, _parenthesis, rest = stat.rpartition(")")  # a name may hold parentheses itself
    fields = rest.split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _CLOCK_TICKS_PER_SECOND


def read_resident_megabytes(process_id: int) -> float:
    """Memory of a process that is in RAM (RSS), in MiB; raises OSError if there is no such process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            kibibytes = int(line.split()[1])
            return kibibytes / 1024
    raise ProcessLookupError(f"process {process_id} has ended")

"""Makes system calls of a sidecar's process fail, and steps the wall clock of the process.

The process loads the library built from `syscall_faults.c` with LD_PRELOAD. The soak and the library map
the same control file, in which the soak sets the faults.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

from soak.errors import FaultLibraryError

SOURCE = Path(__file__).with_name("syscall_faults.c")
"""The C source file of the library."""
BUILD_TIMEOUT_SECONDS = 60.0
"""Seconds. A compiler takes less than one second, or a few on a busy machine."""


class _Field(IntEnum):
    """The fields of the control file by position; `struct control` in the C file has the same order."""

    WALL_CLOCK_OFFSET_NS = 0
    ACCEPT_ERROR = 1
    ACCEPT_REMAINING = 2
    SOCKET_ERROR = 3
    SOCKET_REMAINING = 4
    CONNECT_ERROR = 5
    CONNECT_REMAINING = 6
    OPEN_ERROR = 7
    OPEN_REMAINING = 8
    MAX_READ_BYTES = 9
    MAX_WRITE_BYTES = 10
    INTERRUPT_EVERY = 11
    INJECTED_COUNT = 12


class FaultyCall(IntEnum):
    """A system call that can be made to fail.

    The value is the position of the field with its errno; the next field counts the calls still to fail.
    """

    ACCEPT = _Field.ACCEPT_ERROR
    SOCKET = _Field.SOCKET_ERROR
    CONNECT = _Field.CONNECT_ERROR
    OPEN_CONFIGURATION = _Field.OPEN_ERROR


_FIELD_FORMAT = struct.Struct("=q")
_CONTROL_BYTES = _FIELD_FORMAT.size * len(_Field)


def build_fault_library(directory: Path) -> Path:
    """Compile the library into a directory and return its path.

    Raises:
        FaultLibraryError: no C compiler is installed, or the compilation fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise FaultLibraryError("no C compiler is installed (neither cc nor gcc was found)")
    library = directory / "syscall_faults.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, timeout=BUILD_TIMEOUT_SECONDS, text=True)
    except (OSError, subprocess.SubprocessError) as error:
        raise FaultLibraryError(str(getattr(error, "stderr", "") or error)) from error
    return library


class SyscallFaults:
    """The system call faults of one sidecar. They stay in effect when a new process replaces the old one."""

    def __init__(self, library: Path, control_file: Path) -> None:
        self._library = library
        self._control_file = control_file
        control_file.write_bytes(bytes(_CONTROL_BYTES))
        with control_file.open("r+b") as file:
            self._control = mmap.mmap(file.fileno(), _CONTROL_BYTES)

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables that load the library into a process and give it the control file."""
        return {"LD_PRELOAD": str(self._library), "SYSCALL_FAULTS_CONTROL": str(self._control_file)}

    @property
    def injected_count(self) -> int:
        """The number of failures, short transfers and interruptions injected so far."""
        return self._read(_Field.INJECTED_COUNT)

    def step_wall_clock(self, offset_ns: int) -> None:
        """Set the offset of the process's wall clock from the machine's, in nanoseconds."""
        self._write(_Field.WALL_CLOCK_OFFSET_NS, offset_ns)

    def fail(self, call: FaultyCall, error: int, count: int) -> None:
        """Make the next `count` calls fail with this errno."""
        self._write(call, error)
        self._write(call + 1, count)

    def stop_failing(self, call: FaultyCall) -> None:
        """Inject no further failures of this call."""
        self.fail(call, error=0, count=0)

    def limit_transfers(self, max_read_bytes: int, max_write_bytes: int) -> None:
        """Limit the bytes that one read or write of a socket transfers; 0 for no limit."""
        self._write(_Field.MAX_READ_BYTES, max_read_bytes)
        self._write(_Field.MAX_WRITE_BYTES, max_write_bytes)

    def remove_transfer_limits(self) -> None:
        """Remove the limits on the bytes that one read or write of a socket transfers."""
        self.limit_transfers(max_read_bytes=0, max_write_bytes=0)

    def interrupt_every(self, count: int) -> None:
        """Interrupt every `count`-th call of read, write or accept with EINTR."""
        self._write(_Field.INTERRUPT_EVERY, count)

    def stop_interrupting(self) -> None:
        """Interrupt no further calls."""
        self.interrupt_every(0)

    def _write(self, position: int, value: int) -> None:
        _FIELD_FORMAT.pack_into(self._control, position * _FIELD_FORMAT.size, value)

    def _read(self, position: int) -> int:
        value: int = _FIELD_FORMAT.unpack_from(self._control, position * _FIELD_FORMAT.size)[0]
        return value

"""Makes system calls of another process fail, and steps the wall clock that it sees.

The process loads `syscall_faults.c` with LD_PRELOAD; a small file that both map says what fails.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import Enum
from pathlib import Path

from soak.errors import FaultLibraryError

SOURCE = Path(__file__).with_name("syscall_faults.c")
BUILD_TIMEOUT_SECONDS = 60.0
_FIELD = struct.Struct("=q")
_FIELD_COUNT = 13


class FaultyCall(Enum):
    """A system call that can fail; the value is the position of its fields in the control file."""

    ACCEPT = 1
    SOCKET = 3
    CONNECT = 5
    OPEN_CONFIGURATION = 7


class _Field(Enum):
    """The other fields, by their position; `struct control` in the C file has the same order."""

    WALL_CLOCK_OFFSET_NS = 0
    MAX_READ_BYTES = 9
    MAX_WRITE_BYTES = 10
    INTERRUPT_EVERY = 11
    INJECTED_COUNT = 12


def build_fault_library(directory: Path) -> Path:
    """Compile the library into a directory and return its path.

    Raises:
        FaultLibraryError: there is no C compiler, or it fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise FaultLibraryError("no C compiler is installed")
    library = directory / "syscall_faults.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, timeout=BUILD_TIMEOUT_SECONDS, text=True)
    except (OSError, subprocess.SubprocessError) as error:
        raise FaultLibraryError(str(getattr(error, "stderr", "") or error)) from error
    return library


class SyscallFaults:
    """The faults of one process; `environment` is what it has to be started with."""

    def __init__(self, library: Path, control_file: Path) -> None:
        self._library = library
        self._control_file = control_file
        control_file.write_bytes(bytes(_FIELD.size * _FIELD_COUNT))
        with control_file.open("r+b") as file:
            self._control = mmap.mmap(file.fileno(), _FIELD.size * _FIELD_COUNT)

    @property
    def environment(self) -> dict[str, str]:
        """The variables that load the library into a process and name its control file."""
        return {"LD_PRELOAD": str(self._library), "SYSCALL_FAULTS_CONTROL": str(self._control_file)}

    @property
    def injected_count(self) -> int:
        """How many failures, short transfers and interruptions there were so far."""
        return self._read(_Field.INJECTED_COUNT.value)

    def step_wall_clock(self, offset_ns: int) -> None:
        """Set how far the wall clock of the process is ahead of the machine's."""
        self._write(_Field.WALL_CLOCK_OFFSET_NS.value, offset_ns)

    def fail(self, call: FaultyCall, error: int, count: int) -> None:
        """Let the next `count` of these calls fail with this errno; 0 ends it."""
        self._write(call.value, error)
        self._write(call.value + 1, count)

    def remaining(self, call: FaultyCall) -> int:
        """Return how many of these calls are still to fail."""
        return self._read(call.value + 1)

    def limit_transfers(self, max_read_bytes: int = 0, max_write_bytes: int = 0) -> None:
        """Let reads and writes of sockets move at most this much at once; 0: no limit."""
        self._write(_Field.MAX_READ_BYTES.value, max_read_bytes)
        self._write(_Field.MAX_WRITE_BYTES.value, max_write_bytes)

    def interrupt_every(self, count: int) -> None:
        """Interrupt each n-th read, write and accept once (EINTR); 0 ends it."""
        self._write(_Field.INTERRUPT_EVERY.value, count)

    def clear(self) -> None:
        """End all faults but a step of the wall clock, which lasts."""
        for call in FaultyCall:
            self.fail(call, 0, 0)
        self.limit_transfers()
        self.interrupt_every(0)

    def close(self) -> None:
        """Unmap the control file."""
        self._control.close()

    def _write(self, position: int, value: int) -> None:
        _FIELD.pack_into(self._control, position * _FIELD.size, value)

    def _read(self, position: int) -> int:
        value: int = _FIELD.unpack_from(self._control, position * _FIELD.size)[0]
        return value

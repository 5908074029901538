"""The errors of the soak."""

from __future__ import annotations


class SoakError(Exception):
    """The soak itself cannot go on; it says nothing of the sidecars."""


class FaultLibraryError(SoakError):
    """The library that makes system calls fail could not be built."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"the library of system call faults cannot be built: {reason}")
        self.reason = reason


class SidecarNotReadyError(SoakError):
    """A sidecar did not become ready at the start of the soak."""

    def __init__(self, name: str, log: str) -> None:
        super().__init__(f"sidecar {name} did not become ready: {log[-500:]}")
        self.name = name

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


class MutationError(SoakError):
    """A mutant cannot be applied, because the text that it replaces is not in its file exactly once.

    Attributes:
        mutant: the name of the mutant.
        path: the file, relative to the root of the repository.
        occurrences: how often the text is there.
    """

    def __init__(self, mutant: str, path: str, occurrences: int) -> None:
        super().__init__(
            f"mutant {mutant!r}: its text is {occurrences} times in {path}, not once; see soak/mutants.py"
        )
        self.mutant = mutant
        self.path = path
        self.occurrences = occurrences

"""The errors of the soak."""

from __future__ import annotations


class SoakError(Exception):
    """The soak itself cannot run; the error says nothing about the sidecars under test."""


class FaultLibraryError(SoakError):
    """The library that makes system calls fail could not be built.

    Attributes:
        reason: the error output of the compiler, or why it did not run.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"the library of system call faults cannot be built: {reason}")
        self.reason = reason


class SidecarNotReadyError(SoakError):
    """A sidecar did not become ready at the start of the soak.

    Attributes:
        name: the name of the sidecar.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"sidecar {name} did not become ready; with --keep DIR its log is kept")
        self.name = name


class MutationError(SoakError):
    """A mutant cannot be applied, as the text that it replaces does not occur exactly once in its file.

    Attributes:
        mutant: the name of the mutant.
        path: the file, relative to the root of the repository.
        occurrences: how often the text occurs in the file.
    """

    def __init__(self, mutant: str, path: str, occurrences: int) -> None:
        super().__init__(
            f"mutant {mutant!r}: its text occurs {occurrences} times in {path}, not once as expected; "
            "see soak/mutants.py"
        )
        self.mutant = mutant
        self.path = path
        self.occurrences = occurrences

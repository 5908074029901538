"""Errors of the benchmarks."""

from __future__ import annotations


class BenchmarkError(Exception):
    """Base class of the errors of the benchmarks; each has a message of one line."""


class SidecarNotReadyError(BenchmarkError):
    """The sidecar did not pass its readiness check in time."""

    def __init__(self, timeout_seconds: float) -> None:
        super().__init__(f"the sidecar was not ready within {timeout_seconds:.0f} s")
        self.timeout_seconds = timeout_seconds


class SidecarExitedError(BenchmarkError):
    """The sidecar exited while it was measured."""

    def __init__(self, exit_code: int | None) -> None:
        description = "" if exit_code is None else f" with exit code {exit_code}"
        super().__init__(f"the sidecar exited{description}")
        self.exit_code = exit_code


class FailedRequestsError(BenchmarkError):
    """Some requests of a load were not served, so that the cost of a request cannot be compared."""

    def __init__(self, failed: int, total: int) -> None:
        super().__init__(f"{failed} of {total} requests were not served")
        self.failed = failed
        self.total = total

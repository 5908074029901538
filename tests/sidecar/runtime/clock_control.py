"""Stops and advances the clock of a sidecar that a test runs."""

from __future__ import annotations

from balancer.sidecar.runtime.clock import Clock


def stop_clock(clock: Clock) -> None:
    """Stop the clock at its current time."""
    stopped_at_ns = clock.monotonic_ns()
    clock.monotonic_ns = lambda: stopped_at_ns


def advance_clock(clock: Clock, duration_ns: int) -> None:
    """Set the clock forward; a running clock continues from there."""
    monotonic_ns = clock.monotonic_ns
    clock.monotonic_ns = lambda: monotonic_ns() + duration_ns

"""The signals that a sidecar handles, and when it may take them."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
"""SIGTERM and SIGINT shut down, SIGHUP reloads the configuration, SIGUSR1 writes the counters to the log."""


def block_signals() -> None:
    """Hold back the signals that the sidecar handles, in this thread and those that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Let this thread take the signals that the sidecar handles."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

"""The signals that a sidecar handles, and the functions that block and unblock them."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
"""SIGTERM and SIGINT start a shutdown, SIGHUP reloads the configuration, SIGUSR1 logs the metrics."""


def block_signals() -> None:
    """Block the handled signals in this thread and in the threads that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Unblock the handled signals in this thread."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

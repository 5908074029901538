"""Starts one sidecar: `python -m balancer`, with the configuration file that PROXY_CONFIG names."""

from __future__ import annotations

import errno
import gc
import logging
import os
import sys
import time

import uvloop

from balancer.errors import ConfigurationError
from balancer.sidecar.configuration import (
    SidecarConfiguration,
    UnreadableConfigurationError,
    load_configuration,
)
from balancer.sidecar.process.lifecycle import run_sidecar
from balancer.sidecar.process.signals import block_signals
from balancer.sidecar.runtime.sockets import RESOURCE_SHORTAGE_ERRNOS

LOG_FORMAT = "%(levelname)s %(name)s: %(message)s"
"""The format of a log line; its message consists of an event and its fields, `event key=value key=value`."""

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
"""The allowed values of the environment variable PROXY_LOG_LEVEL."""

DEFAULT_LOG_LEVEL = "WARNING"
"""The log level if PROXY_LOG_LEVEL is not set or has another value."""

EXIT_OS_ERROR = 1
"""The exit code if an error of the operating system keeps the sidecar from starting."""

EXIT_CONFIGURATION_ERROR = 2
"""The exit code if the configuration is missing or invalid."""

MAX_START_SECONDS = 25.0
"""How long the start is retried during a resource shortage: a sidecar not ready within 30 s has failed."""

START_RETRY_SECONDS = 0.05
"""The pause before the start is retried; it is short compared with the 30 s to become ready."""

TRANSIENT_READ_ERRNOS = RESOURCE_SHORTAGE_ERRNOS | {errno.EIO, errno.EAGAIN}
"""Errors of reading the configuration that may be transient; a missing file is not one of them."""


def main() -> int:
    """Run a sidecar until a signal ends it, and return the exit code of the process."""
    logging.basicConfig(level=_log_level(os.environ.get("PROXY_LOG_LEVEL", "")), format=LOG_FORMAT)
    start_deadline_seconds = time.monotonic() + MAX_START_SECONDS
    try:
        config = _load_configuration(start_deadline_seconds)
    except ConfigurationError as error:
        print(f"balancer: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    # Threads that are started from here on inherit the blocked signals. Thus only the main thread handles
    # signals, and it can block them again at its end.
    block_signals()
    gc.freeze()  # the modules stay loaded: the collector need not traverse their objects again
    try:
        _run(config, start_deadline_seconds)
    except OSError as error:
        print(f"balancer: {error}", file=sys.stderr)
        return EXIT_OS_ERROR
    return 0


def _log_level(name: str) -> str:
    """Return the log level of this name; an unknown name gives the default, as the program must start."""
    return name.upper() if name.upper() in LOG_LEVELS else DEFAULT_LOG_LEVEL


def _load_configuration(start_deadline_seconds: float) -> SidecarConfiguration:
    """Load the configuration, and retry after a transient error. Raises ConfigurationError."""
    while True:
        try:
            return load_configuration(os.environ)
        except UnreadableConfigurationError as error:
            is_transient = error.error_number in TRANSIENT_READ_ERRNOS
            if not is_transient or time.monotonic() >= start_deadline_seconds:
                raise
        time.sleep(START_RETRY_SECONDS)


def _run(config: SidecarConfiguration, start_deadline_seconds: float) -> None:
    """Run the sidecar; if a resource shortage keeps it from starting, retry the start. Raises OSError."""
    while True:
        try:
            uvloop.run(run_sidecar(config))
        except OSError as error:
            is_shortage = error.errno in RESOURCE_SHORTAGE_ERRNOS
            if not is_shortage or time.monotonic() >= start_deadline_seconds:
                raise
        else:
            return
        time.sleep(START_RETRY_SECONDS)


if __name__ == "__main__":
    sys.exit(main())

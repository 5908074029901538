"""Start one sidecar: `python -m balancer`, with the configuration file that `PROXY_CONFIG` names."""

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
from balancer.sidecar.process.lifecycle import block_signals, run_sidecar
from balancer.sidecar.runtime.sockets import RESOURCE_SHORTAGE_ERRNOS

LOG_FORMAT = "%(levelname)s %(name)s: %(message)s"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
DEFAULT_LOG_LEVEL = "WARNING"

EXIT_OS_ERROR = 1
EXIT_CONFIGURATION_ERROR = 2

MAX_START_SECONDS = 25.0
"""From the start until a shortage ends the process: a sidecar that is not ready in 30 s has failed."""
START_RETRY_SECONDS = 0.05
TRANSIENT_READ_ERRNOS = RESOURCE_SHORTAGE_ERRNOS | {errno.EIO, errno.EAGAIN}
"""Errors of reading the configuration that may be over soon; a file that is missing is not."""


def main() -> int:
    """Run a sidecar until it is told to stop, and return the exit code of the process."""
    logging.basicConfig(level=_log_level(os.environ.get("PROXY_LOG_LEVEL", "")), format=LOG_FORMAT)
    start_deadline = time.monotonic() + MAX_START_SECONDS
    try:
        config = _load_configuration(start_deadline)
    except ConfigurationError as error:
        print(f"balancer: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    # Threads that are started meanwhile keep the signals blocked: the main thread alone takes them, and can
    # block them again at its end.
    block_signals()
    gc.freeze()  # what is loaded by now stays: the collector need not go over it again
    try:
        _run(config, start_deadline)
    except OSError as error:
        print(f"balancer: {error}", file=sys.stderr)
        return EXIT_OS_ERROR
    return 0


def _log_level(name: str) -> str:
    """Return the log level of this name; another name counts as none, as the program must start."""
    return name.upper() if name.upper() in LOG_LEVELS else DEFAULT_LOG_LEVEL


def _load_configuration(start_deadline: float) -> SidecarConfiguration:
    """Load the configuration, once more after an error that may be over soon. Raises ConfigurationError."""
    while True:
        try:
            return load_configuration(os.environ)
        except UnreadableConfigurationError as error:
            if error.error_number not in TRANSIENT_READ_ERRNOS or time.monotonic() >= start_deadline:
                raise
        time.sleep(START_RETRY_SECONDS)


def _run(config: SidecarConfiguration, start_deadline: float) -> None:
    """Run the sidecar; where a shortage keeps it from starting, start it again. Raises OSError."""
    while True:
        try:
            uvloop.run(run_sidecar(config))
        except OSError as error:
            if error.errno not in RESOURCE_SHORTAGE_ERRNOS or time.monotonic() >= start_deadline:
                raise
        else:
            return
        time.sleep(START_RETRY_SECONDS)


if __name__ == "__main__":
    sys.exit(main())

"""Start one sidecar: `python -m balancer`, with the configuration file that `PROXY_CONFIG` names."""

from __future__ import annotations

import gc
import logging
import os
import sys

import uvloop

from balancer.errors import ConfigurationError
from balancer.sidecar.configuration import load_configuration
from balancer.sidecar.lifecycle import block_signals, run_sidecar

EXIT_OS_ERROR = 1
EXIT_CONFIGURATION_ERROR = 2


def main() -> int:
    """Run a sidecar until it is told to stop, and return the exit code of the process."""
    logging.basicConfig(level=logging.WARNING, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load_configuration(os.environ)
    except ConfigurationError as error:
        print(f"balancer: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    # Threads that are started meanwhile keep the signals blocked: the main thread alone takes them, and can
    # block them again at its end.
    block_signals()
    gc.freeze()  # what is loaded by now stays: the collector need not go over it again
    try:
        uvloop.run(run_sidecar(config))
    except OSError as error:
        print(f"balancer: {error}", file=sys.stderr)
        return EXIT_OS_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())

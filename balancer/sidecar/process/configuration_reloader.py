"""Reloads the configuration of a running sidecar."""

from __future__ import annotations

import asyncio
import logging
import os

from balancer.errors import ConfigurationError
from balancer.sidecar.configuration import UnreadableConfigurationError, load_configuration
from balancer.sidecar.discovery.client import DiscoveryClient
from balancer.sidecar.runtime.timers import OneShotTimer

RELOAD_DELAY_SECONDS = 0.02
"""The delay from a SIGHUP to the reload.

A burst of signals then causes a single reload, which leaves the event loop time to serve requests.
"""

RELOAD_RETRY_SECONDS = 0.1
"""The pause before a file that could not be read is read again."""

MAX_RELOAD_ATTEMPTS = 30
"""The number of reads of the file in one reload.

They take 3 s, as a new address of discovery has to be in use 4 s after the SIGHUP.
"""

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Reads the configuration again on request, and applies a new address of discovery.

    No other value can change while the sidecar runs. A burst of requests causes a single reload: one for each
    would keep the event loop from everything else. A file that cannot be read is read again for up to 3 s.
    """

    def __init__(self, discovery: DiscoveryClient, loop: asyncio.AbstractEventLoop) -> None:
        self._discovery = discovery
        self._timer = OneShotTimer(loop)
        self._attempts_left = 0

    def request_reload(self) -> None:
        """Schedule a reload; one that is pending gets its full number of attempts again."""
        self._attempts_left = MAX_RELOAD_ATTEMPTS
        if not self._timer.is_running:
            self._timer.start(RELOAD_DELAY_SECONDS, self._reload)

    def cancel(self) -> None:
        """Cancel a pending reload."""
        self._timer.cancel()

    def _reload(self) -> None:
        is_first_attempt = self._attempts_left == MAX_RELOAD_ATTEMPTS
        self._attempts_left -= 1
        try:
            config = load_configuration(os.environ)
        except UnreadableConfigurationError as error:
            if is_first_attempt:
                _log_failure(error)
            if self._attempts_left:
                self._timer.start(RELOAD_RETRY_SECONDS, self._reload)
        except ConfigurationError as error:
            _log_failure(error)
        else:
            log.info("configuration_reloaded discovery=%s", config.discovery_address)
            self._discovery.change_address(config.discovery_address)


def _log_failure(error: ConfigurationError) -> None:
    """Log why the reload failed; the current configuration stays in use."""
    log.error('reload_failed error=%s detail="%s"', type(error).__name__, error)

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
"""From a SIGHUP to the reload: the signals of a burst cause one reload, and leave the loop time to serve."""

RELOAD_RETRY_SECONDS = 0.1
"""Until a file that could not be read is tried again."""

MAX_RELOAD_ATTEMPTS = 30
"""Reads of the file in one reload, over 3 s: a new address of discovery is in force 4 s after SIGHUP."""

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Reads the configuration again on request. Only the address of discovery can change in service.

    A burst of requests causes one reload: one for each would keep the loop from everything else. A file that
    cannot be read is tried again for a while.
    """

    def __init__(self, discovery: DiscoveryClient, loop: asyncio.AbstractEventLoop) -> None:
        self._discovery = discovery
        self._timer = OneShotTimer(loop)
        self._attempts_left = 0

    def request_reload(self) -> None:
        """Reload soon; a reload that is pending gets its full number of attempts again."""
        self._attempts_left = MAX_RELOAD_ATTEMPTS
        if not self._timer.is_running:
            self._timer.start(RELOAD_DELAY_SECONDS, self._reload)

    def cancel(self) -> None:
        """Cancel a reload that is pending."""
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
    """Log why the configuration in force stays as it is."""
    log.error('reload_failed error=%s detail="%s"', type(error).__name__, error)

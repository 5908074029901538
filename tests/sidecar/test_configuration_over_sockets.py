"""Tests of a setting that only the simulator may use, in the configuration of a sidecar with real sockets."""

from __future__ import annotations

from balancer.sidecar.configuration import parse_configuration
from tests.sidecar.configuration_documents import SETTINGS, configuration
from tests.sidecar.scripted_endpoint import unreachable_address


def test_connection_carries_one_request_at_a_time_whatever_the_settings_say() -> None:
    """The settings may allow several for the simulator's connections, but HTTP/1.1 allows one."""
    settings = SETTINGS | {"Limits": {"StreamsPerConn": 100}}
    config = parse_configuration(configuration(unreachable_address(), settings=settings))
    assert config.settings.streams_per_connection == 1

"""Tests of the configuration of a sidecar: fields of its errors, unexpected errors, environment variables."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from balancer.errors import ConfigurationError
from balancer.settings_parser import SettingsError
from balancer.sidecar import configuration as configuration_module
from balancer.sidecar.configuration import load_configuration, parse_configuration
from tests.sidecar.configuration_documents import SETTINGS, configuration


@pytest.mark.parametrize(
    ("changes", "key", "value"),
    [
        ({"listen": "here"}, "listen", "here"),
        ({"discovery": ":80"}, "discovery", ":80"),
        ({"peers": ["h:1", 7]}, "peers", 7),
        ({"seed": "xyz"}, "seed", "xyz"),
        ({"seed": float("inf")}, "seed", float("inf")),
        ({"settings": 7}, "settings", 7),
        ({"known": {"seq": "1", "hosts": []}}, "known", "1"),
        ({"settings": SETTINGS | {"Orgs": [7]}}, "Orgs", 7),
        ({"settings": SETTINGS | {"Limits": {"ConnectTimeoutNs": 0}}}, "ConnectTimeoutNs", 0),
    ],
)
def test_error_carries_the_key_and_the_value(changes: dict[str, Any], key: str, value: object) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(configuration(**changes))
    assert caught.value.key == key
    assert caught.value.value == value
    assert key in str(caught.value)
    assert "\n" not in str(caught.value)
    assert isinstance(caught.value, SettingsError) == (key in ("Orgs", "ConnectTimeoutNs"))


@pytest.mark.parametrize("error_type", [AttributeError, KeyError, OverflowError, TypeError, ValueError])
def test_unexpected_error_becomes_a_configuration_error(
    error_type: type[Exception], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reload must not end the process: an error that the parser does not expect is converted, too."""

    def fail(_fields: object) -> None:
        raise error_type("unexpected")

    monkeypatch.setattr(configuration_module, "parse_configuration", fail)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration()))
    with pytest.raises(ConfigurationError, match=r"PROXY_CONFIG has an invalid value: .*unexpected"):
        load_configuration({"PROXY_CONFIG": str(path)})


def test_environment_variables_replace_only_keys_missing_from_the_file(tmp_path: Path) -> None:
    fields = configuration()
    del fields["name"]
    del fields["listen"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(fields))
    environment = {
        "PROXY_CONFIG": str(path),
        "PROXY_NAME": "n7",
        "PROXY_LISTEN": "[::1]:80",
        "PROXY_DISCOVERY": "x",
    }
    loaded = load_configuration(environment)
    assert loaded.name == "n7"
    assert loaded.listen_address == ("::1", 80)
    host, _, port = fields["discovery"].rpartition(":")
    assert loaded.discovery_address == (host, int(port))

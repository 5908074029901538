"""The configuration of a sidecar: what its errors carry, and that no file ends in any other error."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from balancer.errors import ConfigurationError
from balancer.settings_parser import SettingsError
from balancer.sidecar import configuration as configuration_module
from balancer.sidecar.configuration import load_configuration, parse_configuration
from tests.sidecar.harness import SETTINGS, configuration


@pytest.mark.parametrize(
    ("change", "key", "value"),
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
def test_a_configuration_error_carries_the_key_and_the_value(
    change: dict[str, Any], key: str, value: object
) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(configuration(**change))
    assert (caught.value.key, caught.value.value) == (key, value)
    assert key in str(caught.value)
    assert "\n" not in str(caught.value)
    assert isinstance(caught.value, SettingsError) == (key in ("Orgs", "ConnectTimeoutNs"))


@pytest.mark.parametrize("fault", [AttributeError, KeyError, OverflowError, TypeError, ValueError])
def test_a_value_that_no_check_foresaw_is_a_configuration_error(
    fault: type[Exception], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A file that is read again in service must not bring the sidecar down."""

    def fail(_raw: object) -> None:
        raise fault("unforeseen")

    monkeypatch.setattr(configuration_module, "parse_configuration", fail)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration()))
    with pytest.raises(ConfigurationError, match=r"PROXY_CONFIG makes no sense: .*unforeseen"):
        load_configuration({"PROXY_CONFIG": str(file)})


def test_single_variables_stand_in_for_what_the_file_leaves_out(tmp_path: Path) -> None:
    fields = configuration()
    del fields["name"], fields["listen"]
    file = tmp_path / "config.json"
    file.write_text(json.dumps(fields))
    environ = {
        "PROXY_CONFIG": str(file),
        "PROXY_NAME": "n7",
        "PROXY_LISTEN": "[::1]:80",
        "PROXY_DISCOVERY": "x",
    }
    loaded = load_configuration(environ)
    assert (loaded.name, loaded.listen_address) == ("n7", ("::1", 80))
    host, _, port = fields["discovery"].rpartition(":")
    assert loaded.discovery_address == (host, int(port))

"""Tests of the settings parser: optional and unknown keys, and the key that an error names."""

from __future__ import annotations

import json

import pytest

from balancer.policy_api import DeduplicationScope, Idempotency, Settings
from balancer.settings_parser import SettingsError, parse_settings
from tests.settings_samples import MINIMAL_SETTINGS


def parse_changed(**changes: object) -> Settings:
    """Parse the minimal settings with some top-level keys replaced or added."""
    return parse_settings(json.dumps(MINIMAL_SETTINGS | changes).encode())


def test_unknown_keys_are_ignored_and_optional_keys_have_defaults() -> None:
    settings = parse_changed(Novel=[1])
    [request_class] = settings.classes
    assert request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
    assert request_class.deduplication_scope == DeduplicationScope.CELL
    assert request_class.priority_weight == 2
    assert request_class.late_response_value == 0
    assert settings.streams_per_connection == 1
    assert parse_changed(Limits={"StreamsPerConn": 100}).streams_per_connection == 100


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"Categories": []}, "Categories"),
        ({"Categories": [{"HardLimitNs": 9, "Effect": "dedup"}]}, "AimNs"),
        ({"Categories": [{"AimNs": "x", "HardLimitNs": 9, "Effect": "dedup"}]}, "AimNs"),
        ({"Categories": [{"AimNs": 5, "HardLimitNs": 9, "Effect": "odd"}]}, "Effect"),
        ({"Rules": 7}, "Rules"),
        ({"Rules": {"ColdNs": -1}}, "ColdNs"),
        ({"NInstances": 0}, "NInstances"),
        ({"Limits": {"StreamsPerConn": 0}}, "StreamsPerConn"),
    ],
)
def test_error_names_the_invalid_key(changes: dict[str, object], key: str) -> None:
    with pytest.raises(SettingsError, match=key):
        parse_changed(**changes)

"""Tests of parsing endpoint lists: stored by an older version, malformed, and with invalid entries."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from balancer.errors import ProtocolError
from balancer.policy_api import Endpoint, EndpointHealth
from balancer.sidecar.configuration import parse_configuration
from balancer.sidecar.discovery.endpoint_list import (
    DiscoveredEndpoint,
    MalformedEndpointListError,
    NameIndices,
    derive_endpoint_id,
    parse_endpoint_list,
)
from balancer.sidecar.runtime.address import Address
from tests.sidecar.configuration_documents import SETTINGS, configuration, endpoint_entry, endpoint_list

STORED_LIST = """{
  "seq": 41,
  "whole": true,
  "hosts": [
    {"host": "s-7f3a", "dial": "10.0.3.17:8080", "site": "bangna", "class": "new-4c", "block": 3,
     "health": "up", "share": 1.5, "born_ms": 1709123456789},
    {"host": "s-81b0", "dial": "[fd00::17]:8080", "site": "ladprao", "class": "old-2c", "block": 4,
     "health": "draining", "share": 0.5, "born_ms": 0},
    {"host": "s-90c4", "dial": "10.0.3.19:8080", "site": "unheard", "class": "of", "block": 5,
     "health": "removed", "share": 1, "born_ms": 7}
  ]
}"""
"""An endpoint list in the configuration of an older version; the third entry has unknown names."""

NAMES = NameIndices(
    zones={"bangna": 0, "ladprao": 1},
    machine_classes={"new-4c": 0, "old-2c": 1},
)


def test_list_stored_by_an_older_version_is_parsed() -> None:
    settings = SETTINGS | {"Azs": ["bangna", "ladprao"], "Kinds": ["new-4c", "old-2c"]}
    known = parse_configuration(
        configuration(settings=settings, known=json.loads(STORED_LIST))
    ).cached_endpoints
    assert known.version == 41
    assert known.is_snapshot is True
    assert known.endpoints == (
        DiscoveredEndpoint(
            Endpoint(
                id=bytes.fromhex("bb231e58f91e4b5a"),
                zone=0,
                machine_class=0,
                cell=3,
                health=EndpointHealth.READY,
                weight=1.5,
                started_at_ns=1_709_123_456_789_000_000,
            ),
            Address("10.0.3.17", 8080),
        ),
        DiscoveredEndpoint(
            Endpoint(derive_endpoint_id("s-81b0"), 1, 1, 4, EndpointHealth.DRAINING, 0.5, 0),
            Address("fd00::17", 8080),
        ),
        DiscoveredEndpoint(
            Endpoint(derive_endpoint_id("s-90c4"), 0, 0, 5, EndpointHealth.REMOVED, 1.0, 7_000_000),
            Address("10.0.3.19", 8080),
        ),
    )


@pytest.mark.parametrize("absent", [None, {}, []])
def test_missing_list_is_an_empty_snapshot(absent: object) -> None:
    known = parse_configuration(configuration(known=absent)).cached_endpoints
    assert known.version == 0
    assert known.is_snapshot is True
    assert known.endpoints == ()


@pytest.mark.parametrize(
    ("raw", "key", "value"),
    [
        (7, "list", 7),
        ([], "list", []),
        ({"seq": 1}, "hosts", None),
        ({"seq": 1, "hosts": {}}, "hosts", {}),
        ({"hosts": []}, "seq", None),
        ({"seq": True, "hosts": []}, "seq", True),
        ({"seq": "1", "hosts": []}, "seq", "1"),
        ({"seq": 1.0, "hosts": []}, "seq", 1.0),
    ],
)
def test_malformed_list_is_rejected_with_the_key_and_the_value(raw: object, key: str, value: object) -> None:
    with pytest.raises(MalformedEndpointListError, match=key) as caught:
        parse_endpoint_list(raw, NAMES)
    assert isinstance(caught.value, ProtocolError)
    assert caught.value.key == key
    assert caught.value.value == value
    assert "\n" not in str(caught.value)


def host_entry(**changes: Any) -> dict[str, Any]:
    valid = {"host": "s-1", "dial": "127.0.0.1:9", "health": "up"}
    return valid | changes


@pytest.mark.parametrize(
    ("invalid_entry", "message"),
    [
        (7, "entry is not a JSON object"),
        ({}, "host is not a string"),
        (host_entry(host=3), "host is not a string"),
        (host_entry(host="\ud800"), "host cannot be encoded"),
        (host_entry(health="odd"), "host 's-1': health must be one of its defined values, got 'odd'"),
        (host_entry(health=[]), "host 's-1': health must be one of its defined values, got []"),
        (host_entry(dial="nowhere"), "host 's-1': dial is 'nowhere', not an address of the form host:port"),
        (host_entry(dial="h:65536"), "dial is 'h:65536', not an address of the form host:port"),
        (host_entry(dial="h:" + "9" * 5000), "dial is 'h:999"),
        (host_entry(dial=None), "dial is None, not an address of the form host:port"),
        (host_entry(block="x"), "block is 'x', not a number"),
        (host_entry(block=None), "block is None, not a number"),
        (host_entry(share=float("nan")), "share is nan, not a finite number"),
        (host_entry(share=10**400), "share is 1000"),
        (host_entry(born_ms=float("inf")), "born_ms is inf, not a number"),
    ],
)
def test_invalid_entry_is_logged_and_skipped(
    invalid_entry: object, message: str, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.WARNING):
        update = parse_endpoint_list({"seq": 1, "hosts": [invalid_entry, host_entry(host="s-2")]}, NAMES)
    assert [parsed.endpoint.id for parsed in update.endpoints] == [derive_endpoint_id("s-2")]
    [record] = caplog.records
    assert message in record.getMessage()
    assert "InvalidEndpointEntryError" in record.getMessage()


def test_numbers_are_parsed_from_text_and_from_floats() -> None:
    host = host_entry(block="12", share="0.5", born_ms=2.9)
    [parsed] = parse_endpoint_list({"seq": 1, "hosts": [host]}, NAMES).endpoints
    assert parsed.endpoint.cell == 12
    assert parsed.endpoint.weight == 0.5
    assert parsed.endpoint.started_at_ns == 2_000_000


@pytest.mark.parametrize("health", ["draining", "removed"])
def test_draining_or_removed_entry_whose_host_cannot_be_encoded_hides_no_other(health: str) -> None:
    unencodable = endpoint_entry("s-\ud800", "127.0.0.1:9", health)
    document = endpoint_list(7, unencodable, endpoint_entry("s-1", "127.0.0.1:9", "draining"))
    [other] = parse_endpoint_list(document, NAMES).endpoints
    assert other.endpoint.id == derive_endpoint_id("s-1")

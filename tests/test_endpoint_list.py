"""Endpoint lists in discovery's JSON form: stored by older versions, malformed, and with invalid entries."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from balancer.errors import ProtocolError
from balancer.policy_api import Endpoint, EndpointHealth
from balancer.sidecar.configuration import parse_configuration
from balancer.sidecar.endpoint_list import (
    DiscoveredEndpoint,
    MalformedEndpointListError,
    NameIndices,
    derive_endpoint_id,
    parse_endpoint_list,
)
from tests.sidecar.harness import SETTINGS, configuration

# As a sidecar's configuration held it before the code was renamed.
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
NAMES = NameIndices(
    zones={"bangna": 0, "ladprao": 1},
    machine_classes={"new-4c": 0, "old-2c": 1},
)


def test_a_known_list_stored_by_an_older_version_is_read() -> None:
    settings = SETTINGS | {"Azs": ["bangna", "ladprao"], "Kinds": ["new-4c", "old-2c"]}
    known = parse_configuration(
        configuration(settings=settings, known=json.loads(STORED_LIST))
    ).known_endpoints
    assert (known.version, known.is_snapshot) == (41, True)
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
            ("10.0.3.17", 8080),
        ),
        DiscoveredEndpoint(
            Endpoint(derive_endpoint_id("s-81b0"), 1, 1, 4, EndpointHealth.DRAINING, 0.5, 0),
            ("fd00::17", 8080),
        ),
        DiscoveredEndpoint(
            Endpoint(derive_endpoint_id("s-90c4"), 0, 0, 5, EndpointHealth.REMOVED, 1.0, 7_000_000),
            ("10.0.3.19", 8080),
        ),
    )


@pytest.mark.parametrize("absent", [None, {}, []])
def test_no_known_list_is_an_empty_snapshot(absent: object) -> None:
    known = parse_configuration(configuration(known=absent)).known_endpoints
    assert (known.version, known.is_snapshot, known.endpoints) == (0, True, ())


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
def test_a_malformed_list_is_a_typed_error_that_names_the_field(raw: object, key: str, value: object) -> None:
    with pytest.raises(MalformedEndpointListError, match=key) as caught:
        parse_endpoint_list(raw, NAMES)
    assert isinstance(caught.value, ProtocolError)
    assert (caught.value.key, caught.value.value) == (key, value)
    assert "\n" not in str(caught.value)


def entry(**changes: Any) -> dict[str, Any]:
    valid = {"host": "s-1", "dial": "127.0.0.1:9", "health": "up"}
    return valid | changes


@pytest.mark.parametrize(
    ("invalid", "said"),
    [
        (7, "entry is not an object"),
        ({}, "host is not a text"),
        (entry(host=3), "host is not a text"),
        (entry(host="\ud800"), "host cannot be encoded"),
        (entry(health="odd"), "host 's-1': health is 'odd'"),
        (entry(health=[]), "host 's-1': health is []"),
        (entry(dial="nowhere"), "host 's-1': dial is 'nowhere', not an address"),
        (entry(dial="h:65536"), "dial is 'h:65536', not an address"),
        (entry(dial="h:" + "9" * 5000), "dial is 'h:999"),
        (entry(dial=None), "dial is None, not an address"),
        (entry(block="x"), "block is 'x', not a number"),
        (entry(block=None), "block is None, not a number"),
        (entry(share=float("nan")), "share is nan, not finite"),
        (entry(share=10**400), "share is 1000"),
        (entry(born_ms=float("inf")), "born_ms is inf, not a number"),
    ],
)
def test_an_invalid_entry_is_logged_and_skipped(
    invalid: object, said: str, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.WARNING):
        update = parse_endpoint_list({"seq": 1, "hosts": [invalid, entry(host="s-2")]}, NAMES)
    assert [found.endpoint.id for found in update.endpoints] == [derive_endpoint_id("s-2")]
    [record] = caplog.records
    assert said in record.getMessage()
    assert "InvalidEndpointEntryError" in record.getMessage()


def test_numbers_may_be_written_as_text_or_as_other_kinds_of_numbers() -> None:
    odd = entry(block="12", share="0.5", born_ms=2.9)
    [found] = parse_endpoint_list({"seq": 1, "hosts": [odd]}, NAMES).endpoints
    assert (found.endpoint.cell, found.endpoint.weight, found.endpoint.started_at_ns) == (12, 0.5, 2_000_000)

"""Tests that the example configuration, and the request that the example prints, are valid."""

from __future__ import annotations

import re
import shlex
from itertools import pairwise
from pathlib import Path

from balancer.sidecar.configuration import SidecarConfiguration, load_configuration
from balancer.sidecar.downstream.request_validator import RequestValidator
from balancer.sidecar.http.request import parse_request_head

EXAMPLE = Path(__file__).parent.parent / "deploy" / "example"


def load_example() -> SidecarConfiguration:
    return load_configuration({"PROXY_CONFIG": str(EXAMPLE / "config.json")})


def test_configuration_lists_both_account_servers() -> None:
    addresses = [entry.address for entry in load_example().cached_endpoints.endpoints]
    assert addresses == [("127.0.0.1", 9001), ("127.0.0.1", 9002)]
    script = (EXAMPLE / "run").read_text()
    assert all(f"account_server.py {port}" in script for _, port in addresses)


def test_printed_request_is_accepted() -> None:
    [command] = re.findall(r"^ +(curl .*)$", (EXAMPLE / "run").read_text(), re.MULTILINE)
    arguments = shlex.split(command)
    headers = [value for option, value in pairwise(arguments) if option == "-H"]
    target = arguments[-1].removeprefix("http://127.0.0.1:8080")
    head = parse_request_head("\r\n".join([f"GET {target} HTTP/1.1", *headers, "", ""]).encode())
    request = RequestValidator(load_example()).validate(head, b"")
    assert request.client_request_id == b"1"
    assert request.timeout_ns == 2_000_000_000

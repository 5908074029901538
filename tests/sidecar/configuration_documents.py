"""Configurations, settings and endpoint lists for the tests, as JSON documents."""

from __future__ import annotations

import socket
from typing import Any

SETTINGS: dict[str, Any] = {  # names and units are those of the settings document
    "Azs": ["bangna"],
    "Kinds": ["new-4c"],
    "Categories": [
        {
            "Name": "read",
            "Effect": "retryable",
            "AimNs": 2_000_000_000,
            "HardLimitNs": 9_000_000_000,
            "Importance": 1,
            "LateWorth": 0.5,
        },
        {
            "Name": "post",
            "Effect": "fragile",
            "AimNs": 2_000_000_000,
            "HardLimitNs": 9_000_000_000,
            "Importance": 8,
            "LateWorth": 0.5,
        },
    ],
    "Limits": {
        "MaxAttempts": 5,
        "Probes": True,
        "Peers": True,
        "ConnectTimeoutNs": 5_000_000_000,
        "ConnIdleNs": 60_000_000_000,
    },
    "Stats": {"Fields": ["rate", "lat_ms", "busy"], "Via": "inline"},
    "Discovery": "pushed",
    "NInstances": 2,
}

_bound_socket = socket.socket()
_bound_socket.bind(("127.0.0.1", 0))

UNREACHABLE_DISCOVERY = f"127.0.0.1:{_bound_socket.getsockname()[1]}"
"""An address where nothing ever listens, because its port stays bound for as long as the tests run.

A free port could be taken by a stand-in for an account server, also by one of another process, which would
then receive the calls to discovery.
"""


def endpoint_entry(name: str, address: str, health: str = "up") -> dict[str, Any]:
    """Return the entry of an endpoint in an endpoint list, in the form that discovery sends."""
    return {
        "host": name,
        "dial": address,
        "site": "bangna",
        "class": "new-4c",
        "block": 1,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def endpoint_list(version: int, *entries: dict[str, Any], is_snapshot: bool = True) -> dict[str, Any]:
    """Return a snapshot of the endpoint list, or a delta, in the form that discovery sends."""
    return {"seq": version, "whole": is_snapshot, "hosts": list(entries)}


def configuration(*addresses: str, discovery: str = "", **overrides: Any) -> dict[str, Any]:
    """Return the configuration of a sidecar, with overrides of its top-level keys.

    Its cached endpoint list has the endpoints s-0, s-1, ... at these addresses. Nothing listens at the
    address of discovery unless one is given.
    """
    entries = [endpoint_entry(f"s-{index}", address) for index, address in enumerate(addresses)]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery or UNREACHABLE_DISCOVERY,
        "seed": "1f",
        "limits": {"sockets": 1024},
        "known": endpoint_list(1, *entries),
        "settings": SETTINGS,
    } | overrides


def settings_with_overrides(*overrides: dict[str, Any], **settings: Any) -> dict[str, Any]:
    """Return `SETTINGS` with overrides of the first request classes, in order, and of top-level keys."""
    classes = list(SETTINGS["Categories"])
    for index, override in enumerate(overrides):
        classes[index] = classes[index] | override
    return SETTINGS | {"Categories": classes} | settings

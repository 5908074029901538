"""Configurations, settings and endpoint lists of the tests, in their JSON form."""

from __future__ import annotations

from typing import Any

from tests.sidecar.scripted_endpoint import unreachable_address


SETTINGS: dict[str, Any] = {
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


def endpoint_entry(name: str, address: str, health: str = "up") -> dict[str, Any]:
    """Return the entry of an endpoint in an endpoint list."""
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


def endpoint_list(sequence: int, *entries: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    """Return an endpoint list as discovery gives it; with `whole` a snapshot, else a delta."""
    return {"seq": sequence, "whole": whole, "hosts": list(entries)}


def configuration(*addresses: str, discovery: str = "", **changes: Any) -> dict[str, Any]:
    """Return the configuration of a sidecar that knows endpoints s-0, s-1, ... at these addresses."""
    entries = [endpoint_entry(f"s-{index}", address) for index, address in enumerate(addresses)]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery or unreachable_address(),
        "seed": "1f",
        "limits": {"sockets": 1024},
        "known": endpoint_list(1, *entries),
        "settings": SETTINGS,
    } | changes


def change_classes(*changes: dict[str, Any], **settings: Any) -> dict[str, Any]:
    """Return the usual settings, with these changes of the first request classes and of further settings."""
    classes = list(SETTINGS["Categories"])
    for index, change in enumerate(changes):
        classes[index] = classes[index] | change
    return SETTINGS | {"Categories": classes} | settings

"""Network addresses as the configuration and the endpoint lists write them."""

from __future__ import annotations

from typing import TypeAlias

from balancer.json_object import FieldErrorFactory

Address: TypeAlias = tuple[str, int]
"""A host, without the brackets of IPv6, and a port."""

MAX_PORT = 65_535


def parse_address(value: object, key: str, make_error: FieldErrorFactory) -> Address:
    """Parse `host:port`; an IPv6 host may stand in brackets.

    Raises what `make_error` makes for the key if the value is anything else.
    """
    text = value if isinstance(value, str) else ""
    host, _, port_text = text.rpartition(":")
    port = _parse_port(port_text)
    if not host or port is None:
        raise make_error(key, f"is {value!r}, not an address", value)
    return host.strip("[]"), port


def _parse_port(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()):
        return None
    try:
        port = int(text)
    except ValueError:  # Python refuses to convert thousands of digits
        return None
    return port if port <= MAX_PORT else None

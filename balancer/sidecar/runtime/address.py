"""Network addresses as the configuration and the endpoint lists write them."""

from __future__ import annotations

from typing import NamedTuple

from balancer.json_object import FieldErrorFactory

MAX_PORT = 65_535
"""The highest TCP or UDP port."""


class Address(NamedTuple):
    """Where a process listens. It is a tuple, as the functions of `socket` and `asyncio` take it."""

    host: str
    """The name or number of the host, without the brackets of IPv6."""
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(value: object, key: str, make_error: FieldErrorFactory) -> Address:
    """Parse `host:port`; an IPv6 host may stand in brackets.

    Raises what `make_error` makes for the key if the value is anything else.
    """
    text = value if isinstance(value, str) else ""
    host, _, port_text = text.rpartition(":")
    port = _parse_port(port_text)
    if not host or port is None:
        raise make_error(key, f"is {value!r}, not an address", value)
    return Address(host.strip("[]"), port)


def _parse_port(text: str) -> int | None:
    """Return the port of its decimal digits, or None if they are not one."""
    if not (text.isascii() and text.isdigit()):
        return None
    try:
        port = int(text)
    except ValueError:  # Python refuses to convert thousands of digits
        return None
    return port if port <= MAX_PORT else None

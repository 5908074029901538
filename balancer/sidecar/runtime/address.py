"""Network addresses, in the format of the configuration and the endpoint lists."""

from __future__ import annotations

from typing import NamedTuple

from balancer.json_object import FieldErrorFactory

MAX_PORT = 65_535
"""The highest TCP or UDP port."""


class Address(NamedTuple):
    """An address at which a process listens; a tuple, as the functions of `socket` and `asyncio` expect."""

    host: str
    """A host name or an IP address; an IPv6 address has no brackets."""
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(value: object, key: str, make_error: FieldErrorFactory) -> Address:
    """Parse an address of the form `host:port`; an IPv6 host may be in brackets.

    Raises the error that `make_error` returns for the key if the value has another form.
    """
    text = value if isinstance(value, str) else ""
    host, _, port_text = text.rpartition(":")
    port = _parse_port(port_text)
    if not host or port is None:
        raise make_error(key, f"is {value!r}, not an address of the form host:port", value)
    return Address(host.strip("[]"), port)


def _parse_port(text: str) -> int | None:
    """Return the port that a text of decimal digits denotes, or None if it is not a valid port."""
    if not (text.isascii() and text.isdigit()):
        return None
    try:
        port = int(text)
    except ValueError:  # Python does not convert thousands of digits
        return None
    return port if port <= MAX_PORT else None

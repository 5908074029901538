"""Parses endpoint lists in discovery's JSON format, which the cached list in the configuration shares."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from typing import TypeVar

from balancer.errors import InvalidFieldError, ProtocolError
from balancer.json_object import JsonObject, is_integer, is_list, is_object
from balancer.policy_api import Endpoint, EndpointHealth, EndpointId
from balancer.sidecar.runtime.address import Address, parse_address
from balancer.time_units import MILLISECOND_NS

log = logging.getLogger(__name__)

Number = TypeVar("Number", int, float)

ENDPOINT_ID_BYTES = 8
"""The length of an id. The policy hashes the first 64 bits only, so the rest of a longer id would be lost."""

NO_ADDRESS = Address("", 0)
"""Stands for the address of a draining or removed endpoint whose entry is otherwise invalid.

Such an endpoint gets no new connections.
"""

MAX_LOGGED_CHARACTERS = 200
"""The longest description of an invalid entry in the log; the values in the entry may be of any length."""

_NON_READY_HEALTH_BY_NAME = {
    "draining": EndpointHealth.DRAINING,
    "removed": EndpointHealth.REMOVED,
}
_HEALTH_BY_NAME = {"up": EndpointHealth.READY, **_NON_READY_HEALTH_BY_NAME}


class MalformedEndpointListError(InvalidFieldError, ProtocolError):
    """An endpoint list does not have discovery's format."""


class InvalidEndpointEntryError(MalformedEndpointListError):
    """An entry of an endpoint list is invalid.

    Attributes:
        host: The decoded value of the entry's `host`, of any type; None if it is missing.
    """

    def __init__(self, host: object, key: str, problem: str, value: object) -> None:
        super().__init__(key, problem, value)
        self.host = host

    def __str__(self) -> str:
        return f"host {self.host!r}: {self.key} {self.problem}"


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """An entry of an endpoint list: the part that the policy sees, and the address of the account server."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A complete endpoint list, or the entries that changed since an earlier version."""

    version: int
    is_snapshot: bool
    endpoints: tuple[DiscoveredEndpoint, ...]


@dataclass(frozen=True, slots=True)
class NameIndices:
    """Maps the names of zones and machine classes to their indices in the settings."""

    zones: Mapping[str, int]
    machine_classes: Mapping[str, int]


def parse_endpoint_list(raw: object, name_indices: NameIndices) -> EndpointListUpdate:
    """Translate a decoded endpoint list.

    An invalid entry is logged and skipped, unless it says that its endpoint is draining or removed. Unknown
    names of zones and machine classes get the index 0.

    Raises MalformedEndpointListError if it is not a JSON object, or has no list of entries or no integer
    version.
    """
    if not is_object(raw):
        raise MalformedEndpointListError("list", "is not a JSON object", raw)
    entries = raw.get("hosts")
    if not is_list(entries):
        raise MalformedEndpointListError("hosts", "is not a list", entries)
    version = raw.get("seq")
    if not is_integer(version):
        raise MalformedEndpointListError("seq", f"must be an integer, got {version!r}", version)
    is_snapshot = raw.get("whole") is True
    return EndpointListUpdate(version, is_snapshot, tuple(_parse_entries(entries, name_indices)))


def derive_endpoint_id(host: str) -> EndpointId:
    """Return the id that the policy uses for a host.

    Raises InvalidEndpointEntryError if the host cannot be encoded as UTF-8.
    """
    try:
        encoded = host.encode()
    except UnicodeEncodeError as error:
        raise InvalidEndpointEntryError(host, "host", f"cannot be encoded as UTF-8: {error}", host) from None
    return blake2b(encoded, digest_size=ENDPOINT_ID_BYTES).digest()


def _parse_entries(entries: list[object], name_indices: NameIndices) -> Iterator[DiscoveredEndpoint]:
    """Parse each entry.

    An invalid entry must not prevent the others from being applied: one may say that an endpoint is draining.
    """
    for entry in entries:
        try:
            yield _parse_entry(entry, name_indices)
        except InvalidEndpointEntryError as error:
            draining_or_removed = _parse_draining_or_removed(entry)
            if draining_or_removed is not None:
                yield draining_or_removed
            else:
                log.warning(
                    'endpoint_list_entry_skipped error=%s detail="%.*s"',
                    type(error).__name__,
                    MAX_LOGGED_CHARACTERS,
                    error,
                )


def _parse_entry(entry: object, name_indices: NameIndices) -> DiscoveredEndpoint:
    if not is_object(entry):
        raise InvalidEndpointEntryError(None, "entry", "is not a JSON object", entry)
    host = entry.get("host")
    if not isinstance(host, str):
        raise InvalidEndpointEntryError(host, "host", "is not a string", host)
    fields = JsonObject(entry, partial(InvalidEndpointEntryError, host))
    endpoint = Endpoint(
        id=derive_endpoint_id(host),
        zone=name_indices.zones.get(str(fields.get("site")), 0),
        machine_class=name_indices.machine_classes.get(str(fields.get("class")), 0),
        cell=_read_integer(fields, "block"),
        health=fields.read_choice("health", _HEALTH_BY_NAME, "up"),
        weight=_read_weight(fields),
        started_at_ns=_read_integer(fields, "born_ms") * MILLISECOND_NS,
    )
    return DiscoveredEndpoint(endpoint, parse_address(fields.get("dial"), "dial", fields.make_error))


def _parse_draining_or_removed(entry: object) -> DiscoveredEndpoint | None:
    """Parse the host and the health of an invalid entry; return None unless it is draining or removed.

    No new connection may be opened to such an endpoint, whichever other fields of its entry are invalid.
    """
    if not is_object(entry):
        return None
    host = entry.get("host")
    health = entry.get("health")
    if not isinstance(host, str) or not isinstance(health, str) or health not in _NON_READY_HEALTH_BY_NAME:
        return None
    try:
        endpoint_id = derive_endpoint_id(host)
    except InvalidEndpointEntryError:
        return None  # no earlier entry with this host can have been valid
    endpoint = Endpoint(
        id=endpoint_id,
        zone=0,
        machine_class=0,
        cell=0,
        health=_NON_READY_HEALTH_BY_NAME[health],
        weight=1.0,
        started_at_ns=0,
    )
    return DiscoveredEndpoint(endpoint, NO_ADDRESS)


def _read_integer(fields: JsonObject, key: str) -> int:
    return _read_converted(fields, key, default=0, convert=int)


def _read_weight(fields: JsonObject) -> float:
    """Return the registered capacity.

    It has to be finite, which is checked here, as Python's JSON decoder accepts NaN and Infinity.
    """
    weight = _read_converted(fields, "share", default=1.0, convert=float)
    if not math.isfinite(weight):
        raise fields.make_error("share", f"is {weight!r}, not a finite number", weight)
    return weight


def _read_converted(
    fields: JsonObject, key: str, default: Number, convert: Callable[[int | float | str], Number]
) -> Number:
    """Return a number. Endpoint lists may also have it as text, or a float where an integer is expected."""
    value = fields.get(key, default)
    if isinstance(value, int | float | str):
        with suppress(ValueError, OverflowError):
            return convert(value)
    raise fields.make_error(key, f"is {value!r}, not a number", value)

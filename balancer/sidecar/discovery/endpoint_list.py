"""Endpoint lists in the JSON form of discovery, which stored lists share, as typed entries."""

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
"""The policy hashes the first 64 bits of an id: a longer one would lose its last bytes."""

NO_ADDRESS = Address("", 0)
"""The address of an endpoint that gets no new connections."""

MAX_LOGGED_CHARACTERS = 200
"""How much of the description of an invalid entry is logged: its values may have any length."""

_NON_READY_HEALTH_BY_NAME = {
    "draining": EndpointHealth.DRAINING,
    "removed": EndpointHealth.REMOVED,
}
_HEALTH_BY_NAME = {"up": EndpointHealth.READY, **_NON_READY_HEALTH_BY_NAME}


class MalformedEndpointListError(InvalidFieldError, ProtocolError):
    """An endpoint list does not have discovery's form."""


class InvalidEndpointEntryError(MalformedEndpointListError):
    """An entry of an endpoint list is invalid.

    Attributes:
        host: The host of the entry as it was decoded; None if it has none.
    """

    def __init__(self, host: object, key: str, problem: str, value: object) -> None:
        super().__init__(key, problem, value)
        self.host = host

    def __str__(self) -> str:
        return f"host {self.host!r}: {self.key} {self.problem}"


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """An entry of an endpoint list: what the policy sees of it, and the address at which it listens."""

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
    """Positions of zones and machine classes in the settings, by name."""

    zones: Mapping[str, int]
    machine_classes: Mapping[str, int]


def parse_endpoint_list(raw: object, name_indices: NameIndices) -> EndpointListUpdate:
    """Translate a decoded endpoint list. Invalid entries are logged and skipped.

    Raises MalformedEndpointListError if it is no list of endpoints or has no version.
    """
    if not is_object(raw):
        raise MalformedEndpointListError("list", "is not an object", raw)
    entries = raw.get("hosts")
    if not is_list(entries):
        raise MalformedEndpointListError("hosts", "is not a list", entries)
    version = raw.get("seq")
    if not is_integer(version):
        raise MalformedEndpointListError("seq", f"is {version!r}", version)
    is_snapshot = raw.get("whole") is True
    return EndpointListUpdate(version, is_snapshot, tuple(_parse_entries(entries, name_indices)))


def derive_endpoint_id(host: str) -> EndpointId:
    """Return the id by which the policy knows a host.

    Raises InvalidEndpointEntryError if the host is not text that can be encoded.
    """
    try:
        encoded = host.encode()
    except UnicodeEncodeError as error:
        raise InvalidEndpointEntryError(host, "host", f"cannot be encoded: {error}", host) from None
    return blake2b(encoded, digest_size=ENDPOINT_ID_BYTES).digest()


def _parse_entries(entries: list[object], name_indices: NameIndices) -> Iterator[DiscoveredEndpoint]:
    """Parse each entry. An invalid one must not hide the others, which may say that an endpoint drains."""
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
        raise InvalidEndpointEntryError(None, "entry", "is not an object", entry)
    host = entry.get("host")
    if not isinstance(host, str):
        raise InvalidEndpointEntryError(host, "host", "is not a text", host)
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
    """Parse an entry by its host and health alone if it says that the endpoint drains or is removed.

    Whatever else is wrong with it, no new connection goes there.
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
        return None  # no endpoint can have become known under this host
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
    """Return the registered size; JSON as Python reads it knows NaN and Infinity, which are no sizes."""
    weight = _read_converted(fields, "share", default=1.0, convert=float)
    if not math.isfinite(weight):
        raise fields.make_error("share", f"is {weight!r}, not finite", weight)
    return weight


def _read_converted(
    fields: JsonObject, key: str, default: Number, convert: Callable[[int | float | str], Number]
) -> Number:
    """Return a number, which may be written as text or as another kind of number: lists are not strict."""
    value = fields.get(key, default)
    if isinstance(value, int | float | str):
        with suppress(ValueError, OverflowError):
            return convert(value)
    raise fields.make_error(key, f"is {value!r}, not a number", value)

"""The configuration of a sidecar: the file that PROXY_CONFIG names, checked and as typed values."""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace

from balancer.errors import ConfigurationError
from balancer.json_object import JsonObject, is_list, is_object
from balancer.policy_api import Settings
from balancer.settings_parser import SettingsError, read_settings
from balancer.sidecar.discovery.client import DiscoveryClientConfiguration
from balancer.sidecar.discovery.endpoint_list import (
    EndpointListUpdate,
    MalformedEndpointListError,
    NameIndices,
    parse_endpoint_list,
)
from balancer.sidecar.runtime.address import Address, parse_address
from balancer.time_units import SECOND_NS

MAX_DESCRIPTORS = 1024
"""The least that a deployment allows, so no sidecar counts on more."""

RESERVED_DESCRIPTORS = 28
"""For the process itself, and for discovery, which for a moment has two connections."""

DEFAULT_MEMORY_MEBIBYTES = 64
BYTES_PER_MEBIBYTE = 1024 * 1024
DEFAULT_CONNECT_TIMEOUT_NS = SECOND_NS // 4
DEFAULT_IDLE_TIMEOUT_NS = 15 * SECOND_NS

_ENVIRONMENT_KEYS = ("name", "listen", "discovery")
"""Keys that PROXY_NAME and so on stand in for where the file leaves them out."""


class UnreadableConfigurationError(ConfigurationError):
    """The file could not be read, which says nothing of what is in it.

    Attributes:
        error_number: The errno.
    """

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__("PROXY_CONFIG", f"cannot be read: {error.strerror}: {path}", path)
        self.error_number = error.errno


@dataclass(frozen=True, slots=True)
class SidecarConfiguration:
    """What a sidecar is configured with."""

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    max_downstream_connections: int
    """Connections of clients; with those to endpoints they share the descriptors of the process."""
    max_upstream_connections: int
    memory_limit_bytes: int
    gossip_listen_address: Address | None
    gossip_addresses: tuple[Address, ...]
    """Of all sidecars, by their number."""
    gossip_broadcast_address: Address | None
    settings: Settings
    name_indices: NameIndices
    load_reports_enabled: bool
    """Whether endpoints report their load."""
    connect_timeout_ns: int
    connection_idle_timeout_ns: int
    """Endpoints close connections that were idle this long."""
    known_endpoints: EndpointListUpdate
    """The endpoint list as it was last stored; it may be stale."""

    def discovery_client(self) -> DiscoveryClientConfiguration:
        """Return the part of the configuration that concerns the discovery client."""
        return DiscoveryClientConfiguration(
            address=self.discovery_address,
            settings=self.settings,
            name_indices=self.name_indices,
            seed=self.seed,
            known_version=self.known_endpoints.version,
        )


def load_configuration(environ: Mapping[str, str]) -> SidecarConfiguration:
    """Read the configuration that the environment names.

    Raises ConfigurationError, which says in one plain line what is wrong; UnreadableConfigurationError where
    the file could not be read.
    """
    fields = _read_file(environ)
    for key in _ENVIRONMENT_KEYS:
        fields.setdefault(key, environ.get(f"PROXY_{key.upper()}"))
    try:
        return parse_configuration(fields)
    except (AttributeError, LookupError, OverflowError, TypeError, ValueError) as error:
        # A file that is read under load must not bring the sidecar down, whatever its values are.
        raise ConfigurationError("PROXY_CONFIG", f"makes no sense: {error}") from None


def parse_configuration(raw: Mapping[str, object]) -> SidecarConfiguration:
    """Check a decoded configuration file.

    Raises ConfigurationError, or SettingsError for what is below its `settings`.
    """
    top = JsonObject(raw, ConfigurationError)
    settings_fields = _read_settings_object(top)
    settings = read_settings(settings_fields)
    limits = settings_fields.read_object("Limits")
    names = _read_name_indices(settings_fields)
    descriptors = _read_max_descriptors(top)
    max_downstream_connections = _max_downstream_connections(descriptors)
    return SidecarConfiguration(
        name=str(top.get("name") or ""),
        listen_address=_read_address(top, "listen"),
        discovery_address=_read_address(top, "discovery"),
        seed=_read_seed(top),
        max_downstream_connections=max_downstream_connections,
        max_upstream_connections=_max_upstream_connections(descriptors, max_downstream_connections),
        memory_limit_bytes=_read_memory_limit_bytes(top),
        gossip_listen_address=_read_optional_address(top, "peer_listen"),
        gossip_addresses=_read_addresses(top, "peers"),
        gossip_broadcast_address=_read_optional_address(top, "peers_all"),
        # Those of the simulator's connections may carry more; HTTP/1.1 carries one request at a time.
        settings=replace(settings, streams_per_connection=1),
        name_indices=names,
        load_reports_enabled=bool(settings.load_report_fields),
        connect_timeout_ns=limits.read_integer("ConnectTimeoutNs", DEFAULT_CONNECT_TIMEOUT_NS, low=1),
        connection_idle_timeout_ns=limits.read_integer("ConnIdleNs", DEFAULT_IDLE_TIMEOUT_NS, low=1),
        known_endpoints=_read_known_endpoints(top, names),
    )


def _read_file(environ: Mapping[str, str]) -> dict[str, object]:
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG", "is not set")
    try:
        # Not by pathlib: nothing else here needs it, and it adds 0.6 MB to the memory of the process.
        with open(path, "rb") as file:
            fields = json.load(file)
    except OSError as error:
        raise UnreadableConfigurationError(path, error) from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError("PROXY_CONFIG", f"is not JSON: {error}", path) from None
    if not is_object(fields):
        raise ConfigurationError("PROXY_CONFIG", "is not an object", path)
    return fields


def _read_settings_object(top: JsonObject) -> JsonObject:
    settings = top.get("settings")
    if not is_object(settings):
        raise ConfigurationError("settings", "are missing", settings)
    return JsonObject(settings, SettingsError)


def _read_name_indices(settings: JsonObject) -> NameIndices:
    return NameIndices(
        zones=_index_by_name(settings.get("Azs")),
        machine_classes=_index_by_name(settings.get("Kinds")),
    )


def _index_by_name(names: object) -> dict[str, int]:
    if not is_list(names):
        return {}
    return {str(name): index for index, name in enumerate(names)}


def _read_known_endpoints(top: JsonObject, names: NameIndices) -> EndpointListUpdate:
    known = top.get("known")
    if not known:
        return EndpointListUpdate(version=0, is_snapshot=True, endpoints=())
    try:
        return parse_endpoint_list(known, names)
    except MalformedEndpointListError as error:
        raise ConfigurationError("known", f"is malformed: {error}", error.value) from None


def _read_address(top: JsonObject, key: str) -> Address:
    return parse_address(top.get(key), key, ConfigurationError)


def _read_optional_address(top: JsonObject, key: str) -> Address | None:
    return _read_address(top, key) if top.get(key) else None


def _read_addresses(top: JsonObject, key: str) -> tuple[Address, ...]:
    if not top.get(key):
        return ()
    return tuple(parse_address(value, key, ConfigurationError) for value in top.read_list(key))


def _read_seed(top: JsonObject) -> int:
    """Return the seed: a number, or text in base 16."""
    seed = top.get("seed")
    try:
        if isinstance(seed, str):
            return int(seed, 16)
        if isinstance(seed, int | float):
            return int(seed)
    except (ValueError, OverflowError):
        pass
    raise ConfigurationError("seed", f"is {seed!r}", seed)


def _read_max_descriptors(top: JsonObject) -> int:
    """Return how many descriptors this process may have open."""
    configured = _resource_limit(top, "sockets")
    limit = configured if isinstance(configured, int) and configured > 0 else MAX_DESCRIPTORS
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        limit = min(limit, soft_limit)
    return min(limit, MAX_DESCRIPTORS)


def _read_memory_limit_bytes(top: JsonObject) -> int:
    configured = _resource_limit(top, "memory_mb")
    mebibytes = DEFAULT_MEMORY_MEBIBYTES
    if isinstance(configured, int | float) and 1 <= configured < math.inf:
        mebibytes = int(configured)
    return mebibytes * BYTES_PER_MEBIBYTE


def _resource_limit(top: JsonObject, key: str) -> object:
    """Return a limit of the process; an invalid one counts as absent, as the defaults are safe."""
    limits = top.get("limits")
    return limits.get(key) if is_object(limits) else None


def _max_downstream_connections(descriptors: int) -> int:
    """Return how many connections of clients may be open.

    Those with a request under way take a third of the descriptors; the rest of this share is for those that
    are idle or silent.
    """
    return max(1, descriptors * 3 // 8)


def _max_upstream_connections(descriptors: int, max_downstream_connections: int) -> int:
    """Return how many connections to endpoints may be open.

    They get the most, as one that has to make room soon costs a handshake. What is left over is for the
    reserve, for gossip, and for connections that are just closing or refused.
    """
    just_closing = descriptors // 32
    return max(1, descriptors - max_downstream_connections - RESERVED_DESCRIPTORS - just_closing)

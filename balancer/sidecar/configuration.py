"""Reads and checks the configuration of a sidecar, which is a JSON file that PROXY_CONFIG names."""

from __future__ import annotations

import json
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
from balancer.sidecar.runtime.resource_limits import ResourceLimits, resource_limits
from balancer.time_units import SECOND_NS

DEFAULT_CONNECT_TIMEOUT_NS = SECOND_NS // 4
"""How long establishing a connection to an endpoint may take, unless the settings say otherwise."""

DEFAULT_IDLE_TIMEOUT_NS = 15 * SECOND_NS
"""How long a connection may be idle before endpoints close it, unless the settings say otherwise."""

_ENVIRONMENT_KEYS = ("name", "listen", "discovery")
"""Keys that the file may omit; their values are then taken from PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY."""


class UnreadableConfigurationError(ConfigurationError):
    """The configuration file could not be read; its contents may be valid.

    Attributes:
        error_number: The errno of the failure; None if there is none.
    """

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__("PROXY_CONFIG", f"cannot be read: {error.strerror}: {path}", path)
        self.error_number = error.errno


@dataclass(frozen=True, slots=True)
class SidecarConfiguration:
    """The configuration of a sidecar, checked and converted to typed values."""

    name: str
    """The name of the sidecar; empty if it has none."""
    listen_address: Address
    """The address at which the sidecar accepts connections of clients."""
    discovery_address: Address
    """The initial address of discovery; a reload may change it."""
    seed: int
    """The seed of all random choices."""
    max_downstream_connections: int
    """The limit on open connections of clients.

    These and the connections to endpoints share the file descriptors of the process.
    """
    max_upstream_connections: int
    """The limit on open connections to endpoints."""
    message_buffer_bytes: int
    """The memory that the messages of clients and endpoints may take."""
    gossip_listen_address: Address | None
    """The address at which gossip of other sidecars is received; None if there is no gossip."""
    gossip_addresses: tuple[Address, ...]
    """The gossip addresses of all sidecars, by the index of the sidecar."""
    gossip_broadcast_address: Address | None
    """The address that reaches all other sidecars at once; None if there is none."""
    settings: Settings
    """The settings of the policy."""
    name_indices: NameIndices
    """Translates the names of zones and machine classes in endpoint lists."""
    load_reports_enabled: bool
    """Whether endpoints report their load."""
    connect_timeout_ns: int
    """How long establishing a connection to an endpoint may take."""
    connection_idle_timeout_ns: int
    """How long a connection may be idle before endpoints close it."""
    cached_endpoints: EndpointListUpdate
    """The endpoint list that was stored in the configuration; it may be stale."""

    def discovery_client(self) -> DiscoveryClientConfiguration:
        """Return the part of the configuration that concerns the discovery client."""
        return DiscoveryClientConfiguration(
            address=self.discovery_address,
            settings=self.settings,
            name_indices=self.name_indices,
            seed=self.seed,
            cached_version=self.cached_endpoints.version,
        )


def load_configuration(environ: Mapping[str, str]) -> SidecarConfiguration:
    """Read the configuration file that the environment variable PROXY_CONFIG names.

    Raises ConfigurationError, whose text is a single line; UnreadableConfigurationError, a subclass, if the
    file could not be read.
    """
    fields = _read_file(environ)
    for key in _ENVIRONMENT_KEYS:
        fields.setdefault(key, environ.get(f"PROXY_{key.upper()}"))
    try:
        return parse_configuration(fields)
    except (AttributeError, LookupError, OverflowError, TypeError, ValueError) as error:
        # A reload must not end the process of a serving sidecar, whatever values the file has.
        raise ConfigurationError("PROXY_CONFIG", f"has an invalid value: {error}") from None


def parse_configuration(raw: Mapping[str, object]) -> SidecarConfiguration:
    """Check and convert a decoded configuration file.

    Raises ConfigurationError, or SettingsError, a subclass, if a field below `settings` is invalid.
    """
    top = JsonObject(raw, ConfigurationError)
    settings_fields = _read_settings_object(top)
    settings = read_settings(settings_fields)
    limits = settings_fields.read_object("Limits")
    names = _read_name_indices(settings_fields)
    resources = _read_resource_limits(top)
    return SidecarConfiguration(
        name=str(top.get("name") or ""),
        listen_address=_read_address(top, "listen"),
        discovery_address=_read_address(top, "discovery"),
        seed=_read_seed(top),
        max_downstream_connections=resources.max_downstream_connections,
        max_upstream_connections=resources.max_upstream_connections,
        message_buffer_bytes=resources.message_buffer_bytes,
        gossip_listen_address=_read_optional_address(top, "peer_listen"),
        gossip_addresses=_read_addresses(top, "peers"),
        gossip_broadcast_address=_read_optional_address(top, "peers_all"),
        # Connections of the simulator may carry several requests at a time; those of HTTP/1.1 carry one.
        settings=replace(settings, streams_per_connection=1),
        name_indices=names,
        load_reports_enabled=bool(settings.load_report_fields),
        connect_timeout_ns=limits.read_integer("ConnectTimeoutNs", DEFAULT_CONNECT_TIMEOUT_NS, minimum=1),
        connection_idle_timeout_ns=limits.read_integer("ConnIdleNs", DEFAULT_IDLE_TIMEOUT_NS, minimum=1),
        cached_endpoints=_read_cached_endpoints(top, names),
    )


def _read_file(environ: Mapping[str, str]) -> dict[str, object]:
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG", "is not set")
    try:
        # pathlib is not used: nothing else here imports it, and it adds 0.6 MB to the memory of the process.
        with open(path, "rb") as file:
            fields = json.load(file)
    except OSError as error:
        raise UnreadableConfigurationError(path, error) from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError("PROXY_CONFIG", f"is not JSON: {error}", path) from None
    if not is_object(fields):
        raise ConfigurationError("PROXY_CONFIG", "is not a JSON object", path)
    return fields


def _read_settings_object(top: JsonObject) -> JsonObject:
    settings = top.get("settings")
    if not is_object(settings):
        raise ConfigurationError("settings", "is missing or not a JSON object", settings)
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


def _read_cached_endpoints(top: JsonObject, names: NameIndices) -> EndpointListUpdate:
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
    """Return the seed, which is a number or text in hexadecimal."""
    seed = top.get("seed")
    try:
        if isinstance(seed, str):
            return int(seed, 16)
        if isinstance(seed, int | float):
            return int(seed)
    except (ValueError, OverflowError):
        pass
    raise ConfigurationError("seed", f"must be a finite number or hexadecimal text, got {seed!r}", seed)


def _read_resource_limits(top: JsonObject) -> ResourceLimits:
    """Return the limits of the process; an invalid one counts as missing, as the defaults are safe."""
    limits = top.get("limits")
    if not is_object(limits):
        limits = {}
    return resource_limits(limits.get("sockets"), limits.get("memory_mb"))

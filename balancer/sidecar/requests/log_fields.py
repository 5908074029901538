"""The fields of log lines that say which request and which endpoint a line is about."""

from __future__ import annotations

from balancer.policy_api import Action, EndpointId, Event

NONE = "none"
"""The value of a field that does not apply."""


def format_endpoint_id(endpoint_id: EndpointId) -> str:
    """Return an endpoint id in hexadecimal; an empty one is none."""
    return endpoint_id.hex() or NONE


def request_of(message: Event | Action) -> str:
    """Return the id of the request that an event or an action concerns."""
    return str(getattr(message, "request_id", NONE))


def endpoint_of(message: Event | Action) -> str:
    """Return the id of the endpoint that an event or an action concerns."""
    return format_endpoint_id(getattr(message, "endpoint_id", b""))

"""The fields of log lines that identify the request and the endpoint."""

from __future__ import annotations

from balancer.policy_api import Action, EndpointId, Event

NONE = "none"
"""The value of a field that does not apply."""


def format_endpoint_id(endpoint_id: EndpointId) -> str:
    """Return an endpoint id in hexadecimal, or `NONE` if it is empty."""
    return endpoint_id.hex() or NONE


def request_of(message: Event | Action) -> str:
    """Return the id of the request that an event or an action concerns, or `NONE`."""
    return str(getattr(message, "request_id", NONE))


def endpoint_of(message: Event | Action) -> str:
    """Return the id of the endpoint that an event or an action concerns, or `NONE`."""
    return format_endpoint_id(getattr(message, "endpoint_id", b""))

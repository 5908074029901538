"""Constructed histories for the tests of the invariants."""

from __future__ import annotations

from random import Random
from typing import Any

from soak.deployment import Deployment, Idempotency, RequestClass, draw_deployment
from soak.history.events import (
    Attempt,
    AttemptEnd,
    ClientRequest,
    EndpointNotification,
    ServerIncarnation,
    SidecarIncarnation,
)
from soak.history.history import History

SENT_AT_SECONDS = 10.0
TIMEOUT_SECONDS = 1.0


def deployment(**change_fields: Any) -> Deployment:
    """Return a deployment; the arguments set fields of its class `change`, which has an idempotency key."""
    drawn = draw_deployment(Random(7))
    request_classes = (
        RequestClass("read", Idempotency.IDEMPOTENT, 0.3, TIMEOUT_SECONDS, 0.4),
        RequestClass(
            "change",
            Idempotency.IDEMPOTENCY_KEY,
            0.3,
            TIMEOUT_SECONDS,
            0.3,
            **({"deduplication_window_seconds": 0.3} | change_fields),
        ),
        RequestClass("invoice", Idempotency.NOT_IDEMPOTENT, 0.6, TIMEOUT_SECONDS, 0.3),
    )
    return Deployment(
        request_classes=request_classes,
        sidecar_count=2,
        server_count=3,
        requests_per_second=10.0,
        is_discovery_polled=False,
        drain_grace_seconds=1.0,
        initial_capacity_share=0.1,
        warm_up_seconds=10.0,
        overload_multiple=1.0,
        overload_window_seconds=2.0,
        server_requests_per_second=100.0,
        max_attempts=drawn.max_attempts,
    )


def request(request_class: str = "read", **fields: Any) -> ClientRequest:
    """Return a request, by default one that was served a moment after it was sent."""
    defaults: dict[str, Any] = {
        "request_id": "n0-1",
        "sidecar": "n0",
        "request_class": request_class,
        "sent_at_seconds": SENT_AT_SECONDS,
        "timeout_seconds": TIMEOUT_SECONDS,
        "is_first_on_connection": True,
        "answered_at_seconds": SENT_AT_SECONDS + 0.05,
        "status": 200,
        "body": "n0-1 s0-1",
    }
    return ClientRequest(**(defaults | fields))


def unanswered(request_class: str = "read", **fields: Any) -> ClientRequest:
    """Return a request that got no response."""
    return request(request_class, **({"answered_at_seconds": None, "status": 0, "body": ""} | fields))


def attempt(after_seconds: float = 0.01, server: str = "s0", **fields: Any) -> Attempt:
    """Return an attempt that arrived this long after its request was sent, and got a response."""
    defaults: dict[str, Any] = {
        "request_id": "n0-1",
        "server": server,
        "connection": 1,
        "started_at_seconds": SENT_AT_SECONDS + after_seconds,
        "received_at_seconds": SENT_AT_SECONDS + after_seconds,
        "propagated_timeout_seconds": TIMEOUT_SECONDS - after_seconds,
        "ended_at_seconds": SENT_AT_SECONDS + after_seconds + 0.02,
        "end": AttemptEnd.ANSWERED,
        "body": "n0-1 s0-1",
    }
    return Attempt(**(defaults | fields))


def history(*events: Any) -> History:
    """Return a history of these events with three servers; its faults end at 100 s, and the soak at 110 s."""
    result = History(faults_ended_at_seconds=100.0, ended_at_seconds=110.0)
    for index, (zone, cell) in enumerate((("zone-a", 0), ("zone-a", 2), ("zone-b", 1))):
        result.servers.append(ServerIncarnation(f"s{index}", zone, cell, 0.0, needs_warm_up=False))
    for event in events:
        match event:
            case ClientRequest():
                result.requests[event.request_id] = event
            case Attempt():
                result.attempts.append(event)
            case EndpointNotification():
                result.endpoint_notifications.append(event)
            case ServerIncarnation():
                result.servers.append(event)
            case SidecarIncarnation():
                result.sidecars.append(event)
    return result


def sidecar_incarnation(**fields: Any) -> SidecarIncarnation:
    """Return a process that was started, became ready, was asked to stop and exited with status 0."""
    defaults: dict[str, Any] = {
        "sidecar": "n0",
        "process_id": 7,
        "started_at_seconds": 0.0,
        "ready_at_seconds": 0.5,
        "stop_requested_at_seconds": 111.0,
        "ended_at_seconds": 112.0,
        "exit_status": 0,
    }
    return SidecarIncarnation(**(defaults | fields))

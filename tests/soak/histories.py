"""Made-up histories for the tests of the oracle."""

from __future__ import annotations

from random import Random
from typing import Any

from soak.deployment import Deployment, RequestKind, draw_deployment
from soak.history import (
    Attempt,
    ClientRequest,
    EndOfAttempt,
    History,
    Notice,
    ServerLife,
    SidecarLife,
)

SENT_AT = 10.0
TIMEOUT_SECONDS = 1.0


def deployment(**keyed: Any) -> Deployment:
    """Return a deployment; `keyed` changes its class of requests with an idempotency key."""
    drawn = draw_deployment(Random(7))
    kinds = (
        RequestKind("read", "retryable", 0.3, TIMEOUT_SECONDS, 0.4),
        RequestKind("change", "dedup", 0.3, TIMEOUT_SECONDS, 0.3, **({"window_seconds": 0.3} | keyed)),
        RequestKind("invoice", "fragile", 0.6, TIMEOUT_SECONDS, 0.3),
    )
    return Deployment(
        kinds=kinds,
        sidecar_count=2,
        server_count=3,
        requests_per_second=10.0,
        is_discovery_polled=False,
        drain_grace_seconds=1.0,
        cold_share=0.1,
        warm_up_seconds=10.0,
        overload_multiple=1.0,
        overload_window_seconds=2.0,
        server_requests_per_second=100.0,
        max_attempts=drawn.max_attempts,
    )


def request(kind: str = "read", **fields: Any) -> ClientRequest:
    """Return a request, by default one that was served a moment after it was sent."""
    usual: dict[str, Any] = {
        "request_id": "n0-1",
        "sidecar": "n0",
        "kind": kind,
        "sent_at": SENT_AT,
        "timeout_seconds": TIMEOUT_SECONDS,
        "is_first_on_connection": True,
        "answered_at": SENT_AT + 0.05,
        "status": 200,
        "body": "n0-1 s0-1",
    }
    return ClientRequest(**(usual | fields))


def unanswered(kind: str = "read", **fields: Any) -> ClientRequest:
    """Return a request that got no answer."""
    return request(kind, **({"answered_at": None, "status": 0, "body": ""} | fields))


def attempt(after: float = 0.01, server: str = "s0", **fields: Any) -> Attempt:
    """Return an attempt that came so long after its request was sent, and was answered."""
    usual: dict[str, Any] = {
        "request_id": "n0-1",
        "server": server,
        "connection": 1,
        "began_at": SENT_AT + after,
        "whole_at": SENT_AT + after,
        "told_seconds": TIMEOUT_SECONDS - after,
        "ended_at": SENT_AT + after + 0.02,
        "end": EndOfAttempt.ANSWERED,
        "body": "n0-1 s0-1",
    }
    return Attempt(**(usual | fields))


def history(*events: Any) -> History:
    """Return a history of these events, with three servers and a sidecar that is stopped at its end."""
    result = History(quiet_since=100.0, ended_at=110.0)
    for index, (zone, cell) in enumerate((("zone-a", 0), ("zone-a", 2), ("zone-b", 1))):
        result.servers.append(ServerLife(f"s{index}", zone, cell, 0.0, is_cold=False))
    for event in events:
        match event:
            case ClientRequest():
                result.requests[event.request_id] = event
            case Attempt():
                result.attempts.append(event)
            case Notice():
                result.notices.append(event)
            case ServerLife():
                result.servers.append(event)
            case SidecarLife():
                result.sidecars.append(event)
    return result


def sidecar_life(**fields: Any) -> SidecarLife:
    """Return a process that was started, got ready, was stopped and ended in order."""
    usual: dict[str, Any] = {
        "sidecar": "n0",
        "process_id": 7,
        "started_at": 0.0,
        "ready_at": 0.5,
        "stop_requested_at": 111.0,
        "ended_at": 112.0,
        "exit_status": 0,
    }
    return SidecarLife(**(usual | fields))

"""Tests of health checks over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable

from balancer.policy_api import AttemptOutcome, Event, HealthCheckCompleted, StartHealthCheck
from balancer.sidecar.discovery.endpoint_list import derive_endpoint_id
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import ok_response
from tests.sidecar.scripted_endpoint import ReceivedRequest, run_endpoint, unreachable_address
from tests.sidecar.sidecar_under_test import run_sidecar


def is_health_check_of(endpoint_name: str) -> Callable[[Event], bool]:
    """Return a function that returns whether an event is the end of a health check of this endpoint."""
    endpoint_id = derive_endpoint_id(endpoint_name)
    return lambda event: isinstance(event, HealthCheckCompleted) and event.endpoint_id == endpoint_id


@async_test
async def test_health_check_returns_load_report_or_failure() -> None:
    async def script(received: ReceivedRequest) -> bytes:
        assert received.request_line == b"GET /metrics/load HTTP/1.1"
        assert b"req-id" not in received.headers
        return ok_response(b"TEXT rate=140, lat_ms=14.5, busy=0.5")

    async with (
        run_endpoint(script) as endpoint,
        run_sidecar(endpoint.address, unreachable_address()) as sidecar,
    ):
        for name in ("s-0", "s-1"):
            sidecar.dispatcher.execute(StartHealthCheck(derive_endpoint_id(name)))
        healthy = await sidecar.wait_for_event(is_health_check_of("s-0"))
        unreachable = await sidecar.wait_for_event(is_health_check_of("s-1"))
        assert (healthy.outcome, healthy.load_report) == (AttemptOutcome.SUCCESS, (140, 14.5, 0.5))
        assert (unreachable.outcome, unreachable.load_report) == (AttemptOutcome.CONNECT_FAILED, ())

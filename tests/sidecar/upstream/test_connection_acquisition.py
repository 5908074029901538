"""Tests of how an attempt gets a connection if it has found no idle one ready for use."""

from __future__ import annotations

from balancer.sidecar.upstream.connection_acquisition import ConnectionAcquisition
from balancer.sidecar.upstream.pool import CONNECTION_REUSE_DELAY_NS
from balancer.time_units import SECOND_NS
from tests.sidecar.event_loop import async_test
from tests.sidecar.scripted_endpoint import answer_ok, run_endpoint
from tests.sidecar.upstream.harness import create_upstream

RELEASED_AT_NS = SECOND_NS
REUSABLE_AT_NS = RELEASED_AT_NS + CONNECTION_REUSE_DELAY_NS


@async_test
async def test_wait_for_connection_continues_if_the_event_loop_wakes_too_early() -> None:
    clock_readings_ns = [RELEASED_AT_NS, REUSABLE_AT_NS - 1, REUSABLE_AT_NS]

    def now_ns() -> int:
        return clock_readings_ns.pop(0) if len(clock_readings_ns) > 1 else clock_readings_ns[0]

    async with run_endpoint(answer_ok) as endpoint:
        _config, upstream, pool = create_upstream(endpoint.address, now_ns=now_ns)
        used_connection = await upstream.connect(pool)
        pool.release(used_connection, RELEASED_AT_NS)
        acquisition = ConnectionAcquisition(upstream, pool, is_wanted=lambda: True)
        connection = await acquisition.acquire(CONNECTION_REUSE_DELAY_NS / SECOND_NS)
        assert connection is used_connection
        assert endpoint.connection_count == 1

"""Tests of how an attempt gets a connection if it has found no idle one ready for use."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

import pytest

from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.connection_acquisition import (
    MAX_SHORTAGE_RETRIES,
    MAX_SHORTAGE_RETRIES_WITH_OPEN_CONNECTION,
    ConnectionAcquisition,
)
from balancer.sidecar.upstream.connection_provider import LocalResourceError
from balancer.sidecar.upstream.pool import CONNECTION_REUSE_DELAY_NS, EndpointPool
from balancer.time_units import SECOND_NS
from tests.sidecar.event_loop import async_test, wait_until
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


class ExhaustedDescriptors:
    """A connector that finds no free descriptor, and calls a function at one of the connects."""

    def __init__(self) -> None:
        self.connect_count = 0
        self.actions: dict[int, Callable[[], None]] = {}
        """What happens during which connect, the first of which is number 1."""

    async def connect(self, _pool: EndpointPool, /) -> OutboundConnection:
        """Fail for lack of a descriptor."""
        self.connect_count += 1
        self.actions.get(self.connect_count, lambda: None)()
        raise OSError(errno.EMFILE, "no descriptor")


@pytest.fixture
def immediate_sleep(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let every sleep end at once."""
    sleep = asyncio.sleep
    monkeypatch.setattr(asyncio, "sleep", lambda _seconds: sleep(0))


@pytest.mark.usefixtures("immediate_sleep")
@async_test
async def test_attempt_waits_for_a_connection_in_use_while_no_descriptor_is_free() -> None:
    """Guards against a 503 after 0.1 s, although requests before it were about to return their connection."""
    async with run_endpoint(answer_ok) as endpoint:
        _config, upstream, pool = create_upstream(endpoint.address, now_ns=lambda: REUSABLE_AT_NS)
        connection_in_use = await upstream.connect(pool)
        descriptors = ExhaustedDescriptors()
        release_at = 2 * MAX_SHORTAGE_RETRIES
        descriptors.actions[release_at] = lambda: pool.release(connection_in_use, RELEASED_AT_NS)
        upstream.connect = descriptors.connect
        acquisition = ConnectionAcquisition(upstream, pool, is_wanted=lambda: True)
        assert await acquisition.acquire(0) is connection_in_use
        assert descriptors.connect_count == release_at


@pytest.mark.parametrize(
    ("is_open", "max_retries"),
    [(False, MAX_SHORTAGE_RETRIES), (True, MAX_SHORTAGE_RETRIES_WITH_OPEN_CONNECTION)],
)
@pytest.mark.usefixtures("immediate_sleep")
@async_test
async def test_wait_for_a_descriptor_or_a_connection_is_limited(is_open: bool, max_retries: int) -> None:
    async with run_endpoint(answer_ok) as endpoint:
        _config, upstream, pool = create_upstream(endpoint.address)
        connection = await upstream.connect(pool)
        if not is_open:
            connection.close()
            await wait_until(lambda: connection.transport is None)
        descriptors = ExhaustedDescriptors()
        upstream.connect = descriptors.connect
        acquisition = ConnectionAcquisition(upstream, pool, is_wanted=lambda: True)
        with pytest.raises(LocalResourceError):
            await acquisition.acquire(0)
        assert descriptors.connect_count == 1 + max_retries

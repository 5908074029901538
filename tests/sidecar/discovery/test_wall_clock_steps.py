"""Tests of the ages of endpoints, which slow start uses, while the wall clock is stepped.

Endpoint lists have start times in wall-clock time (`born_ms`), but the ages have to be real time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

import pytest

from balancer.policy_api import Action, EndpointUpdate, EndpointUpdateKind, Event
from balancer.sidecar.configuration import parse_configuration
from balancer.sidecar.discovery.endpoint_list import parse_endpoint_list
from balancer.sidecar.requests.dispatcher import Dispatcher
from balancer.sidecar.runtime.clock import Clock
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.sidecar.configuration_documents import configuration, endpoint_entry, endpoint_list
from tests.sidecar.event_loop import async_test

HOUR_SECONDS = 3600
MAX_ERROR_NS = SECOND_NS // 2
"""The largest error of an age in tests with running clocks; a test takes a few milliseconds."""
WALL_TIME_NS = 1_790_000_000 * SECOND_NS
"""The wall-clock time before a step, in whole milliseconds, as start times have this resolution."""
MONOTONIC_TIME_NS = 77 * SECOND_NS


class RecordingPolicy:
    """A policy that returns no actions and records the ages of the endpoints in endpoint updates."""

    def __init__(self) -> None:
        self.ages_ns: list[int] = []

    def handle(self, now_ns: int, event: Event) -> Sequence[Action]:
        """Record the age of each endpoint in an endpoint update."""
        if isinstance(event, EndpointUpdate):
            self.ages_ns += [now_ns - endpoint.started_at_ns for endpoint in event.endpoints]
        return ()


class SteppedWallClock:
    """Replaces `time.time_ns` by a clock that changes only by steps, and stops `time.monotonic_ns`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._offset_ns = 0
        monkeypatch.setattr(time, "time_ns", self.time_ns)
        monkeypatch.setattr(time, "monotonic_ns", lambda: MONOTONIC_TIME_NS)

    def time_ns(self) -> int:
        """Return the wall-clock time, with all steps so far."""
        return WALL_TIME_NS + self._offset_ns

    def step(self, seconds: float) -> None:
        """Step the clock forward, or back by a negative number of seconds."""
        self._offset_ns += int(seconds * SECOND_NS)


class Sidecar:
    """A dispatcher with a policy that records the ages of endpoints."""

    def __init__(self) -> None:
        self._config = parse_configuration(configuration())
        self.policy = RecordingPolicy()
        loop = asyncio.get_running_loop()
        self._dispatcher = Dispatcher(self._config, loop, Clock(), self.policy)

    def listed_age_ns(
        self,
        start_wall_time_ns: int,
        name: str = "s-new",
        kind: EndpointUpdateKind = EndpointUpdateKind.DELTA,
    ) -> int:
        """Apply an endpoint update with one endpoint, and return the age that the policy gets."""
        entry = endpoint_entry(name, "127.0.0.1:9") | {"born_ms": start_wall_time_ns // MILLISECOND_NS}
        update = parse_endpoint_list(endpoint_list(2, entry, is_snapshot=False), self._config.name_indices)
        self._dispatcher.on_endpoint_update(update, kind)
        return self.policy.ages_ns[-1]


@pytest.mark.parametrize("step_seconds", [HOUR_SECONDS, -HOUR_SECONDS, 5, -5])
@async_test
async def test_endpoint_started_after_step_is_new(step_seconds: int) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        wall_clock = SteppedWallClock(monkeypatch)
        sidecar = Sidecar()
        wall_clock.step(step_seconds)
        assert sidecar.listed_age_ns(start_wall_time_ns=wall_clock.time_ns()) == 0


@pytest.mark.parametrize("step_seconds", [HOUR_SECONDS, -HOUR_SECONDS, 5, -5])
@async_test
async def test_known_endpoint_keeps_its_age_across_step(step_seconds: int) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        wall_clock = SteppedWallClock(monkeypatch)
        sidecar = Sidecar()
        start_wall_time_ns = wall_clock.time_ns() - 3 * SECOND_NS
        sidecar.listed_age_ns(start_wall_time_ns)
        wall_clock.step(step_seconds)
        assert sidecar.listed_age_ns(start_wall_time_ns) == 3 * SECOND_NS


@pytest.mark.parametrize("step_seconds", [HOUR_SECONDS, -HOUR_SECONDS, 5, -5])
@async_test
async def test_age_is_not_overestimated_if_endpoint_started_before_step_and_is_listed_after_it(
    step_seconds: int,
) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        wall_clock = SteppedWallClock(monkeypatch)
        sidecar = Sidecar()
        start_wall_time_ns = wall_clock.time_ns() - 3 * SECOND_NS
        wall_clock.step(step_seconds)
        assert 0 <= sidecar.listed_age_ns(start_wall_time_ns) < 3 * SECOND_NS + MAX_ERROR_NS


@async_test
async def test_restart_of_endpoint_after_step_makes_it_new() -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        wall_clock = SteppedWallClock(monkeypatch)
        sidecar = Sidecar()
        sidecar.listed_age_ns(wall_clock.time_ns() - 60 * SECOND_NS)
        wall_clock.step(-HOUR_SECONDS)
        assert 0 <= sidecar.listed_age_ns(wall_clock.time_ns()) < MAX_ERROR_NS


@async_test
async def test_start_time_in_the_future_counts_as_the_time_of_the_update() -> None:
    """This happens if the endpoint starts before a step back of the wall clock, and the sidecar after it."""
    sidecar = Sidecar()
    age_ns = sidecar.listed_age_ns(
        time.time_ns() + HOUR_SECONDS * SECOND_NS, kind=EndpointUpdateKind.SNAPSHOT
    )
    assert 0 <= age_ns < MAX_ERROR_NS


@async_test
async def test_start_time_zero_counts_as_long_ago() -> None:
    sidecar = Sidecar()
    assert sidecar.listed_age_ns(start_wall_time_ns=0) > HOUR_SECONDS * SECOND_NS

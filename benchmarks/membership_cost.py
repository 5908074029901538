"""Measures what the length of the endpoint list costs the decisions, in CPU time and in memory.

For each length, with a real `Balancer` and no network: the time to take in a snapshot, a delta of one entry
and a timer, the time of one request with its completion, and the memory that the balancer holds.
"""

from __future__ import annotations

import itertools
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestClass,
    RequestReceived,
    Settings,
    StartAttempt,
    Started,
    TimerFired,
)
from benchmarks.command_line import parse_options, print_results

MILLISECOND_NS = 1_000_000
CLIENT_TIMEOUT_NS = 2_500 * MILLISECOND_NS
ATTEMPT_DURATION_NS = 20 * MILLISECOND_NS
EVENT_INTERVAL_NS = MILLISECOND_NS

ZONES = 19
CELLS = 500
RANDOM_SEED = 1

ROUNDS = 3
SNAPSHOTS_PER_ROUND = 3
DELTAS_PER_ROUND = 20
TIMERS_PER_ROUND = 20
REQUESTS_PER_ROUND = 200


@dataclass(frozen=True, slots=True)
class MembershipCost:
    """The figures for one length of the endpoint list; times are for one event."""

    entries: int
    snapshot_microseconds: float
    delta_microseconds: float
    timer_microseconds: float
    request_microseconds: float
    held_bytes: int
    held_bytes_per_entry: float
    peak_rss_megabytes: float
    """Of this process so far, so of the longest list yet."""

    def to_line(self) -> str:
        """Write the figures in one line."""
        return (
            f"n={self.entries:6d} full {self.snapshot_microseconds:9.0f}us"
            f"  delta of one {self.delta_microseconds:9.0f}us"
            f"  tick {self.timer_microseconds:7.0f}us"
            f"  request {self.request_microseconds:6.0f}us"
            f"  held {self.held_bytes / 1e6:6.2f} MB ({self.held_bytes_per_entry:.0f} B/entry)"
        )

    def to_json(self) -> dict[str, int | float]:
        """Give the figures by name."""
        return asdict(self)


class MembershipBenchmark:
    """A `Balancer` whose endpoint list has a given length, and the clock of its events."""

    def __init__(self, entries: int) -> None:
        self._entries = entries
        self._now_ns = 0
        self._request_ids = itertools.count(1)
        tracemalloc.start()
        try:
            self._balancer = Balancer(_settings(entries), RANDOM_SEED)
            self._balancer.handle(self._now_ns, Started())
            self._balancer.handle(self._now_ns, self._snapshot())
            self.held_bytes, _peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

    def measure(self) -> MembershipCost:
        """Take all the figures."""
        return MembershipCost(
            entries=self._entries,
            snapshot_microseconds=_fastest_mean_microseconds(self._take_snapshot, SNAPSHOTS_PER_ROUND),
            delta_microseconds=_fastest_mean_microseconds(self._take_delta, DELTAS_PER_ROUND),
            timer_microseconds=_fastest_mean_microseconds(self._fire_timer, TIMERS_PER_ROUND),
            request_microseconds=_fastest_mean_microseconds(self._serve_request, REQUESTS_PER_ROUND),
            held_bytes=self.held_bytes,
            held_bytes_per_entry=self.held_bytes / self._entries,
            peak_rss_megabytes=_peak_rss_megabytes(),
        )

    def _snapshot(self) -> EndpointUpdate:
        endpoints = tuple(_endpoint(index) for index in range(self._entries))
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints)

    def _take_snapshot(self, _iteration: int) -> None:
        # Building the entries belongs to it: they are new objects in each list that discovery sends.
        self._handle(self._snapshot())

    def _take_delta(self, iteration: int) -> None:
        health = EndpointHealth.DRAINING if iteration % 2 else EndpointHealth.READY
        changed = _endpoint(iteration % self._entries, health)
        self._handle(EndpointUpdate(EndpointUpdateKind.DELTA, (changed,)))

    def _fire_timer(self, _iteration: int) -> None:
        self._handle(TimerFired(0))

    def _serve_request(self, _iteration: int) -> None:
        self._now_ns += EVENT_INTERVAL_NS
        request = RequestReceived(
            request_id=next(self._request_ids),
            class_index=0,
            tenant_index=0,
            key_hash=0,
            expires_at_ns=self._now_ns + CLIENT_TIMEOUT_NS,
            work_hint_ns=0,
            is_retry=False,
        )
        actions = self._balancer.handle(self._now_ns, request)
        self._now_ns += ATTEMPT_DURATION_NS
        for action in actions:
            if isinstance(action, StartAttempt):
                self._balancer.handle(self._now_ns, _success(action))

    def _handle(self, event: Event) -> None:
        self._now_ns += EVENT_INTERVAL_NS
        self._balancer.handle(self._now_ns, event)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark; returns the exit code."""
    options = parse_options("membership_cost", __doc__.partition("\n")[0], arguments)
    print_results(_measure_all(options.entries), options.as_json)
    if not options.as_json:
        print("RSS MB", _peak_rss_megabytes())
    return 0


def _measure_all(entries: Sequence[int]) -> Iterator[MembershipCost]:
    for count in entries:
        yield MembershipBenchmark(count).measure()


def _fastest_mean_microseconds(operation: Callable[[int], None], iterations: int) -> float:
    """Time of one call: the least of the means of `ROUNDS` rounds, as other programs only ever add to it."""
    fastest_seconds = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for iteration in range(iterations):
            operation(iteration)
        fastest_seconds = min(fastest_seconds, (time.perf_counter() - started) / iterations)
    return fastest_seconds * 1e6


def _settings(instance_count: int) -> Settings:
    request_class = RequestClass(
        name="read",
        latency_objective_ns=500 * MILLISECOND_NS,
        client_timeout_ns=CLIENT_TIMEOUT_NS,
        priority_weight=3.0,
    )
    return Settings(
        classes=(request_class,),
        instance_count=instance_count,
        zone_count=ZONES,
        health_checks_enabled=True,
        handshake_price=0.06,
        connection_price=0.06,
        slow_start_capacity=0.4,
        slow_start_duration_ns=8_000 * MILLISECOND_NS,
    )


def _endpoint(index: int, health: EndpointHealth = EndpointHealth.READY) -> Endpoint:
    return Endpoint(
        id=index.to_bytes(6, "little"),
        zone=index % ZONES,
        machine_class=0,
        cell=index % CELLS,
        health=health,
        weight=1.0,
        started_at_ns=0,
    )


def _success(attempt: StartAttempt) -> AttemptCompleted:
    return AttemptCompleted(
        request_id=attempt.request_id,
        attempt_index=0,
        endpoint_id=attempt.endpoint_id,
        outcome=AttemptOutcome.SUCCESS,
        duration_ns=ATTEMPT_DURATION_NS,
        request_finished=True,
        load_report=(),
    )


def _peak_rss_megabytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


if __name__ == "__main__":
    sys.exit(main())

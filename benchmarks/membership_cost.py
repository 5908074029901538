"""Measures how the length of the endpoint list affects the CPU time and memory of the policy.

For each length, with a real `Balancer` and no network, the benchmark measures

- the time to handle a snapshot, a delta of one entry, and a timer,
- the time to handle one request and the completion of its attempt, and
- the memory that the balancer holds.
"""

from __future__ import annotations

import itertools
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

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
from balancer.time_units import MILLISECOND_NS
from benchmarks.command_line import BenchmarkResult, parse_options, print_results
from benchmarks.topology import CELL_COUNT, ZONE_COUNT

PROGRAM = "membership_cost"

LATENCY_OBJECTIVE_NS = 500 * MILLISECOND_NS
"""Latency objective of the only request class."""

CLIENT_TIMEOUT_NS = 2_500 * MILLISECOND_NS
"""Client timeout of the only request class."""

ATTEMPT_DURATION_NS = 20 * MILLISECOND_NS
"""Time that each attempt takes, on the clock of the events."""

EVENT_INTERVAL_NS = MILLISECOND_NS
"""Time between two events, on the clock of the events."""

SLOW_START_DURATION_NS = 8_000 * MILLISECOND_NS
"""How long endpoints warm up."""

RANDOM_SEED = 1
"""Seed of the balancer; it is fixed so that every run makes the same decisions."""

ROUND_COUNT = 3
"""Number of rounds for each figure; the fastest round is reported."""

SNAPSHOTS_PER_ROUND = 3
"""Number of snapshots in a round: few, as the time of a snapshot grows with the endpoint list."""

DELTAS_PER_ROUND = 20
"""Number of deltas in a round."""

TIMERS_PER_ROUND = 20
"""Number of timer events in a round."""

REQUESTS_PER_ROUND = 200
"""Number of requests in a round: many, as one request takes too little time to be measured by itself."""

MICROSECONDS_PER_SECOND = 1e6
KIBIBYTES_PER_MEBIBYTE = 1024
BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class MembershipCost(BenchmarkResult):
    """Cost of the policy for one length of the endpoint list.

    Each time is that of one event; the time of a request includes the completion of its attempt.
    """

    snapshot_microseconds: float
    delta_microseconds: float
    timer_microseconds: float
    request_microseconds: float
    held_bytes: int
    """Memory that the balancer holds after the first snapshot."""
    held_bytes_per_entry: float
    peak_rss_megabytes: float
    """Peak of the whole process so far, and so of the longest endpoint list measured so far."""

    def to_line(self) -> str:
        """Return the figures as one line of text."""
        return (
            f"n={self.entries:6d} full {self.snapshot_microseconds:9.0f}us"
            f"  delta of one {self.delta_microseconds:9.0f}us"
            f"  tick {self.timer_microseconds:7.0f}us"
            f"  request {self.request_microseconds:6.0f}us"
            f"  held {self.held_bytes / BYTES_PER_MEGABYTE:6.2f} MB ({self.held_bytes_per_entry:.0f} B/entry)"
        )


class MembershipBenchmark:
    """Measures a `Balancer` with an endpoint list of a given length, and keeps the clock of its events."""

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
        """Measure all figures."""
        return MembershipCost(
            entries=self._entries,
            snapshot_microseconds=_fastest_mean_microseconds(self._handle_snapshot, SNAPSHOTS_PER_ROUND),
            delta_microseconds=_fastest_mean_microseconds(self._handle_delta, DELTAS_PER_ROUND),
            timer_microseconds=_fastest_mean_microseconds(self._fire_timer, TIMERS_PER_ROUND),
            request_microseconds=_fastest_mean_microseconds(self._serve_request, REQUESTS_PER_ROUND),
            held_bytes=self.held_bytes,
            held_bytes_per_entry=self.held_bytes / self._entries,
            peak_rss_megabytes=_peak_rss_megabytes(),
        )

    def _snapshot(self) -> EndpointUpdate:
        endpoints = tuple(_endpoint(index) for index in range(self._entries))
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints)

    def _handle_snapshot(self, _iteration: int) -> None:
        # The time includes building the entries: each list that discovery sends is parsed into new objects.
        self._handle(self._snapshot())

    def _handle_delta(self, iteration: int) -> None:
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
    """Run the benchmark. Returns the exit status."""
    options = parse_options(PROGRAM, __doc__.partition("\n")[0], arguments)
    print_results(_measure, options)
    if not options.as_json:
        print("RSS MB", _peak_rss_megabytes())
    return 0


def _measure(entries: int) -> MembershipCost:
    return MembershipBenchmark(entries).measure()


def _fastest_mean_microseconds(operation: Callable[[int], None], iterations: int) -> float:
    """Return the mean time of one call in the fastest round: other programs can only slow down a round."""
    fastest_seconds = float("inf")
    for _ in range(ROUND_COUNT):
        started = time.perf_counter()
        for iteration in range(iterations):
            operation(iteration)
        fastest_seconds = min(fastest_seconds, (time.perf_counter() - started) / iterations)
    return fastest_seconds * MICROSECONDS_PER_SECOND


def _settings(sidecar_count: int) -> Settings:
    request_class = RequestClass(
        name="read",
        latency_objective_ns=LATENCY_OBJECTIVE_NS,
        client_timeout_ns=CLIENT_TIMEOUT_NS,
        priority_weight=3.0,
    )
    return Settings(
        classes=(request_class,),
        instance_count=sidecar_count,
        zone_count=ZONE_COUNT,
        health_checks_enabled=True,
        handshake_price=0.06,
        connection_price=0.06,
        slow_start_capacity=0.4,
        slow_start_duration_ns=SLOW_START_DURATION_NS,
    )


def _endpoint(index: int, health: EndpointHealth = EndpointHealth.READY) -> Endpoint:
    return Endpoint(
        id=index.to_bytes(6, "little"),
        zone=index % ZONE_COUNT,
        machine_class=0,
        cell=index % CELL_COUNT,
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
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIBIBYTES_PER_MEBIBYTE


if __name__ == "__main__":
    sys.exit(main())

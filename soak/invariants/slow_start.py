"""Invariants of the load on account servers: slow start of new servers, and traffic for healthy ones.

The allowance of a warming server is the number of requests that the settings allow it in an overload window.
Its budget is the allowance plus slack for the random variation of the number of arrivals.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator

from soak.deployment import Deployment
from soak.history.events import EndpointHealth, ServerIncarnation
from soak.history.history import History
from soak.invariants.violation import Invariant, Violation

SMALL_ALLOWANCE_REQUESTS = 30
"""Requests. A smaller allowance gets more slack, as the random variation is large relative to the mean."""
SMALL_ALLOWANCE_SLACK = 3
"""Number of standard deviations, and also of requests, that are added to a small allowance."""
LARGE_ALLOWANCE_SLACK = 2
"""Number of standard deviations, and also of requests, that are added to a large allowance."""
MIN_TRAFFIC_SHARE = 0.1
"""Share of the mean request count that a server has to get after it has been healthy for long."""
SETTLING_MARGIN_SECONDS = 2.5
"""Seconds after the end of a server's warm-up before it has to get its share of the requests."""


def check_slow_start(history: History, deployment: Deployment) -> Iterator[Violation]:
    """All sidecars together keep a warming server within its budget in each overload window."""
    for incarnation in history.servers:
        if incarnation.needs_warm_up:
            yield from _check_warm_up(history, deployment, incarnation)


def _check_warm_up(
    history: History, deployment: Deployment, incarnation: ServerIncarnation
) -> Iterator[Violation]:
    """Yield a violation for the first window in which the server got more than its budget."""
    window_seconds = deployment.overload_window_seconds
    arrivals_seconds = _arrivals_during_warm_up(history, deployment, incarnation)
    for index, start_seconds in enumerate(arrivals_seconds):
        count = bisect_left(arrivals_seconds, start_seconds + window_seconds) - index
        age_seconds = start_seconds - incarnation.started_at_seconds
        budget = slow_start_budget(_allowance(deployment, age_seconds, window_seconds))
        if count > budget:
            message = (
                f"{incarnation.server} got {count} requests in {window_seconds:.0f} s, "
                f"its budget is {budget:.0f}"
            )
            yield Violation(Invariant.SLOW_START, message, start_seconds, (incarnation,))
            return


def _arrivals_during_warm_up(
    history: History, deployment: Deployment, incarnation: ServerIncarnation
) -> list[float]:
    warmed_up_at_seconds = incarnation.started_at_seconds + deployment.warm_up_seconds
    end_seconds = min(warmed_up_at_seconds, incarnation.ended_at_seconds or math.inf)
    return sorted(
        attempt.received_at_seconds
        for attempt in history.attempts
        if attempt.server == incarnation.server
        and incarnation.started_at_seconds <= attempt.received_at_seconds < end_seconds
    )


def slow_start_budget(allowance: float) -> float:
    """Return how many requests a warming server with this allowance may get at most."""
    slack = SMALL_ALLOWANCE_SLACK if allowance < SMALL_ALLOWANCE_REQUESTS else LARGE_ALLOWANCE_SLACK
    return allowance + slack * math.sqrt(allowance) + slack


def _allowance(deployment: Deployment, age_seconds: float, window_seconds: float) -> float:
    """Return how many requests the settings allow a server of this age in the window that follows."""
    share_at_start = deployment.capacity_share(age_seconds)
    share_at_end = deployment.capacity_share(age_seconds + window_seconds)
    mean_share = (share_at_start + share_at_end) / 2
    return deployment.overload_multiple * mean_share * deployment.server_requests_per_second * window_seconds


def check_traffic_share(history: History, deployment: Deployment) -> Iterator[Violation]:
    """A server that has been healthy for long gets its share of the requests once all faults are over."""
    counts = _request_counts_after_faults(history)
    if not counts:
        return
    mean = sum(counts.values()) / len(counts)
    settling_seconds = deployment.warm_up_seconds + SETTLING_MARGIN_SECONDS
    for incarnation in history.servers:
        healthy_since_seconds = max(incarnation.started_at_seconds, incarnation.healthy_since_seconds)
        if healthy_since_seconds + settling_seconds > history.faults_ended_at_seconds:
            continue
        count = counts.get(incarnation.server)
        if count is not None and count < MIN_TRAFFIC_SHARE * mean:
            message = f"{incarnation.server} got {count} requests where the mean was {mean:.0f}"
            yield Violation(Invariant.TRAFFIC_SHARE, message, history.ended_at_seconds, (incarnation,))


def _request_counts_after_faults(history: History) -> dict[str, int]:
    """Return the count of attempts after the last fault, for each server that runs and was always up."""
    counts = {
        incarnation.server: 0
        for incarnation in history.servers
        if incarnation.ended_at_seconds is None and _was_always_up(history, incarnation)
    }
    for attempt in history.attempts:
        is_after_faults = (
            history.faults_ended_at_seconds <= attempt.received_at_seconds <= history.ended_at_seconds
        )
        if is_after_faults and attempt.server in counts:
            counts[attempt.server] += 1
    return counts


def _was_always_up(history: History, incarnation: ServerIncarnation) -> bool:
    return all(
        notification.server != incarnation.server or notification.health == EndpointHealth.UP
        for notification in history.endpoint_notifications
    )

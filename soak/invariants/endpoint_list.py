"""The invariant of the endpoint list: departing account servers get no new attempts.

A server departs from when the endpoint list shows it as draining or removed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from soak.deployment import Deployment
from soak.history.events import EndpointHealth, EndpointNotification
from soak.history.history import History
from soak.invariants.tolerances import OBSERVATION_ORDER_SECONDS, SOCKET_SLACK_SECONDS
from soak.invariants.violation import Invariant, Violation, request_violation


def check_drains(history: History, deployment: Deployment) -> Iterator[Violation]:
    """No attempt starts at an account server that drains or is removed, once the grace time is over.

    The grace time starts when the sidecar has to know of the departure.
    """
    notifications = _notifications_by_sidecar_and_server(history)
    for attempt in history.attempts:
        request = history.requests.get(attempt.request_id)
        if request is None:
            continue
        started_at_seconds = attempt.started_at_seconds
        grace_seconds = deployment.drain_grace_seconds + SOCKET_SLACK_SECONDS + OBSERVATION_ORDER_SECONDS
        grace_seconds += history.lag_seconds_within(
            started_at_seconds - grace_seconds, started_at_seconds + OBSERVATION_ORDER_SECONDS
        )
        relevant = notifications.get((request.sidecar, attempt.server), [])
        since_seconds = _departing_since_seconds(relevant, started_at_seconds)
        if since_seconds is not None and started_at_seconds - since_seconds > grace_seconds:
            lateness_seconds = started_at_seconds - since_seconds
            message = (
                f"sent to {attempt.server} {lateness_seconds:.2f} s after the sidecar had to know "
                "that it departs"
            )
            yield request_violation(Invariant.DRAIN, message, started_at_seconds, request)


def _notifications_by_sidecar_and_server(
    history: History,
) -> dict[tuple[str, str], list[EndpointNotification]]:
    """Return the notifications of each sidecar about each server, in the order of their times."""
    notifications: dict[tuple[str, str], list[EndpointNotification]] = {}
    for notification in sorted(history.endpoint_notifications, key=lambda event: event.notified_at_seconds):
        notifications.setdefault((notification.sidecar, notification.server), []).append(notification)
    return notifications


def _departing_since_seconds(
    notifications: Iterable[EndpointNotification], at_seconds: float
) -> float | None:
    """Return since when a server has been departing at a point in time, or None if it is up then."""
    since_seconds: float | None = None
    for notification in notifications:
        if notification.notified_at_seconds > at_seconds:
            break
        if notification.health == EndpointHealth.UP:
            since_seconds = None
        elif since_seconds is None:
            since_seconds = notification.notified_at_seconds
    return since_seconds

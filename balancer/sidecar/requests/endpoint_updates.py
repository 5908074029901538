"""Applies endpoint updates to the sidecar, and reports them to the policy."""

from __future__ import annotations

from balancer.policy_api import EndpointUpdate, EndpointUpdateKind
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate
from balancer.sidecar.discovery.start_times import StartTimeTranslator
from balancer.sidecar.requests.attempt_guard import AttemptGuard
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.runtime.metrics import Metric, Metrics
from balancer.sidecar.upstream.manager import UpstreamManager


class EndpointUpdates:
    """Updates the connection pools and the attempt guard before it reports an update to the policy."""

    def __init__(
        self,
        upstream: UpstreamManager,
        guard: AttemptGuard,
        start_times: StartTimeTranslator,
        events: EventQueue,
        metrics: Metrics,
    ) -> None:
        self._upstream = upstream
        self._guard = guard
        self._start_times = start_times
        self._events = events
        self._metrics = metrics

    def apply(self, update: EndpointListUpdate, kind: EndpointUpdateKind) -> None:
        """Apply a new endpoint list or a change of the current one."""
        is_snapshot = kind != EndpointUpdateKind.DELTA
        self._upstream.update_endpoints(update.endpoints, is_snapshot)
        if is_snapshot:
            self._start_times.retain_only({discovered.endpoint.id for discovered in update.endpoints})
        endpoints = tuple(self._start_times.translate(discovered.endpoint) for discovered in update.endpoints)
        self._guard.update_endpoints(endpoints, is_snapshot)
        self._metrics.count(Metric.ENDPOINT_UPDATES, kind.name.lower())
        self._events.dispatch(EndpointUpdate(kind, endpoints))

    def report_failure(self) -> None:
        """Report to the policy that a call to discovery failed; the endpoint list stays as it is."""
        self._events.dispatch(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))

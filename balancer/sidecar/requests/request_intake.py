"""Accepts valid requests of clients for processing."""

from __future__ import annotations

from collections.abc import Callable

from balancer.policy_api import RequestReceived
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.request_deadlines import RequestDeadlines
from balancer.sidecar.requests.request_registry import RequestRegistry
from balancer.sidecar.runtime.metrics import Metric, Metrics
from balancer.time_units import SECOND_NS


class RequestIntake:
    """Adds each request to the registry, starts its deadline timer and reports it to the policy."""

    def __init__(
        self,
        now_ns: Callable[[], int],
        request_registry: RequestRegistry,
        deadlines: RequestDeadlines,
        events: EventQueue,
        metrics: Metrics,
    ) -> None:
        self._now_ns = now_ns
        self._request_registry = request_registry
        self._deadlines = deadlines
        self._events = events
        self._metrics = metrics

    def submit(self, sink: ResponseSink, client_request: ClientRequest, waited_seconds: float) -> int | None:
        """Start to process a request that arrived this long ago, and return its request id.

        If there is no memory for it, it is rejected at once, and the result is None.
        """
        now_ns = self._now_ns()
        timeout_ns = client_request.timeout_ns - int(waited_seconds * SECOND_NS)
        expires_at_ns = self._deadlines.expires_at_ns(timeout_ns, now_ns)
        request = self._request_registry.add(sink, client_request, expires_at_ns)
        self._metrics.count(Metric.REQUESTS)
        if request is None:
            self._metrics.count(Metric.MEMORY_REJECTIONS)
            sink.reject(retry_after_ns=0)
            return None
        self._deadlines.start(request, now_ns)
        self._events.dispatch(
            RequestReceived(
                request.request_id,
                client_request.class_index,
                client_request.tenant_index,
                client_request.key_hash,
                expires_at_ns,
                client_request.work_hint_ns,
                client_request.is_retry,
            )
        )
        return request.request_id

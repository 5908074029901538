"""Abandons the requests of disconnected clients."""

from __future__ import annotations

from balancer.policy_api import AttemptOutcome, ClientDisconnected
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.request_registry import RequestRegistry
from balancer.sidecar.runtime.metrics import Metric, Metrics


class ClientDisconnects:
    """Stops the processing of a request whose client has disconnected."""

    def __init__(self, request_registry: RequestRegistry, events: EventQueue, metrics: Metrics) -> None:
        self._request_registry = request_registry
        self._events = events
        self._metrics = metrics

    def on_client_disconnected(self, request_id: int) -> None:
        """Abandon the request of a disconnected client, unless it has its final response.

        - An attempt whose request was transmitted continues, because ending it would close its connection.
        - An attempt that still waits for a connection is not sent, because no client waits for the response.
        - An attempt whose request was transmitted in part ends for the same reason, without the rest.
        """
        request = self._request_registry.mark_answered(request_id)
        if request is None:
            return
        self._metrics.count(Metric.CLIENTS_DISCONNECTED)
        self._request_registry.remove_if_finished(request)
        self._events.dispatch(ClientDisconnected(request_id))
        if request.attempt is not None:
            request.attempt.end_unless_transmitted(AttemptOutcome.CANCELLED)

"""Abandons the requests of clients that have left."""

from __future__ import annotations

from balancer.policy_api import ClientDisconnected
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.ledger import RequestLedger
from balancer.sidecar.runtime.metrics import Metric, Metrics


class ClientDisconnects:
    """Sees to it that nothing more is sent for a request that nobody waits for."""

    def __init__(self, ledger: RequestLedger, events: EventQueue, metrics: Metrics) -> None:
        self._ledger = ledger
        self._events = events
        self._metrics = metrics

    def on_client_disconnected(self, request_id: int) -> None:
        """Abandon a request whose client has left, unless it has its final answer.

        An attempt that was sent goes on, as ending it would cost its connection. One that still waits for
        its connection must not be sent, nor the rest of one that was sent in part: nobody wants the answer.
        """
        request = self._ledger.mark_answered(request_id)
        if request is None:
            return
        self._metrics.count(Metric.CLIENTS_DISCONNECTED)
        self._ledger.forget_if_finished(request)
        self._events.dispatch(ClientDisconnected(request_id))
        if request.attempt is not None:
            request.attempt.give_up_unsent()

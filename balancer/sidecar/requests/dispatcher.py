"""Feeds events to the policy and carries out the actions that it returns.

The dispatcher makes no decisions. It takes one event at a time: all actions of one are carried out before the
next event is handled.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TypeVar, cast

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    FetchEndpoints,
    HealthCheckCompleted,
    RejectRequest,
    RequestReceived,
    SendGossip,
    SetTimer,
    StartAttempt,
    Started,
    StartHealthCheck,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
    WriteLog,
)
from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate
from balancer.sidecar.discovery.start_times import StartTimeTranslator
from balancer.sidecar.requests.attempt_guard import AttemptGuard
from balancer.sidecar.requests.attempt_runner import AttemptRunner
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.requests.ledger import InFlightRequest, RequestLedger
from balancer.sidecar.requests.ports import EndpointDiscovery, GossipSender, Policy
from balancer.sidecar.runtime.clock import Clock
from balancer.sidecar.runtime.metrics import Invariant, Metric, Metrics
from balancer.sidecar.runtime.timers import OneShotTimer
from balancer.sidecar.upstream.manager import UpstreamManager
from balancer.time_units import MILLISECOND_NS, SECOND_NS

MAX_DEADLINE_MARGIN_NS = 10 * MILLISECOND_NS
"""A request expires here this much before its client gives up: for loop lag and the way back."""
MAX_DEADLINE_MARGIN_SHARE = 0.1
"""The most of a client's timeout that the margin takes: of a short one, little would be left otherwise."""

ActionT = TypeVar("ActionT", bound=Action)

log = logging.getLogger(__name__)


class Dispatcher:
    """Connects the policy with the clients, the endpoints, discovery and the other sidecars.

    Every request that is submitted gets exactly one final answer, unless its client leaves before.

    Args:
        config: the configuration of the sidecar.
        loop: the event loop that everything runs in.
        clock: the time that the policy sees.
        policy: what makes the decisions; by default a `Balancer` for this configuration.
    """

    def __init__(
        self,
        config: SidecarConfiguration,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        policy: Policy | None = None,
    ) -> None:
        self._loop = loop
        self._policy = policy if policy is not None else Balancer(config.settings, config.seed)
        self._discovery: EndpointDiscovery | None = None
        self._gossip: GossipSender | None = None
        self._events: deque[Event] = deque()
        self._is_dispatching = False
        self._shutdown_deadline_ns: int | None = None
        self._shutdown_timer = OneShotTimer(loop)
        self.now_ns = clock.now_ns
        self._start_times = StartTimeTranslator(clock.now_ns)
        self.metrics = Metrics()
        self._guard = AttemptGuard(config.settings, self.metrics)
        self.upstream = UpstreamManager(config, loop, clock.now_ns)
        self.ledger = RequestLedger(config.settings, loop)
        self._attempts = AttemptRunner(
            config.settings, self, self.upstream, self.ledger, self._guard, self.metrics
        )
        self.has_endpoints = False
        """Whether any endpoint has been known yet."""
        self._action_handlers: dict[type[object], Callable[[Action], None]] = {}
        self._register_action_handlers()

    def attach_discovery(self, discovery: EndpointDiscovery) -> None:
        """Let this client carry out what the policy asks of discovery; until then that is dropped."""
        self._discovery = discovery

    def attach_gossip(self, gossip: GossipSender) -> None:
        """Let this transport carry messages to other sidecars; until then they are dropped."""
        self._gossip = gossip

    # ---- events

    def start(self, known: EndpointListUpdate) -> None:
        """Start the policy with the endpoint list as it was last known."""
        self.dispatch(Started())
        self.on_endpoint_update(known, EndpointUpdateKind.CACHED)

    def on_endpoint_update(self, update: EndpointListUpdate, kind: EndpointUpdateKind) -> None:
        """Take up a new endpoint list or a change of it."""
        self.has_endpoints = self.has_endpoints or bool(update.endpoints)
        is_snapshot = kind != EndpointUpdateKind.DELTA
        self.upstream.update_endpoints(update.endpoints, is_snapshot)
        if is_snapshot:
            self._start_times.forget_all_but({discovered.endpoint.id for discovered in update.endpoints})
        endpoints = tuple(self._start_times.translate(discovered.endpoint) for discovered in update.endpoints)
        self._guard.update_endpoints(endpoints, is_snapshot)
        self.metrics.count(Metric.ENDPOINT_UPDATES, kind.name.lower())
        self.dispatch(EndpointUpdate(kind, endpoints))

    def on_discovery_failed(self) -> None:
        """Tell the policy that a call to discovery failed; the endpoint list stays as it is."""
        self.dispatch(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))

    def dispatch(self, event: Event) -> None:
        """Handle an event; one that an action brings about waits until the other actions are carried out."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._is_dispatching = False

    def has_pending_endpoint_update(self) -> bool:
        """Whether the policy has yet to be told of an endpoint update that has come."""
        return any(isinstance(event, EndpointUpdate) for event in self._events)

    def _handle_event(self, event: Event) -> None:
        try:
            actions = self._policy.handle(self.now_ns(), event)
        except Exception as error:
            # A fault in one decision must not take the others down. Its request fails at the deadline.
            log.exception("policy failed: event %s, error %s", _describe_event(event), type(error).__name__)
            return
        for action in actions:
            self._execute_guarded(action)

    def _execute_guarded(self, action: Action) -> None:
        """Carry out an action; a fault in one must not keep the others from being carried out."""
        try:
            self.execute(action)
        except Exception as error:
            log.exception("action failed: %s, error %s", type(action).__name__, type(error).__name__)

    # ---- requests

    def is_duplicate(self, client_request_id: bytes) -> bool:
        """Whether a request with this id is in flight, or may have been executed and must not be again."""
        return self.ledger.is_duplicate(client_request_id, self.now_ns())

    def submit(self, sink: ResponseSink, client_request: ClientRequest, waited_seconds: float = 0.0) -> int:
        """Take a request and return its request id.

        The sink gets exactly one final answer, perhaps before this returns, unless
        `on_client_disconnected` tells that the client left.

        Args:
            sink: where the answer goes.
            client_request: the request.
            waited_seconds: for how long the request had arrived before: its client's time counts from then.
        """
        now_ns = self.now_ns()
        timeout_ns = client_request.timeout_ns - int(waited_seconds * SECOND_NS)
        expires_at_ns = self._request_deadline_ns(timeout_ns, now_ns)
        request = self.ledger.add(sink, client_request, expires_at_ns)
        self.metrics.count(Metric.REQUESTS)
        request.deadline_timer.start(
            max(0, expires_at_ns - now_ns) / SECOND_NS, partial(self._on_request_deadline, request)
        )
        self.dispatch(
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

    def _request_deadline_ns(self, client_timeout_ns: int, now_ns: int) -> int:
        margin_ns = max(0, min(MAX_DEADLINE_MARGIN_NS, int(client_timeout_ns * MAX_DEADLINE_MARGIN_SHARE)))
        deadline_ns = now_ns + client_timeout_ns - margin_ns
        if self._shutdown_deadline_ns is None:
            return deadline_ns
        return min(deadline_ns, self._shutdown_deadline_ns)

    def expire_all_within(self, seconds: float) -> None:
        """Answer every request within this time, as the process ends then; also those still to come."""
        self._shutdown_deadline_ns = self.now_ns() + int(seconds * SECOND_NS)
        for request in self.ledger.in_flight.values():
            request.expires_at_ns = min(request.expires_at_ns, self._shutdown_deadline_ns)
        self._shutdown_timer.start(seconds, self._expire_unanswered_requests)

    def _expire_unanswered_requests(self) -> None:
        for request in list(self.ledger.in_flight.values()):
            if not request.answered:
                request.deadline_timer.cancel()
                self._on_request_deadline(request)

    def on_client_disconnected(self, request_id: int) -> None:
        """Give the request up, as its client left.

        An attempt that was sent goes on, as ending it would cost its connection. One that still waits for
        its connection must not be sent, nor the rest of one that was sent in part: nobody wants the answer.
        """
        request = self.ledger.mark_answered(request_id)
        if request is None:
            return
        self.metrics.count(Metric.CLIENTS_LEFT)
        self.ledger.forget_if_finished(request, self.now_ns())
        self.dispatch(ClientDisconnected(request_id))
        if request.attempt is not None:
            request.attempt.give_up_unsent()

    def detect_client_disconnect(self, request: InFlightRequest) -> None:
        """Ask whether the client has left; done before an attempt is sent, as no event may have told yet."""
        if not request.answered and request.response_sink.is_disconnected():
            self.on_client_disconnected(request.request_id)

    def _on_request_deadline(self, request: InFlightRequest) -> None:
        # The loop rounds its timers to milliseconds and may call early. The request expires all the same, or
        # a further attempt could start beside the one that goes on in the background.
        request.expires_at_ns = min(request.expires_at_ns, self.now_ns())
        self._attempts.continue_in_background(request)
        if not request.answered:
            # The policy should have answered when the attempt ended. Whatever kept it, no request is lost.
            detail = (
                f"request {request.request_id}, last endpoint {request.endpoint_id.hex() or 'none'}, "
                f"attempts {request.attempt_count}"
            )
            self.metrics.record_violation(Invariant.ANSWER_BY_DEADLINE, detail)
            self._fail_request(FailRequest(request.request_id))
            self.dispatch(ClientDisconnected(request.request_id))

    # ---- actions

    def execute(self, action: Action) -> None:
        """Carry out one action of the policy."""
        self._action_handlers[type(action)](action)

    def _register_action_handlers(self) -> None:
        self._register(StartAttempt, self._attempts.start)
        self._register(CancelAttempt, self._attempts.cancel)
        self._register(RejectRequest, self._reject_request)
        self._register(FailRequest, self._fail_request)
        self._register(SetTimer, self._set_timer)
        self._register(StartHealthCheck, self._start_health_check)
        self._register(CloseIdleConnections, self._close_idle_connections)
        self._register(WatchEndpoints, self._watch_endpoints)
        self._register(FetchEndpoints, self._fetch_endpoints)
        self._register(SendGossip, self._send_gossip)
        self._register(WriteLog, self._write_log)

    def _register(self, action_type: type[ActionT], handler: Callable[[ActionT], None]) -> None:
        # `execute` looks a handler up by the exact type of the action, so it gets no action but its own.
        self._action_handlers[action_type] = cast(Callable[[Action], None], handler)

    def _reject_request(self, action: RejectRequest) -> None:
        in_flight = self.ledger.in_flight.get(action.request_id)
        if in_flight is not None and not in_flight.answered and not self._guard.may_reject(in_flight):
            self._fail_request(FailRequest(action.request_id))
            return
        request = self.ledger.mark_answered(action.request_id)
        if request is not None:
            self._record_answer(request, "rejected")
            request.response_sink.reject(action.retry_after_ns)
            self.ledger.forget_if_finished(request, self.now_ns())

    def _fail_request(self, action: FailRequest) -> None:
        request = self.ledger.mark_answered(action.request_id)
        if request is not None:
            self._record_answer(request, "failed")
            request.response_sink.fail(request.last_outcome == AttemptOutcome.TIMEOUT)
            self.ledger.forget_if_finished(request, self.now_ns())

    def _record_answer(self, request: InFlightRequest, answer: str) -> None:
        """Count an answer of the sidecar's own and log why it was given."""
        self.metrics.count(Metric.RESPONSES, answer)
        log.debug(
            "request %d %s: client id %r, attempts %d, last endpoint %s, last outcome %s, may have run %s",
            request.request_id,
            answer,
            request.client_request.client_request_id,
            request.attempt_count,
            request.endpoint_id.hex() or "none",
            request.last_outcome.name if request.last_outcome is not None else "none",
            request.may_have_run,
        )

    def _set_timer(self, action: SetTimer) -> None:
        # The policy has any number of timers at once and never cancels one.
        self._loop.call_later(action.delay_ns / SECOND_NS, self._on_policy_timer, TimerFired(action.token))

    def _on_policy_timer(self, event: TimerFired) -> None:
        self._start_times.observe_wall_clock()  # the policy's cycle is short enough to see each step
        self.dispatch(event)

    def _start_health_check(self, action: StartHealthCheck) -> None:
        self.upstream.start_health_check(action.endpoint_id, self.dispatch)

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self.upstream.close_idle_connections(action.endpoint_id)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        if self._discovery is not None:
            self._discovery.set_watching(action.enabled)

    def _fetch_endpoints(self, _action: FetchEndpoints) -> None:
        if self._discovery is not None:
            self._discovery.fetch_snapshot()

    def _send_gossip(self, action: SendGossip) -> None:
        if self._gossip is not None:
            self._gossip.send(action.recipient_index, action.payload)

    def _write_log(self, action: WriteLog) -> None:
        log.info("%s", action.text)


def _describe_event(event: Event) -> str:
    """Name an event, its request and its endpoint, for a log line."""
    description = type(event).__name__
    if isinstance(event, RequestReceived | AttemptCompleted | StreamStarted | ClientDisconnected):
        description += f", request {event.request_id}"
    if isinstance(event, AttemptCompleted | HealthCheckCompleted):
        description += f", endpoint {event.endpoint_id.hex()}"
    return description

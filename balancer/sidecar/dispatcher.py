"""Drives the decisions: events in as they come, actions out; keeps the ledger of requests and attempts.

It decides nothing. Events are taken one at a time: all actions of one are carried out before the next.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    AttemptCompleted,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    FetchEndpoints,
    Idempotency,
    RejectRequest,
    RequestReceived,
    SendGossip,
    SetTimer,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
    WatchEndpoints,
    WriteLog,
)
from balancer.sidecar.client_request import ClientRequest, ResponseSink
from balancer.sidecar.clock import Clock
from balancer.sidecar.configuration import SECOND, EndpointListUpdate, SidecarConfiguration
from balancer.sidecar.http_message import HttpResponse
from balancer.sidecar.upstream.attempt import Attempt
from balancer.sidecar.upstream.manager import UpstreamManager

log = logging.getLogger(__name__)

MS = 1_000_000
# The client's time ends this much earlier here: for loop lag and the way back. Of a short time only a part,
# or little would be left for the answer.
DEADLINE_MARGIN, MARGIN_SHARE = 10 * MS, 0.1


class EndpointDiscovery(Protocol):
    """What the decisions may ask of discovery."""

    def set_watching(self, enabled: bool) -> None:
        """Start or stop to ask for changes of the endpoint list."""

    def fetch_snapshot(self) -> None:
        """Ask for the whole endpoint list once."""


class GossipSender(Protocol):
    """Carries messages to other sidecars."""

    def send(self, recipient_index: int, payload: bytes) -> None:
        """Send a message to a sidecar by its number, or to all of them (-1)."""


class InFlightRequest:
    """A request in the ledger: owed its final answer, or with an attempt still out."""

    __slots__ = (
        "answered",
        "attempt",
        "attempt_count",
        "attempt_deadline_ns",
        "attempt_started_at_ns",
        "attempt_timer",
        "client_request",
        "deadline_timer",
        "endpoint_id",
        "expires_at_ns",
        "has_background_attempt",
        "last_outcome",
        "may_have_run",
        "request_id",
        "response_sink",
    )

    def __init__(self, rid: int, client: ResponseSink, incoming: ClientRequest, expires: int) -> None:
        self.request_id, self.response_sink, self.client_request, self.expires_at_ns = (
            rid,
            client,
            incoming,
            expires,
        )
        self.answered = False
        self.attempt_count = self.attempt_started_at_ns = self.attempt_deadline_ns = 0
        self.attempt: Attempt | None = None
        self.endpoint_id: EndpointId = b""
        self.last_outcome = -1  # the outcome of the last attempt
        self.may_have_run = False
        self.has_background_attempt = False  # by that attempt, which is still out
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.attempt_timer: asyncio.TimerHandle | None = None

    def encode(self, now: Callable[[], int]) -> bytes:
        left = (
            max(0, min(self.attempt_deadline_ns, self.expires_at_ns) - now()) / SECOND
        )  # the end may have been brought forward
        return b"%sReq-Deadline: %.3f\r\n\r\n%s" % (self.client_request.head, left, self.client_request.body)


class Dispatcher:
    def __init__(self, config: SidecarConfiguration, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._settings = config.settings
        self._longest = max(cls.client_timeout_ns for cls in config.settings.classes)
        self._loop, self.now_ns = loop, clock.now_ns
        self._balancer = Balancer(config.settings, config.seed)
        self.upstream = UpstreamManager(config, loop, clock.now_ns)
        self._open: dict[int, InFlightRequest] = {}
        self._names: set[bytes] = set()  # the ids of those
        # Ids that are over and whose second run would do harm, by when their clients have given up.
        self._spent: dict[bytes, int] = {}
        self._last_id = 0
        self._end: int | None = None  # by when this sidecar has ended, once it was told to
        self._events: deque[Event] = deque()
        self._busy = False
        self._actions: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._send,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            StartHealthCheck: self._probe,
            WriteLog: self._log,
            CloseIdleConnections: lambda a: self.upstream.close_idle_connections(a.endpoint_id),
            WatchEndpoints: self._set_watching,
            FetchEndpoints: self._fetch_snapshot,
            SendGossip: self._send_gossip,
        }
        self._discovery: EndpointDiscovery | None = None
        self._gossip: GossipSender | None = None
        self.has_endpoints = False  # whether any endpoint has been named yet

    def attach_discovery(self, discovery: EndpointDiscovery) -> None:
        """Let this client carry out what the decisions ask of discovery."""
        self._discovery = discovery

    def attach_gossip(self, gossip: GossipSender) -> None:
        """Let this transport carry messages to other sidecars; until then they are dropped."""
        self._gossip = gossip

    # ---- events

    def start(self, known: EndpointListUpdate) -> None:
        self.dispatch(Started())
        self.on_endpoint_update(known, EndpointUpdateKind.CACHED)

    def on_endpoint_update(self, told: EndpointListUpdate, kind: EndpointUpdateKind) -> None:
        self.has_endpoints = self.has_endpoints or bool(told.endpoints)
        self.upstream.update_endpoints(told.endpoints, is_snapshot=kind != EndpointUpdateKind.DELTA)
        self.dispatch(EndpointUpdate(kind, tuple(host.endpoint for host in told.endpoints)))

    def dispatch(self, event: Event) -> None:
        """Take an event. What an action brings about at once waits until the other actions are done."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self.now_ns(), event)
        except Exception:
            # A fault in one decision must not take the others down. Its request fails at the deadline.
            log.exception("fault in handling %s", type(event).__name__)
            return
        for action in actions:
            self._actions[type(action)](action)

    # ---- requests

    def is_duplicate(self, name: bytes) -> bool:
        """Whether a request with this id is owed its answer or has an attempt out, or has run perhaps and
        must not run again: a client whose answer is lost with its connection may send it once more."""
        while self._spent and next(iter(self._spent.values())) <= self.now_ns():
            del self._spent[next(iter(self._spent))]
        return name in self._names or name in self._spent

    def submit(self, client: ResponseSink, incoming: ClientRequest) -> int:
        """Take a request; the client is answered once, unless `gone` tells that it left."""
        self._last_id += 1
        rid, now = self._last_id, self.now_ns()
        margin = min(DEADLINE_MARGIN, int(incoming.timeout_ns * MARGIN_SHARE))
        expires = now + incoming.timeout_ns - margin
        if self._end is not None:
            expires = min(expires, self._end)
        request = self._open[rid] = InFlightRequest(rid, client, incoming, expires)
        self._names.add(incoming.client_request_id)
        request.deadline_timer = self._loop.call_later((expires - now) / SECOND, self._at_deadline, request)
        self.dispatch(
            RequestReceived(
                rid,
                incoming.class_index,
                incoming.tenant_index,
                incoming.key_hash,
                expires,
                incoming.work_hint_ns,
                incoming.is_retry,
            )
        )
        return rid

    def expire_all_within(self, seconds: float) -> None:
        """Answer everything in this time: whoever ends the process does not wait for longer deadlines."""
        self._end = end = self.now_ns() + int(seconds * SECOND)
        for request in self._open.values():
            request.expires_at_ns = min(request.expires_at_ns, end)
        self._loop.call_later(seconds, self._at_end)

    def _at_end(self) -> None:
        for request in list(self._open.values()):
            if not request.answered:
                if request.deadline_timer is not None:
                    request.deadline_timer.cancel()
                self._at_deadline(request)

    def on_client_disconnected(self, rid: int) -> None:
        """The client left. An attempt that is out goes on: ending it would only cost a connection. One that
        still waits for its connection must not begin: nobody wants it any more."""
        if (request := self._conclude(rid)) is not None:
            self._settle(request)
            self.dispatch(ClientDisconnected(rid))
            if request.attempt is not None:
                request.attempt.detach()

    def _left(self, request: InFlightRequest) -> bool:
        """Whether nobody waits any more. Asked before an attempt begins: no event may have told of it yet."""
        if not request.answered and request.response_sink.is_disconnected():
            self.on_client_disconnected(request.request_id)
        return request.answered

    def _payload(self, request: InFlightRequest) -> bytes:
        # The connection may have taken its time. The attempt ends before anything of it is written.
        if self._left(request) and request.attempt is not None:
            request.attempt.abort(AttemptOutcome.NOT_SENT)
        return request.encode(self.now_ns)

    def _at_deadline(self, request: InFlightRequest) -> None:
        request.deadline_timer = None
        # The loop rounds its timers to milliseconds and may call before the time: it is over all the same, or
        # a further attempt would go out beside the one that outlives its request.
        request.expires_at_ns = min(request.expires_at_ns, self.now_ns())
        if request.attempt is not None:
            # Of a client in a hurry an answer is still likely; beyond the aim the endpoint is behind, and an
            # end may spare it the work.
            aim = self._settings.classes[request.client_request.class_index].latency_objective_ns
            request.has_background_attempt = True
            request.attempt.continue_in_background(
                (request.attempt_started_at_ns + aim - self.now_ns()) / SECOND, partial(self._freed, request)
            )
        if not request.answered:
            # The decisions answer each request by now; whatever keeps them from it, none is lost.
            log.error("request %d was left unanswered until its deadline", request.request_id)
            self._fail(FailRequest(request.request_id))
            self.dispatch(ClientDisconnected(request.request_id))

    def _freed(self, request: InFlightRequest) -> None:
        request.has_background_attempt = False
        self._settle(request)

    def _settle(self, request: InFlightRequest) -> None:
        """Drop what is answered and has no attempt out."""
        if request.answered and request.attempt is None and not request.has_background_attempt:
            if self._open.pop(request.request_id, None) is not None:
                self._names.discard(request.client_request.client_request_id)
                if (
                    request.may_have_run
                    and self._settings.classes[request.client_request.class_index].idempotency
                    != Idempotency.IDEMPOTENT
                ):
                    self._spent[request.client_request.client_request_id] = self.now_ns() + self._longest
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
                request.deadline_timer = None

    def _conclude(self, rid: int) -> InFlightRequest | None:
        """The request if it is still owed its final answer, which the caller then gives."""
        request = self._open.get(rid)
        if request is None or request.answered:
            return None
        request.answered = True
        return request

    # ---- actions

    def _send(self, action: StartAttempt) -> None:
        request, now = self._open.get(action.request_id), self.now_ns()
        if request is None or request.answered or request.attempt is not None or now >= request.expires_at_ns:
            self._moot(action, request)
            return
        if request.attempt_count >= self._settings.max_attempts or self._left(request):
            self._moot(action, request)
            return
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        request.attempt_started_at_ns, request.endpoint_id = now, action.endpoint_id
        request.attempt_deadline_ns = (
            min(request.expires_at_ns, now + action.timeout_ns)
            if action.timeout_ns
            else request.expires_at_ns
        )
        # The connection may come up when this time is over, before the loop has called its end.
        latest = min(action.start_before_ns or request.attempt_deadline_ns, request.attempt_deadline_ns)
        done = partial(self._completed, request, number)
        payload = partial(self._payload, request)
        attempt = self.upstream.create_attempt(action.endpoint_id, payload, done, latest)
        if attempt is None:
            done(AttemptOutcome.CONNECT_FAILED, None)
            return
        request.attempt = attempt
        if request.attempt_deadline_ns < request.expires_at_ns:
            request.attempt_timer = self._loop.call_later(action.timeout_ns / SECOND, attempt.expire)
        attempt.start()

    def _moot(self, action: StartAttempt, request: InFlightRequest | None) -> None:
        over = request is None or request.answered
        number = request.attempt_count if request else 0
        self.dispatch(
            AttemptCompleted(
                action.request_id, number, action.endpoint_id, AttemptOutcome.NOT_SENT, 0, over, ()
            )
        )

    def _completed(
        self, request: InFlightRequest, number: int, outcome: AttemptOutcome, answer: HttpResponse | None
    ) -> None:
        request.attempt, request.last_outcome = None, outcome
        request.may_have_run |= outcome not in OUTCOMES_NEVER_EXECUTED
        if request.attempt_timer is not None:
            request.attempt_timer.cancel()
            request.attempt_timer = None
        if (
            outcome == AttemptOutcome.SUCCESS
            and answer is not None
            and self._conclude(request.request_id) is not None
        ):
            request.response_sink.send_response(answer)
        over = request.answered
        self._settle(request)
        took, report = self.now_ns() - request.attempt_started_at_ns, self.upstream.parse_load_report(answer)
        self.dispatch(
            AttemptCompleted(request.request_id, number, request.endpoint_id, outcome, took, over, report)
        )

    def _refuse(self, action: RejectRequest) -> None:
        if (request := self._conclude(action.request_id)) is not None:
            request.response_sink.reject(action.retry_after_ns)
            self._settle(request)

    def _fail(self, action: FailRequest) -> None:
        if (request := self._conclude(action.request_id)) is not None:
            request.response_sink.fail(request.last_outcome == AttemptOutcome.TIMEOUT)
            self._settle(request)

    def _cancel(self, action: CancelAttempt) -> None:
        request = self._open.get(action.request_id)
        if (
            request is not None
            and request.attempt is not None
            and request.attempt_count - 1 == action.attempt_index
        ):
            request.attempt.abort(AttemptOutcome.CANCELLED)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay_ns / SECOND, self.dispatch, TimerFired(action.token))

    def _probe(self, action: StartHealthCheck) -> None:
        self.upstream.start_health_check(action.endpoint_id, self.dispatch)

    def _log(self, action: WriteLog) -> None:
        log.info("%s", action.text)

    def _set_watching(self, action: WatchEndpoints) -> None:
        if self._discovery is not None:
            self._discovery.set_watching(action.enabled)

    def _fetch_snapshot(self, action: FetchEndpoints) -> None:
        if self._discovery is not None:
            self._discovery.fetch_snapshot()

    def _send_gossip(self, action: SendGossip) -> None:
        if self._gossip is not None:
            self._gossip.send(action.recipient_index, action.payload)

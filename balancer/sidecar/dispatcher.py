"""Drives the decisions: events in as they come, actions out; keeps the ledger of requests and attempts.

It decides nothing. Events are taken one at a time: all actions of one are carried out before the next.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol

from balancer import policy_api
from balancer.policy.balancer import Balancer
from balancer.policy_api import AttemptOutcome, Idempotency
from balancer.sidecar.configuration import SECOND, Config, HostList
from balancer.sidecar.upstream.connection import Answer, Attempt, Upstream

log = logging.getLogger(__name__)

MS = 1_000_000
# The client's time ends this much earlier here: for loop lag and the way back. Of a short time only a part,
# or little would be left for the answer.
DEADLINE_MARGIN, MARGIN_SHARE = 10 * MS, 0.1


class Clock:
    """Monotonic time, anchored once to the wall clock so that all sidecars agree on hours and births."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self._anchor


class Client(Protocol):
    """Where the final answer of a request goes."""

    def serve(self, answer: Answer) -> None: ...

    def refuse(self, stay_away: int) -> None: ...

    def fail(self, timed_out: bool) -> None: ...

    def left(self) -> bool: ...


class Incoming(NamedTuple):
    """A request as the client sent it, checked."""

    name: bytes  # its Req-Id
    cls: int
    tenant: int
    key: int
    deadline: int
    hint: int
    repeat: bool
    head: bytes  # the request line and the headers that go on, but for the deadline and the empty line
    body: bytes


class Open:
    """A request in the ledger: owed its final answer, or with an attempt still out."""

    __slots__ = (
        "answered",
        "attempt",
        "attempts",
        "client",
        "deadline",
        "endpoint",
        "expires",
        "id",
        "incoming",
        "last",
        "may_have_run",
        "outlived",
        "patience",
        "sent",
        "until",
    )

    def __init__(self, rid: int, client: Client, incoming: Incoming, expires: int) -> None:
        self.id, self.client, self.incoming, self.expires = rid, client, incoming, expires
        self.answered = False
        self.attempts = self.sent = self.until = 0
        self.attempt: Attempt | None = None
        self.endpoint: policy_api.EndpointId = b""
        self.last = -1  # the outcome of the last attempt
        self.may_have_run = False
        self.outlived = False  # by that attempt, which is still out
        self.deadline: asyncio.TimerHandle | None = None
        self.patience: asyncio.TimerHandle | None = None

    def payload(self, now: Callable[[], int]) -> bytes:
        left = max(0, min(self.until, self.expires) - now()) / SECOND  # the end may have been brought forward
        return b"%sReq-Deadline: %.3f\r\n\r\n%s" % (self.incoming.head, left, self.incoming.body)


class Host:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._settings = config.settings
        self._longest = max(cls.client_timeout_ns for cls in config.settings.classes)
        self._loop, self.now = loop, clock.now
        self._balancer = Balancer(config.settings, config.seed)
        self.upstream = Upstream(config, loop, clock.now)
        self._open: dict[int, Open] = {}
        self._names: set[bytes] = set()  # the ids of those
        # Ids that are over and whose second run would do harm, by when their clients have given up.
        self._spent: dict[bytes, int] = {}
        self._last_id = 0
        self._end: int | None = None  # by when this sidecar has ended, once it was told to
        self._events: deque[policy_api.Event] = deque()
        self._busy = False
        self._actions: dict[type, Callable[[Any], None]] = {
            policy_api.StartAttempt: self._send,
            policy_api.RejectRequest: self._refuse,
            policy_api.FailRequest: self._fail,
            policy_api.CancelAttempt: self._cancel,
            policy_api.SetTimer: self._set_timer,
            policy_api.StartHealthCheck: self._probe,
            policy_api.WriteLog: self._log,
            policy_api.CloseIdleConnections: lambda a: self.upstream.disconnect(a.endpoint_id),
            policy_api.WatchEndpoints: lambda a: self.watch(a.enabled),
            policy_api.FetchEndpoints: lambda a: self.fetch(),
            policy_api.SendGossip: lambda a: self.tell(a.recipient_index, a.payload),
        }
        # Set by the parts that do them.
        self.watch: Callable[[bool], None] = lambda on: None
        self.fetch: Callable[[], None] = lambda: None
        self.tell: Callable[[int, bytes], None] = lambda peer, body: None
        self.listed = False  # whether any endpoint has been named yet

    # ---- events

    def start(self, known: HostList) -> None:
        self.post(policy_api.Started())
        self.learn(known, policy_api.EndpointUpdateKind.CACHED)

    def learn(self, told: HostList, kind: int) -> None:
        self.listed = self.listed or bool(told.hosts)
        self.upstream.learn(told.hosts, whole=kind != policy_api.EndpointUpdateKind.DELTA)
        self.post(policy_api.EndpointUpdate(kind, tuple(host.endpoint for host in told.hosts)))

    def post(self, event: policy_api.Event) -> None:
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

    def _step(self, event: policy_api.Event) -> None:
        try:
            actions = self._balancer.handle(self.now(), event)
        except Exception:
            # A fault in one decision must not take the others down. Its request fails at the deadline.
            log.exception("fault in handling %s", type(event).__name__)
            return
        for action in actions:
            self._actions[type(action)](action)

    # ---- requests

    def knows(self, name: bytes) -> bool:
        """Whether a request with this id is owed its answer or has an attempt out, or has run perhaps and
        must not run again: a client whose answer is lost with its connection may send it once more."""
        while self._spent and next(iter(self._spent.values())) <= self.now():
            del self._spent[next(iter(self._spent))]
        return name in self._names or name in self._spent

    def request(self, client: Client, incoming: Incoming) -> int:
        """Take a request; the client is answered once, unless `gone` tells that it left."""
        self._last_id += 1
        rid, now = self._last_id, self.now()
        margin = min(DEADLINE_MARGIN, int(incoming.deadline * MARGIN_SHARE))
        expires = now + incoming.deadline - margin
        if self._end is not None:
            expires = min(expires, self._end)
        request = self._open[rid] = Open(rid, client, incoming, expires)
        self._names.add(incoming.name)
        request.deadline = self._loop.call_later((expires - now) / SECOND, self._at_deadline, request)
        self.post(
            policy_api.RequestReceived(
                rid, incoming.cls, incoming.tenant, incoming.key, expires, incoming.hint, incoming.repeat
            )
        )
        return rid

    def end_within(self, seconds: float) -> None:
        """Answer everything in this time: whoever ends the process does not wait for longer deadlines."""
        self._end = end = self.now() + int(seconds * SECOND)
        for request in self._open.values():
            request.expires = min(request.expires, end)
        self._loop.call_later(seconds, self._at_end)

    def _at_end(self) -> None:
        for request in list(self._open.values()):
            if not request.answered:
                if request.deadline is not None:
                    request.deadline.cancel()
                self._at_deadline(request)

    def gone(self, rid: int) -> None:
        """The client left. An attempt that is out goes on: ending it would only cost a connection. One that
        still waits for its connection must not begin: nobody wants it any more."""
        if (request := self._conclude(rid)) is not None:
            self._settle(request)
            self.post(policy_api.ClientDisconnected(rid))
            if request.attempt is not None:
                request.attempt.withdraw()

    def _left(self, request: Open) -> bool:
        """Whether nobody waits any more. Asked before an attempt begins: no event may have told of it yet."""
        if not request.answered and request.client.left():
            self.gone(request.id)
        return request.answered

    def _payload(self, request: Open) -> bytes:
        # The connection may have taken its time. The attempt ends before anything of it is written.
        if self._left(request) and request.attempt is not None:
            request.attempt.abandon(AttemptOutcome.NOT_SENT)
        return request.payload(self.now)

    def _at_deadline(self, request: Open) -> None:
        request.deadline = None
        # The loop rounds its timers to milliseconds and may call before the time: it is over all the same, or
        # a further attempt would go out beside the one that outlives its request.
        request.expires = min(request.expires, self.now())
        if request.attempt is not None:
            # Of a client in a hurry an answer is still likely; beyond the aim the endpoint is behind, and an
            # end may spare it the work.
            aim = self._settings.classes[request.incoming.cls].latency_objective_ns
            request.outlived = True
            request.attempt.outlive((request.sent + aim - self.now()) / SECOND, partial(self._freed, request))
        if not request.answered:
            # The decisions answer each request by now; whatever keeps them from it, none is lost.
            log.error("request %d was left unanswered until its deadline", request.id)
            self._fail(policy_api.FailRequest(request.id))
            self.post(policy_api.ClientDisconnected(request.id))

    def _freed(self, request: Open) -> None:
        request.outlived = False
        self._settle(request)

    def _settle(self, request: Open) -> None:
        """Drop what is answered and has no attempt out."""
        if request.answered and request.attempt is None and not request.outlived:
            if self._open.pop(request.id, None) is not None:
                self._names.discard(request.incoming.name)
                if (
                    request.may_have_run
                    and self._settings.classes[request.incoming.cls].idempotency != Idempotency.IDEMPOTENT
                ):
                    self._spent[request.incoming.name] = self.now() + self._longest
            if request.deadline is not None:
                request.deadline.cancel()
                request.deadline = None

    def _conclude(self, rid: int) -> Open | None:
        """The request if it is still owed its final answer, which the caller then gives."""
        request = self._open.get(rid)
        if request is None or request.answered:
            return None
        request.answered = True
        return request

    # ---- actions

    def _send(self, action: policy_api.StartAttempt) -> None:
        request, now = self._open.get(action.request_id), self.now()
        if request is None or request.answered or request.attempt is not None or now >= request.expires:
            self._moot(action, request)
            return
        if request.attempts >= self._settings.max_attempts or self._left(request):
            self._moot(action, request)
            return
        number, request.attempts = request.attempts, request.attempts + 1
        request.sent, request.endpoint = now, action.endpoint_id
        request.until = (
            min(request.expires, now + action.timeout_ns) if action.timeout_ns else request.expires
        )
        # The connection may come up when this time is over, before the loop has called its end.
        latest = min(action.start_before_ns or request.until, request.until)
        done = partial(self._completed, request, number)
        payload = partial(self._payload, request)
        attempt = self.upstream.attempt(action.endpoint_id, payload, done, latest)
        if attempt is None:
            done(AttemptOutcome.CONNECT_FAILED, None)
            return
        request.attempt = attempt
        if request.until < request.expires:
            request.patience = self._loop.call_later(action.timeout_ns / SECOND, attempt.time_out)
        attempt.start()

    def _moot(self, action: policy_api.StartAttempt, request: Open | None) -> None:
        over = request is None or request.answered
        number = request.attempts if request else 0
        self.post(
            policy_api.AttemptCompleted(
                action.request_id, number, action.endpoint_id, AttemptOutcome.NOT_SENT, 0, over, ()
            )
        )

    def _completed(self, request: Open, number: int, outcome: int, answer: Answer | None) -> None:
        request.attempt, request.last = None, outcome
        request.may_have_run |= outcome not in policy_api.OUTCOMES_NEVER_EXECUTED
        if request.patience is not None:
            request.patience.cancel()
            request.patience = None
        if (
            outcome == AttemptOutcome.SUCCESS
            and answer is not None
            and self._conclude(request.id) is not None
        ):
            request.client.serve(answer)
        over = request.answered
        self._settle(request)
        took, report = self.now() - request.sent, self.upstream.report(answer)
        self.post(
            policy_api.AttemptCompleted(request.id, number, request.endpoint, outcome, took, over, report)
        )

    def _refuse(self, action: policy_api.RejectRequest) -> None:
        if (request := self._conclude(action.request_id)) is not None:
            request.client.refuse(action.retry_after_ns)
            self._settle(request)

    def _fail(self, action: policy_api.FailRequest) -> None:
        if (request := self._conclude(action.request_id)) is not None:
            request.client.fail(request.last == AttemptOutcome.TIMEOUT)
            self._settle(request)

    def _cancel(self, action: policy_api.CancelAttempt) -> None:
        request = self._open.get(action.request_id)
        if (
            request is not None
            and request.attempt is not None
            and request.attempts - 1 == action.attempt_index
        ):
            request.attempt.abandon(AttemptOutcome.CANCELLED)

    def _set_timer(self, action: policy_api.SetTimer) -> None:
        self._loop.call_later(action.delay_ns / SECOND, self.post, policy_api.TimerFired(action.token))

    def _probe(self, action: policy_api.StartHealthCheck) -> None:
        self.upstream.probe(
            action.endpoint_id,
            lambda outcome, took, report: self.post(
                policy_api.HealthCheckCompleted(action.endpoint_id, outcome, took, report)
            ),
        )

    def _log(self, action: policy_api.WriteLog) -> None:
        log.info("%s", action.text)

"""A sidecar of a simulated fleet: a balancer with connections to account servers, without network code."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptOutcome,
    CloseIdleConnections,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    HealthCheckCompleted,
    RejectRequest,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
)
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import request_received
from tests.policy.event_queue import Callback, EventQueue
from tests.policy.fleet_servers import AccountServer, QueuedWork
from tests.policy.request_ledger import OpenRequest, RequestLedger

HANDSHAKE_WORK_NS = 25 * MILLISECOND_NS
"""Work that a new connection causes at its account server."""
LOCAL_HOP_NS = 1 * MILLISECOND_NS
"""One-way delay of the network within a zone."""
REMOTE_HOP_NS = 8 * LOCAL_HOP_NS
"""One-way delay of the network to another zone."""
IDLE_TIMEOUT_NS = 54 * SECOND_NS
"""Time for which the network code keeps the last idle connection to an endpoint."""
SURPLUS_IDLE_TIMEOUT_NS = 4 * SECOND_NS
"""Time for which the network code keeps any further idle connection to an endpoint."""


@dataclass
class ClientRequest:
    """A client's request, with all its tries: the first one and the client's retries."""

    arrived_at_ns: int
    key_hash: int
    work_ns: int
    expires_at_ns: int
    tries: int = 1
    served_at_ns: int = 0  # 0 if it was not served


@dataclass(slots=True, kw_only=True)
class ClientTry(OpenRequest):
    """A try of a client as a request that is open at a sidecar."""

    client_request: ClientRequest


class Fleet(Protocol):
    """The parts of the fleet simulation that a sidecar uses."""

    settings: Settings
    events: EventQueue
    random: Random
    servers: list[AccountServer]
    server_by_id: dict[EndpointId, AccountServer]
    client_timeout_ns: int

    def next_request_id(self) -> int: ...

    def retry_rejected(
        self, sidecar: SimulatedSidecar, client_request: ClientRequest, rejection: RejectRequest
    ) -> None: ...


class SimulatedAttempt:
    """An attempt, with its way to an account server and back."""

    def __init__(self, sidecar: SimulatedSidecar, action: StartAttempt) -> None:
        self._sidecar = sidecar
        self._events = sidecar.fleet.events
        self._action = action
        self._server = sidecar.fleet.server_by_id[action.endpoint_id]
        self._client_try = sidecar.ledger.requests[action.request_id]
        self._attempt = sidecar.ledger.start_attempt(action, self._events.now_ns)
        self._incarnation = sidecar.incarnation
        is_local = self._server.zone == sidecar.settings.local_zone
        self._hop_ns = LOCAL_HOP_NS if is_local else REMOTE_HOP_NS

    def start(self) -> None:
        """Reuse or open a connection and send the request."""
        reuses_connection = self._sidecar.take_connection(self._server)
        if not reuses_connection and not self._server.accept_connection():
            self._sidecar.schedule(2 * LOCAL_HOP_NS, partial(self._end, AttemptOutcome.CONNECT_FAILED))
            return
        if not reuses_connection:
            self._start_work(HANDSHAKE_WORK_NS, None)
        time_left_ns = self._client_try.expires_at_ns - self._attempt.started_at_ns
        timeout_ns = min(time_left_ns, self._action.timeout_ns or time_left_ns)
        self._sidecar.schedule(timeout_ns, self._time_out)
        # A new connection takes one more round trip.
        self._events.schedule(self._hop_ns if reuses_connection else 3 * self._hop_ns, self._arrive)

    def _arrive(self) -> None:
        """Reject the request if the queue of the account server is full, otherwise start the work for it."""
        if not self._server.is_up:
            return  # without a response the attempt times out
        if len(self._server.queue) >= self._server.queue_limit:
            self._events.schedule(self._hop_ns, partial(self._end, AttemptOutcome.REJECTED))
            return
        succeed = partial(self._end, AttemptOutcome.SUCCESS)
        return_response = partial(self._events.schedule, self._hop_ns, succeed)
        self._start_work(self._client_try.client_request.work_ns, return_response)

    def _end(self, outcome: AttemptOutcome) -> None:
        """Release the connection; report the outcome unless the sidecar no longer waits for it."""
        is_same_incarnation = self._incarnation == self._sidecar.incarnation
        if is_same_incarnation and outcome == AttemptOutcome.SUCCESS:
            self._sidecar.idle_since_ns[self._server.id].append(self._events.now_ns)
        elif outcome != AttemptOutcome.CONNECT_FAILED:
            self._server.connections -= 1
        if is_same_incarnation and self._is_awaited():
            self._report(outcome)

    def _time_out(self) -> None:
        """Stop waiting; the connection is closed when the account server has finished the work."""
        if self._is_awaited():
            self._report(AttemptOutcome.TIMEOUT)

    def _is_awaited(self) -> bool:
        return self._sidecar.ledger.attempt_of(self._action.request_id) is self._attempt

    def _report(self, outcome: AttemptOutcome) -> None:
        now_ns = self._events.now_ns
        if outcome == AttemptOutcome.SUCCESS:
            self._client_try.client_request.served_at_ns = now_ns
        self._sidecar.handle(self._sidecar.ledger.end_attempt(self._action.request_id, outcome, now_ns))

    def _start_work(self, work_ns: int, on_done: Callback | None) -> None:
        self._server.start_work(QueuedWork(work_ns, on_done), self._events, self._sidecar.fleet.settings)


class SimulatedSidecar:
    """A balancer with its connections to account servers."""

    def __init__(self, fleet: Fleet, settings: Settings) -> None:
        self.fleet = fleet
        self.settings = settings
        self.idle_since_ns: dict[EndpointId, list[int]] = defaultdict(list)
        """For each endpoint the times since when its idle connections are idle."""
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Start with a new balancer and without connections, as after a restart."""
        for server in self.fleet.servers:
            server.connections -= len(self.idle_since_ns.pop(server.id, ()))
        self.ledger: RequestLedger[ClientTry] = RequestLedger()
        self.incarnation += 1
        self.balancer = Balancer(self.settings, self.fleet.random.getrandbits(32))
        self.handle(Started())
        entries = tuple(server.entry for server in self.fleet.servers)
        self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, entries))

    def handle(self, event: Event) -> None:
        """Deliver an event and carry out the resulting actions."""
        for action in self.balancer.handle(self.fleet.events.now_ns, event):
            self._carry_out(action)

    def schedule(self, delay_ns: int, callback: Callback) -> None:
        """Schedule a callback after a delay; it is skipped if the sidecar restarts before."""
        self.fleet.events.schedule(delay_ns, partial(self._call_if_current, self.incarnation, callback))

    def receive(self, client_request: ClientRequest) -> None:
        """Receive a try of a client as a new request."""
        request_id = self.fleet.next_request_id()
        latest_ns = self.fleet.events.now_ns + self.fleet.client_timeout_ns
        expires_at_ns = min(client_request.expires_at_ns, latest_ns)
        client_try = ClientTry(class_index=0, expires_at_ns=expires_at_ns, client_request=client_request)
        self.ledger.receive(request_id, client_try)
        self.handle(request_received(request_id, expires_at_ns, key_hash=client_request.key_hash))

    def take_connection(self, server: AccountServer) -> bool:
        """Take an idle connection that has not timed out; return whether there is one."""
        now_ns = self.fleet.events.now_ns
        idle = self.idle_since_ns[server.id]
        kept = [since_ns for since_ns in idle if since_ns > now_ns - IDLE_TIMEOUT_NS]
        surplus = [since_ns for since_ns in kept[:-1] if since_ns > now_ns - SURPLUS_IDLE_TIMEOUT_NS]
        kept = surplus + kept[-1:]
        server.connections -= len(idle) - len(kept)
        self.idle_since_ns[server.id] = kept
        if not kept:
            return False
        kept.pop()
        return True

    def _call_if_current(self, incarnation: int, callback: Callback) -> None:
        if incarnation == self.incarnation:
            callback()

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(action)
        elif isinstance(action, RejectRequest):
            client_try = self.ledger.finish(action.request_id)
            self.fleet.retry_rejected(self, client_try.client_request, action)
        elif isinstance(action, FailRequest):
            self.ledger.finish(action.request_id)
        elif isinstance(action, SetTimer):
            self.schedule(action.delay_ns, partial(self.handle, TimerFired(action.token)))
        elif isinstance(action, StartHealthCheck):
            self._start_health_check(action)
        elif isinstance(action, CloseIdleConnections):
            server = self.fleet.server_by_id[action.endpoint_id]
            server.connections -= len(self.idle_since_ns.pop(action.endpoint_id, ()))

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt = SimulatedAttempt(self, action)
        server = self.fleet.server_by_id[action.endpoint_id]
        server.attempt_times_ns.append(self.fleet.events.now_ns)
        attempt.start()

    def _start_health_check(self, action: StartHealthCheck) -> None:
        is_up = self.fleet.server_by_id[action.endpoint_id].is_up
        outcome = AttemptOutcome.SUCCESS if is_up else AttemptOutcome.CONNECT_FAILED
        duration_ns = 2 * LOCAL_HOP_NS
        completed = HealthCheckCompleted(action.endpoint_id, outcome, duration_ns, ())
        self.schedule(duration_ns, partial(self.handle, completed))

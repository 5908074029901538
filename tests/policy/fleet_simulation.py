"""A fleet in simulated time: many balancers, without network code, in front of one set of servers.

Servers have cores, a queue, a limit on connections, handshakes that cost them work, and a slow start. Load is
open-loop and drawn ahead, so that no decision slows it. One seed, one result.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptOutcome,
    CloseIdleConnections,
    Endpoint,
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
from tests.builders import START_NS, attempt_completed, endpoint, endpoint_id, request_received

HANDSHAKE_WORK_NS = 25 * MILLISECOND_NS
LOCAL_HOP_NS = 1 * MILLISECOND_NS
"""One way within a zone."""
REMOTE_HOP_NS = 8 * LOCAL_HOP_NS
IDLE_TIMEOUT_NS = 54 * SECOND_NS
"""For so long the network code keeps the last idle connection to an endpoint."""
SURPLUS_IDLE_TIMEOUT_NS = 4 * SECOND_NS
"""And for so long any further one."""

Callback = Callable[[], None]


class QueuedWork(NamedTuple):
    duration_ns: int
    on_done: Callback | None


@dataclass
class Server:
    """A server with a first-in first-out queue in front of its cores."""

    number: int
    zone: int = 0
    cores: int = 3
    connection_limit: int = 39
    queue_limit: int = 60
    started_at_ns: int = 0
    is_up: bool = True
    busy_cores: int = 0
    connections: int = 0
    refused_connects: int = 0
    peak_connections: int = 0
    queue: deque[QueuedWork] = field(default_factory=deque)
    attempt_times_ns: list[int] = field(default_factory=list)
    """When attempts to it were started, since its own start."""

    @property
    def id(self) -> EndpointId:
        return endpoint_id(self.number)

    @property
    def entry(self) -> Endpoint:
        return endpoint(self.number, zone=self.zone, started_at_ns=self.started_at_ns)

    def capacity(self, now: int, settings: Settings) -> float:
        """Return the share of its work that it can do at this time after its start."""
        age_ns = now - self.started_at_ns
        if not self.started_at_ns or age_ns >= settings.slow_start_duration_ns:
            return 1.0
        initial = settings.slow_start_capacity
        return initial + (1 - initial) * max(age_ns, 0) / settings.slow_start_duration_ns

    def stop(self) -> None:
        self.is_up = False


@dataclass
class ClientRequest:
    """A client's request, over all of its tries."""

    arrived_at_ns: int
    key_hash: int
    work_ns: int
    expires_at_ns: int
    tries: int = 1
    served_at_ns: int = 0  # 0: not served


class OpenRequest(NamedTuple):
    """A try that a sidecar holds."""

    client_request: ClientRequest
    expires_at_ns: int


class SimulatedAttempt:
    """An attempt on its way to a server and back."""

    def __init__(self, sidecar: SimulatedSidecar, action: StartAttempt, number: int) -> None:
        self.sidecar = sidecar
        self.fleet = sidecar.fleet
        self.action = action
        self.number = number
        self.open_request = sidecar.open_requests[action.request_id]
        self.server = sidecar.fleet.server_by_id[action.endpoint_id]
        self.started_at_ns = sidecar.fleet.now
        self.incarnation = sidecar.incarnation
        is_local = self.server.zone == sidecar.settings.local_zone
        self.hop_ns = LOCAL_HOP_NS if is_local else REMOTE_HOP_NS

    def start(self) -> None:
        """Take or open a connection and send the request."""
        reuses_connection = self.sidecar.take_connection(self.server)
        if not reuses_connection and not self.sidecar.open_connection(self.server):
            self.sidecar.schedule(2 * LOCAL_HOP_NS, partial(self.end, AttemptOutcome.CONNECT_FAILED))
            return
        if not reuses_connection:
            self.fleet.start_work(self.server, QueuedWork(HANDSHAKE_WORK_NS, None))
        time_left_ns = self.open_request.expires_at_ns - self.started_at_ns
        self.sidecar.schedule(min(time_left_ns, self.action.timeout_ns or time_left_ns), self.time_out)
        # A new connection takes a round trip more.
        self.fleet.schedule(self.hop_ns if reuses_connection else 3 * self.hop_ns, self.arrive)

    def arrive(self) -> None:
        """Reach the server."""
        if not self.server.is_up:
            return  # it is silent: the attempt times out
        if len(self.server.queue) >= self.server.queue_limit:
            self.fleet.schedule(self.hop_ns, partial(self.end, AttemptOutcome.REJECTED))
            return
        succeed = partial(self.end, AttemptOutcome.SUCCESS)
        work = QueuedWork(self.open_request.client_request.work_ns, partial(self._return, succeed))
        self.fleet.start_work(self.server, work)

    def end(self, outcome: AttemptOutcome) -> None:
        """Return the connection and report the outcome, unless the sidecar no longer waits for it."""
        is_same_incarnation = self.incarnation == self.sidecar.incarnation
        if is_same_incarnation and outcome == AttemptOutcome.SUCCESS:
            self.sidecar.idle_since_ns[self.server.id].append(self.fleet.now)
        elif outcome != AttemptOutcome.CONNECT_FAILED:
            self.server.connections -= 1
        if not is_same_incarnation or not self._is_awaited():
            return
        is_finished = False
        if outcome == AttemptOutcome.SUCCESS:
            is_finished = self.sidecar.open_requests.pop(self.action.request_id, None) is not None
        if is_finished:
            self.open_request.client_request.served_at_ns = self.fleet.now
        self._report(outcome, request_finished=is_finished)

    def time_out(self) -> None:
        """Stop waiting; the connection is closed when the server is done with it."""
        if self._is_awaited():
            self._report(AttemptOutcome.TIMEOUT, request_finished=False)

    def _return(self, callback: Callback) -> None:
        self.fleet.schedule(self.hop_ns, callback)

    def _is_awaited(self) -> bool:
        return self.sidecar.attempts_in_flight.get(self.action.request_id) == self.number

    def _report(self, outcome: AttemptOutcome, *, request_finished: bool) -> None:
        del self.sidecar.attempts_in_flight[self.action.request_id]
        event = attempt_completed(
            self.action.request_id,
            self.action.endpoint_id,
            outcome,
            self.fleet.now - self.started_at_ns,
            request_finished=request_finished,
        )
        self.sidecar.handle(event)


class SimulatedSidecar:
    """A balancer with its connections."""

    def __init__(self, fleet: FleetSimulation, instance_index: int, zone: int) -> None:
        self.fleet = fleet
        self.settings = replace(
            fleet.settings,
            instance_index=instance_index,
            instance_count=fleet.sidecar_count,
            local_zone=zone,
        )
        self.idle_since_ns: dict[EndpointId, list[int]] = defaultdict(list)  # of each idle connection
        self.open_requests: dict[int, OpenRequest] = {}
        self.start()

    def start(self) -> None:
        """Begin from nothing, as after a restart."""
        for server in self.fleet.servers:
            server.connections -= len(self.idle_since_ns.pop(server.id, ()))
        self.open_requests.clear()
        self.incarnation = next(self.fleet.incarnations)
        self.balancer = Balancer(self.settings, self.fleet.random.getrandbits(32))
        self.attempts_in_flight: dict[int, int] = {}  # number of the attempt by request id
        self.handle(Started())
        entries = tuple(server.entry for server in self.fleet.servers)
        self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, entries))

    def handle(self, event: Event) -> None:
        """Deliver an event and carry out the actions that answer it."""
        for action in self.balancer.handle(self.fleet.now, event):
            self._carry_out(action)

    def schedule(self, delay_ns: int, callback: Callback) -> None:
        """Call back after a delay unless the sidecar is restarted before."""
        self.fleet.schedule(delay_ns, partial(self._call_if_current, self.incarnation, callback))

    def receive(self, client_request: ClientRequest) -> None:
        """Take a try of a client."""
        request_id = next(self.fleet.numbers)
        expires_at_ns = min(client_request.expires_at_ns, self.fleet.now + self.fleet.client_timeout_ns)
        self.open_requests[request_id] = OpenRequest(client_request, expires_at_ns)
        self.handle(request_received(request_id, expires_at_ns, key_hash=client_request.key_hash))

    def take_connection(self, server: Server) -> bool:
        """Take an idle connection to a server, if there is one that has not timed out."""
        now, idle = self.fleet.now, self.idle_since_ns[server.id]
        kept = [since_ns for since_ns in idle if since_ns > now - IDLE_TIMEOUT_NS]
        surplus = [since_ns for since_ns in kept[:-1] if since_ns > now - SURPLUS_IDLE_TIMEOUT_NS]
        kept = surplus + kept[-1:]
        server.connections -= len(idle) - len(kept)
        self.idle_since_ns[server.id] = kept
        if not kept:
            return False
        kept.pop()
        return True

    def open_connection(self, server: Server) -> bool:
        """Connect to a server; tell whether it accepted."""
        if not server.is_up or server.connections >= server.connection_limit:
            server.refused_connects += 1
            return False
        server.connections += 1
        server.peak_connections = max(server.peak_connections, server.connections)
        return True

    def _call_if_current(self, incarnation: int, callback: Callback) -> None:
        if incarnation == self.incarnation:
            callback()

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(action)
        elif isinstance(action, RejectRequest):
            client_request = self.open_requests.pop(action.request_id).client_request
            self.fleet.retry_rejected(self, client_request, action)
        elif isinstance(action, FailRequest):
            del self.open_requests[action.request_id]
        elif isinstance(action, SetTimer):
            self.schedule(action.delay_ns, partial(self.handle, TimerFired(action.token)))
        elif isinstance(action, StartHealthCheck):
            self._start_health_check(action)
        elif isinstance(action, CloseIdleConnections):
            server = self.fleet.server_by_id[action.endpoint_id]
            server.connections -= len(self.idle_since_ns.pop(action.endpoint_id, ()))

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt = SimulatedAttempt(self, action, next(self.fleet.numbers))
        self.attempts_in_flight[action.request_id] = attempt.number
        attempt.server.attempt_times_ns.append(self.fleet.now)
        attempt.start()

    def _start_health_check(self, action: StartHealthCheck) -> None:
        is_up = self.fleet.server_by_id[action.endpoint_id].is_up
        outcome = AttemptOutcome.SUCCESS if is_up else AttemptOutcome.CONNECT_FAILED
        duration_ns = 2 * LOCAL_HOP_NS
        completed = HealthCheckCompleted(action.endpoint_id, outcome, duration_ns, ())
        self.schedule(duration_ns, partial(self.handle, completed))


class FleetSimulation:
    """Sidecars, servers, clients and the queue of what is to happen next."""

    def __init__(
        self, settings: Settings, sidecar_count: int, servers: Iterable[Server], seed: int = 1
    ) -> None:
        self.settings = settings
        self.sidecar_count = sidecar_count
        self.random = random.Random(seed)
        self.now = START_NS
        self.numbers = count(1)
        self.incarnations = count(1)
        self.servers = list(servers)
        self.server_by_id = {server.id: server for server in self.servers}
        self.client_timeout_ns = settings.classes[0].client_timeout_ns
        self.client_retries = 0
        """Further tries of a client that is rejected."""
        self.client_requests: list[ClientRequest] = []
        self.callbacks: list[tuple[int, int, Callback]] = []
        self.sidecars = [
            SimulatedSidecar(self, index, index % settings.zone_count) for index in range(sidecar_count)
        ]
        # Some send several times as much as others.
        self.sidecar_weights = [self.random.expovariate(1) + 0.25 for _ in self.sidecars]

    def schedule(self, delay_ns: int, callback: Callback) -> None:
        """Call back after a delay."""
        heappush(self.callbacks, (self.now + max(0, delay_ns), next(self.numbers), callback))

    def schedule_at(self, seconds: float, callback: Callback) -> None:
        """Call back so many seconds after the start."""
        heappush(self.callbacks, (START_NS + int(seconds * SECOND_NS), next(self.numbers), callback))

    def run_until(self, seconds: float) -> None:
        """Play on to this many seconds after the start."""
        end_ns = START_NS + int(seconds * SECOND_NS)
        while self.callbacks and self.callbacks[0][0] <= end_ns:
            self.now, _, callback = heappop(self.callbacks)
            callback()
        self.now = end_ns

    def add_load(
        self, from_seconds: float, to_seconds: float, *, rate_per_second: float, work_ns: int, keys: int
    ) -> None:
        """Draw requests ahead, over all sidecars, of exponential work, with some keys more frequent."""
        seconds = from_seconds + self.random.expovariate(rate_per_second)
        while seconds < to_seconds:
            self._add_request(seconds, work_ns, keys)
            seconds += self.random.expovariate(rate_per_second)

    def restart_servers(self, servers: Iterable[Server]) -> None:
        """Restart servers; all sidecars learn of it at once."""
        restarted = list(servers)
        for server in restarted:
            server.started_at_ns = self.now
            server.is_up = True
            server.attempt_times_ns.clear()
        entries = tuple(server.entry for server in restarted)
        for sidecar in self.sidecars:
            sidecar.handle(EndpointUpdate(EndpointUpdateKind.DELTA, entries))

    def retry_rejected(
        self, sidecar: SimulatedSidecar, client_request: ClientRequest, rejection: RejectRequest
    ) -> None:
        """Let the client try again after a while, if it does and has the time."""
        if client_request.tries > self.client_retries:
            return
        client_request.tries += 1
        jitter_ns = self.random.randrange(100 * MILLISECOND_NS, 400 * MILLISECOND_NS)
        delay_ns = max(rejection.retry_after_ns, jitter_ns)
        if self.now + delay_ns < client_request.expires_at_ns:
            sidecar.schedule(delay_ns, partial(sidecar.receive, client_request))

    def start_work(self, server: Server, work: QueuedWork) -> None:
        """Give a server something to do, or queue it while all cores are busy."""
        if server.busy_cores >= server.cores:
            server.queue.append(work)
            return
        server.busy_cores += 1
        duration_ns = int(work.duration_ns / server.capacity(self.now, self.settings))
        self.schedule(duration_ns, partial(self._end_work, server, work.on_done))

    def share_answered_in_time(self, from_seconds: float, to_seconds: float) -> float:
        """Return the share of the requests of a period answered within the latency objective."""
        from_ns, to_ns = START_NS + int(from_seconds * SECOND_NS), START_NS + int(to_seconds * SECOND_NS)
        objective_ns = self.settings.classes[0].latency_objective_ns
        arrived = [request for request in self.client_requests if from_ns <= request.arrived_at_ns < to_ns]
        in_time = sum(
            request.served_at_ns > 0 and request.served_at_ns - request.arrived_at_ns <= objective_ns
            for request in arrived
        )
        return in_time / max(1, len(arrived))

    def _add_request(self, seconds: float, work_ns: int, keys: int) -> None:
        [sidecar] = self.random.choices(self.sidecars, self.sidecar_weights)
        arrived_at_ns = START_NS + int(seconds * SECOND_NS)
        request = ClientRequest(
            arrived_at_ns=arrived_at_ns,
            key_hash=1 + int(keys * self.random.random() ** 2),
            work_ns=int(work_ns * min(4.0, self.random.expovariate(1))),
            expires_at_ns=arrived_at_ns + self.client_timeout_ns,
        )
        self.client_requests.append(request)
        self.schedule_at(seconds, partial(sidecar.receive, request))

    def _end_work(self, server: Server, on_done: Callback | None) -> None:
        server.busy_cores -= 1
        if server.queue:
            self.start_work(server, server.queue.popleft())
        if on_done is not None and server.is_up:
            on_done()

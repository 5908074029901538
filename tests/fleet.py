"""A fleet in simulated time: many Balancers, each hollow but for its decisions, against one set of servers.

Servers have cores, a queue, a cap on connections, handshakes that cost them work, and a cold start. Load is
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

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    CloseIdleConnections,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    HealthCheckCompleted,
    RejectRequest,
    RequestReceived,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
)
from tests.helpers import MS, SECOND, START

HANDSHAKE_WORK = 25 * MS
HOP = 1 * MS  # one way within a zone
IDLE_KEPT = 54 * SECOND  # what the network code keeps of a pool: the last connection for so long
SURPLUS_KEPT = 4 * SECOND  # and any more for so long


@dataclass
class Server:
    number: int
    zone: int = 0
    cores: int = 3
    cap: int = 39  # connections
    queue_most: int = 60
    started: int = 0
    up: bool = True
    busy: int = 0
    connections: int = 0
    refused: int = 0  # connects
    most: int = 0  # connections at once
    queue: deque[tuple[int, Callable[[], None] | None]] = field(default_factory=deque)
    sent: list[int] = field(default_factory=list)  # when requests came that were sent to it since its start

    @property
    def id(self) -> bytes:
        return self.number.to_bytes(6, "little")

    def warmth(self, now: int, config: Settings) -> float:
        age = now - self.started
        if not self.started or age >= config.slow_start_duration_ns:
            return 1.0
        return (
            config.slow_start_capacity
            + (1 - config.slow_start_capacity) * max(age, 0) / config.slow_start_duration_ns
        )


@dataclass
class Call:
    """A client's request, over all of its tries."""

    arrived: int
    key: int
    work: int
    deadline: int
    tries: int = 1
    served: int = 0  # when; 0: not
    refused: bool = False


class Sidecar:
    """A Balancer with its connections."""

    def __init__(self, fleet: Fleet, instance: int, zone: int) -> None:
        self.fleet, self.instance = fleet, instance
        self.config = replace(
            fleet.config, instance_index=instance, instance_count=fleet.instances, local_zone=zone
        )
        self.idle: dict[bytes, list[int]] = defaultdict(list)  # since when each connection stands idle
        self.calls: dict[int, tuple[Call, int]] = {}  # by request: the call, and when its time is up
        self.start()

    def start(self) -> None:
        """Begin from nothing, as after a restart."""
        for server in self.fleet.servers:
            server.connections -= len(self.idle.pop(server.id, ()))
        self.calls.clear()
        self.life = next(self.fleet.lives)
        self.balancer = Balancer(self.config, self.fleet.rng.getrandbits(32))
        self.attempts: dict[int, int] = {}  # the attempt that is out, by request
        self.give(Started())
        self.give(EndpointUpdate(EndpointUpdateKind.CACHED, tuple(map(self.fleet.entry, self.fleet.servers))))

    def give(self, event: Event) -> None:
        for action in self.balancer.handle(self.fleet.now, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self.send(action)
        elif isinstance(action, RejectRequest | FailRequest):
            call, _ = self.calls.pop(action.request_id)
            self.fleet.unserved(self, call, action)
        elif isinstance(action, SetTimer):
            self.after(action.delay_ns, partial(self.give, TimerFired(action.token)))
        elif isinstance(action, StartHealthCheck):
            up = self.fleet.by_id[action.endpoint_id].up
            outcome = AttemptOutcome.SUCCESS if up else AttemptOutcome.CONNECT_FAILED
            self.after(
                2 * HOP,
                partial(self.give, HealthCheckCompleted(action.endpoint_id, outcome, 2 * HOP, ())),
            )
        elif isinstance(action, CloseIdleConnections):
            server = self.fleet.by_id[action.endpoint_id]
            server.connections -= len(self.idle.pop(action.endpoint_id, ()))

    def after(self, delay: int, do: Callable[[], None]) -> None:
        life = self.life
        self.fleet.after(delay, lambda: do() if life == self.life else None)

    def ask(self, call: Call) -> None:
        number = next(self.fleet.numbers)
        expires = min(call.deadline, self.fleet.now + self.fleet.patience)
        self.calls[number] = call, expires
        self.give(RequestReceived(number, 0, 0, call.key, expires, 0, False))

    def connected(self, server: Server) -> bool | None:
        """Whether a request finds a connection (True), opens one (False), or is refused one (None)."""
        now, idle = self.fleet.now, self.idle[server.id]
        kept = [since for since in idle if since > now - IDLE_KEPT]
        kept = [since for since in kept[:-1] if since > now - SURPLUS_KEPT] + kept[-1:]
        server.connections -= len(idle) - len(kept)
        self.idle[server.id] = kept
        if kept:
            kept.pop()
            return True
        if not server.up or server.connections >= server.cap:
            server.refused += 1
            return None
        server.connections += 1
        server.most = max(server.most, server.connections)
        return False

    def send(self, action: StartAttempt) -> None:
        call, expires = self.calls[action.request_id]
        server, begun = self.fleet.by_id[action.endpoint_id], self.fleet.now
        number = next(self.fleet.numbers)
        self.attempts[action.request_id] = number
        server.sent.append(begun)
        life = self.life

        def end(outcome: AttemptOutcome) -> None:
            alive = life == self.life
            if alive and outcome == AttemptOutcome.SUCCESS:
                self.idle[server.id].append(self.fleet.now)
            elif outcome != AttemptOutcome.CONNECT_FAILED:
                server.connections -= 1
            if not alive or self.attempts.get(action.request_id) != number:
                return
            del self.attempts[action.request_id]
            over = outcome == AttemptOutcome.SUCCESS and self.calls.pop(action.request_id, None) is not None
            if over:
                call.served = self.fleet.now
            took = self.fleet.now - begun
            self.give(AttemptCompleted(action.request_id, 0, action.endpoint_id, outcome, took, over, ()))

        def late() -> None:
            if self.attempts.get(action.request_id) == number:
                del self.attempts[
                    action.request_id
                ]  # its connection is closed when the server is done with it
                took = self.fleet.now - begun
                self.give(
                    AttemptCompleted(
                        action.request_id, 0, action.endpoint_id, AttemptOutcome.TIMEOUT, took, False, ()
                    )
                )

        found = self.connected(server)
        if found is None:
            self.after(2 * HOP, lambda: end(AttemptOutcome.CONNECT_FAILED))
            return
        if not found:
            self.fleet.work(server, HANDSHAKE_WORK, None)
        hop = HOP if server.zone == self.config.local_zone else 8 * HOP
        wait = min(expires - begun, action.timeout_ns or expires - begun)
        self.after(wait, late)

        def arrive() -> None:
            if not server.up:
                return  # silence: the time-out ends it
            if len(server.queue) >= server.queue_most:
                self.fleet.after(hop, lambda: end(AttemptOutcome.REJECTED))
            else:
                self.fleet.work(
                    server, call.work, lambda: self.fleet.after(hop, lambda: end(AttemptOutcome.SUCCESS))
                )

        self.fleet.after(hop if found else 3 * hop, arrive)


class Fleet:
    def __init__(self, config: Settings, sidecars: int, servers: Iterable[Server], seed: int = 1) -> None:
        self.config, self.instances, self.rng = config, sidecars, random.Random(seed)
        self.now, self.numbers, self.lives = START, count(1), count(1)
        self.servers = list(servers)
        self.by_id = {server.id: server for server in self.servers}
        self.patience = config.classes[0].client_timeout_ns
        self.retries = 0  # further tries of a client that is refused
        self.calls: list[Call] = []
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sidecars = [Sidecar(self, number, number % config.zone_count) for number in range(sidecars)]
        # Some send several times as much as others.
        self.weights = [self.rng.expovariate(1) + 0.25 for _ in self.sidecars]

    def after(self, delay: int, do: Callable[[], None]) -> None:
        heappush(self.queue, (self.now + max(0, delay), next(self.numbers), do))

    def at(self, seconds: float, do: Callable[[], None]) -> None:
        heappush(self.queue, (START + int(seconds * SECOND), next(self.numbers), do))

    def run(self, seconds: float) -> None:
        """Play on to this many seconds after the start."""
        until = START + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, do = heappop(self.queue)
            do()
        self.now = until

    def load(self, since: float, until: float, rate: float, work: int, keys: int) -> None:
        """Draw calls ahead: so many a second, over all sidecars, of exponential work, keys with a skew."""
        at = since
        while (at := at + self.rng.expovariate(rate)) < until:
            [sidecar] = self.rng.choices(self.sidecars, self.weights)
            begun = START + int(at * SECOND)
            key = 1 + int(keys * self.rng.random() ** 2)
            drawn = int(work * min(4.0, self.rng.expovariate(1)))
            call = Call(begun, key, drawn, begun + self.config.classes[0].client_timeout_ns)
            self.calls.append(call)
            self.at(at, partial(sidecar.ask, call))

    def entry(self, server: Server, health: EndpointHealth = EndpointHealth.READY) -> Endpoint:
        return Endpoint(server.id, server.zone, 0, 0, health, 1.0, server.started)

    def tell(self, servers: Iterable[Server]) -> None:
        """All sidecars hear of these at once."""
        entries = tuple(map(self.entry, servers))
        for sidecar in self.sidecars:
            sidecar.give(EndpointUpdate(EndpointUpdateKind.DELTA, entries))

    def restart(self, servers: Iterable[Server]) -> None:
        """Come back cold, and be told of."""
        chosen = list(servers)
        for server in chosen:
            server.started, server.up = self.now, True
            server.sent.clear()
        self.tell(chosen)

    def unserved(self, sidecar: Sidecar, call: Call, action: RejectRequest | FailRequest) -> None:
        if isinstance(action, RejectRequest) and call.tries <= self.retries:
            call.tries += 1
            wait = max(action.retry_after_ns, self.rng.randrange(100 * MS, 400 * MS))
            if self.now + wait < call.deadline:
                sidecar.after(wait, lambda: sidecar.ask(call))
                return
        call.refused = isinstance(action, RejectRequest)

    def work(self, server: Server, work: int, done: Callable[[], None] | None) -> None:
        if server.busy >= server.cores:
            server.queue.append((work, done))
            return
        server.busy += 1
        took = int(work / server.warmth(self.now, self.config))
        self.after(took, lambda: self._worked(server, done))

    def _worked(self, server: Server, done: Callable[[], None] | None) -> None:
        server.busy -= 1
        if server.queue:
            self.work(server, *server.queue.popleft())
        if done is not None and server.up:
            done()

    def in_time(self, since: float, until: float) -> float:
        """The share of the calls of these seconds that was answered within the aim."""
        first, last = START + int(since * SECOND), START + int(until * SECOND)
        calls = [call for call in self.calls if first <= call.arrived < last]
        aim = self.config.classes[0].latency_objective_ns
        return sum(call.served > 0 and call.served - call.arrived <= aim for call in calls) / max(
            1, len(calls)
        )

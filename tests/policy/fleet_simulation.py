"""A fleet in simulated time: many balancers, without network code, in front of one set of account servers.

Account servers have cores, a queue, a limit on connections, handshakes that cost them work, and a slow start.
The load is open-loop and drawn in advance, so that it does not depend on the decisions. The result depends on
the seed alone.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from itertools import count

from balancer.policy_api import EndpointUpdate, EndpointUpdateKind, RejectRequest, Settings
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import START_NS
from tests.policy.event_queue import Callback, EventQueue
from tests.policy.fleet_servers import AccountServer
from tests.policy.fleet_sidecar import ClientRequest, SimulatedSidecar


class FleetSimulation:
    """Sidecars, account servers and clients, and the queue of scheduled callbacks."""

    def __init__(
        self, settings: Settings, sidecar_count: int, servers: Iterable[AccountServer], seed: int = 1
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.events = EventQueue()
        self._request_ids = count(1)
        self.servers = list(servers)
        self.server_by_id = {server.id: server for server in self.servers}
        self.client_timeout_ns = settings.classes[0].client_timeout_ns
        self.client_retries = 0
        """Number of times that a client retries a rejected request."""
        self.client_requests: list[ClientRequest] = []
        self.sidecars = [
            SimulatedSidecar(self, self._sidecar_settings(index, sidecar_count))
            for index in range(sidecar_count)
        ]
        # Some sidecars get several times as many requests as others.
        self.sidecar_weights = [self.random.expovariate(1) + 0.25 for _ in self.sidecars]

    def next_request_id(self) -> int:
        """Return an id that no request has yet."""
        return next(self._request_ids)

    def schedule_at(self, seconds: float, callback: Callback) -> None:
        """Schedule a callback this many seconds after the start."""
        self.events.schedule_at(_time_ns(seconds), callback)

    def run_until(self, seconds: float) -> None:
        """Run the simulation until this many seconds after the start."""
        self.events.run_until(_time_ns(seconds))

    def add_load(
        self, from_seconds: float, to_seconds: float, *, rate_per_second: float, work_ns: int, keys: int
    ) -> None:
        """Draw the requests of a period in advance, over all sidecars.

        Their work is exponentially distributed, and some keys are more frequent than others.
        """
        seconds = from_seconds + self.random.expovariate(rate_per_second)
        while seconds < to_seconds:
            self._add_request(seconds, work_ns, keys)
            seconds += self.random.expovariate(rate_per_second)

    def restart_servers(self, servers: Iterable[AccountServer]) -> None:
        """Restart account servers; all sidecars are told immediately."""
        restarted = list(servers)
        for server in restarted:
            server.restart(self.events.now_ns)
        entries = tuple(server.entry for server in restarted)
        for sidecar in self.sidecars:
            sidecar.handle(EndpointUpdate(EndpointUpdateKind.DELTA, entries))

    def retry_rejected(
        self, sidecar: SimulatedSidecar, client_request: ClientRequest, rejection: RejectRequest
    ) -> None:
        """Let the client retry after a delay, if it has retries and time left."""
        if client_request.tries > self.client_retries:
            return
        client_request.tries += 1
        jitter_ns = self.random.randrange(100 * MILLISECOND_NS, 400 * MILLISECOND_NS)
        delay_ns = max(rejection.retry_after_ns, jitter_ns)
        if self.events.now_ns + delay_ns < client_request.expires_at_ns:
            sidecar.schedule(delay_ns, partial(sidecar.receive, client_request))

    def share_answered_in_time(self, from_seconds: float, to_seconds: float) -> float:
        """Return the share of the requests of a period answered within the latency objective."""
        from_ns = _time_ns(from_seconds)
        to_ns = _time_ns(to_seconds)
        objective_ns = self.settings.classes[0].latency_objective_ns
        arrived = [request for request in self.client_requests if from_ns <= request.arrived_at_ns < to_ns]
        in_time = sum(
            request.served_at_ns > 0 and request.served_at_ns - request.arrived_at_ns <= objective_ns
            for request in arrived
        )
        return in_time / max(1, len(arrived))

    def _sidecar_settings(self, index: int, sidecar_count: int) -> Settings:
        return replace(
            self.settings,
            instance_index=index,
            instance_count=sidecar_count,
            local_zone=index % self.settings.zone_count,
        )

    def _add_request(self, seconds: float, work_ns: int, keys: int) -> None:
        [sidecar] = self.random.choices(self.sidecars, self.sidecar_weights)
        arrived_at_ns = _time_ns(seconds)
        request = ClientRequest(
            arrived_at_ns=arrived_at_ns,
            key_hash=1 + int(keys * self.random.random() ** 2),
            work_ns=int(work_ns * min(4.0, self.random.expovariate(1))),
            expires_at_ns=arrived_at_ns + self.client_timeout_ns,
        )
        self.client_requests.append(request)
        self.schedule_at(seconds, partial(sidecar.receive, request))


def _time_ns(seconds: float) -> int:
    """Return the reading of the clock this many seconds after the start."""
    return START_NS + int(seconds * SECOND_NS)

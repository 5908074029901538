"""The account servers of a simulated fleet: cores, a queue, a limit on connections, and a slow start."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from balancer.policy_api import Endpoint, EndpointId, Settings
from tests.builders import endpoint, endpoint_id
from tests.policy.event_queue import Callback, EventQueue


class QueuedWork(NamedTuple):
    """Work for a core, and the callback when it is done."""

    duration_ns: int
    """Time that a core needs for it when the account server is warm."""
    on_done: Callback | None


@dataclass
class AccountServer:
    """An account server with a first-in first-out queue in front of its cores."""

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
    """Start times of the attempts to it, since its own start."""

    @property
    def id(self) -> EndpointId:
        return endpoint_id(self.number)

    @property
    def entry(self) -> Endpoint:
        """The entry of the account server in the endpoint list."""
        return endpoint(self.number, zone=self.zone, started_at_ns=self.started_at_ns)

    def capacity(self, now_ns: int, settings: Settings) -> float:
        """Return the share of its full load that it can take at this time after its start."""
        age_ns = now_ns - self.started_at_ns
        if not self.started_at_ns or age_ns >= settings.slow_start_duration_ns:
            return 1.0
        initial = settings.slow_start_capacity
        return initial + (1 - initial) * max(age_ns, 0) / settings.slow_start_duration_ns

    def restart(self, now_ns: int) -> None:
        """Restart the account server, which then warms up."""
        self.started_at_ns = now_ns
        self.is_up = True
        self.attempt_times_ns.clear()

    def stop(self) -> None:
        """Make the account server unresponsive: it sends no more responses."""
        self.is_up = False

    def accept_connection(self) -> bool:
        """Accept a connection, unless the account server is unresponsive or its connection table is full."""
        if not self.is_up or self.connections >= self.connection_limit:
            self.refused_connects += 1
            return False
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        return True

    def start_work(self, work: QueuedWork, events: EventQueue, settings: Settings) -> None:
        """Start the work on a core, or queue it if all cores are busy."""
        if self.busy_cores >= self.cores:
            self.queue.append(work)
            return
        self.busy_cores += 1
        duration_ns = int(work.duration_ns / self.capacity(events.now_ns, settings))

        def end() -> None:
            self.busy_cores -= 1
            if self.queue:
                self.start_work(self.queue.popleft(), events, settings)
            if work.on_done is not None and self.is_up:
                work.on_done()

        events.schedule(duration_ns, end)

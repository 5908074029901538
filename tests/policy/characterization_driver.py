"""Simulates clients, account servers, discovery and sidecars around balancers, and digests their actions."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointId,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    FetchEndpoints,
    GossipReceived,
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
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import request_received
from tests.policy.characterization_scenarios import Phase, Scenario
from tests.policy.event_queue import EventQueue
from tests.policy.phased_servers import PhasedServers
from tests.policy.request_ledger import OpenRequest, RequestLedger

EVENT_COUNT = 12_000
"""Number of events in the stream of one scenario."""

ACTION_TYPES = (
    StartAttempt,
    RejectRequest,
    FailRequest,
    CancelAttempt,
    SetTimer,
    WatchEndpoints,
    FetchEndpoints,
    StartHealthCheck,
    CloseIdleConnections,
    SendGossip,
    WriteLog,
)
"""All types of actions; the digest contains the position of an action's type in this list."""


@dataclass
class DrivenSidecar:
    """A sidecar that the driver simulates: its balancer and the requests that it holds."""

    balancer: Balancer
    ledger: RequestLedger[OpenRequest] = field(default_factory=RequestLedger)


class CharacterizationDriver:
    """Runs a scenario and digests the actions.

    The digest depends on the order of all random draws, including those for the clients and account servers.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.settings = scenario.settings
        self.random = random.Random(scenario.seed)
        self.events = EventQueue()
        self.request_ids = count(1)
        self.digest = hashlib.sha256()
        self.event_count = 0
        self.action_counts = [0] * len(ACTION_TYPES)
        self.servers = PhasedServers(self.settings.zone_count, scenario.phases, self.random)
        self.sidecars = [
            DrivenSidecar(Balancer(self.settings, scenario.seed * 100 + number))
            for number in range(scenario.balancer_count)
        ]

    def run(self) -> str:
        """Run the scenario and return the digest."""
        for sidecar in self.sidecars:
            self.handle(sidecar, Started())
            self.handle(sidecar, EndpointUpdate(EndpointUpdateKind.CACHED, self.servers.entries))
            self.events.schedule(0, partial(self.receive_request, sidecar))
        self.events.schedule(self.scenario.phase_ns, self.change_phase)
        while self.event_count < EVENT_COUNT:
            self.events.run_next()
        return self.digest.hexdigest()

    def handle(self, sidecar: DrivenSidecar, event: Event) -> None:
        """Deliver an event; digest the resulting actions, then carry them out."""
        self.event_count += 1
        actions = sidecar.balancer.handle(self.events.now_ns, event)
        for action in actions:
            self.record(action)
        for action in actions:
            self.carry_out(sidecar, action)

    def record(self, action: Action) -> None:
        """Add an action to the digest."""
        code = ACTION_TYPES.index(type(action))
        self.action_counts[code] += 1
        values = [value.hex() if isinstance(value, bytes) else str(int(value)) for value in action]
        line = f"{self.event_count} {self.events.now_ns} {code} {' '.join(values)}\n"
        self.digest.update(line.encode())

    def carry_out(self, sidecar: DrivenSidecar, action: Action) -> None:
        """Carry out an action."""
        if isinstance(action, StartAttempt):
            self.start_attempt(sidecar, action)
        elif isinstance(action, RejectRequest | FailRequest):
            sidecar.ledger.finish(action.request_id)
        elif isinstance(action, CancelAttempt):
            self.end_attempt(sidecar, action.request_id, action.attempt_index, AttemptOutcome.CANCELLED)
        elif isinstance(action, SetTimer):
            self.deliver_later(sidecar, TimerFired(action.token), action.delay_ns)
        elif isinstance(action, WatchEndpoints):
            self.events.schedule(30 * MILLISECOND_NS, partial(self.respond_to_watch, sidecar))
        elif isinstance(action, StartHealthCheck):
            self.respond_to_health_check(sidecar, action.endpoint_id)
        elif isinstance(action, SendGossip):
            self.deliver_gossip(action)

    def deliver_later(self, sidecar: DrivenSidecar, event: Event, delay_ns: int) -> None:
        """Deliver an event after a delay."""
        self.events.schedule(delay_ns, partial(self.handle, sidecar, event))

    # The simulated account servers, discovery and other sidecars.

    def change_phase(self) -> None:
        """Begin the next phase, and push the changed entries of the endpoint list."""
        changed_entries = self.servers.change_phase(self.events.now_ns)
        if not self.settings.polls_discovery:
            for sidecar in self.sidecars:
                self.update_endpoints(sidecar, changed_entries)
        self.events.schedule(self.scenario.phase_ns, self.change_phase)

    def update_endpoints(self, sidecar: DrivenSidecar, entries: list[Endpoint]) -> None:
        """Send either a snapshot of the endpoint list or, if there are any, these entries as a delta."""
        if self.random.random() < 0.3:
            snapshot = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, self.servers.present_entries)
            self.handle(sidecar, snapshot)
        elif entries:
            self.handle(sidecar, EndpointUpdate(EndpointUpdateKind.DELTA, tuple(entries)))

    def respond_to_watch(self, sidecar: DrivenSidecar) -> None:
        """Let a watch fail at once, or send the list and let it fail later; then it has to be restarted."""
        failed = EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ())
        if self.random.random() < 0.4:
            self.handle(sidecar, failed)
            return
        self.update_endpoints(sidecar, list(self.servers.entries))
        self.deliver_later(sidecar, failed, self.random.randrange(4 * SECOND_NS))

    def respond_to_health_check(self, sidecar: DrivenSidecar, identifier: EndpointId) -> None:
        """Complete a health check when its account server has responded."""
        response = self.servers.respond_to_health_check(identifier)
        completed = HealthCheckCompleted(identifier, response.outcome, response.duration_ns, ())
        self.deliver_later(sidecar, completed, response.duration_ns)

    def deliver_gossip(self, action: SendGossip) -> None:
        """Deliver gossip to its recipient, sometimes malformed."""
        payload = action.payload
        if self.random.random() < 0.05:
            payload = self.random.choice((payload[:-1], b"", self.random.randbytes(len(payload))))
        recipient = self.sidecars[action.recipient_index % len(self.sidecars)]
        self.deliver_later(recipient, GossipReceived(0, payload), MILLISECOND_NS)

    # The simulated clients, and the attempts for their requests.

    def receive_request(self, sidecar: DrivenSidecar) -> None:
        """Deliver a request, schedule the next one, and schedule the disconnect of a few clients."""
        load_factor = 2.0 if self.servers.phase == Phase.OVERLOAD else 1.0
        rate_per_second = self.scenario.requests_per_second * load_factor
        next_delay_ns = int(self.random.expovariate(rate_per_second) * SECOND_NS)
        self.events.schedule(next_delay_ns, partial(self.receive_request, sidecar))
        event = self.draw_request()
        sidecar.ledger.receive(event.request_id, OpenRequest(event.class_index, event.expires_at_ns))
        self.handle(sidecar, event)
        if self.random.random() < 0.02:
            delay_ns = self.random.randrange(100 * MILLISECOND_NS)
            self.events.schedule(delay_ns, partial(self.waive_final_response, sidecar, event.request_id))

    def draw_request(self) -> RequestReceived:
        """Draw the next request; some are retries, and some have little time left."""
        class_index = self.random.randrange(len(self.settings.classes))
        client_timeout_ns = self.settings.classes[class_index].client_timeout_ns
        is_fresh = self.random.random() > 0.1
        time_left_ns = client_timeout_ns if is_fresh else self.random.randrange(client_timeout_ns)
        if self.random.random() < self.scenario.short_timeout_share:
            time_left_ns = self.random.randrange(30 * MILLISECOND_NS)
        key_hash = self.random.randrange(1, 200) if self.random.random() < 0.5 else 0
        is_retry = self.random.random() < 0.1
        return request_received(
            next(self.request_ids),
            self.events.now_ns + time_left_ns,
            class_index=class_index,
            tenant_index=self.random.randrange(3),
            key_hash=key_hash,
            is_retry=is_retry,
        )

    def waive_final_response(self, sidecar: DrivenSidecar, request_id: int) -> None:
        """Let the client of an open request disconnect, or the response begin to stream.

        After either event no final response is needed.
        """
        request = sidecar.ledger.requests.get(request_id)
        if request is None or request.is_answered:
            return
        sidecar.ledger.finish(request_id)
        disconnects = self.random.random() < 0.7
        event = ClientDisconnected(request_id) if disconnects else StreamStarted(request_id)
        self.handle(sidecar, event)

    def start_attempt(self, sidecar: DrivenSidecar, action: StartAttempt) -> None:
        """Start an attempt, and schedule its end by its account server or by its timeout."""
        request = sidecar.ledger.requests[action.request_id]
        attempt = sidecar.ledger.start_attempt(action, self.events.now_ns)
        outcome, duration_ns = self.servers.respond_to_attempt(action.endpoint_id, request.class_index)
        time_left_ns = request.expires_at_ns - self.events.now_ns
        timeout_ns = min(action.timeout_ns or time_left_ns, time_left_ns)
        if duration_ns > timeout_ns:
            outcome = AttemptOutcome.TIMEOUT
            duration_ns = timeout_ns
        elif self.random.random() < 0.005:
            outcome = AttemptOutcome.NOT_SENT
            duration_ns = 0
        end = partial(self.end_attempt, sidecar, action.request_id, attempt.index, outcome)
        self.events.schedule(duration_ns, end)

    def end_attempt(
        self, sidecar: DrivenSidecar, request_id: int, attempt_index: int, outcome: AttemptOutcome
    ) -> None:
        """End an attempt, unless it has ended before."""
        attempt = sidecar.ledger.attempt_of(request_id)
        if attempt is None or attempt.index != attempt_index:
            return
        self.handle(sidecar, sidecar.ledger.end_attempt(request_id, outcome, self.events.now_ns))

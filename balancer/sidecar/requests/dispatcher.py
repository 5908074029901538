"""Connects the components that process requests, and is their interface to the rest of the sidecar.

`EventQueue` passes each event to `PolicyDriver`, which passes it to the policy and the returned actions to
`ActionExecutor`. The components that carry out the actions dispatch further events. The policy makes all
decisions; only `AttemptGuard` may overrule them.
"""

from __future__ import annotations

import asyncio

from balancer.policy.balancer import Balancer
from balancer.policy_api import (
    Action,
    CancelAttempt,
    EndpointUpdateKind,
    Event,
    FailRequest,
    RejectRequest,
    StartAttempt,
    Started,
)
from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate
from balancer.sidecar.discovery.start_times import StartTimeTranslator
from balancer.sidecar.http.buffer_budget import MessageBudgets
from balancer.sidecar.requests.action_executor import ActionExecutor
from balancer.sidecar.requests.attempt_guard import AttemptGuard
from balancer.sidecar.requests.attempt_runner import AttemptRunner
from balancer.sidecar.requests.client_disconnects import ClientDisconnects
from balancer.sidecar.requests.client_request import ClientRequest, ResponseSink
from balancer.sidecar.requests.endpoint_updates import EndpointUpdates
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.final_answers import FinalResponses
from balancer.sidecar.requests.housekeeping_actions import HousekeepingActions
from balancer.sidecar.requests.interfaces import EndpointDiscovery, GossipSender, Policy
from balancer.sidecar.requests.policy_driver import PolicyDriver
from balancer.sidecar.requests.request_deadlines import RequestDeadlines
from balancer.sidecar.requests.request_intake import RequestIntake
from balancer.sidecar.requests.request_registry import RequestRegistry
from balancer.sidecar.runtime.clock import Clock
from balancer.sidecar.runtime.metrics import Metrics
from balancer.sidecar.upstream.manager import UpstreamManager


class Dispatcher:
    """Connects the policy with the clients, the endpoints, discovery and the other sidecars.

    Every submitted request gets exactly one final response, unless its client disconnects first.

    Args:
        config: The configuration of the sidecar.
        loop: The event loop of all components.
        clock: The clock of all components.
        policy: The policy that decides on each event; by default a `Balancer` for this configuration.

    Attributes:
        clock: The clock of all components.
        metrics: The counters of the sidecar.
        budgets: The limits on the memory of messages.
        upstream: The connections to the endpoints.
        request_registry: The requests in flight.
        has_endpoints: Whether the endpoint list has ever been non-empty.
    """

    def __init__(
        self,
        config: SidecarConfiguration,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        policy: Policy | None = None,
    ) -> None:
        now_ns = clock.now_ns
        self.clock = clock
        self.metrics = Metrics()
        self.has_endpoints = False

        if policy is None:
            policy = Balancer(config.settings, config.seed)
        self._executor = ActionExecutor()
        driver = PolicyDriver(policy, self._executor, now_ns)
        self._events = EventQueue(driver.handle)

        self.budgets = MessageBudgets(config.message_buffer_bytes)
        self.upstream = UpstreamManager(config, loop, now_ns, self.budgets.responses)
        self.request_registry = RequestRegistry(config.settings, loop, now_ns, self.budgets.requests)
        start_times = StartTimeTranslator(now_ns)
        guard = AttemptGuard(config.settings, self.metrics)
        final_responses = FinalResponses(self.request_registry, guard, self.metrics)
        self._disconnects = ClientDisconnects(self.request_registry, self._events, self.metrics)
        attempts = AttemptRunner(
            now_ns,
            self.upstream,
            self.request_registry,
            guard,
            final_responses,
            self._disconnects,
            self._events,
            self.metrics,
        )
        self._deadlines = RequestDeadlines(
            loop, now_ns, self.request_registry, attempts, final_responses, self._events, self.metrics
        )
        self._intake = RequestIntake(
            now_ns, self.request_registry, self._deadlines, self._events, self.metrics
        )
        self._endpoint_updates = EndpointUpdates(
            self.upstream, guard, start_times, self._events, self.metrics
        )
        self._housekeeping = HousekeepingActions(loop, self._events, self.upstream, start_times)

        self._executor.register(StartAttempt, attempts.start)
        self._executor.register(CancelAttempt, attempts.cancel)
        self._executor.register(RejectRequest, final_responses.reject)
        self._executor.register(FailRequest, final_responses.fail)
        self._housekeeping.register_handlers(self._executor)

    def now_ns(self) -> int:
        """Return the time of the sidecar's clock, in nanoseconds since the Unix epoch."""
        return self.clock.now_ns()

    # ---- policy

    def start(self, cached_list: EndpointListUpdate) -> None:
        """Start the policy with the last known endpoint list, which the configuration contains."""
        self.dispatch(Started())
        self.on_endpoint_update(cached_list, EndpointUpdateKind.CACHED)

    def dispatch(self, event: Event) -> None:
        """Pass an event to the policy and carry out the actions that it returns."""
        self._events.dispatch(event)

    def execute(self, action: Action) -> None:
        """Carry out one action of the policy."""
        self._executor.execute(action)

    # ---- requests

    def is_duplicate(self, client_request_id: bytes) -> bool:
        """Return whether a request with this id is in flight or must not be executed again."""
        return self.request_registry.is_duplicate(client_request_id)

    def submit(
        self, sink: ResponseSink, client_request: ClientRequest, waited_seconds: float = 0.0
    ) -> int | None:
        """Start to process a request, and return its request id; None if there is no memory for it.

        The sink gets exactly one final response, perhaps before this method returns. It gets none if
        `on_client_disconnected` reports first that the client has disconnected.

        Args:
            sink: The receiver of the final response.
            client_request: The request.
            waited_seconds: How long ago the request arrived; the client's timeout counts from then.
        """
        return self._intake.submit(sink, client_request, waited_seconds)

    def on_client_disconnected(self, request_id: int) -> None:
        """Abandon the request of a disconnected client."""
        self._disconnects.on_client_disconnected(request_id)

    def expire_all_within(self, seconds: float) -> None:
        """End every request within this time, also those still to come, because the process ends then."""
        self._deadlines.expire_all_within(seconds)

    # ---- discovery and gossip

    def attach_discovery(self, discovery: EndpointDiscovery) -> None:
        """Set the client that carries out the discovery actions, which are dropped until then."""
        self._housekeeping.discovery = discovery

    def attach_gossip(self, gossip: GossipSender) -> None:
        """Set the transport of messages to other sidecars, which are dropped until then."""
        self._housekeeping.gossip = gossip

    def on_endpoint_update(self, update: EndpointListUpdate, kind: EndpointUpdateKind) -> None:
        """Apply a new endpoint list or a change of the current one."""
        self.has_endpoints = self.has_endpoints or bool(update.endpoints)
        self._endpoint_updates.apply(update, kind)

    def on_discovery_failed(self) -> None:
        """Report to the policy that a call to discovery failed; the endpoint list stays as it is."""
        self._endpoint_updates.report_failure()

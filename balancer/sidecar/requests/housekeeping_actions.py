"""Carries out the actions that concern no request: timers, health checks, discovery, gossip and the log."""

from __future__ import annotations

import asyncio
import logging

from balancer.policy_api import (
    CloseIdleConnections,
    FetchEndpoints,
    SendGossip,
    SetTimer,
    StartHealthCheck,
    TimerFired,
    WatchEndpoints,
    WriteLog,
)
from balancer.sidecar.discovery.start_times import StartTimeTranslator
from balancer.sidecar.requests.action_executor import ActionExecutor
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.interfaces import EndpointDiscovery, GossipSender
from balancer.sidecar.upstream.manager import UpstreamManager
from balancer.time_units import SECOND_NS

log = logging.getLogger(__name__)


class HousekeepingActions:
    """Passes each action to the component that carries it out.

    Discovery and gossip start after the policy. Actions for them are dropped until they are attached.

    Attributes:
        discovery: Carries out the discovery actions; None until discovery is attached.
        gossip: Sends messages to other sidecars; None until gossip is attached.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        events: EventQueue,
        upstream: UpstreamManager,
        start_times: StartTimeTranslator,
    ) -> None:
        self.discovery: EndpointDiscovery | None = None
        self.gossip: GossipSender | None = None
        self._loop = loop
        self._events = events
        self._upstream = upstream
        self._start_times = start_times

    def register_handlers(self, executor: ActionExecutor) -> None:
        """Register the handlers of these actions with an executor."""
        executor.register(SetTimer, self._set_timer)
        executor.register(StartHealthCheck, self._start_health_check)
        executor.register(CloseIdleConnections, self._close_idle_connections)
        executor.register(WatchEndpoints, self._watch_endpoints)
        executor.register(FetchEndpoints, self._fetch_endpoints)
        executor.register(SendGossip, self._send_gossip)
        executor.register(WriteLog, self._write_log)

    def _set_timer(self, action: SetTimer) -> None:
        # The policy may set any number of timers at once, and never cancels one, so none is stored.
        self._loop.call_later(action.delay_ns / SECOND_NS, self._on_policy_timer, TimerFired(action.token))

    def _on_policy_timer(self, event: TimerFired) -> None:
        # The timer of the policy's control cycle fires often enough to notice each step of the wall clock.
        self._start_times.observe_wall_clock()
        self._events.dispatch(event)

    def _start_health_check(self, action: StartHealthCheck) -> None:
        self._upstream.start_health_check(action.endpoint_id, self._events.dispatch)

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self._upstream.close_idle_connections(action.endpoint_id)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        if self.discovery is not None:
            self.discovery.set_watching(action.enabled)

    def _fetch_endpoints(self, _action: FetchEndpoints) -> None:
        if self.discovery is not None:
            self.discovery.fetch_snapshot()

    def _send_gossip(self, action: SendGossip) -> None:
        if self.gossip is not None:
            self.gossip.send(action.recipient_index, action.payload)

    def _write_log(self, action: WriteLog) -> None:
        log.info('policy_message text="%s"', action.text)

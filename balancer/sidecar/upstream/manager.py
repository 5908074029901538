"""Manages all connections to endpoints, and the attempts and health checks that use them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import partial

from balancer.policy_api import AttemptOutcome, EndpointHealth, EndpointId, HealthCheckCompleted
from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.discovery.endpoint_list import DiscoveredEndpoint
from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.http.outbound_connection import OutboundConnection
from balancer.sidecar.upstream.attempt import Attempt, CompletionCallback
from balancer.sidecar.upstream.connection_provider import Connector
from balancer.sidecar.upstream.health_check import HealthCheck, build_health_check_request
from balancer.sidecar.upstream.load_report import parse_load_report
from balancer.sidecar.upstream.pool import EndpointPool
from balancer.sidecar.upstream.response_outcome import STATUS_OK
from balancer.time_units import SECOND_NS

USABLE_IDLE_TIME_SHARE = 0.9
"""The fraction of the endpoint's idle timeout during which an idle connection may be reused.

The rest is a margin, because the endpoint measures the timeout with its own clock.
"""


class UpstreamManager:
    """Owns every connection to an endpoint, and creates the attempts and health checks that use them.

    A connection counts towards `max_connections` from the start of its connect until it is lost.

    Args:
        config: The configuration of the sidecar.
        loop: The event loop.
        now_ns: Returns the time of the sidecar's clock.
        buffer_budget: The limit on the memory of all responses that arrive.

    Attributes:
        connect: Opens every connection. It is `open_connection`, unless a test replaces it.
        max_connections: The limit on open connections.
        buffer_budget: The limit on the memory of all responses that arrive.
        background_attempts: The attempts whose outcome is reported but which have not ended.
    """

    def __init__(
        self,
        config: SidecarConfiguration,
        loop: asyncio.AbstractEventLoop,
        now_ns: Callable[[], int],
        buffer_budget: BufferBudget,
    ) -> None:
        self.loop = loop
        self.now_ns = now_ns
        self.connect: Connector = self.open_connection
        self.max_connections = config.max_upstream_connections
        self.buffer_budget = buffer_budget
        self.background_attempts: set[Attempt] = set()
        self._max_idle_ns = int(config.connection_idle_timeout_ns * USABLE_IDLE_TIME_SHARE)
        self._connect_timeout_seconds = config.connect_timeout_ns / SECOND_NS
        self._load_report_fields = config.settings.load_report_fields
        self._health_check_request = build_health_check_request(config.load_reports_enabled)
        self._open_connections: set[OutboundConnection] = set()
        self._pools: dict[EndpointId, EndpointPool] = {}
        self._health_checks: set[HealthCheck] = set()

    @property
    def pools(self) -> Mapping[EndpointId, EndpointPool]:
        """Return the pools of all endpoints in the endpoint list."""
        return self._pools

    @property
    def open_connection_count(self) -> int:
        """Return the number of connections that are being established or open."""
        return len(self._open_connections)

    # ---- endpoints

    def update_endpoints(self, endpoints: Iterable[DiscoveredEndpoint], is_snapshot: bool) -> None:
        """Apply an endpoint update. A snapshot removes the endpoints that it does not list.

        The update is applied before the policy handles it, so that attempts that are connecting notice if
        their endpoint is draining now.
        """
        listed_ids: set[EndpointId] = set()
        for discovered in endpoints:
            listed_ids.add(discovered.endpoint.id)
            self._update_pool(discovered)
        if is_snapshot:
            self._mark_unlisted_as_removed(listed_ids)
        self._pools = {
            endpoint_id: pool
            for endpoint_id, pool in self._pools.items()
            if pool.health != EndpointHealth.REMOVED
        }

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Close the idle connections to an endpoint, if it is listed."""
        pool = self._pools.get(endpoint_id)
        if pool is not None:
            pool.close_idle_connections()

    def _update_pool(self, discovered: DiscoveredEndpoint) -> None:
        endpoint = discovered.endpoint
        pool = self._pools.get(endpoint.id)
        if pool is None:
            self._pools[endpoint.id] = EndpointPool(
                endpoint.id, discovered.address, endpoint.health, self._max_idle_ns
            )
        else:
            pool.update(discovered.address, endpoint.health)

    def _mark_unlisted_as_removed(self, listed_ids: Collection[EndpointId]) -> None:
        for endpoint_id, pool in self._pools.items():
            if endpoint_id not in listed_ids:
                pool.mark_removed()

    # ---- attempts and health checks

    def create_attempt(
        self,
        endpoint_id: EndpointId,
        build_payload: Callable[[], bytes],
        on_completed: CompletionCallback,
        start_before_ns: int = 0,
    ) -> Attempt | None:
        """Return a new attempt that is not started, or None if the endpoint accepts no new requests.

        The arguments after the endpoint are those of `Attempt`.
        """
        pool = self._pools.get(endpoint_id)
        if pool is None or not pool.is_ready:
            return None
        return Attempt(self, pool, build_payload, on_completed, start_before_ns)

    def start_health_check(
        self, endpoint_id: EndpointId, on_completed: Callable[[HealthCheckCompleted], None]
    ) -> None:
        """Start to check that an endpoint is alive, and request its load report if endpoints have them."""

        def on_ended(ended: HealthCheck, event: HealthCheckCompleted) -> None:
            """Remove the health check and report its result."""
            self._health_checks.discard(ended)
            on_completed(event)

        health_check = HealthCheck(
            endpoint_id, self.loop, self.now_ns, partial(self.parse_load_report, body=True), on_ended
        )
        attempt = self.create_attempt(
            endpoint_id, self._build_health_check_request, health_check.on_attempt_completed
        )
        if attempt is None:
            on_completed(HealthCheckCompleted(endpoint_id, AttemptOutcome.CONNECT_FAILED, 0, ()))
            return
        self._health_checks.add(health_check)
        health_check.run(attempt)

    def parse_load_report(self, response: HttpResponse | None, body: bool = False) -> tuple[float, ...]:
        """Return the values of a response's load report in the order of the settings; () if there is none.

        Args:
            response: The response, if there is one.
            body: Whether the body of a successful response is the load report if no header contains one.
        """
        if response is None or not self._load_report_fields:
            return ()
        text = response.header(b"srv-load")
        if not text and body and response.status == STATUS_OK:
            text = response.body
        return parse_load_report(text or b"", self._load_report_fields)

    def _build_health_check_request(self) -> bytes:
        return self._health_check_request

    # ---- connections

    def ensure_connection_capacity(self) -> bool:
        """Return whether a connection may be opened; at the limit, the longest idle one is closed first."""
        if self.open_connection_count < self.max_connections:
            return True
        pools = [pool for pool in self._pools.values() if pool.idle_connections]
        if not pools:
            return False
        pool_with_longest_idle = min(pools, key=lambda pool: pool.idle_connections[0].idle_since_ns)
        pool_with_longest_idle.close_longest_idle()
        return True

    def has_established_connection(self, pool: EndpointPool, /) -> bool:
        """Return whether a connection to the endpoint of this pool is established, in use or idle."""
        return any(
            connection.transport is not None and connection.address == pool.address
            for connection in self._open_connections
        )

    async def open_connection(self, pool: EndpointPool, /) -> OutboundConnection:
        """Open a connection to the endpoint of this pool. Raises OSError, also for a timeout.

        The connection counts as open until it is lost, which may be before this method returns, or until this
        method fails.
        """
        connection = OutboundConnection(partial(self._on_connection_lost, pool), self.buffer_budget)
        connection.address = pool.address
        host, port = pool.address
        self._open_connections.add(connection)
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                await self.loop.create_connection(lambda: connection, host, port)
        except BaseException:
            # The event loop may or may not report the loss later, depending on how far the connect had got.
            connection.close()
            self._open_connections.discard(connection)
            raise
        return connection

    def _on_connection_lost(self, pool: EndpointPool, connection: OutboundConnection) -> None:
        self._open_connections.discard(connection)
        pool.discard(connection)

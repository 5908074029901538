"""Tests of the discovery agent of the soak: from when a sidecar has to know a change."""

from __future__ import annotations

import asyncio
from random import Random

from soak.account_server.server import AccountServer, ServerIdentity
from soak.discovery.agent import DiscoveryAgent
from soak.discovery.endpoint_directory import EndpointDirectory
from soak.history.clock import HarnessClock
from soak.history.events import EndpointHealth
from soak.history.history import History
from tests.soak.histories import deployment


def test_change_made_during_an_outage_is_due_at_its_end() -> None:
    # Guards against: a false alarm, if changes are recorded as overdue while the agent begins to listen.
    async def test() -> None:
        clock, history, directory = HarnessClock(), History(), EndpointDirectory()
        agent = DiscoveryAgent("n0", "127.0.0.1", False, directory, clock, history, Random(1))
        await agent.start()
        agent.go_down()
        identity = ServerIdentity("s0", "zone-a", 0, "127.0.0.1")
        directory.set_health(
            AccountServer(identity, deployment(), clock, history, Random(1)), EndpointHealth.DRAINING
        )
        outage_ends_at_seconds = clock.now_seconds()
        recovery = asyncio.ensure_future(agent.recover())
        while not recovery.done():
            await asyncio.sleep(0)
            agent.record_overdue()
        [notification] = history.endpoint_notifications
        assert notification.notified_at_seconds >= outage_ends_at_seconds

    asyncio.run(test())

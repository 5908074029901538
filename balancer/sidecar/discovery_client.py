"""The list of endpoints: called for, and watched, as the settings allow."""

from __future__ import annotations

import asyncio
import json
import logging
import random

from balancer.policy_api import EndpointUpdate, EndpointUpdateKind
from balancer.sidecar.configuration import (
    Address,
    EndpointListUpdate,
    SidecarConfiguration,
    parse_endpoint_list,
)
from balancer.sidecar.dispatcher import Dispatcher
from balancer.sidecar.http_message import HttpResponse
from balancer.sidecar.upstream.buffer_budget import BufferBudget
from balancer.sidecar.upstream.connection import UpstreamConnection

log = logging.getLogger(__name__)

LIST_MOST = 4 * 1024 * 1024
# A change counts as told 6 s after discovery could be reached. Where it is asked, a call may hang or fail at
# its very end, after HOLD + GRACE = 3 s; the decisions put the next off by up to 1.75 s (their ASK_MOST and a
# CYCLE), and half a second is left for its answer. One with nothing new has no lines, so it has no price.
HOLD = 2.5  # how long a watch of the shared service may wait
HOLD_JITTER = 0.2  # less up to this share: sidecars that were told at once call in step no longer
GRACE = 0.5  # an answer is late by so much before its call is given up; a connection comes up within it
# What the agent has counts as told, also while a call to it hangs: a hung one must end, and the next begin,
# within the grace that a drain leaves. Calls to it cost nothing.
HOLD_PUSHED, GRACE_PUSHED = 0.25, 0.2
PAUSE = 0.05  # between watches that brought nothing new: well under the 200 ms that end a watch
RETRY = 0.05  # after a failed call to the agent
FIRST_TIMEOUT = 0.5  # for the first call to a new address of the agent
# After a change of address all counts as told 4 s later, asked for or not: three calls and pauses fit in. The
# pauses double up to the most, should the new address be down.
FIRST_ASKED, RETRY_ASKED, RETRY_ASKED_MOST = 1.0, 0.25, 1.5


class DiscoveryCallError(Exception):
    """A call to discovery brought no list."""


class DiscoveryTimeoutError(DiscoveryCallError):
    """It was open, and nothing came in its time: what it missed counts as told soon after."""


class MalformedDiscoveryResponseError(DiscoveryCallError):
    """Something came that cannot be read: what it said counts as told already."""


class DiscoveryClient:
    def __init__(
        self, config: SidecarConfiguration, host: Dispatcher, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._address, self._names, self._host, self._loop = (
            config.discovery_address,
            config.name_indices,
            host,
            loop,
        )
        self._pushed = not config.settings.polls_discovery
        self._hold, self._grace = (HOLD_PUSHED, GRACE_PUSHED) if self._pushed else (HOLD, GRACE)
        self._connect_timeout = self._grace  # a call whose connection came up late still has its whole hold
        self._rand = random.Random(config.seed).random
        self._seq = config.known_endpoints.version
        self._anew = False  # the address is new: its numbering may be another, so the whole list is due
        self._connection: UpstreamConnection | None = None  # idle, kept for the next call
        self._watcher: asyncio.Task[None] | None = None
        self._fetcher: asyncio.Task[None] | None = None
        host.attach_discovery(self)

    def start(self) -> None:
        if self._pushed:
            self.set_watching(True)

    def change_address(self, address: Address) -> None:
        """Leave the old address for a new one; the list in hand stays until the new one has told its own."""
        if address == self._address:
            return
        self._address, self._anew = address, True
        self._seq = 0
        self._drop()
        watching, fetching = _live(self._watcher), _live(self._fetcher)
        for task in (self._watcher, self._fetcher):
            if task is not None:
                task.cancel()
        self._watcher = self._fetcher = None
        if watching:
            self.set_watching(True)
        elif fetching or not self._pushed:
            self.set_watching(True)  # which begins with the whole list

    def set_watching(self, enabled: bool) -> None:
        if self._watcher is not None and not enabled:
            self._watcher.cancel()
            self._watcher = None
        elif enabled and (self._watcher is None or self._watcher.done()):
            self._watcher = self._loop.create_task(self._watch())

    def fetch_snapshot(self) -> None:
        if self._fetcher is None or self._fetcher.done():
            self._fetcher = self._loop.create_task(self._fetch())

    async def _watch(self) -> None:
        """One watch after the other. Where discovery is asked, a failed one is the last, and the decisions
        ask anew, later, to spare it. Not so where the time runs for what counts as told: after a silence, and
        after an answer that was spoilt (once: again and again it must not be asked without a pause)."""
        spoilt, retry = False, RETRY_ASKED
        while True:
            try:
                told = await self._next()
                spoilt = False
            except DiscoveryCallError as problem:
                log.debug("discovery: %s", problem)
                if not self._pushed:
                    if self._anew:
                        await asyncio.sleep(retry * (1 - self._rand() / 2))
                        retry = min(RETRY_ASKED_MOST, 2 * retry)
                        continue
                    if isinstance(problem, DiscoveryTimeoutError) or (
                        isinstance(problem, MalformedDiscoveryResponseError) and not spoilt
                    ):
                        spoilt = isinstance(problem, MalformedDiscoveryResponseError)
                        continue
                    self._watcher = None
                    self._host.dispatch(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
                    return
                await asyncio.sleep(RETRY)
                continue
            if not self._take(told):
                await asyncio.sleep(PAUSE)

    async def _next(self) -> EndpointListUpdate:
        if not self._anew:
            hold = self._hold if self._pushed else self._hold * (1 - HOLD_JITTER * self._rand())
            return await self._call(f"?from={self._seq}&hold_ms={hold * 1000:.0f}", hold + self._grace)
        # The whole list is there at once where it is pushed: a call that hangs must end in time for the next.
        told = await self._call("", FIRST_TIMEOUT if self._pushed else FIRST_ASKED)
        if not told.is_snapshot:
            raise DiscoveryCallError("changes only, where the whole list was asked for")
        return told

    async def _fetch(self) -> None:
        try:
            self._take(await self._call("", FIRST_ASKED))
        except DiscoveryCallError as problem:
            log.debug("discovery: %s", problem)
            self._host.dispatch(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))

    def _take(self, told: EndpointListUpdate) -> bool:
        """Pass a list on; whether it held anything new."""
        if not told.is_snapshot and not told.endpoints:
            self._seq = told.version
            if not self._pushed:
                # The decisions wait for an answer to their call, even for an empty one.
                self._host.on_endpoint_update(told, EndpointUpdateKind.DELTA)
            return False
        if told.is_snapshot and told.version == self._seq and self._pushed and not self._anew:
            return False
        self._seq = told.version
        self._anew = self._anew and not told.is_snapshot
        self._host.on_endpoint_update(
            told,
            EndpointUpdateKind.SNAPSHOT if told.is_snapshot else EndpointUpdateKind.DELTA,
        )
        return True

    async def _call(self, query: str, timeout: float) -> EndpointListUpdate:
        """One call, on a connection that is its own until it is over. In `timeout` seconds it has its whole
        answer, however slowly that comes, or has failed: raises DiscoveryCallError."""
        host, port = self._address
        request = f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        connection, self._connection = self._connection, None
        if connection is not None and not connection.is_reusable():
            connection.close()
            connection = None
        connection = connection or UpstreamConnection(budget=BufferBudget(LIST_MOST))
        good = False
        try:
            async with asyncio.timeout(timeout):
                answer = await self._exchange(connection, request)
            if answer is None:
                raise (
                    MalformedDiscoveryResponseError if connection.response_started else DiscoveryCallError
                )("no whole answer")
            if answer.status != 200:
                raise DiscoveryCallError(f"status {answer.status}")
            good = True
        except (OSError, TimeoutError) as problem:
            kind = DiscoveryTimeoutError if connection.is_established else DiscoveryCallError
            raise kind(f"{type(problem).__name__} {problem}") from None
        finally:
            if good:
                self._drop()
                self._connection = connection
            else:
                connection.close()
        try:
            return parse_endpoint_list(json.loads(answer.body), self._names)
        except (ValueError, RecursionError) as problem:
            raise MalformedDiscoveryResponseError(f"malformed list: {problem}") from None

    async def _exchange(self, connection: UpstreamConnection, request: bytes) -> HttpResponse | None:
        if not connection.is_established:
            async with asyncio.timeout(self._connect_timeout):
                await self._loop.create_connection(lambda: connection, *self._address)
        connection.max_body_bytes = LIST_MOST
        answered: asyncio.Future[HttpResponse | None] = self._loop.create_future()

        def done(answer: HttpResponse | None) -> None:
            if not answered.done():
                answered.set_result(answer)

        if not connection.send(request, done):
            return None
        return await answered

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _live(task: asyncio.Task[None] | None) -> bool:
    return task is not None and not task.done()

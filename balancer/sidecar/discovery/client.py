"""Keeps the endpoint list up to date by watches and snapshots.

A watch is a series of long polls: discovery delays each response until the list changes or a timeout is over.
A snapshot is the complete list.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random
from typing import Protocol

from balancer.policy_api import EndpointUpdateKind, Settings
from balancer.sidecar.discovery.call import DiscoveryCaller, DiscoveryCallError
from balancer.sidecar.discovery.endpoint_list import EndpointListUpdate, NameIndices
from balancer.sidecar.discovery.late_calls import LateCalls
from balancer.sidecar.discovery.profile import (
    FETCH_TIMEOUT_SECONDS,
    UNCHANGED_PAUSE_SECONDS,
    select_profile,
)
from balancer.sidecar.discovery.retry import WatchRetryPolicy
from balancer.sidecar.runtime.address import Address

FAILED_UPDATE_PAUSE_SECONDS = 0.25
"""The pause after an unexpected exception while an update was applied; the next update may fail as well."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DiscoveryClientConfiguration:
    """The configuration of a discovery client."""

    address: Address
    """The initial address of discovery."""
    settings: Settings
    """The settings of the policy."""
    name_indices: NameIndices
    """Translates the names of zones and machine classes in endpoint lists."""
    seed: int
    """The seed of the jitter of long-poll timeouts and pauses."""
    cached_version: int
    """The version of the cached endpoint list with which the sidecar starts."""


class EndpointListObserver(Protocol):
    """Receives the results of the calls to discovery."""

    def on_endpoint_update(self, update: EndpointListUpdate, kind: EndpointUpdateKind, /) -> None:
        """Apply a new endpoint list or changes of it."""

    def on_discovery_failed(self) -> None:
        """Handle the failure of a call to discovery."""


class DiscoveryClient:
    """Keeps the endpoint list up to date and notifies an observer of each change.

    It owns the tasks of its calls: `stop` cancels and awaits them. At most one watch and one fetch of a
    snapshot are in progress at a time.
    """

    def __init__(
        self,
        config: DiscoveryClientConfiguration,
        observer: EndpointListObserver,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.profile = select_profile(config.settings)
        # A call whose connection is established late still has the whole timeout of the long poll.
        connect_timeout_seconds = self.profile.grace_seconds
        self._late_calls = LateCalls(self._deliver_late, loop)
        self.caller = DiscoveryCaller(
            config.address,
            config.name_indices,
            connect_timeout_seconds,
            loop,
            self._late_calls if self.profile.awaits_late_responses else None,
        )
        self._observer = observer
        self._loop = loop
        self._random = Random(config.seed)
        self._version = config.cached_version
        # Set after a change of address, as the new one may number its versions differently, and after an
        # update that could not be applied.
        self._needs_snapshot = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._is_stopped = False

    async def catch_up(self) -> None:
        """Fetch the changes since the cached endpoint list, before the sidecar serves, if lists are pushed.

        The cached list may be old, and the sidecar has to know from its start what the agent knows. The agent
        responds at once unless discovery is down; the watch then fetches the changes later.
        """
        if not self.profile.watches_continuously:
            return
        try:
            update = await self.caller.watch(self._version, 0.0, self.profile.grace_seconds)
        except DiscoveryCallError as error:
            _log_failure(error)
        else:
            self._try_to_deliver(update)

    def start(self) -> None:
        """Start to watch, unless the policy decides when to watch."""
        if self.profile.watches_continuously:
            self.set_watching(True)

    async def stop(self) -> None:
        """Cancel and await all calls, and close the idle connection. No call begins afterwards."""
        self._is_stopped = True
        self._cancel_tasks()
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self._late_calls.wait_closed()
        self.caller.close()

    def change_address(self, address: Address) -> None:
        """Call a new address from now on.

        The current endpoint list stays in use until the new address has sent a snapshot.
        """
        if address == self.caller.address:
            return
        was_calling = _is_running(self._watch_task) or _is_running(self._fetch_task)
        self._cancel_tasks()
        self.caller.change_address(address)
        self._version = 0
        self._needs_snapshot = True
        if was_calling or not self.profile.watches_continuously:
            self.set_watching(True)  # the first call of the watch fetches the snapshot

    def set_watching(self, enabled: bool) -> None:
        """Start or stop watching for changes."""
        if not enabled:
            self._cancel_watch()
        elif not _is_running(self._watch_task) and not self._is_stopped:
            self._watch_task = self._start_task(self._watch())

    def fetch_snapshot(self) -> None:
        """Fetch the complete list once, unless a fetch is already in progress."""
        if not _is_running(self._fetch_task) and not self._is_stopped:
            self._fetch_task = self._start_task(self._fetch())

    # ---- tasks

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _cancel_tasks(self) -> None:
        self._cancel_watch()
        self._late_calls.cancel()
        if self._fetch_task is not None:
            self._fetch_task.cancel()
            self._fetch_task = None

    def _cancel_watch(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    async def _watch(self) -> None:
        """Make calls one after another until the task is cancelled or the retry policy ends the watch."""
        retry_policy = WatchRetryPolicy(self.profile, self._random)
        while True:
            try:
                is_new = self._deliver(await self._call_for_changes())
            except DiscoveryCallError as error:
                _log_failure(error)
                pause_seconds = retry_policy.pause_seconds_after(error, self._needs_snapshot)
                if pause_seconds is None:
                    self._watch_task = None  # lets the policy start another watch when it handles the failure
                    self._report_failure()
                    return
            except Exception as error:
                log.exception(
                    "endpoint_update_failed version=%d error=%s", self._version, type(error).__name__
                )
                self._needs_snapshot = True
                pause_seconds = FAILED_UPDATE_PAUSE_SECONDS
            else:
                retry_policy.record_success()
                pause_seconds = 0.0 if is_new else UNCHANGED_PAUSE_SECONDS
            if pause_seconds > 0:
                await asyncio.sleep(pause_seconds)

    async def _fetch(self) -> None:
        try:
            self._deliver(await self.caller.fetch_snapshot(FETCH_TIMEOUT_SECONDS))
        except DiscoveryCallError as error:
            _log_failure(error)
            self._report_failure()
        except Exception as error:
            log.exception("endpoint_update_failed version=%d error=%s", self._version, type(error).__name__)
            self._report_failure()

    # ---- calls and their results

    async def _call_for_changes(self) -> EndpointListUpdate:
        """Return the changes since the current version, or a snapshot if one is needed."""
        profile = self.profile
        if not self._needs_snapshot:
            long_poll_timeout_seconds = profile.long_poll_timeout_seconds * (
                1 - profile.long_poll_timeout_jitter * self._random.random()
            )
            timeout_seconds = long_poll_timeout_seconds + profile.grace_seconds
            return await self.caller.watch(self._version, long_poll_timeout_seconds, timeout_seconds)
        update = await self.caller.fetch_snapshot(profile.snapshot_timeout_seconds)
        if not update.is_snapshot:
            raise DiscoveryCallError(self.caller.address, "expected a complete endpoint list, got changes")
        return update

    def _deliver(self, update: EndpointListUpdate) -> bool:
        """Notify the observer of an update, and return whether the next call may follow without a pause."""
        is_empty = not update.is_snapshot and not update.endpoints
        is_duplicate = update.is_snapshot and update.version == self._version and not self._needs_snapshot
        self._version = update.version
        if (is_empty or is_duplicate) and not self.profile.reports_unchanged_lists:
            return False
        if update.is_snapshot:
            self._needs_snapshot = False
        kind = EndpointUpdateKind.SNAPSHOT if update.is_snapshot else EndpointUpdateKind.DELTA
        self._observer.on_endpoint_update(update, kind)
        return not is_empty

    def _deliver_late(self, update: EndpointListUpdate) -> None:
        """Notify the observer of a late response, unless a later call has brought the same or more."""
        is_newer = update.version > self._version
        if not (update.is_snapshot if self._needs_snapshot else is_newer):
            return
        self._try_to_deliver(update)
        # The policy takes any response as a sign that a watch is in progress.
        self.set_watching(True)

    def _try_to_deliver(self, update: EndpointListUpdate) -> None:
        """Notify the observer of an update. If it cannot be applied, a snapshot is fetched next."""
        try:
            self._deliver(update)
        except Exception as error:
            log.exception("endpoint_update_failed version=%d error=%s", self._version, type(error).__name__)
            self._needs_snapshot = True

    def _report_failure(self) -> None:
        self._observer.on_discovery_failed()


def _is_running(task: asyncio.Task[None] | None) -> bool:
    return task is not None and not task.done()


def _log_failure(error: DiscoveryCallError) -> None:
    log.debug(
        'discovery_call_failed discovery=%s error=%s detail="%s"',
        error.address,
        type(error).__name__,
        error.problem,
    )

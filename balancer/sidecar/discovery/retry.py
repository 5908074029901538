"""When a failed call to discovery is repeated."""

from __future__ import annotations

from random import Random

from balancer.sidecar.discovery.call import (
    DiscoveryCallError,
    DiscoveryTimeoutError,
    MalformedDiscoveryResponseError,
)
from balancer.sidecar.discovery.profile import DiscoveryProfile


class Backoff:
    """Pauses that double up to a maximum, each shortened by a random share.

    Args:
        first_seconds: The first pause.
        max_seconds: The longest pause.
        jitter: The share by which a pause is shortened at most.
        random: The source of the shares.
    """

    def __init__(self, first_seconds: float, max_seconds: float, jitter: float, random: Random) -> None:
        self._pause_seconds = first_seconds
        self._max_seconds = max_seconds
        self._jitter = jitter
        self._random = random

    def next_pause_seconds(self) -> float:
        """Return the pause before the next attempt, and lengthen the one after it."""
        pause_seconds = self._pause_seconds * (1 - self._jitter * self._random.random())
        self._pause_seconds = min(self._max_seconds, 2 * self._pause_seconds)
        return pause_seconds


class WatchRetryPolicy:
    """Decides for one run of watches whether, and after which pause, a failed call is repeated.

    A client that watches unasked repeats every call. So does any client until a new address has sent its
    snapshot. Otherwise the policy starts the next call later, to spare discovery, except where a change may
    have been missed that already counts as known: after a timeout, and after a malformed response. The latter
    is repeated only once, as there is no pause.
    """

    def __init__(self, profile: DiscoveryProfile, random: Random) -> None:
        self._always_retries = profile.watches_continuously
        self._backoff = Backoff(
            profile.first_retry_pause_seconds, profile.max_retry_pause_seconds, profile.retry_jitter, random
        )
        self._last_was_malformed = False

    def record_success(self) -> None:
        """Record that a call succeeded."""
        self._last_was_malformed = False

    def pause_seconds_after(self, error: DiscoveryCallError, needs_snapshot: bool) -> float | None:
        """Return the pause before the call is repeated, 0 for none, or None if it is not to be repeated.

        Args:
            error: How the call failed.
            needs_snapshot: Whether a new address has yet to send its snapshot.
        """
        if self._always_retries or needs_snapshot:
            return self._backoff.next_pause_seconds()
        if isinstance(error, DiscoveryTimeoutError):
            self._last_was_malformed = False
            return 0.0
        if isinstance(error, MalformedDiscoveryResponseError) and not self._last_was_malformed:
            self._last_was_malformed = True
            return 0.0
        return None

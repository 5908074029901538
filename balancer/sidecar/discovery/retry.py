"""When a failed call to discovery is retried."""

from __future__ import annotations

from random import Random

from balancer.sidecar.discovery.call import (
    DiscoveryCallError,
    DiscoveryTimeoutError,
    MalformedDiscoveryResponseError,
)
from balancer.sidecar.discovery.profile import DiscoveryProfile


class Backoff:
    """Exponential backoff: the pauses double up to a maximum, and each is shortened by a random share.

    Args:
        first_seconds: The first pause, before jitter.
        max_seconds: The longest pause.
        jitter: The largest share by which a pause is shortened.
        random: The source of the random shares.
    """

    def __init__(self, first_seconds: float, max_seconds: float, jitter: float, random: Random) -> None:
        self._pause_seconds = first_seconds
        self._max_seconds = max_seconds
        self._jitter = jitter
        self._random = random

    def next_pause_seconds(self) -> float:
        """Return the pause before the next call, and double the following one up to the maximum."""
        pause_seconds = self._pause_seconds * (1 - self._jitter * self._random.random())
        self._pause_seconds = min(self._max_seconds, 2 * self._pause_seconds)
        return pause_seconds


class WatchRetryPolicy:
    """Decides for one watch whether a failed call is retried, and after which pause.

    Every failed call is retried, after a backoff, by a client that watches continuously, and by any client
    that needs a snapshot. Otherwise there are three cases:

    - A call that timed out is retried at once: it may have missed a change that the sidecar has to know.
    - A call with a malformed response is retried at once for the same reason, but only once in a row, as
      there is no pause.
    - After any other failure the watch ends. The policy starts the next one later, to spare discovery.
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
        """Return the pause before the retry of a call in seconds, or None if it is not retried.

        Args:
            error: How the call failed.
            needs_snapshot: Whether the client needs a snapshot, as after a change of address.
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

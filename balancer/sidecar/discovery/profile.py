"""How discovery is called: the timing and the reporting of pushed and of polled endpoint lists.

A change counts as known to a sidecar 6 s after discovery could be reached, or 4 s after its address changed.
The times below are chosen so that every way a call can end leaves time for the next one to bring the change.
The longest time from the change to the beginning of that next call, in seconds, by how the call ends that was
under way; the next call itself takes up to half a second:

    ======================================================  ======  ======
    end of the call                                         pushed  polled
    ======================================================  ======  ======
    no changes                                                0.05    0.05
    connection refused                                        0.05    1.75
    connection timed out                                      0.25    2.25
    error status, closed or reset                             0.50    4.75
    truncated or malformed response                           0.50    3.00
    timeout, before or in the response                        0.50    3.00
    malformed or timeout, and its repetition fails at once    0.50    4.75
    first snapshot of a new address fails                     0.55    2.50
    ======================================================  ======  ======

`tests/sidecar/discovery/test_profile.py` derives them from the constants and holds them against the 6 s.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy_api import Settings

FETCH_TIMEOUT_SECONDS = 1.0
"""The timeout of a snapshot that the policy fetches: a call that fails leaves time for another."""

UNCHANGED_PAUSE_SECONDS = 0.05
"""The pause between watches that brought nothing new; well under the 200 ms that end a watch."""


@dataclass(frozen=True, slots=True)
class DiscoveryProfile:
    """What differs between the ways that an instance gets its endpoint lists."""

    long_poll_timeout_seconds: float
    """How long a watch may wait for a change."""
    long_poll_timeout_jitter: float
    """The largest share by which a hold is shortened at random."""
    grace_seconds: float
    """How late a response may be before its call is given up; a connection comes up within it, too."""
    snapshot_timeout_seconds: float
    """The timeout of the first snapshot of a new address."""
    first_retry_pause_seconds: float
    """The pause after a failed call; it doubles with each further one."""
    max_retry_pause_seconds: float
    """The longest pause after a failed call."""
    retry_jitter: float
    """The largest share by which a pause is shortened at random."""
    watches_continuously: bool
    """Whether the client watches from its start and never stops; otherwise the policy asks for watches."""
    reports_unchanged_lists: bool
    """Whether the policy is notified of a response that holds nothing new: it waits for one to its call."""


PUSHED_DISCOVERY = DiscoveryProfile(
    long_poll_timeout_seconds=0.25,
    long_poll_timeout_jitter=0.0,
    grace_seconds=0.2,
    snapshot_timeout_seconds=0.5,
    first_retry_pause_seconds=0.05,
    max_retry_pause_seconds=0.05,
    retry_jitter=0.0,
    watches_continuously=True,
    reports_unchanged_lists=False,
)
"""Lists come from an agent on this machine, and calls to it cost nothing.

What the agent has counts as known also while a call to it hangs: such a call must end, and the next begin,
within the grace period of a draining endpoint.
"""

POLLED_DISCOVERY = DiscoveryProfile(
    long_poll_timeout_seconds=2.5,
    long_poll_timeout_jitter=0.2,  # sidecars that were answered at once no longer call in step
    grace_seconds=0.5,
    snapshot_timeout_seconds=1.0,  # three calls and their pauses fit in the 4 s after a change of address
    first_retry_pause_seconds=0.25,
    max_retry_pause_seconds=1.5,  # should the new address be down
    retry_jitter=0.5,  # one signal to all sidecars would have them call in step
    watches_continuously=False,
    reports_unchanged_lists=True,
)
"""Lists come from a service that all sidecars share.

A call may hang or fail at the very end of its hold and grace, after 3 s. The policy delays the next one by up
to 1.75 s (its longest delay and one cycle), and half a second is left for its response. A call costs by the
entries that it brings: one that brings nothing new is free.
"""


def select_profile(settings: Settings) -> DiscoveryProfile:
    """Return the profile of an instance."""
    return POLLED_DISCOVERY if settings.polls_discovery else PUSHED_DISCOVERY

"""The timing of calls to discovery, and which results are reported, for pushed and for polled endpoint lists.

A sidecar has to know a change of the endpoint list at most 6 s after discovery became reachable, and at most
4 s after the address of discovery changed. The constants below leave enough time for this: however a call
ends, the next call can still fetch the change.

The table lists the longest time from the change to the start of that next call, in seconds, by the way in
which the call in progress ends. The next call itself takes up to 0.5 s.

    ======================================================  ======  ======
    end of the call                                         pushed  polled
    ======================================================  ======  ======
    no changes                                                0.05    0.05
    connection refused                                        0.05    1.75
    connection timed out                                      0.25    2.25
    error status, closed or reset                             0.50    4.75
    truncated or malformed response                           0.50    3.00
    timeout before or during the response                     0.50    3.00
    malformed or timeout, and the retry fails at once         0.50    4.75
    first snapshot of a new address fails                     0.55    2.50
    ======================================================  ======  ======

Polled lists may come from a slow source. One that takes longer than the timeout of a call for each response
is heard all the same, because late responses are accepted (`late_calls.py`). The time of the response then
takes the place of the 0.5 s for the next call.

`tests/sidecar/discovery/test_profile.py` derives these times from the constants and compares them with 6 s.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy_api import Settings

FETCH_TIMEOUT_SECONDS = 1.0
"""The timeout of a snapshot that the policy requests; short enough for another call after a failure."""

UNCHANGED_PAUSE_SECONDS = 0.05
"""The pause after a call of a watch that returned nothing new; well below the 200 ms that end a watch."""


@dataclass(frozen=True, slots=True)
class DiscoveryProfile:
    """The parameters of the discovery client that depend on how a sidecar gets its endpoint lists."""

    long_poll_timeout_seconds: float
    """The timeout of the long poll: how long discovery may wait for a change before it responds."""
    long_poll_timeout_jitter: float
    """The largest share by which the timeout of a long poll is shortened at random."""
    grace_seconds: float
    """How long after the long poll's timeout the response may arrive; also the connect timeout."""
    snapshot_timeout_seconds: float
    """The timeout of the first snapshot of a new address."""
    first_retry_pause_seconds: float
    """The pause after the first failed call; it doubles after each further failure."""
    max_retry_pause_seconds: float
    """The longest pause after a failed call."""
    retry_jitter: float
    """The largest share by which a pause is shortened at random."""
    watches_continuously: bool
    """Whether the client watches from its start until it stops; otherwise the policy starts each watch."""
    reports_unchanged_lists: bool
    """Whether the policy is notified of a response without changes: it waits for a response to its call."""
    awaits_late_responses: bool
    """Whether the response to a call is accepted after its timeout, as the source may be slow."""


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
    awaits_late_responses=False,
)
"""For lists that an agent on this machine pushes: a call to it costs nothing.

The sidecar has to know what the agent knows even while a call hangs. Such a call has to end, and the next one
has to begin, within the grace period of a draining endpoint.
"""

POLLED_DISCOVERY = DiscoveryProfile(
    long_poll_timeout_seconds=2.5,
    long_poll_timeout_jitter=0.2,  # desynchronizes sidecars that got their responses at the same time
    grace_seconds=0.5,
    snapshot_timeout_seconds=1.0,  # three calls and their pauses fit in the 4 s after an address change
    first_retry_pause_seconds=0.25,
    max_retry_pause_seconds=1.5,  # applies while a new address is down
    retry_jitter=0.5,  # without it, a signal sent to all sidecars would synchronize their calls
    watches_continuously=False,
    reports_unchanged_lists=True,
    awaits_late_responses=True,
)
"""For lists that are polled from a service that all sidecars share.

A call may hang or fail at the end of its long-poll timeout and grace period, after 3 s. The policy delays the
next call by up to 1.75 s: its longest delay and one interval of the control cycle's timer. This leaves 0.5 s
for the response. The cost of a call depends on the number of entries that it returns; one that returns
nothing new is free.
"""


def select_profile(settings: Settings) -> DiscoveryProfile:
    """Return the profile for the settings of a sidecar."""
    return POLLED_DISCOVERY if settings.polls_discovery else PUSHED_DISCOVERY

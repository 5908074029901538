"""How discovery is called: the timing and the reporting of pushed and of polled endpoint lists.

A change counts as known to a sidecar 6 s after discovery could be reached, or 4 s after its address changed.
The times below are chosen so that every way a call can end leaves time for the next one to bring the change.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy_api import Settings

FETCH_TIMEOUT_SECONDS = 1.0
"""For a snapshot that the decisions fetch."""

UNCHANGED_PAUSE_SECONDS = 0.05
"""Between watches that brought nothing new; well under the 200 ms that end a watch."""


@dataclass(frozen=True, slots=True)
class DiscoveryProfile:
    """What differs between the ways that an instance gets its endpoint lists."""

    hold_seconds: float
    """How long a watch may wait for a change."""
    hold_jitter: float
    """The share by which a hold is shortened at most, at random."""
    grace_seconds: float
    """How late an answer may be before its call is given up; a connection comes up within it, too."""
    snapshot_timeout_seconds: float
    """For the snapshot that a new address is asked for."""
    first_retry_pause_seconds: float
    """The pause after a failed call; it doubles with each further one."""
    max_retry_pause_seconds: float
    retry_jitter: float
    """The share by which a pause is shortened at most, at random."""
    watches_unasked: bool
    """Whether the client watches from its start and never stops; otherwise the decisions call for watches."""
    reports_unchanged_lists: bool
    """Whether the decisions hear of an answer that holds nothing new: they wait for one to their call."""


# Lists come from an agent on this machine, and calls to it cost nothing. What the agent has counts as known
# also while a call to it hangs: such a call must end, and the next begin, within the grace of a drain.
PUSHED_DISCOVERY = DiscoveryProfile(
    hold_seconds=0.25,
    hold_jitter=0.0,
    grace_seconds=0.2,
    snapshot_timeout_seconds=0.5,
    first_retry_pause_seconds=0.05,
    max_retry_pause_seconds=0.05,
    retry_jitter=0.0,
    watches_unasked=True,
    reports_unchanged_lists=False,
)

# Lists come from a service that all sidecars share. A call may hang or fail at the very end of its hold and
# grace, after 3 s. The decisions put the next one off by up to 1.75 s (their longest delay and one cycle),
# and half a second is left for its answer. A call costs by the entries that it brings: one that brings
# nothing new is free.
POLLED_DISCOVERY = DiscoveryProfile(
    hold_seconds=2.5,
    hold_jitter=0.2,  # sidecars that were answered at once no longer call in step
    grace_seconds=0.5,
    snapshot_timeout_seconds=1.0,  # three calls and their pauses fit in the 4 s after a change of address
    first_retry_pause_seconds=0.25,
    max_retry_pause_seconds=1.5,  # should the new address be down
    retry_jitter=0.5,  # one signal to all sidecars would have them call in step
    watches_unasked=False,
    reports_unchanged_lists=True,
)


def select_profile(settings: Settings) -> DiscoveryProfile:
    """Return the profile of an instance."""
    return POLLED_DISCOVERY if settings.polls_discovery else PUSHED_DISCOVERY

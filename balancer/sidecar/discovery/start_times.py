"""Translates the start times of endpoints from the wall clock to the sidecar's clock, which is never stepped.

Discovery gives the start time of an endpoint as wall-clock time. The wall clock may be stepped, by seconds or
by an hour, before or after that start, but slow start needs the real age of an endpoint.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from balancer.policy_api import Endpoint, EndpointHealth, EndpointId
from balancer.time_units import MILLISECOND_NS, SECOND_NS

MIN_STEP_NS = 50 * MILLISECOND_NS
"""The smallest change of the offset between the wall clock and the sidecar's clock that counts as a step.

Two measurements of the same offset differ by less.
"""

MAX_OFFSETS = 8
"""The number of most recent offsets that are kept: a start time may have been taken at any of them."""

FUTURE_START_TOLERANCE_NS = SECOND_NS
"""A start time at most this far in the future counts as the current time.

One that is further in the future was taken at another offset.
"""


class _TranslatedStart(NamedTuple):
    """The first translation of a start time, which is kept until the endpoint is listed with another one."""

    wall_time_ns: int
    started_at_ns: int


class StartTimeTranslator:
    """Translates the start times in endpoint lists as these arrive.

    A start time does not show whether it was taken before or after a step of the wall clock. Of all offsets
    that have been observed, the translator uses the one that makes the endpoint youngest. An underestimated
    age only makes the endpoint warm up for longer, while an overestimated age gives it more load than it can
    handle.

    Args:
        now_ns: The sidecar's clock, in nanoseconds.
        wall_time_ns: The wall clock, in nanoseconds since the Unix epoch.
    """

    def __init__(self, now_ns: Callable[[], int], wall_time_ns: Callable[[], int] | None = None) -> None:
        self._now_ns = now_ns
        self._wall_time_ns = wall_time_ns if wall_time_ns is not None else time.time_ns
        self._offsets_ns: deque[int] = deque(maxlen=MAX_OFFSETS)
        self._translated_starts: dict[EndpointId, _TranslatedStart] = {}
        self.observe_wall_clock()

    def observe_wall_clock(self) -> None:
        """Record the current offset of the wall clock, unless it has been recorded already."""
        offset_ns = self._wall_time_ns() - self._now_ns()
        if all(abs(offset_ns - known_offset_ns) >= MIN_STEP_NS for known_offset_ns in self._offsets_ns):
            self._offsets_ns.append(offset_ns)

    def translate(self, endpoint: Endpoint) -> Endpoint:
        """Return an entry of an endpoint list with its start time by the sidecar's clock; 0 stays 0.

        While the listed start time of an endpoint stays the same, so does the translated one, even if the
        wall clock is stepped.
        """
        if not endpoint.started_at_ns or endpoint.health == EndpointHealth.REMOVED:
            self._translated_starts.pop(endpoint.id, None)
            return endpoint
        known = self._translated_starts.get(endpoint.id)
        if known is None or known.wall_time_ns != endpoint.started_at_ns:
            known = _TranslatedStart(endpoint.started_at_ns, self._started_at_ns(endpoint.started_at_ns))
            self._translated_starts[endpoint.id] = known
        return endpoint._replace(started_at_ns=known.started_at_ns)

    def retain_only(self, endpoint_ids: set[EndpointId]) -> None:
        """Discard the start times of all endpoints but these, which a snapshot lists."""
        for endpoint_id in self._translated_starts.keys() - endpoint_ids:
            del self._translated_starts[endpoint_id]

    def _started_at_ns(self, wall_time_ns: int) -> int:
        self.observe_wall_clock()
        now_ns = self._now_ns()
        ages_ns = (now_ns + offset_ns - wall_time_ns for offset_ns in self._offsets_ns)
        possible_ages_ns = [max(0, age_ns) for age_ns in ages_ns if age_ns >= -FUTURE_START_TOLERANCE_NS]
        return now_ns - min(possible_ages_ns, default=0)

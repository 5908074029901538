"""Tolerances that several invariants share."""

from __future__ import annotations

LATE_RESPONSE_SECONDS = 0.5
"""Seconds. A response up to this long after its deadline has no value; a later one violates an invariant."""
SOCKET_SLACK_SECONDS = 0.05
"""Seconds that are added to every time limit, as sockets of a busy machine deliver bytes late."""
OBSERVATION_ORDER_SECONDS = 0.05
"""Seconds within which two events on different connections may have been observed in either order."""

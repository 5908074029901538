"""Tolerances that several invariants share."""

from __future__ import annotations

LATE_RESPONSE_SECONDS = 0.5
"""Seconds. A response up to this long after its deadline is only worthless; a later one counts as missing."""
SOCKET_SLACK_SECONDS = 0.05
"""Seconds. Added to every time limit, as bytes take time on sockets of a busy machine."""
OBSERVATION_ORDER_SECONDS = 0.05
"""Seconds. Two events on different connections this close together may have been observed in either order."""

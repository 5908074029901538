"""Time units in nanoseconds; the policy measures all times in nanoseconds."""

from __future__ import annotations

MILLISECOND_NS = 1_000_000
"""One millisecond."""

SECOND_NS = 1_000 * MILLISECOND_NS
"""One second."""

HOUR_NS = 3_600 * SECOND_NS
"""One hour."""

"""Lengths of time in nanoseconds, the unit of every time in the policy."""

from __future__ import annotations

MILLISECOND_NS = 1_000_000
"""One millisecond."""

SECOND_NS = 1_000 * MILLISECOND_NS
"""One second."""

HOUR_NS = 3_600 * SECOND_NS
"""One hour."""

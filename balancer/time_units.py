"""Lengths of time in nanoseconds, the unit of every time in the decisions."""

from __future__ import annotations

MILLISECOND_NS = 1_000_000
SECOND_NS = 1_000 * MILLISECOND_NS
HOUR_NS = 3_600 * SECOND_NS

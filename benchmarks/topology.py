"""The zones and cells over which the benchmarks spread their endpoints."""

from __future__ import annotations

ZONE_COUNT = 19
"""Number of zones. Endpoints are assigned to them in turn, so that all zones have nearly equal numbers."""

CELL_COUNT = 500
"""Number of cells, each a scope of deduplication. Endpoints are assigned to them in turn as well."""

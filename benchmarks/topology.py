"""The zones and cells over which the benchmarks spread their endpoints."""

from __future__ import annotations

ZONE_COUNT = 19
"""Number of zones. Endpoints take them in turn, so that every zone has nearly as many."""

CELL_COUNT = 500
"""Number of cells, which are the scopes of deduplication. Endpoints take them in turn as well."""

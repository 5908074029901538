"""Measures memory that stays allocated."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable


def held_bytes(fill: Callable[[], object]) -> int:
    """Return how many bytes of memory stay allocated after this call."""
    tracemalloc.start()
    try:
        result = fill()
        held, _peak = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return held

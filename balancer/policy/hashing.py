"""The 64-bit hash behind rankings, key affinity and user levels: the same in every process."""

from __future__ import annotations

_MASK = 0xFFFFFFFFFFFFFFFF


def mix64(value: int) -> int:
    """Return the output of splitmix64 for a 64-bit state.

    Source: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014.
    """
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)

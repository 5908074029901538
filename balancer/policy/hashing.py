"""The 64-bit hash for rankings, key affinity and user levels; it is the same in every process."""

_MASK = 0xFFFFFFFFFFFFFFFF
"""Mask of the low 64 bits."""


def mix64(value: int) -> int:
    """Return splitmix64's output for a state (Steele, Lea and Flood, OOPSLA 2014)."""
    # The constants are the increment, the multipliers and the shifts of the publication.
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)

"""Tests of the soak: its invariants on constructed histories, its fault plan and its command lines."""

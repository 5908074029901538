"""Tests of the invariants: each check reports the histories that break its invariant, and no others."""

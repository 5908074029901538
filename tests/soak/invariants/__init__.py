"""Tests of the invariants: each check finds what it is for, and nothing else."""

"""Tests of `balancer.policy.hashing`: the hash matches its publication."""

from __future__ import annotations

from balancer.policy.hashing import mix64


def test_mix64_matches_published_splitmix64_output() -> None:
    assert mix64(1) == 0x910A2DEC89025CC1  # the first output of splitmix64 for seed 1

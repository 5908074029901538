"""Tests of `balancer.policy.overload.arrival_histogram`: the ranges of levels and the decay of arrivals."""

from __future__ import annotations

import pytest

from balancer.policy.overload.arrival_histogram import HISTOGRAM_DECAY, ArrivalHistogram, LevelRange
from balancer.policy.overload.priority_levels import USER_LEVELS


def test_arrivals_without_keys_are_one_range_if_their_business_level_has_no_keys() -> None:
    histogram = ArrivalHistogram(business_level_count=2)
    histogram.record_keyless(0)
    histogram.record_keyed(USER_LEVELS + 3)
    assert histogram.level_ranges() == [LevelRange(0, USER_LEVELS, 1.0), LevelRange(USER_LEVELS + 3, 1, 1.0)]


def test_ranges_of_arrivals_with_and_without_keys_are_disjoint_and_in_order() -> None:
    histogram = ArrivalHistogram(business_level_count=1)
    histogram.record_keyless(0)
    histogram.record_keyed(5)
    ranges = histogram.level_ranges()
    assert [level_range.first_level for level_range in ranges] == list(range(USER_LEVELS))
    assert all(level_range.level_count == 1 for level_range in ranges)
    assert ranges[5].arrival_count == 1 + 1 / USER_LEVELS
    assert sum(level_range.arrival_count for level_range in ranges) == pytest.approx(2.0)


def test_old_arrivals_decay_until_their_level_is_dropped() -> None:
    histogram = ArrivalHistogram(business_level_count=1)
    histogram.record_keyed(5)
    histogram.end_cycle()
    assert histogram.level_ranges() == [LevelRange(5, 1, HISTOGRAM_DECAY)]
    for _ in range(50):
        histogram.end_cycle()
    assert [level_range.level_count for level_range in histogram.level_ranges()] == [USER_LEVELS]

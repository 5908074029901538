"""Tests of the counters and of the log of violations."""

from __future__ import annotations

import json
import logging

import pytest

from balancer.sidecar.runtime.metrics import MAX_LOGGED_VIOLATIONS, Invariant, Metric, Metrics


def test_counters_are_one_line_of_json() -> None:
    metrics = Metrics()
    metrics.count(Metric.REQUESTS)
    metrics.count(Metric.REQUESTS)
    metrics.count(Metric.RESPONSES, "served")
    text = metrics.to_json()
    assert "\n" not in text
    assert json.loads(text) == {"requests": 2, "responses": {"served": 1}}


def test_all_violations_are_counted_but_only_the_first_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    metrics = Metrics()
    with caplog.at_level(logging.ERROR):
        for _ in range(MAX_LOGGED_VIOLATIONS + 5):
            metrics.record_violation(Invariant.ONE_ATTEMPT, "request=7")
    assert metrics.value(Metric.VIOLATIONS, Invariant.ONE_ATTEMPT) == MAX_LOGGED_VIOLATIONS + 5
    assert len(caplog.records) == MAX_LOGGED_VIOLATIONS
    assert caplog.records[0].getMessage() == "invariant_violated invariant=one_attempt request=7"

"""Tests of the parser of load reports."""

from __future__ import annotations

import pytest

from balancer.sidecar.upstream.load_report import parse_load_report


def test_load_report_has_order_of_fields() -> None:
    assert parse_load_report(b"TEXT busy=0.5, rate=3, novel=1", ("rate", "busy")) == (3, 0.5)


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"TEXT rate=1",
        b"\xff",
        b"TEXT rate=x, busy=1",
        b"TEXT rate=, busy=1",
        b"TEXT rate=nan, busy=1",
        b"TEXT rate=inf, busy=1",
        b"TEXT rate=1_0, busy=1",
        b"TEXT rate=-1, busy=1",
        b"TEXT rate=1e400, busy=1",
    ],
)
def test_incomplete_or_malformed_load_report_is_ignored(report: bytes) -> None:
    assert parse_load_report(report, ("rate", "busy")) == ()

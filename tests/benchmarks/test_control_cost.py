"""Tests of the text and JSON output of the benchmark of discovery."""

from __future__ import annotations

from benchmarks import control_cost


def test_line_and_json_have_the_same_figures() -> None:
    cost = control_cost.ControlCost(
        entries=1_000,
        ready_seconds=0.25,
        rss_megabytes=31.5,
        idle_cpu_share=0.0125,
        changing_cpu_share=0.02,
        agent_bytes_per_second=900.0,
        agent_calls_per_second=3.3,
        burst_drains=52,
        burst_cpu_seconds=0.07,
    )
    assert cost.to_line() == (
        "n=  1000 ready  0.25 s  RSS  31.5 MB  idle  1.25% of a core  +1 change/s  2.00%"
        "  agent    900 B/s in 3.3 calls/s  burst of 52 drains: 0.07 CPU s"
    )
    assert cost.to_json() == {
        "entries": 1_000,
        "ready_seconds": 0.25,
        "rss_megabytes": 31.5,
        "idle_cpu_share": 0.0125,
        "changing_cpu_share": 0.02,
        "agent_bytes_per_second": 900.0,
        "agent_calls_per_second": 3.3,
        "burst_drains": 52,
        "burst_cpu_seconds": 0.07,
    }

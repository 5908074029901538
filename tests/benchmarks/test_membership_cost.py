"""Tests of the text and JSON output of the benchmark of the endpoint list."""

from __future__ import annotations

import json

import pytest

from benchmarks import membership_cost


def test_json_output_is_a_list_with_an_object_for_each_length(capsys: pytest.CaptureFixture[str]) -> None:
    assert membership_cost.main(["--entries", "20", "1", "--json"]) == 0
    results = json.loads(capsys.readouterr().out)
    assert [result["entries"] for result in results] == [20, 1]
    for result in results:
        assert set(result) == {
            "entries",
            "snapshot_microseconds",
            "delta_microseconds",
            "timer_microseconds",
            "request_microseconds",
            "held_bytes",
            "held_bytes_per_entry",
            "peak_rss_megabytes",
        }
        assert all(value > 0 for value in result.values())
        assert result["held_bytes_per_entry"] * result["entries"] == pytest.approx(result["held_bytes"])


def test_text_output_is_a_line_for_each_length_and_the_memory(capsys: pytest.CaptureFixture[str]) -> None:
    assert membership_cost.main(["--entries", "20"]) == 0
    line, memory = capsys.readouterr().out.splitlines()
    assert line.startswith("n=    20 full ")
    assert line.endswith(" B/entry)")
    assert memory.startswith("RSS MB ")

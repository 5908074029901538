"""Tests of the program with a missing or invalid configuration."""

from __future__ import annotations

import json
import os
import subprocess
from pathlib import Path
from typing import Any

import pytest

from tests.sidecar.configuration_documents import SETTINGS, configuration
from tests.sidecar.process_harness import COMMAND, REPOSITORY_ROOT


def run_to_error(environment: dict[str, str]) -> str:
    """Run the program, check that it fails with a single line on standard error, and return that line."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    completed = subprocess.run(
        COMMAND,
        env=inherited | environment,
        cwd=REPOSITORY_ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert completed.returncode != 0
    assert completed.stdout == ""
    assert completed.stderr.count("\n") == 1
    assert completed.stderr.startswith("balancer: ")
    return completed.stderr


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"listen": "here"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"settings": {}}, "Categories"),
        ({"settings": None}, "settings"),
        ({"seed": "xyz"}, "seed"),
        ({"peers": 3}, "peers"),
        ({"known": {"seq": "1", "hosts": []}}, "known"),
        ({"settings": SETTINGS | {"Orgs": [7]}}, "must hold only JSON objects, but has another entry"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, change: dict[str, Any], expected_text: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration("127.0.0.1:9") | change))
    assert expected_text in run_to_error({"PROXY_CONFIG": str(path)})


def test_missing_or_malformed_file_is_reported_in_one_line(tmp_path: Path) -> None:
    malformed = tmp_path / "config.json"
    malformed.write_text("{")
    assert "PROXY_CONFIG is not set" in run_to_error({})
    assert "No such file" in run_to_error({"PROXY_CONFIG": str(tmp_path / "none")})
    assert "not JSON" in run_to_error({"PROXY_CONFIG": str(malformed)})

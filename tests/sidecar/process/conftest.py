"""Fixtures of the tests that run the program in a separate process."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.sidecar.process_harness import ConfigurationFile


@pytest.fixture
def configuration_file(tmp_path: Path) -> ConfigurationFile:
    """Return the configuration file of one sidecar, which has not been written yet."""
    return ConfigurationFile(tmp_path)

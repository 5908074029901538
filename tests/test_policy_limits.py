"""Tests of the rules for policy modules: size, imports, deploy file and the reference to the interface."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOYMENT = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
BALANCER_FILE = ROOT / "balancer" / "policy" / "balancer.py"
GOSSIP_CODEC_FILE = ROOT / "balancer" / "gossip_codec.py"  # the policy files use it
POLICY_FILES = sorted((ROOT / "balancer" / "policy").rglob("*.py"))
POLICY_FILE_NAMES = {path.relative_to(ROOT).as_posix() for path in POLICY_FILES}
MAX_NON_BLANK_LINES = 250
"""The size limit of one module: a reader should be able to grasp it as a whole."""
MAX_COLUMNS = 110
ALLOWED_IMPORTS = {
    "__future__",
    "collections.abc",
    "dataclasses",
    "heapq",
    "itertools",
    "math",
    "random",
    "struct",
    "typing",
    "balancer.gossip_codec",
    "balancer.policy_api",
    "balancer.time_units",
    *(name.removesuffix(".py").replace("/", ".") for name in POLICY_FILE_NAMES),
}


def imported_modules(path: Path) -> set[str]:
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            is_package = node.module in ("balancer", "balancer.policy")
            modules |= {
                f"{node.module}.{alias.name}" if is_package else str(node.module) for alias in node.names
            }
    return modules


def test_deploy_file_lists_exactly_the_policy_files() -> None:
    assert len(DEPLOYMENT["policy"]) == len(POLICY_FILE_NAMES)
    assert set(DEPLOYMENT["policy"]) == POLICY_FILE_NAMES


@pytest.mark.parametrize("path", POLICY_FILES, ids=lambda path: path.stem)
def test_policy_module_is_within_the_size_limits(path: Path) -> None:
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    assert len(lines) <= MAX_NON_BLANK_LINES
    assert max(map(len, lines)) <= MAX_COLUMNS


def test_balancer_docstring_names_the_interface_first() -> None:
    assert "balancer/policy_api.py" in BALANCER_FILE.read_text().split('"""')[1]


@pytest.mark.parametrize("path", [*POLICY_FILES, GOSSIP_CODEC_FILE], ids=lambda path: path.stem)
def test_policy_file_does_no_input_output_and_reads_no_clock(path: Path) -> None:
    assert imported_modules(path) <= ALLOWED_IMPORTS
    assert not re.search(r"\b(?:open|print|input|exec|eval|__import__)\(", path.read_text())

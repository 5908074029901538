"""What the users' auditor asks of the decision modules: their size, and that a reader finds the interface."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MODULE = ROOT / "balancer" / "policy" / "balancer.py"
CODEC = ROOT / "balancer" / "gossip_codec.py"  # the policy files use it
POLICY_FILES = sorted((ROOT / "balancer" / "policy").rglob("*.py"))
POLICY_NAMES = {path.relative_to(ROOT).as_posix() for path in POLICY_FILES}


def test_the_deploy_file_lists_exactly_the_policy_files() -> None:
    assert len(DEPLOY["policy"]) == len(POLICY_NAMES)
    assert set(DEPLOY["policy"]) == POLICY_NAMES


def test_the_policy_files_together_keep_to_1200_lines_of_110_columns() -> None:
    lines = [line for path in POLICY_FILES for line in path.read_text().splitlines() if line.strip()]
    assert len(lines) <= 1200
    assert max(map(len, lines)) <= 110


def test_the_module_names_its_interface_first() -> None:
    assert "balancer/policy_api.py" in MODULE.read_text().split('"""')[1]


def imported_modules(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            package = node.module in ("balancer", "balancer.policy")
            modules |= {f"{node.module}.{name.name}" if package else str(node.module) for name in node.names}
    return modules


def test_the_policy_files_do_no_input_output_and_have_no_clock() -> None:
    allowed = {
        "__future__",
        "collections.abc",
        "dataclasses",
        "heapq",
        "itertools",
        "math",
        "random",
        "struct",
        "typing",
    }
    allowed |= {"balancer.gossip_codec", "balancer.policy_api", "balancer.time_units"}
    allowed |= {name.removesuffix(".py").replace("/", ".") for name in POLICY_NAMES}
    for path in [*POLICY_FILES, CODEC]:
        assert imported_modules(path) <= allowed, path
        assert not re.search(r"\b(?:open|print|input|exec|eval|__import__)\(", path.read_text()), path

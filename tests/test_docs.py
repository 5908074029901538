"""The pages under docs/ name tests and files that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]
FORMER_FILES = {"tests/test_overload.py"}
"""Files that a page names as they were at the time, and says so."""


def page_name(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


@pytest.fixture(scope="module")
def known_names() -> set[str]:
    """The names of all test functions and test modules."""
    names: set[str] = set()
    for path in (ROOT / "tests").rglob("*.py"):
        names.add(path.stem)
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
    return names


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_tests_that_a_page_names_exist(page: Path, known_names: set[str]) -> None:
    text = page.read_text()
    for former_file in FORMER_FILES:
        text = text.replace(former_file, "")
    assert set(re.findall(r"\btest_[a-z0-9_]+", text)) <= known_names


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_files_that_a_page_names_exist(page: Path) -> None:
    paths = set(re.findall(r"`((?:balancer|benchmarks|tests|docs)/[\w/.-]+)`", page.read_text()))
    missing = {path for path in paths - FORMER_FILES if not (ROOT / path).exists()}
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_links_of_a_page_lead_somewhere(page: Path) -> None:
    targets = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    assert [target for target in targets if not (page.parent / target).exists()] == []

"""Tests that the tests, files, links, modules and log events that the documentation names exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]
FORMER_FILES = {"tests/test_overload.py"}
"""Files that no longer exist but that a page mentions as former files."""

ARCHITECTURE = ROOT / "docs" / "architecture.md"
MODULES_TITLE = "Modules, and the state that each owns"
"""The section of the architecture page that has a table of modules for each package."""

LOG_LINES_TITLE = "Log lines"
"""The section of the architecture page that has a table of the log events."""


def page_name(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


@pytest.fixture(scope="module")
def known_names() -> set[str]:
    """Return the names of all test functions and test modules."""
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
def test_links_of_a_page_have_existing_targets(page: Path) -> None:
    targets = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    assert [target for target in targets if not (page.parent / target).exists()] == []


def section(page: Path, title: str) -> str:
    """Return the text of a section of a page, up to the next heading of the same level."""
    _before, _heading, rest = page.read_text().partition(f"\n## {title}\n")
    text, _heading, _after = rest.partition("\n## ")
    return text


def first_cells(text: str) -> list[str]:
    """Return the code in the first cell of each row of the tables in a text."""
    return re.findall(r"^\| `([^`]+)` \|", text, re.MULTILINE)


def modules_in_tables() -> list[str]:
    """Return the paths of the modules in the tables of the architecture page, one table per package."""
    tables = re.split(r"^### `([\w/]+)/`$", section(ARCHITECTURE, MODULES_TITLE), flags=re.MULTILINE)
    packages = zip(tables[1::2], tables[2::2], strict=True)
    return [f"{package}/{module}" for package, table in packages for module in first_cells(table)]


def logged_events() -> set[str]:
    """Return the names of the events that the sidecar logs, each the first word of a format string."""
    events: set[str] = set()
    for path in (ROOT / "balancer").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and ast.unparse(node.func).startswith("log."):
                events |= {event_name(argument) for argument in node.args if is_text(argument)}
    return events


def is_text(node: ast.expr) -> bool:
    return isinstance(node, ast.Constant) and isinstance(node.value, str)


def event_name(node: ast.expr) -> str:
    return str(ast.literal_eval(node)).partition(" ")[0]


def test_architecture_names_every_module_once_and_no_other() -> None:
    paths = (path for path in (ROOT / "balancer").rglob("*.py") if path.name != "__init__.py")
    modules = [path.relative_to(ROOT).as_posix() for path in paths]
    assert sorted(modules_in_tables()) == sorted(modules)


def test_architecture_lists_every_log_line_and_no_other() -> None:
    assert sorted(first_cells(section(ARCHITECTURE, LOG_LINES_TITLE))) == sorted(logged_events())

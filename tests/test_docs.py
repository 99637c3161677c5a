"""Consistency of the documentation with the files and modules of the project."""

from __future__ import annotations

import pathlib
import re

from celeryspan import kernel
from celeryspan.daemons import router

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]


def find_links(page: pathlib.Path) -> set[pathlib.Path]:
    """Return the local files that a page links to, without anchors."""
    targets = re.findall(r"\]\(([^)#\s]+)(?:#[^)]*)?\)", page.read_text())
    local = [target for target in targets if "://" not in target]
    return {(page.parent / target).resolve() for target in local}


def test_every_link_target_exists() -> None:
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in PAGES
        for target in find_links(page)
        if not target.exists()
    ]
    assert broken == []


def test_architecture_page_lists_every_service_and_decision() -> None:
    page = (ROOT / "docs" / "architecture.md").read_text()
    listed = set(re.findall(r"^\| `(\w+)` \|", page, re.MULTILINE))
    router.import_services()
    modules = {path.stem for path in ROOT.glob("celeryspan/decisions/[a-z]*.py")}
    assert listed >= modules | set(kernel.REGISTRY)


def test_page_of_the_contract_names_tests_that_exist() -> None:
    """Guards against a statement that counts as played by a test that is gone."""
    page = (ROOT / "docs" / "design" / "platform-contract.md").read_text()
    named = re.findall(r"`([\w./]+)::(\w+)`", page)
    assert len(named) > 50
    missing = [f"{module}::{test}" for module, test in named if not _has(module, test)]
    assert missing == []


def _has(module: str, test: str) -> bool:
    folder, _, name = module.rpartition("/")
    tests = ROOT / "tests"
    path = tests / {"": "gateway", "..": "."}.get(folder, folder) / f"{name}.py"
    return path.exists() and f"def {test}(" in path.read_text()

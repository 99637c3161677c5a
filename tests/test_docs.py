"""Links between the pages lead somewhere."""

from __future__ import annotations

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]


def find_links(page: pathlib.Path) -> set[pathlib.Path]:
    """Return the files that a page links to, without anchors and other sites."""
    targets = re.findall(r"\]\(([^)#\s]+)(?:#[^)]*)?\)", page.read_text())
    local = [target for target in targets if "://" not in target]
    return {(page.parent / target).resolve() for target in local}


def test_every_link_leads_to_a_file() -> None:
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in PAGES
        for target in find_links(page)
        if not target.exists()
    ]
    assert broken == []

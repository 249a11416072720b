"""Tests that the code that pages name exists: modules by path, and their classes, functions and members."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
#: Pages that refer to current code; pages in incidents/ and history/ keep the names of their time.
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for pattern in (
        "README.md",
        "docs/architecture.md",
        "docs/glossary.md",
        "docs/on-call.md",
        "docs/design/*.md",
    )
    for path in ROOT.glob(pattern)
)
#: A reference such as `server/listener.py: Listener.accept`; the path is relative to the root or linetrack/.
NAMED = re.compile(r"`((?:[\w.]+/)+\w+\.py)(?:: ([A-Za-z_][\w.]*))?`")


def find_module(path: str) -> Path | None:
    """Return the file that a page names, or None if it does not exist."""
    return next((file for file in (ROOT / path, ROOT / "linetrack" / path) if file.is_file()), None)


def defined_names(module: Path) -> set[str]:
    """Return all names that a module defines; members of classes as `Class.member`."""
    names: set[str] = set()
    for node in ast.parse(module.read_text()).body:
        names |= _names_of(node)
        if isinstance(node, ast.ClassDef):
            names |= {f"{node.name}.{member}" for member in _members_of(node)}
    return names


def _names_of(node: ast.stmt) -> set[str]:
    match node:
        case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
            return {name}
        case ast.Assign(targets=targets):
            return {target.id for target in targets if isinstance(target, ast.Name)}
        case ast.AnnAssign(target=ast.Name(id=name)):
            return {name}
    return set()


def _members_of(class_: ast.ClassDef) -> set[str]:
    members = {name for statement in class_.body for name in _names_of(statement)}
    # Attributes that are assigned through `self`.
    return members | {
        node.attr
        for node in ast.walk(class_)
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store)
        if isinstance(node.value, ast.Name) and node.value.id == "self"
    }


def test_the_main_pages_name_code() -> None:
    for page in ("README.md", "docs/architecture.md", "docs/glossary.md"):
        assert NAMED.findall((ROOT / page).read_text()), page


@pytest.mark.parametrize("page", PAGES)
def test_code_that_a_page_names_exists(page: str) -> None:
    named = NAMED.findall((ROOT / page).read_text())
    missing = [f"{path}: {name}" if name else path for path, name in named if not _exists(path, name)]
    assert not missing


def _exists(path: str, name: str) -> bool:
    module = find_module(path)
    return module is not None and (not name or name in defined_names(module))

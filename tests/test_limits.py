"""The decision modules stay readable: all that is public is documented, and lines are short."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "onyxpulley"
ROUTER = PACKAGE / "router.py"
DECISION_MODULES = [
    "router",
    "interface",
    "pending_requests",
    "server_state",
    "slow_start",
    "hashing",
    "bounded_state",
]


def undocumented(node: ast.AST, name: str) -> Iterator[str]:
    """The module, public classes, functions and methods without a docstring, by their qualified names."""
    if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        if not (ast.get_docstring(node) or "").strip():
            yield name
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            return  # what is defined inside a function is not public
    for child in ast.iter_child_nodes(node):
        child_name = getattr(child, "name", None) or ""
        if not child_name.startswith("_"):
            yield from undocumented(child, f"{name}.{child_name}" if child_name else name)


@pytest.mark.parametrize("module", DECISION_MODULES)
def test_everything_public_in_the_decisions_has_a_docstring(module: str) -> None:
    tree = ast.parse((PACKAGE / f"{module}.py").read_text())
    assert list(undocumented(tree, module)) == []


def test_module_limits() -> None:
    lines = ROUTER.read_text().splitlines()
    assert max(len(line) for line in lines) <= 110
    assert "interface.py" in "\n".join(lines[:5])

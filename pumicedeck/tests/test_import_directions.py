"""Tests which modules may import which: decision modules import nothing that does input or output.

Only composition roots and tools import the platform's adapters, and nothing imports tests.
"""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PURE_MARKS = ("free of I/O", "no I/O")
IO_PACKAGES = {"circuits", "socket", "select", "subprocess", "threading", "thrift", "typer"}
IO_MODULES = {
    "caller_connections",
    "http_clients",
    "http_connections",
    "http_listeners",
    "loops",
    "pollers",
    "processes",
    "sessions",
}
PLATFORM_USERS = {"gateway_compositions", "soaks"}


def project_modules():
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        if parts[0] not in ("tests", "gen"):
            yield parts, path


def read_imports_and_docstring(path):
    """Return the modules that a file imports at its top level, and its docstring."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = set()
    for node in tree.body:
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module)
    return names, ast.get_docstring(tree) or ""


PURE = [
    path.relative_to(ROOT).with_suffix("").as_posix()
    for _, path in project_modules()
    if any(mark in read_imports_and_docstring(path)[1] for mark in PURE_MARKS)
]


def test_the_decisions_are_known():
    for name in (
        "scheduling/item_queues",
        "scheduling/weight_plans",
        "leases",
        "call_limits",
        "soaks/oracles",
    ):
        assert name in PURE


@pytest.mark.parametrize("name", PURE)
def test_decisions_import_no_io(name):
    names, _ = read_imports_and_docstring(ROOT / f"{name}.py")
    packages = {module.partition(".")[0] for module in names}
    own_modules = {
        module.removeprefix("pumicedeck.") for module in names if module.startswith("pumicedeck.")
    }
    assert not packages & IO_PACKAGES
    assert not own_modules & IO_MODULES
    assert not any(
        module.startswith("platform.") or module.startswith("standin_") for module in own_modules
    )


@pytest.mark.parametrize("parts", [parts for parts, _ in project_modules()], ids="/".join)
def test_only_composition_roots_and_tools_import_the_wire(parts):
    names, _ = read_imports_and_docstring(ROOT.joinpath(*parts).with_suffix(".py"))
    if parts[0] in PLATFORM_USERS or parts[0] == "platform":
        return
    assert not any(module.startswith("pumicedeck.platform.") for module in names)


@pytest.mark.parametrize("parts", [parts for parts, _ in project_modules()], ids="/".join)
def test_nothing_imports_tests(parts):
    names, _ = read_imports_and_docstring(ROOT.joinpath(*parts).with_suffix(".py"))
    assert not any(module.startswith("pumicedeck.tests") for module in names)

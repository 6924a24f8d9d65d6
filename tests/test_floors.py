"""Each part of the package imports only from lower layers, and the decision module does no I/O."""

from __future__ import annotations

import ast
from pathlib import Path

from tests.test_process import ROOT

PACKAGE = ROOT / "sorrelfront"
# Lowest layer first. Parts of one layer may not import each other, except for the pairs in ALLOWED.
LAYERS = [
    ["errors"],
    ["decisions"],
    ["events", "log_limits", "messages", "lists", "agent_config", "signals"],
    ["net"],
    ["agent"],
    ["fronts", "upstreams", "sources"],
    ["platform"],
    ["fleet"],
    ["sites"],
    ["daemon"],
    ["cli", "lab"],
]
ALLOWED = {("lists", "messages"), ("agent_config", "messages"), ("cli", "lab")}
NO_IO = {"asyncio", "socket", "os", "time", "random", "subprocess", "threading", "logging", "pathlib"}
LAYER_OF = {name: number for number, names in enumerate(LAYERS) for name in names}


def imports(path: Path) -> list[str]:
    """Return the modules that a file imports, with the imported names."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [item.name for item in node.names]
        elif isinstance(node, ast.ImportFrom):
            found += [f"{node.module}.{item.name}" for item in node.names]
    return found


def part_of(path: Path) -> str:
    """Return the part of the package that a file belongs to."""
    part = path.relative_to(PACKAGE).parts[0]
    return part.removesuffix(".py")


def test_each_part_imports_only_from_lower_layers() -> None:
    violations, seen = [], set()
    for path in PACKAGE.rglob("*.py"):
        own_part = part_of(path)
        if own_part == "__init__":
            continue
        seen.add(own_part)
        for name in imports(path):
            parts = name.split(".")
            if parts[0] != "sorrelfront" or len(parts) < 2 or parts[1] == own_part:
                continue
            if LAYER_OF[parts[1]] >= LAYER_OF[own_part] and (own_part, parts[1]) not in ALLOWED:
                violations.append(f"{path.relative_to(PACKAGE)} imports {name}")
    assert not violations
    assert seen == set(LAYER_OF)


def test_decisions_import_no_io_and_no_clock() -> None:
    violations = [
        f"{path.name} imports {name}"
        for path in (PACKAGE / "decisions").rglob("*.py")
        for name in imports(path)
        if name.split(".")[0] in NO_IO and name != "random.Random"  # the caller seeds it
    ]
    assert not violations

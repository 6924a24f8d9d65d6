"""Each part imports only from the floors below it, and decisions do no I/O."""

from __future__ import annotations

import ast
from pathlib import Path

from tests.test_process import ROOT

PACKAGE = ROOT / "sorrelfront"
# From the ground up; those in one line may not import each other, but for what ALSO says.
FLOORS = [
    ["errors"],
    ["decisions"],
    ["events", "log_limits", "messages", "lists", "terms", "signals"],
    ["net"],
    ["agent"],
    ["fronts", "upstreams", "sources"],
    ["platform"],
    ["fleet"],
    ["sites"],
    ["daemon"],
    ["cli", "lab"],
]
ALSO = {("lists", "messages"), ("terms", "messages"), ("cli", "lab")}
NO_IO = {"asyncio", "socket", "os", "time", "random", "subprocess", "threading", "logging", "pathlib"}
FLOOR = {name: number for number, names in enumerate(FLOORS) for name in names}


def imports(path: Path) -> list[str]:
    """Modules that this file imports, with the names that it takes from them."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [item.name for item in node.names]
        elif isinstance(node, ast.ImportFrom):
            found += [f"{node.module}.{item.name}" for item in node.names]
    return found


def room(path: Path) -> str:
    part = path.relative_to(PACKAGE).parts[0]
    return part.removesuffix(".py")


def test_each_part_imports_only_from_floors_below_it() -> None:
    wrong, seen = [], set()
    for path in PACKAGE.rglob("*.py"):
        own = room(path)
        if own == "__init__":
            continue
        seen.add(own)
        for name in imports(path):
            parts = name.split(".")
            if parts[0] != "sorrelfront" or len(parts) < 2 or parts[1] == own:
                continue
            if FLOOR[parts[1]] >= FLOOR[own] and (own, parts[1]) not in ALSO:
                wrong.append(f"{path.relative_to(PACKAGE)} imports {name}")
    assert not wrong
    assert seen == set(FLOOR)


def test_decisions_do_no_io_and_have_no_clock() -> None:
    wrong = [
        f"{path.name} imports {name}"
        for path in (PACKAGE / "decisions").rglob("*.py")
        for name in imports(path)
        if name.split(".")[0] in NO_IO and name != "random.Random"  # seeded by whoever makes it
    ]
    assert not wrong

"""Every error class shown to operators has a remedy and an entry on the operators' page."""

from __future__ import annotations

import importlib
import pkgutil

import pytest

import sorrelfront
from sorrelfront.errors import SorrelfrontError
from tests.test_process import ROOT

PAGE = ROOT / "docs/operations/errors.md"


def error_types() -> list[type[SorrelfrontError]]:
    """Return all subclasses of SorrelfrontError in the package, sorted by name."""
    for module in pkgutil.walk_packages(sorrelfront.__path__, "sorrelfront."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    found: list[type[SorrelfrontError]] = []
    pending = [SorrelfrontError]
    while pending:
        subclasses = pending.pop().__subclasses__()
        found += subclasses
        pending += subclasses
    return sorted(
        {item for item in found if item.__module__.startswith("sorrelfront.")}, key=lambda t: t.__name__
    )


def test_each_type_has_a_remedy_of_one_sentence() -> None:
    found = error_types()
    assert len(found) >= 18
    for item in found:
        remedy = item.remedy
        assert remedy[0].isupper() and remedy.endswith("."), item
        assert remedy.count(". ") == 0 and "\n" not in remedy, item


def test_operators_page_lists_exactly_these_types() -> None:
    rows = [line.split("|") for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    documented = {row[1].strip().strip("`"): row[3].strip() for row in rows}
    expected = {
        f"{item.__module__.removeprefix('sorrelfront.')}.{item.__name__}": item.remedy
        for item in error_types()
    }
    assert documented == expected


def test_instance_may_override_the_remedy() -> None:
    class Fault(SorrelfrontError):
        remedy = "Do this."

    assert Fault("it broke\nhere").message_with_remedy() == "it broke here; Do this."
    assert Fault("it broke", remedy="Do that.").message_with_remedy() == "it broke; Do that."


def test_type_without_remedy_is_rejected() -> None:
    with pytest.raises(TypeError):
        type("Silent", (SorrelfrontError,), {})

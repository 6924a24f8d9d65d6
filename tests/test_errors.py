"""Every type of error that operators meet says what they can do, and their page has each."""

from __future__ import annotations

import importlib
import pkgutil

import pytest

import sorrelfront
from sorrelfront.errors import SorrelfrontError
from tests.test_process import ROOT

PAGE = ROOT / "docs/operations/errors.md"


def types() -> list[type[SorrelfrontError]]:
    for module in pkgutil.walk_packages(sorrelfront.__path__, "sorrelfront."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    found: list[type[SorrelfrontError]] = []
    waiting = [SorrelfrontError]
    while waiting:
        below = waiting.pop().__subclasses__()
        found += below
        waiting += below
    return sorted(
        {item for item in found if item.__module__.startswith("sorrelfront.")}, key=lambda t: t.__name__
    )


def test_each_type_has_one_sentence_on_what_to_do() -> None:
    found = types()
    assert len(found) >= 18
    for item in found:
        remedy = item.remedy
        assert remedy[0].isupper() and remedy.endswith("."), item
        assert remedy.count(". ") == 0 and "\n" not in remedy, item


def test_the_operators_page_has_each_type_and_no_other() -> None:
    rows = [line.split("|") for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    told = {row[1].strip().strip("`"): row[3].strip() for row in rows}
    wanted = {
        f"{item.__module__.removeprefix('sorrelfront.')}.{item.__name__}": item.remedy for item in types()
    }
    assert told == wanted


def test_an_instance_may_say_more_than_its_type() -> None:
    class Fault(SorrelfrontError):
        remedy = "Do this."

    assert Fault("it broke\nhere").told() == "it broke here; Do this."
    assert Fault("it broke", remedy="Do that.").told() == "it broke; Do that."


def test_a_type_without_a_remedy_cannot_be_made() -> None:
    with pytest.raises(TypeError):
        type("Silent", (SorrelfrontError,), {})

"""Sites in memory: a slice of the seeds, orders of events of three, and planted defects that are found."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from sorrelfront.decisions.sites import routes
from sorrelfront.decisions.sites.offers import Why
from sorrelfront.decisions.sites.routes import Border
from sorrelfront.lab.sites.explorer import explore
from sorrelfront.lab.sites.routes import World


@pytest.mark.parametrize("seed", range(12))
def test_a_slice_of_the_seeds_holds(seed: int) -> None:
    world = World(seed)
    world.play()
    assert not world.breaches
    assert world.sent or not any(site.lent for site in world.sites.values())


@pytest.mark.parametrize("triangle", [False, True])
def test_every_order_of_a_few_events_of_three_sites(triangle: bool) -> None:
    found = explore(3, triangle=triangle)
    assert not found.broken and found.states > 100


class NeverOver(Border):
    """Counts no lifetime."""

    def _until(self, *told: Any) -> int:
        return super()._until(*told) + 3_600_000_000


class Forgetful(Border):
    """Remembers no newest state."""

    def _note(self, *told: Any) -> Why | None:
        return None

    def note(self, *told: Any, **more: Any) -> Why | None:
        return None


def found(make: type[Border], seeds: Iterable[int]) -> int:
    count = 0
    for seed in seeds:
        world = World(seed, make)
        world.play()
        count += bool(world.breaches)
    return count


def test_lifetimes_that_never_end_are_found_by_a_few_seeds() -> None:
    assert found(NeverOver, (13, 36)) == 2  # 6 of 120 show it


def test_orders_of_events_show_a_border_that_forgets_what_was_withdrawn() -> None:
    assert "forbidden" in explore(4, Forgetful, triangle=True).broken


def test_terms_that_were_widened_and_are_believed_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    judged = routes.__dict__["fault"]

    def fault(*told: Any) -> Why | None:
        why: Why | None = judged(*told)
        return None if why in (Why.WIDENED, Why.NOT_PASSED_ON) else why

    monkeypatch.setitem(routes.__dict__, "fault", fault)
    assert found(Border, range(12)) >= 2

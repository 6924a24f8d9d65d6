"""Simulated sites: some seeds, all orders of events among three sites, and detection of planted defects."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from sorrelfront.decisions.sites import routes
from sorrelfront.decisions.sites.offers import UnusedReason
from sorrelfront.decisions.sites.routes import Border
from sorrelfront.lab.sites.explorer import explore
from sorrelfront.lab.sites.routes import Simulation


@pytest.mark.parametrize("seed", range(12))
def test_seeds_run_without_breaches(seed: int) -> None:
    world = Simulation(seed)
    world.run_scenario()
    assert not world.breaches
    assert world.sent or not any(site.offers for site in world.sites.values())


@pytest.mark.parametrize("triangle", [False, True])
def test_every_order_of_a_few_events_among_three_sites(triangle: bool) -> None:
    found = explore(3, triangle=triangle)
    assert not found.violation and found.states > 100


class NeverExpires(Border):
    """Extends every lifetime by an hour."""

    def _expiry(self, *told: Any) -> int:
        return super()._expiry(*told) + 3_600_000_000


class ForgetsStates(Border):
    """Does not remember the newest state of an offer."""

    def _record_chain(self, *told: Any) -> UnusedReason | None:
        return None

    def record_state(self, *told: Any, **more: Any) -> UnusedReason | None:
        return None


def found(make: type[Border], seeds: Iterable[int]) -> int:
    count = 0
    for seed in seeds:
        world = Simulation(seed, make)
        world.run_scenario()
        count += bool(world.breaches)
    return count


def test_a_few_seeds_find_lifetimes_that_never_end() -> None:
    assert found(NeverExpires, (13, 36)) == 2  # 6 of 120 seeds find it


def test_exploring_event_orders_finds_a_border_that_forgets_withdrawals() -> None:
    assert "forbidden" in explore(4, ForgetsStates, triangle=True).violation


def test_seeds_find_a_border_that_accepts_widened_terms(monkeypatch: pytest.MonkeyPatch) -> None:
    judged = routes.__dict__["fault"]

    def fault(*told: Any) -> UnusedReason | None:
        why: UnusedReason | None = judged(*told)
        return None if why in (UnusedReason.WIDENED, UnusedReason.NOT_PASSED_ON) else why

    monkeypatch.setitem(routes.__dict__, "fault", fault)
    assert found(Border, range(12)) >= 2

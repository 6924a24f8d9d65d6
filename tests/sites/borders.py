"""Borders of a few sites, with their messages exchanged by hand."""

from __future__ import annotations

from collections.abc import Iterable

from sorrelfront.decisions.sites.offers import Relation
from sorrelfront.decisions.sites.routes import Advertisement, Border, OfferConfig, Partner, Settings
from sorrelfront.decisions.sites.terms import Terms, terms
from sorrelfront.lab.sites.routes import keys

SECOND = 1_000_000
LEFT_MS = 10_000
SITES = ["a", "b", "c", "d"]
SIGN, VERIFY = keys(SITES)
OTHERS = {"customer": Relation.CUSTOMER, "peer": Relation.PEER, "provider": Relation.PROVIDER}


def lent(name: str = "x", cost: int = 1, **told: Terms | None) -> OfferConfig:
    return OfferConfig(name, told.get("terms") or terms(None, None, ["look"], left_ms=LEFT_MS), cost)


def border(
    site: str, partners: dict[str, str], offers: Iterable[OfferConfig] = (), now: int = 0,
    life: tuple[int, int] = (1, 7), gateway: str = "",
) -> Border:  # fmt: skip
    made = Border(
        site, gateway or f"{site}/i", f"127.0.0.1:{SITES.index(site) + 1}", SIGN[site], VERIFY, life, now,
        Settings(SECOND, 5 * SECOND),
    )  # fmt: skip
    made.configure([Partner(name, OTHERS[what]) for name, what in partners.items()], offers, now)
    for name in partners:
        made.add_peer(f"{name}/i", name)
    return made


def told(asker: Border, asked: Border, now: int) -> Advertisement:
    """Return the advertisement that the asker would get, without delivering it."""
    ask = asker.query(f"{asked.site}/i", now)
    over = asked.epoch_to_exceed(ask)
    if over is not None:
        asked.set_incarnation((over + 1, asked.incarnation[1]), now)
    tell = asked.on_query(asker.site, ask, b"t", now)
    assert tell is not None
    return tell


def ask(asker: Border, asked: Border, now: int, came: int | None = None) -> Advertisement:
    tell = told(asker, asked, now)
    assert asker.on_advertisement(f"{asked.site}/i", tell, now if came is None else came)
    return tell


def ways(one: Border, now: int, *path: str, cls: str = "look") -> list[tuple[str, ...]]:
    return [route.sites for route in one.best_routes(cls, now, path)]

"""Every order of events of three small sites: a, b and c, of which c lends one offer, b may pass it on, and a
hears of it from b and, in one of two worlds, from c too.

Breadth first, each state once. An event is one of: c's file says otherwise (three states of it); one site
asks another and hears the answer at once; the same with the answer of before told again (an old word); a
third of a lifetime passes; b or c starts anew, without a disk. In every state that is reached each site's
routes are held to this: it sends by nothing that the owner's file has forbidden for a lifetime; it does not
send by what its last ask of the owner showed to be forbidden; c's gateway lets in nothing that its file
forbids now; and once all have asked a few times, all have just what follows from the files."""

from __future__ import annotations

import copy
from typing import NamedTuple

from sorrelfront.decisions.sites.offers import OfferId, Relation
from sorrelfront.decisions.sites.passage import In, Passage
from sorrelfront.decisions.sites.routes import Border, Lent, Partner, Settings, Tell
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.lab.sites.routes import Make, keys

SITES = ("a", "b", "c")
STATES = ("a uses, b carries", "b uses", "nothing")
LEFT_MS = 3_000
STEP_US = 1_000_000  # a third of a lifetime
ID = OfferId("c", "c/i", "x")
TIMES = Settings(renew_us=375_000, stale_us=10_000_000)


class Found(NamedTuple):
    states: int
    depth: int  # to which all states were visited
    broken: str  # empty if all held


def _lent(state: int) -> list[Lent]:
    if state == 0:
        return [Lent("x", terms(["a", "b"], ["b"], ["look"], left_ms=LEFT_MS))]
    if state == 1:
        return [Lent("x", terms(["b"], [], ["look"], left_ms=LEFT_MS))]
    return []


class World:
    """A state of all of it. `triangle`: a hears c itself too."""

    def __init__(self, make: Make, triangle: bool) -> None:
        self.make, self.triangle = make, triangle
        self.now = 0
        self.state = 0
        self.changes: list[tuple[int, int]] = [(0, 0)]  # when, and to which state
        self.asked_c: dict[str, int] = {}  # site -> state that c's own answer showed it last
        self.old: dict[tuple[str, str], Tell] = {}
        self.births = 0
        self.borders: dict[str, Border] = {}
        for site in SITES:
            self.start(site)

    def links(self) -> list[tuple[str, str]]:
        found = [("b", "c"), ("a", "b")]
        return [*found, ("a", "c")] if self.triangle else found

    def start(self, site: str) -> None:
        sign, verify = keys(list(SITES))
        self.births += 1
        border = self.make(
            site, f"{site}/i", f"at-{site}", sign[site], verify, (1, self.births), self.now, TIMES
        )
        partners = {
            "a": [("b", Relation.PROVIDER, True), ("c", Relation.PROVIDER, self.triangle)],
            "b": [("a", Relation.CUSTOMER, True), ("c", Relation.PROVIDER, True)],
            "c": [("a", Relation.CUSTOMER, self.triangle), ("b", Relation.CUSTOMER, True)],
        }[site]
        lent = _lent(self.state) if site == "c" else []
        rows = [Partner(name, what, 1, frozenset(), near) for name, what, near in partners]
        border.configure(rows, lent, self.now)
        for asker, asked in self.links():
            if asker == site:
                border.peer(f"{asked}/i", asked)
        self.borders[site] = border
        self.asked_c.pop(site, None)

    def ask(self, asker: str, asked: str, old: bool = False) -> None:
        border, other = self.borders[asker], self.borders[asked]
        ask = border.ask(f"{asked}/i", self.now)
        over = other.outlived(ask)
        if over is not None:
            other.live((over + 1, other.life[1]), self.now)
        tell = other.on_ask(asker, ask, b"", self.now)
        assert tell is not None
        before = self.old.get((asker, asked))
        self.old[asker, asked] = tell
        if old and before is not None and before.chains is not None:
            # Told again as an answer to this: as one on the way may, who has the teller's key.
            tell = copy.copy(before)
            tell = Tell(
                tell.site, tell.to, tell.gateway, tell.place, ask.number, tell.epoch, tell.birth,
                tell.version, tell.have, tell.chains, tell.ages_ms, tell.role, tell.ticket, tell.providers,
            )  # fmt: skip
        border.on_tell(f"{asked}/i", tell, self.now)
        if asked == "c" and not old:
            self.asked_c[asker] = self.state

    def event(self, name: str) -> None:
        word, _, rest = name.partition(" ")
        if word == "terms":
            self.state = int(rest)
            self.changes.append((self.now, self.state))
            self.borders["c"].configure(self.borders["c"].partners.values(), _lent(self.state), self.now)
        elif word in ("ask", "old"):
            asker, asked = rest.split(">")
            self.ask(asker, asked, word == "old")
        elif word == "time":
            self.now += STEP_US
            for border in self.borders.values():
                border.on_time(self.now)
        elif word == "start":
            self.start(rest)

    def events(self) -> list[str]:
        found = [f"terms {state}" for state in range(3) if state != self.state]
        for asker, asked in self.links():
            found.append(f"ask {asker}>{asked}")
            if asked == "b" and (asker, asked) in self.old:
                found.append(f"old {asker}>{asked}")
        return [*found, "time", "start b", "start c"]

    def fingerprint(self) -> str:
        """All that what follows may depend on, with times as they stand to now."""
        parts: list[object] = [self.state]
        recent = [
            (self.now - at, state) for at, state in self.changes if self.now - at <= 2 * LEFT_MS * 1_000
        ]
        parts += [recent, sorted(self.asked_c.items())]
        for site, border in self.borders.items():
            parts.append((site, border.life[0], border._version, sorted(border.newest.items())))
            for name, peer in border.peers.items():
                held = [
                    (id, item.chain.offer.age, item.chain.terms, item.expires_us - self.now)
                    for id, item in peer.held.items()
                ]
                parts.append((name, peer.life[0], held, sorted(peer.refused)))
            parts.append([(self.now - at) for at in border._heard.values()][-2:])
        parts += [
            (pair, None if tell.chains is None else [chain.offer.age for chain in tell.chains])
            for pair, tell in sorted(self.old.items())
        ]
        return repr(parts)

    def wrong(self) -> str:
        """What is wrong in this state; empty if nothing."""
        for site in ("a", "b"):
            routes = self.borders[site].ways("look", self.now)
            if not routes:
                continue
            if not self._lent_lately(site):
                return f"{site} sends by what has been forbidden for a lifetime"
            shown = self.asked_c.get(site)
            if shown is not None and not _allows(shown, site) and self.state == shown:
                return f"{site} sends by what c's own answer showed to be forbidden"
        for path in (("a",), ("b",), ("a", "b")):
            border = self.borders["c"]
            found = Passage("c").judge(
                path[-1], path, "look", border.partners, border.offers(self.now), False, self.now
            )
            if isinstance(found, In) != _lets_in(self.state, path):
                return f"c's gateway says {found} to {path} in state {self.state}"
        return self._settles()

    def _lent_lately(self, site: str) -> bool:
        """Whether the file has lent to this site at any moment of the last lifetime."""
        since = self.now - LEFT_MS * 1_000
        for at, (began, state) in enumerate(self.changes):
            ended = self.changes[at + 1][0] if at + 1 < len(self.changes) else self.now + 1
            if ended >= since and began <= self.now and _allows(state, site):
                return True
        return False

    def _settles(self) -> str:
        """Ask all round, until nothing is news any more."""
        other = copy.deepcopy(self)
        for _ in range(8):
            other.now += 300_000
            for border in other.borders.values():
                border.on_time(other.now)
            for asker, asked in other.links():
                other.ask(asker, asked)
        for site in ("a", "b"):
            got = bool(other.borders[site].ways("look", other.now))
            if got != _allows(other.state, site):
                return (
                    f"{site} {'has' if got else 'has no'} route once all have asked, in state {other.state}"
                )
        return ""


def _allows(state: int, site: str) -> bool:
    return state == 0 or (state == 1 and site == "b")


def _lets_in(state: int, path: tuple[str, ...]) -> bool:
    return _allows(state, path[0]) and (len(path) == 1 or state == 0)


def explore(depth: int, make: Make = Border, triangle: bool = False) -> Found:
    """All states up to so many events."""
    first = World(make, triangle)
    seen = {first.fingerprint()}
    level: list[tuple[World, tuple[str, ...]]] = [(first, ())]
    for step in range(depth):
        following: list[tuple[World, tuple[str, ...]]] = []
        for world, way in level:
            for name in world.events():
                after = copy.deepcopy(world)
                after.event(name)
                mark = after.fingerprint()
                if mark in seen:
                    continue
                seen.add(mark)
                wrong = after.wrong()
                if wrong:
                    return Found(len(seen), step, f"{wrong}: {', '.join((*way, name))}")
                following.append((after, (*way, name)))
        level = following
    return Found(len(seen), depth, "")

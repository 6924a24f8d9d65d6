"""Explore every order of events of three small sites: a, b and c.

c lends one offer, b may pass it on, and a learns of it from b and, in one of two models, from c too. The
search is breadth first and visits each state once. An event is one of: c's file changes (it has three
states); one site asks another and receives the answer at once; the same with the previous answer replayed; a
third of a lifetime passes; b or c restarts without its disk. Checked in every state reached:

- No site sends by an offer that the owner's file has forbidden for a lifetime.
- No site sends by an offer that the owner's latest answer to it showed to be forbidden.
- c's gateway admits nothing that its file forbids now.
- Once all have asked a few times, all have exactly the routes that follow from the files.
"""

from __future__ import annotations

import copy
from typing import NamedTuple

from sorrelfront.decisions.sites.admission import Admission, Admitted
from sorrelfront.decisions.sites.offers import OfferId, Relation
from sorrelfront.decisions.sites.routes import Advertisement, Border, OfferConfig, Partner, Settings
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.lab.sites.routes import BorderFactory, keys

SITES = ("a", "b", "c")
STATES = ("a uses, b carries", "b uses", "nothing")
LIFETIME_MS = 3_000
STEP_US = 1_000_000  # a third of a lifetime
ID = OfferId("c", "c/i", "x")
SETTINGS = Settings(renew_us=375_000, stale_us=10_000_000)


class Result(NamedTuple):
    """The result of an exploration."""

    states: int
    depth: int  # to which all states were visited
    violation: str  # the violation found, with the events that led to it; empty if none


def _offers(state: int) -> list[OfferConfig]:
    if state == 0:
        return [OfferConfig("x", terms(["a", "b"], ["b"], ["look"], left_ms=LIFETIME_MS))]
    if state == 1:
        return [OfferConfig("x", terms(["b"], [], ["look"], left_ms=LIFETIME_MS))]
    return []


class Model:
    """One state of all sites; with `triangle`, a is also linked to c directly."""

    def __init__(self, make: BorderFactory, triangle: bool) -> None:
        self.make, self.triangle = make, triangle
        self.now = 0
        self.state = 0
        self.changes: list[tuple[int, int]] = [(0, 0)]  # when, and to which state
        self.shown_by_c: dict[str, int] = {}  # site -> state that c's latest answer to it showed
        self.last_answers: dict[tuple[str, str], Advertisement] = {}
        self.starts = 0
        self.borders: dict[str, Border] = {}
        for site in SITES:
            self.start(site)

    def links(self) -> list[tuple[str, str]]:
        """Return the pairs of sites of which the first asks the second."""
        found = [("b", "c"), ("a", "b")]
        return [*found, ("a", "c")] if self.triangle else found

    def start(self, site: str) -> None:
        """Start the site's border without any stored state."""
        sign, verify = keys(list(SITES))
        self.starts += 1
        border = self.make(
            site, f"{site}/i", f"at-{site}", sign[site], verify, (1, self.starts), self.now, SETTINGS
        )
        partners = {
            "a": [("b", Relation.PROVIDER, True), ("c", Relation.PROVIDER, self.triangle)],
            "b": [("a", Relation.CUSTOMER, True), ("c", Relation.PROVIDER, True)],
            "c": [("a", Relation.CUSTOMER, self.triangle), ("b", Relation.CUSTOMER, True)],
        }[site]
        lent = _offers(self.state) if site == "c" else []
        rows = [Partner(name, what, 1, frozenset(), neighbour) for name, what, neighbour in partners]
        border.configure(rows, lent, self.now)
        for asker, asked in self.links():
            if asker == site:
                border.add_peer(f"{asked}/i", asked)
        self.borders[site] = border
        self.shown_by_c.pop(site, None)

    def query(self, asker: str, asked: str, replay: bool = False) -> None:
        """Have one site ask another; with `replay` it receives the previous answer again."""
        border, other = self.borders[asker], self.borders[asked]
        ask = border.query(f"{asked}/i", self.now)
        remembered_epoch = other.epoch_to_exceed(ask)
        if remembered_epoch is not None:
            other.set_incarnation((remembered_epoch + 1, other.incarnation[1]), self.now)
        tell = other.on_query(asker, ask, b"", self.now)
        assert tell is not None
        before = self.last_answers.get((asker, asked))
        self.last_answers[asker, asked] = tell
        if replay and before is not None and before.chains is not None:
            # The previous answer is replayed as the answer to this ask, as an intermediary that has the
            # sender's key could do.
            tell = copy.copy(before)
            tell = Advertisement(
                tell.site, tell.to, tell.gateway, tell.address, ask.number, tell.epoch, tell.boot_id,
                tell.version, tell.digest, tell.chains, tell.ages_ms, tell.role, tell.ticket, tell.providers,
            )  # fmt: skip
        border.on_advertisement(f"{asked}/i", tell, self.now)
        if asked == "c" and not replay:
            self.shown_by_c[asker] = self.state

    def event(self, name: str) -> None:
        """Apply one of the events that `events` lists."""
        kind, _, rest = name.partition(" ")
        if kind == "terms":
            self.state = int(rest)
            self.changes.append((self.now, self.state))
            self.borders["c"].configure(self.borders["c"].partners.values(), _offers(self.state), self.now)
        elif kind in ("ask", "old"):
            asker, asked = rest.split(">")
            self.query(asker, asked, kind == "old")
        elif kind == "time":
            self.now += STEP_US
            for border in self.borders.values():
                border.on_timer(self.now)
        elif kind == "start":
            self.start(rest)

    def events(self) -> list[str]:
        """Return the names of the events that are possible in this state."""
        found = [f"terms {state}" for state in range(3) if state != self.state]
        for asker, asked in self.links():
            found.append(f"ask {asker}>{asked}")
            if asked == "b" and (asker, asked) in self.last_answers:
                found.append(f"old {asker}>{asked}")
        return [*found, "time", "start b", "start c"]

    def fingerprint(self) -> str:
        """Return all that later behaviour may depend on, with times relative to now."""
        parts: list[object] = [self.state]
        recent = [
            (self.now - at, state) for at, state in self.changes if self.now - at <= 2 * LIFETIME_MS * 1_000
        ]
        parts += [recent, sorted(self.shown_by_c.items())]
        for site, border in self.borders.items():
            parts.append((site, border.incarnation[0], border._version, sorted(border.newest.items())))
            for name, peer in border.peers.items():
                held = [
                    (id, item.chain.offer.state, item.chain.terms, item.expires_us - self.now)
                    for id, item in peer.held.items()
                ]
                parts.append((name, peer.incarnation[0], held, sorted(peer.refused)))
            parts.append([(self.now - at) for at in border._first_seen.values()][-2:])
        parts += [
            (pair, None if tell.chains is None else [chain.offer.state for chain in tell.chains])
            for pair, tell in sorted(self.last_answers.items())
        ]
        return repr(parts)

    def violation(self) -> str:
        """Return what is violated in this state; empty if nothing."""
        for site in ("a", "b"):
            routes = self.borders[site].best_routes("look", self.now)
            if not routes:
                continue
            if not self._allowed_lately(site):
                return f"{site} sends by what has been forbidden for a lifetime"
            shown = self.shown_by_c.get(site)
            if shown is not None and not _allows(shown, site) and self.state == shown:
                return f"{site} sends by what c's own answer showed to be forbidden"
        for path in (("a",), ("b",), ("a", "b")):
            border = self.borders["c"]
            found = Admission("c").admit(
                path[-1], path, "look", border.partners, border.offers(self.now), False, self.now
            )
            if isinstance(found, Admitted) != _admits(self.state, path):
                return f"c's gateway says {found} to {path} in state {self.state}"
        return self._check_settled()

    def _allowed_lately(self, site: str) -> bool:
        """Return whether the file allowed this site at any moment of the last lifetime."""
        since = self.now - LIFETIME_MS * 1_000
        for at, (began, state) in enumerate(self.changes):
            ended = self.changes[at + 1][0] if at + 1 < len(self.changes) else self.now + 1
            if ended >= since and began <= self.now and _allows(state, site):
                return True
        return False

    def _check_settled(self) -> str:
        """Return how the routes differ from the files once all sites have asked eight times; empty if not."""
        other = copy.deepcopy(self)
        for _ in range(8):
            other.now += 300_000
            for border in other.borders.values():
                border.on_timer(other.now)
            for asker, asked in other.links():
                other.query(asker, asked)
        for site in ("a", "b"):
            got = bool(other.borders[site].best_routes("look", other.now))
            if got != _allows(other.state, site):
                return (
                    f"{site} {'has' if got else 'has no'} route once all have asked, in state {other.state}"
                )
        return ""


def _allows(state: int, site: str) -> bool:
    return state == 0 or (state == 1 and site == "b")


def _admits(state: int, path: tuple[str, ...]) -> bool:
    return _allows(state, path[0]) and (len(path) == 1 or state == 0)


def explore(depth: int, make: BorderFactory = Border, triangle: bool = False) -> Result:
    """Visit every state within `depth` events of the start; stop at the first violation."""
    first = Model(make, triangle)
    seen = {first.fingerprint()}
    frontier: list[tuple[Model, tuple[str, ...]]] = [(first, ())]
    for step in range(depth):
        next_frontier: list[tuple[Model, tuple[str, ...]]] = []
        for model, trace in frontier:
            for name in model.events():
                after = copy.deepcopy(model)
                after.event(name)
                fingerprint = after.fingerprint()
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                violation = after.violation()
                if violation:
                    return Result(len(seen), step, f"{violation}: {', '.join((*trace, name))}")
                next_frontier.append((after, (*trace, name)))
        frontier = next_frontier
    return Result(len(seen), depth, "")

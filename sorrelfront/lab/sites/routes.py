"""Several sites' borders in one process, on a network and clocks that are only numbers; faults, changes and
one hostile site drawn from a seed; and checkers that read a book of what requests did.

The code under test is the program's own (`decisions.sites`). The book is written by the world: who sent a
request where and when, and who served it. It is held against the terms as owners had them, which the world
keeps by itself, and against an oracle that computes all routes anew from the files, without words or time.

Held to: no request goes by an offer whose owner's terms forbid it, later than the offer's lifetime after the
change, and where word can come later than `TOLD_US`; none is served by a gateway whose terms forbid it at
that moment; none visits a site twice; after the last fault every border has the oracle's routes within
`bound_us`, also beside a hostile site; a table does not depend on the order of what it is made of."""

from __future__ import annotations

import hashlib
import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, NamedTuple

from sorrelfront.decisions.sites.offers import OfferId, Relation, Sign, Why, may_tell
from sorrelfront.decisions.sites.passage import In, Passage
from sorrelfront.decisions.sites.routes import (
    Ask,
    Border,
    Lent,
    Newest,
    News,
    Partner,
    Settings,
    Tell,
    later,
    settle,
)
from sorrelfront.decisions.sites.terms import Terms, terms
from sorrelfront.lab.sites.hostile import Hostile

SECOND = 1_000_000
FAST = Settings(renew_us=400_000, stale_us=2 * SECOND)
PATIENT = Settings(renew_us=400_000, stale_us=60 * SECOND)  # only lifetimes end what is believed
TOLD_US = 2 * SECOND  # within which a withdrawal is known where word of it can come
LIFETIMES_MS = (3_200, 5_000)
CLASSES = ("look", "book", "pay")
DELAY_US = (500, 40_000)
NEWS_EVERY_US = 100_000  # to one that asks
HOSTILE = "mallory"

Make = Callable[..., Border]


def bound_us(sites: int) -> int:
    """Within which all borders have their routes after the last fault. A border that was silent is asked
    again within two renewals; each site on the way learns of it by news, or by its next ask; what was damped
    is let back after five half-lives at the most; what was told before a cut is believed for its lifetime."""
    damped_us = 3 * 8 * SECOND
    return damped_us + max(LIFETIMES_MS) * 1_000 + (sites + 2) * 3 * FAST.renew_us


def keys(sites: list[str]) -> tuple[dict[str, Sign], Callable[[str, bytes, bytes], bool]]:
    """Signatures that only whoever has the site's secret can make, without the cost of real ones."""

    def signer(site: str) -> Sign:
        secret = hashlib.blake2b(b"secret of " + site.encode()).digest()
        return lambda data: hashlib.blake2b(data, key=secret, digest_size=32).digest()

    made = {site: signer(site) for site in sites}
    return made, lambda site, signature, data: site in made and made[site](data) == signature


@dataclass
class Site:
    name: str
    lent: dict[str, Lent]
    partners: dict[str, Partner]
    gateways: list[str] = field(default_factory=list)


@dataclass
class Node:
    """A process with a border."""

    site: str
    name: str  # "hawassa/i0"
    border: Border
    passage: Passage
    rate: float  # of its clock
    epoch: int
    up: bool = True
    frozen: bool = False
    waits: dict[str, tuple[int, int]] = field(default_factory=dict)  # peer -> number awaited, since when
    pending: set[str] = field(default_factory=set)  # peers that are to be asked again once they answer
    askers: dict[str, int] = field(default_factory=dict)  # nodes that asked -> when they had news last
    seen: tuple[int, int] = (0, 0)
    due: int = 0  # when it looks at the time, on the world's clock
    inbox: list[tuple[str, Any]] = field(default_factory=list)


class Sent(NamedTuple):
    """A request that was sent from one site to another."""

    t: int
    number: int
    path: tuple[str, ...]  # with the sender at its end
    cls: str
    id: OfferId
    to: str
    heard: bool  # the process that sent it has heard the offer's gateway itself


class Served(NamedTuple):
    t: int
    number: int
    path: tuple[str, ...]
    cls: str
    id: OfferId


class World:
    """Sites by name. `hostile`: one of them says what it likes."""

    def __init__(self, seed: int, make: Make = Border, hostile: bool | None = None) -> None:
        self.random = Random(seed)
        self.make = make
        self.now = 0
        random = self.random
        self.settings = random.choice((FAST, PATIENT))
        count = random.randrange(3, 6)
        names = [f"site{number}" for number in range(count)]
        self.hostile = random.random() < 0.5 if hostile is None else hostile
        if self.hostile:
            names[random.randrange(1, count)] = HOSTILE
        self.sign, self.verify = keys(names)
        if self.hostile:
            self._hostile = Hostile(self.sign[HOSTILE], random)
        self.sites = {name: Site(name, {}, {}) for name in names}
        self.nodes: dict[str, Node] = {}
        self.cut: set[frozenset[str]] = set()  # pairs of sites
        self.loss = 0.0
        # (id) -> [(since, terms or None)]; what the owner's file said
        self.truth: dict[OfferId, list[tuple[int, Terms | None]]] = defaultdict(list)
        self.sent: list[Sent] = []
        self.served: list[Served] = []
        self.turned = 0
        self.withheld = 0  # requests by what the sender heard from a hostile site alone
        self.settled_us = 0  # how long after the last fault all had their routes, in whole seconds
        self.breaches: list[str] = []
        # What the members of a site know of offers' newest states: copies, which outlive each of them.
        self.marks: dict[str, dict[OfferId, Newest]] = defaultdict(dict)
        self.troubles: list[tuple[int, int]] = []  # from when until when some fault was on
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._requests = 0
        self._draw(names)

    # Sites

    def _draw(self, names: list[str]) -> None:
        """Sites in an order in which providers come first, so there is no circle of them."""
        random = self.random
        for high, one in enumerate(names):
            for other in names[high + 1 :]:
                linked = random.random() < 0.7 or other == names[high + 1]
                relation = random.choice((Relation.CUSTOMER, Relation.PEER))
                for site, partner, what in ((one, other, relation), (other, one, relation.other_way)):
                    cost = random.randrange(1, 4)
                    self.sites[site].partners[partner] = Partner(partner, what, cost, frozenset(), linked)
        for name, owner in self.sites.items():
            owner.gateways = [f"{name}/i{number}" for number in range(random.randrange(1, 3))]
            for number in range(random.randrange(0, 3)):
                owner.lent[f"offer{number}"] = self.lend(f"offer{number}")
        for name, owner in self.sites.items():
            for gateway in owner.gateways:
                for item in owner.lent.values():
                    self.truth[OfferId(name, gateway, item.name)].append((0, item.terms))
                self.start(gateway, 1)

    def lend(self, name: str) -> Lent:
        random = self.random
        others = list(self.sites)

        def some() -> list[str] | None:
            return None if random.random() < 0.5 else random.sample(others, random.randrange(len(others)))

        classes = None if random.random() < 0.5 else random.sample(CLASSES, random.randrange(1, 3))
        found = terms(some(), some(), classes, 100_000, random.choice(LIFETIMES_MS))
        return Lent(name, found, random.randrange(1, 5), random.randrange(5, 100))

    def start(self, name: str, epoch: int) -> None:
        site = self.sites[name.partition("/")[0]]
        random = self.random
        rate = 1.0 + random.uniform(-200, 200) / 1e6
        now = int(self.now * rate)
        border = self.make(
            site.name, name, f"at-{name}", self.sign[site.name], self.verify,
            (epoch, random.getrandbits(48)), now, self.settings,
        )  # fmt: skip
        border.configure(site.partners.values(), site.lent.values(), now)
        node = self.nodes[name] = Node(site.name, name, border, Passage(site.name), rate, epoch)
        mates = any(self.nodes[mate].up for mate in site.gateways if mate != name and mate in self.nodes)
        if epoch > 1 or mates:  # else it has neither its disk nor anybody to ask
            for id, mark in self.marks[site.name].items():
                border.on_mark(id, mark, now)
        for partner in site.partners.values():
            if partner.neighbour:
                for peer in self.sites[partner.name].gateways:
                    border.peer(peer, partner.name)
        self.at(self.now + random.randrange(FAST.renew_us), lambda: self.beat(node))

    # Time and words

    def at(self, t: int, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (t, self._count, what))

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.now = until

    def clock(self, node: Node) -> int:
        return int(self.now * node.rate)

    def alive(self, node: Node) -> bool:
        return node.up and self.nodes.get(node.name) is node

    def beat(self, node: Node) -> None:
        if not self.alive(node):
            return
        spread = self.random.uniform(0.8, 1.2)
        self.at(self.now + int(FAST.renew_us * spread), lambda: self.beat(node))
        if node.frozen:
            return
        node.border.on_time(self.clock(node))
        for peer in list(node.border.peers):
            number, since = node.waits.get(peer, (0, 0))
            if number and self.now - since < FAST.renew_us:
                continue
            if number:
                node.border.silent(peer, self.clock(node))
            self.ask(node, peer)
        self.after(node)

    def ask(self, node: Node, peer: str) -> None:
        ask = node.border.ask(peer, self.clock(node))
        node.waits[peer] = (ask.number, self.now)
        node.pending.discard(peer)
        self.post(node, peer, ask)

    def post(self, node: Node, to: str, word: Ask | Tell | News) -> None:
        pair = frozenset((node.site, to.partition("/")[0]))
        if pair in self.cut or self.random.random() < self.loss:
            return
        delay = self.random.randrange(*DELAY_US)
        self.at(self.now + delay, lambda: self.deliver(node, to, word, pair))

    def deliver(self, sender: Node, to: str, word: Ask | Tell | News, pair: frozenset[str]) -> None:
        node = self.nodes[to]
        if pair in self.cut or not node.up:
            return
        if node.frozen:
            if len(node.inbox) < 64:
                node.inbox.append((sender.name, word))
            return
        self.hear(node, sender.name, word)

    def hear(self, node: Node, sender: str, word: Ask | Tell | News) -> None:
        now = self.clock(node)
        match word:
            case Ask():
                over = node.border.outlived(word)
                if over is not None:
                    node.epoch = over + 1
                    node.border.live((node.epoch, node.border.life[1]), now)
                tell = node.border.on_ask(word.site, word, b"", now)
                if tell is not None:
                    node.askers.setdefault(sender, -NEWS_EVERY_US)
                    self.post(node, sender, self.spoil(node, tell))
            case Tell():
                if node.waits.get(sender, (0, 0))[0] == word.number:
                    del node.waits[sender]
                node.border.on_tell(sender, word, now)
                if sender in node.pending:
                    self.ask(node, sender)
            case News():
                if sender in node.waits:
                    node.pending.add(sender)
                elif sender in node.border.peers:
                    self.ask(node, sender)
        self.after(node)

    def marked(self, name: str, marks: dict[OfferId, Newest]) -> None:
        node = self.nodes[name]
        if node.up and not node.frozen:
            for id, mark in marks.items():
                node.border.on_mark(id, mark, self.clock(node))
            self.after(node)

    def timed(self, node: Node, due: int) -> None:
        if self.alive(node) and not node.frozen and node.due == due:
            node.border.on_time(self.clock(node))
            self.after(node)

    def after(self, node: Node) -> None:
        """Its next look at the time, word of what it heard to the others of its site, and news for those that
        asked, if there are any."""
        marks = node.border.take_marks()
        if marks:
            kept = self.marks[node.site]
            for id, mark in marks.items():
                kept[id] = later(kept[id], mark) if id in kept else mark
            for mate in self.sites[node.site].gateways:
                if mate != node.name:
                    self.at(self.now + self.random.randrange(*DELAY_US), partial(self.marked, mate, marks))
        due = max(self.now + 1_000, int(node.border.next_us() / node.rate) + 1)
        if node.due <= self.now or due < node.due:
            node.due = due
            self.at(due, partial(self.timed, node, due))
        state = (node.border.changed, node.border.told)
        if state == node.seen:
            return
        node.seen = state
        for asker, last in node.askers.items():
            at = max(self.now, last + NEWS_EVERY_US)
            node.askers[asker] = at
            self.at(at, partial(self.news, node, asker))

    def news(self, node: Node, to: str) -> None:
        if self.alive(node) and not node.frozen:
            self.post(node, to, News(node.site))

    def spoil(self, node: Node, tell: Tell) -> Tell:
        return self._hostile.spoil(node.border, tell) if node.site == HOSTILE else tell

    # Requests

    def request(self) -> None:
        """One request of a random site, as far as it goes."""
        random = self.random
        node = random.choice(list(self.nodes.values()))
        if not node.up or node.frozen or node.site == HOSTILE:
            return
        self._requests += 1
        self._go_on(node, (), random.choice(CLASSES), self._requests)

    def _go_on(self, node: Node, path: tuple[str, ...], cls: str, number: int) -> None:
        ways = node.border.ways(cls, self.clock(node), path)
        if not ways:
            return
        route = self.random.choice(ways)
        way = (*path, node.site)
        heard = (route.id.owner, route.id.gateway) in node.border.heard_itself
        self.sent.append(Sent(self.now, number, way, cls, route.id, route.sites[0], heard))
        to = route.peer
        pair = frozenset((node.site, route.sites[0]))
        if pair in self.cut:
            return
        self.at(self.now + self.random.randrange(*DELAY_US), lambda: self._arrive(to, way, cls, number))

    def _arrive(self, to: str, path: tuple[str, ...], cls: str, number: int) -> None:
        node = self.nodes[to]
        if not node.up or node.frozen or node.site == HOSTILE:
            return
        now = self.clock(node)
        border = node.border
        ways = border.ways(cls, now, path)
        found = node.passage.judge(path[-1], path, cls, border.partners, border.offers(now), bool(ways), now)
        if not isinstance(found, In):
            self.turned += 1
            return
        if found.offer is not None:
            self.served.append(
                Served(self.now, number, path, cls, OfferId(node.site, node.name, found.offer))
            )
            node.passage.left(found.offer)
            return
        self._go_on(node, path, cls, number)

    # Changes and faults

    def change(self, owner: str = "") -> None:
        """An owner changes its file: other terms, an offer gone, one back. All of its gateways take it within
        a moment of each other."""
        random = self.random
        site = self.sites[owner or random.choice([name for name in self.sites if name != HOSTILE])]
        name = f"offer{random.randrange(3)}"
        if name in site.lent and random.random() < 0.5:
            del site.lent[name]
        else:
            site.lent[name] = self.lend(name)
        item = site.lent.get(name)
        for gateway in site.gateways:
            self.at(self.now + random.randrange(50_000), partial(self._reload, gateway, name, item))

    def _reload(self, gateway: str, name: str, item: Lent | None) -> None:
        node, site = self.nodes[gateway], self.sites[gateway.partition("/")[0]]
        if not node.up:
            return
        if node.frozen:
            self.at(self.now + 100_000, lambda: self._reload(gateway, name, item))
            return
        self.truth[OfferId(site.name, gateway, name)].append((self.now, None if item is None else item.terms))
        node.border.configure(site.partners.values(), site.lent.values(), self.clock(node))
        # It takes the whole file, which may have changed again meanwhile.
        for other in {*site.lent, name}:
            now = site.lent.get(other)
            history = self.truth[OfferId(site.name, gateway, other)]
            last = history[-1][1] if history else None
            if last != (None if now is None else now.terms):
                history.append((self.now, None if now is None else now.terms))
        self.after(node)

    def fault(self) -> None:
        random = self.random
        lasts = random.randrange(300_000, 6 * SECOND)
        what = random.choice(
            ("cut", "cut", "island", "island", "kill", "freeze", "loss", "change", "change", "change")
        )
        if what == "island":
            lasts = random.randrange(3 * SECOND, 9 * SECOND)
        if what != "change":
            self.troubles.append((self.now, self.now + lasts))
        if what == "change":
            self.change()
        elif what == "island":  # a site that changes its file while nobody hears it
            name = random.choice([name for name in self.sites if name != HOSTILE])
            for other in self.sites:
                if other != name:
                    self.cut.add(frozenset((name, other)))
                    self.at(self.now + lasts, partial(self._heal, frozenset((name, other))))
            self.at(self.now + random.randrange(SECOND // 2), partial(self.change, name))
        elif what == "cut":
            pair = frozenset(random.sample(list(self.sites), 2))
            self.cut.add(pair)
            self.at(self.now + lasts, lambda: self._heal(pair))
        elif what == "loss":
            self.loss = random.uniform(0.05, 0.4)
            self.at(self.now + lasts, self._lossless)
        else:
            node = random.choice(list(self.nodes.values()))
            if not node.up or node.frozen:
                return
            if what == "kill":
                node.up = False
                kept = node.epoch if random.random() < 0.7 else 0  # a disk that is gone
                self.at(self.now + lasts, lambda: self._back(node, kept))
            else:
                node.frozen = True
                self.at(self.now + lasts, lambda: self._thaw(node))

    def _heal(self, pair: frozenset[str]) -> None:
        self.cut.discard(pair)

    def _lossless(self) -> None:
        self.loss = 0.0

    def _back(self, node: Node, kept: int) -> None:
        site = self.sites[node.site]
        for name in {*site.lent, *(id.name for id in self.truth if id.gateway == node.name)}:
            item = site.lent.get(name)
            told = None if item is None else item.terms
            history = self.truth[OfferId(node.site, node.name, name)]
            if (history[-1][1] if history else None) != told:
                history.append((self.now, told))
        self.start(node.name, kept + 1)

    def _thaw(self, node: Node) -> None:
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        for sender, word in inbox:
            self.hear(node, sender, word)

    def play(self, seconds: float = 12.0, requests: int = 400) -> None:
        """Faults, then rest; requests throughout."""
        random = self.random
        faults_end = int((seconds - 4) * SECOND)
        for _ in range(random.randrange(4, 12)):
            self.at(random.randrange(SECOND, faults_end), self.fault)
        for _ in range(requests):
            self.at(random.randrange(int(seconds * SECOND)), self.request)
        self.run(int(seconds * SECOND))
        self._mend()
        until = self.now + bound_us(len(self.sites))
        while self.now < until and any(self._oracle()):
            self.run(min(until, self.now + SECOND))
        self.settled_us = bound_us(len(self.sites)) - (until - self.now)
        self.check()

    def _mend(self) -> None:
        for pair in list(self.cut):
            self._heal(pair)
        self._lossless()
        for node in list(self.nodes.values()):
            if node.frozen:
                self._thaw(node)
            if not node.up:
                self._back(node, node.epoch)

    # Checkers

    def check(self) -> None:
        self.breaches += [*self._terms_kept(), *self._served_rightly(), *self._no_site_twice()]
        self.breaches += [*self._oracle(), *self._order()]

    def _allowed(self, id: OfferId, path: tuple[str, ...], cls: str, since: int, until: int) -> bool:
        """Whether the owner's file allowed this at any moment of this time."""
        history = self.truth[id]
        for at, (began, found) in enumerate(history):
            ended = history[at + 1][0] if at + 1 < len(history) else until + 1
            if found is None or began > until or ended < since:
                continue
            if found.lends(path[0], cls) and all(found.carries(site) for site in path[1:]):
                return True
        return False

    def _longest_us(self, id: OfferId, until: int) -> int:
        """The longest lifetime that this offer has had by then, with drift and an answer's way."""
        lefts = [found.left_ms for began, found in self.truth[id] if found is not None and began <= until]
        return int(max(lefts, default=0) * 1_000 * 1.001) + 2 * DELAY_US[1]

    def _terms_kept(self) -> Iterator[str]:
        for item in self.sent:
            id = item.id
            # What was told in the last moment before a change holds for its lifetime, and was passed on.
            since = item.t - self._longest_us(id, item.t)
            if self._can_hear(item):
                since = max(since, item.t - TOLD_US)
            if item.to == HOSTILE != id.owner and not item.heard:
                # Who hears of an offer through a hostile site alone, since its own start, can be told of it
                # late: no clock is common to them. The owner's gateway turns its requests away.
                self.withheld += 1
                continue
            # On the way further sites carry it, which the next ones check; here only those so far.
            if not self._allowed(id, item.path, item.cls, since, item.t):
                yield f"{item} goes by what its owner's terms forbid"

    def _can_hear(self, item: Sent) -> bool:
        """Whether word of a change came for certain within the last TOLD_US: no fault was on since a lifetime
        before, and no hostile site stands between."""
        direct = item.to == item.id.owner or HOSTILE not in self.sites
        began = item.t - TOLD_US - max(LIFETIMES_MS) * 1_000
        return direct and not any(start <= item.t and end >= began for start, end in self.troubles)

    def _served_rightly(self) -> Iterator[str]:
        for item in self.served:
            if not self._allowed(item.id, item.path, item.cls, item.t, item.t):
                yield f"{item} is served against the terms"

    def _no_site_twice(self) -> Iterator[str]:
        for sent in self.sent:
            if len(set(sent.path)) != len(sent.path) or sent.to in sent.path:
                yield f"{sent} visits a site twice"

    def _oracle(self) -> Iterator[str]:
        """Each border has the routes that follow from the files alone."""
        want = oracle(self.sites)
        # Beside a hostile site that never rests, a neighbour's way may be damped, and is used all the same.
        usable = (None, Why.NOT_LENT, *((Why.DAMPED,) if HOSTILE in self.sites else ()))
        # Where anybody goes by way of the hostile site by right, others are told that way, or none.
        astray = {
            id
            for node in self.nodes.values()
            if node.site != HOSTILE
            for id in {route.id for route in node.border.table}
            if self._prefers_hostile(id, node.name)
        }
        for node in self.nodes.values():
            if node.site == HOSTILE:
                continue
            got = {
                (route.id, route.peer): (route.sites, route.rank)
                for route in node.border.table
                if route.state in usable and HOSTILE not in route.sites
            }
            expected = want[node.site]
            # A neighbour may prefer what the hostile site passes on by right, and then tells that way.
            other = {(route.id, route.peer) for route in node.border.table if HOSTILE in route.sites}
            for key in sorted({*got, *expected} - other):
                if key[0] in astray:
                    continue
                if got.get(key) != expected.get(key):
                    yield f"{node.name} has {got.get(key)} for {key}, and should {expected.get(key)}"

    def _prefers_hostile(self, id: OfferId, peer: str) -> bool:
        """Whether this gateway goes there by way of the hostile site, and so tells that way or none."""
        table = self.nodes[peer].border.table
        ways = [route for route in table if route.id == id and route.state in (None, Why.NOT_LENT)]
        return bool(ways) and HOSTILE in ways[0].sites

    def _order(self) -> Iterator[str]:
        for node in self.nodes.values():
            held = [item for peer in node.border.peers.values() for item in peer.held.values()]
            first = settle(held, node.border.partners, {})
            self.random.shuffle(held)
            if settle(held, node.border.partners, {}) != first:
                yield f"{node.name}: the table depends on an order"


Found = dict[tuple[OfferId, str], tuple[tuple[str, ...], tuple[int, int, int]]]


def oracle(sites: dict[str, Site]) -> dict[str, Found]:
    """Each site's routes, computed from the files: round by round, until nothing changes. What comes through
    a hostile site is left out, as if it said nothing."""

    class Way(NamedTuple):
        rank: tuple[int, int, int]
        path: tuple[str, ...]
        id: OfferId
        peer: str
        terms: Terms
        cost: int  # as those further on count it

    table: dict[str, list[Way]] = {name: [] for name in sites}
    for _ in range(2 * len(sites) + 2):
        fresh: dict[str, list[Way]] = {}
        for name, site in sites.items():
            found = []
            for partner in site.partners.values():
                if not partner.neighbour or partner.name == HOSTILE:
                    continue
                other = sites[partner.name]
                told = other.partners[name].relation
                exports: list[tuple[OfferId | None, tuple[str, ...], Terms, int, str]] = []
                for item in other.lent.values():
                    exports.append((None, (other.name,), item.terms, item.cost, item.name))
                best: dict[OfferId, Way] = {}
                for way in sorted(table[other.name]):
                    best.setdefault(way.id, way)
                for way in best.values():
                    learnt = other.partners[way.path[0]].relation
                    if may_tell(learnt, told) and way.terms.carries(other.name) and name not in way.path:
                        exports.append((way.id, (other.name, *way.path), way.terms, way.cost, ""))
                for id, path, lent, cost, offer in exports:
                    if lent.empty or not (lent.to is None or name in lent.to or lent.carries(name)):
                        continue
                    rank = (int(partner.relation), cost + partner.cost, len(path) - 1)
                    for gateway in other.gateways:
                        which = id or OfferId(other.name, gateway, offer)
                        found.append(Way(rank, path, which, gateway, lent, cost + partner.cost))
            fresh[name] = sorted(found)
        if fresh == table:
            break
        table = fresh
    return {name: {(way.id, way.peer): (way.path, way.rank) for way in ways} for name, ways in table.items()}

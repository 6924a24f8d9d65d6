"""Simulate the borders of several sites in one process, with faults drawn from a seed, and check requests.

The network and the clocks are virtual; changes of files and a hostile site are drawn from the seed too. The
code under test is the program's own (`decisions.sites`). The simulation records who sent a request where and
when, and who served it. The checkers compare this record with the terms as owners had them, which the
simulation keeps itself, and with an oracle that computes all routes from the files, without messages or time.

The checkers require:

- No request goes by an offer whose owner's terms forbid it, later than the offer's lifetime after the change,
  or, where news of the change can arrive, later than `MAX_WITHDRAWAL_US`.
- No request is served by a gateway whose terms forbid it at that moment.
- No request visits a site twice.
- After the last fault every border has the oracle's routes within `bound_us`, also with a hostile site.
- A table does not depend on the order of its input.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, NamedTuple

from sorrelfront.decisions.sites.admission import Admission, Admitted
from sorrelfront.decisions.sites.offers import OfferId, Relation, Sign, UnusedReason, may_export
from sorrelfront.decisions.sites.routes import (
    Advertisement,
    Border,
    ChangeNotice,
    OfferConfig,
    OfferQuery,
    OfferState,
    Partner,
    Settings,
    build_table,
    join_states,
)
from sorrelfront.decisions.sites.terms import Terms, terms
from sorrelfront.lab.sites.hostile import Hostile

SECOND = 1_000_000
FAST = Settings(renew_us=400_000, stale_us=2 * SECOND)
LONG_STALE = Settings(renew_us=400_000, stale_us=60 * SECOND)  # offers end only with their lifetimes
MAX_WITHDRAWAL_US = 2 * SECOND  # time until a withdrawal is known where news of it can arrive
LIFETIMES_MS = (3_200, 5_000)
CLASSES = ("look", "book", "pay")
DELAY_US = (500, 40_000)
NOTICE_INTERVAL_US = 100_000  # shortest time between two news messages to the same node
HOSTILE = "mallory"

BorderFactory = Callable[..., Border]


def bound_us(sites: int) -> int:
    """Return the time after the last fault within which all borders have their routes, in microseconds.

    A border that was silent is asked again within two renewals. Each site on the path learns of it by news or
    by its next ask. A damped route is reused after at most five half-lives. What was received before a
    partition is valid for its lifetime.
    """
    damped_us = 3 * 8 * SECOND
    return damped_us + max(LIFETIMES_MS) * 1_000 + (sites + 2) * 3 * FAST.renew_us


def keys(sites: list[str]) -> tuple[dict[str, Sign], Callable[[str, bytes, bytes], bool]]:
    """Return signers by site and a verifier: keyed hashes, without the cost of real signatures."""

    def signer(site: str) -> Sign:
        secret = hashlib.blake2b(b"secret of " + site.encode()).digest()
        return lambda data: hashlib.blake2b(data, key=secret, digest_size=32).digest()

    made = {site: signer(site) for site in sites}
    return made, lambda site, signature, data: site in made and made[site](data) == signature


@dataclass
class Site:
    """A site's file: the offers it lends, its partners and its gateways."""

    name: str
    offers: dict[str, OfferConfig]
    partners: dict[str, Partner]
    gateways: list[str] = field(default_factory=list)


@dataclass
class Node:
    """A process with a border."""

    site: str
    name: str  # "hawassa/i0"
    border: Border
    passage: Admission
    rate: float  # of its clock
    epoch: int
    up: bool = True
    frozen: bool = False
    # peer -> number of the awaited answer, since when
    awaited: dict[str, tuple[int, int]] = field(default_factory=dict)
    query_again: set[str] = field(default_factory=set)  # peers to ask again once they have answered
    # nodes that asked -> time of the latest news to them
    askers: dict[str, int] = field(default_factory=dict)
    last_state: tuple[int, int] = (0, 0)
    due: int = 0  # time of its next timer, on the simulation's clock
    inbox: list[tuple[str, Any]] = field(default_factory=list)


class Sent(NamedTuple):
    """A request that was sent from one site to another."""

    t: int
    number: int
    path: tuple[str, ...]  # with the sender at its end
    cls: str
    id: OfferId
    to: str
    learned_directly: bool  # the sender has an answer from the offer's gateway itself


class Served(NamedTuple):
    """A request that a gateway served by one of its offers."""

    t: int
    number: int
    path: tuple[str, ...]
    cls: str
    id: OfferId


class Simulation:
    """Sites by name, the faults in effect and the events to come; with `hostile`, one site is hostile."""

    def __init__(self, seed: int, make: BorderFactory = Border, hostile: bool | None = None) -> None:
        self.random = Random(seed)
        self.make = make
        self.now = 0
        random = self.random
        self.settings = random.choice((FAST, LONG_STALE))
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
        # id -> [(since, terms or None)], as in the owner's file
        self.terms_history: dict[OfferId, list[tuple[int, Terms | None]]] = defaultdict(list)
        self.sent: list[Sent] = []
        self.served: list[Served] = []
        self.refused = 0
        self.sent_via_hostile = 0  # requests by what the sender received from a hostile site alone
        self.settled_us = 0  # time from the last fault until all had their routes, in steps of 1 s
        self.breaches: list[str] = []
        # What a site's members know of offers' newest states: replicated, so it outlives each member.
        self.marks: dict[str, dict[OfferId, OfferState]] = defaultdict(dict)
        self.fault_intervals: list[tuple[int, int]] = []  # (start, end) of each fault
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._requests = 0
        self._generate(names)

    # Sites

    def _generate(self, names: list[str]) -> None:
        """Generate the sites; providers come first in the order, so there is no cycle of providers."""
        random = self.random
        for high, one in enumerate(names):
            for other in names[high + 1 :]:
                linked = random.random() < 0.7 or other == names[high + 1]
                relation = random.choice((Relation.CUSTOMER, Relation.PEER))
                for site, partner, kind in ((one, other, relation), (other, one, relation.inverse)):
                    cost = random.randrange(1, 4)
                    self.sites[site].partners[partner] = Partner(partner, kind, cost, frozenset(), linked)
        for name, owner in self.sites.items():
            owner.gateways = [f"{name}/i{number}" for number in range(random.randrange(1, 3))]
            for number in range(random.randrange(0, 3)):
                owner.offers[f"offer{number}"] = self.draw_offer(f"offer{number}")
        for name, owner in self.sites.items():
            for gateway in owner.gateways:
                for item in owner.offers.values():
                    self.terms_history[OfferId(name, gateway, item.name)].append((0, item.terms))
                self.start(gateway, 1)

    def draw_offer(self, name: str) -> OfferConfig:
        """Return an offer of this name with random terms."""
        random = self.random
        others = list(self.sites)

        def sample_sites() -> list[str] | None:
            return None if random.random() < 0.5 else random.sample(others, random.randrange(len(others)))

        classes = None if random.random() < 0.5 else random.sample(CLASSES, random.randrange(1, 3))
        found = terms(sample_sites(), sample_sites(), classes, 100_000, random.choice(LIFETIMES_MS))
        return OfferConfig(name, found, random.randrange(1, 5), random.randrange(5, 100))

    def start(self, name: str, epoch: int) -> None:
        """Start a gateway's process with this epoch."""
        site = self.sites[name.partition("/")[0]]
        random = self.random
        rate = 1.0 + random.uniform(-200, 200) / 1e6
        now = int(self.now * rate)
        border = self.make(
            site.name, name, f"at-{name}", self.sign[site.name], self.verify,
            (epoch, random.getrandbits(48)), now, self.settings,
        )  # fmt: skip
        border.configure(site.partners.values(), site.offers.values(), now)
        node = self.nodes[name] = Node(site.name, name, border, Admission(site.name), rate, epoch)
        has_sibling = any(
            self.nodes[sibling].up for sibling in site.gateways if sibling != name and sibling in self.nodes
        )
        if epoch > 1 or has_sibling:  # else it has neither its disk nor another member to ask
            for id, mark in self.marks[site.name].items():
                border.on_state(id, mark, now)
        for partner in site.partners.values():
            if partner.neighbour:
                for peer in self.sites[partner.name].gateways:
                    border.add_peer(peer, partner.name)
        self.at(self.now + random.randrange(FAST.renew_us), lambda: self.tick(node))

    # Time and messages

    def at(self, t: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at this time (microseconds)."""
        self._count += 1
        heapq.heappush(self._heap, (t, self._count, callback))

    def run(self, until: int) -> None:
        """Run all events up to this time (microseconds)."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until

    def clock(self, node: Node) -> int:
        """Return the time on the node's own clock, in microseconds."""
        return int(self.now * node.rate)

    def alive(self, node: Node) -> bool:
        """Return whether this process runs and was not replaced by a restart."""
        return node.up and self.nodes.get(node.name) is node

    def tick(self, node: Node) -> None:
        """Renew: ask every peer that owes no answer; give up on answers that are overdue."""
        if not self.alive(node):
            return
        spread = self.random.uniform(0.8, 1.2)
        self.at(self.now + int(FAST.renew_us * spread), lambda: self.tick(node))
        if node.frozen:
            return
        node.border.on_timer(self.clock(node))
        for peer in list(node.border.peers):
            number, since = node.awaited.get(peer, (0, 0))
            if number and self.now - since < FAST.renew_us:
                continue
            if number:
                node.border.on_silence(peer, self.clock(node))
            self.query(node, peer)
        self.follow_up(node)

    def query(self, node: Node, peer: str) -> None:
        """Send an ask to the peer and wait for its answer."""
        ask = node.border.query(peer, self.clock(node))
        node.awaited[peer] = (ask.number, self.now)
        node.query_again.discard(peer)
        self.send(node, peer, ask)

    def send(self, node: Node, to: str, message: OfferQuery | Advertisement | ChangeNotice) -> None:
        """Send a message, subject to partitions, loss and delay."""
        pair = frozenset((node.site, to.partition("/")[0]))
        if pair in self.cut or self.random.random() < self.loss:
            return
        delay = self.random.randrange(*DELAY_US)
        self.at(self.now + delay, lambda: self.deliver(node, to, message, pair))

    def deliver(
        self, sender: Node, to: str, message: OfferQuery | Advertisement | ChangeNotice, pair: frozenset[str]
    ) -> None:
        """Deliver a message, or queue it if the node is frozen."""
        node = self.nodes[to]
        if pair in self.cut or not node.up:
            return
        if node.frozen:
            if len(node.inbox) < 64:
                node.inbox.append((sender.name, message))
            return
        self.receive(node, sender.name, message)

    def receive(self, node: Node, sender: str, message: OfferQuery | Advertisement | ChangeNotice) -> None:
        """Handle a message: answer an ask, take in an answer, or ask again on news."""
        now = self.clock(node)
        match message:
            case OfferQuery():
                remembered_epoch = node.border.epoch_to_exceed(message)
                if remembered_epoch is not None:
                    node.epoch = remembered_epoch + 1
                    node.border.set_incarnation((node.epoch, node.border.incarnation[1]), now)
                tell = node.border.on_query(message.site, message, b"", now)
                if tell is not None:
                    node.askers.setdefault(sender, -NOTICE_INTERVAL_US)
                    self.send(node, sender, self.corrupt_if_hostile(node, tell))
            case Advertisement():
                if node.awaited.get(sender, (0, 0))[0] == message.number:
                    del node.awaited[sender]
                node.border.on_advertisement(sender, message, now)
                if sender in node.query_again:
                    self.query(node, sender)
            case ChangeNotice():
                if sender in node.awaited:
                    node.query_again.add(sender)
                elif sender in node.border.peers:
                    self.query(node, sender)
        self.follow_up(node)

    def receive_states(self, name: str, marks: dict[OfferId, OfferState]) -> None:
        """Give a node the newest states that another member of its site learned."""
        node = self.nodes[name]
        if node.up and not node.frozen:
            for id, mark in marks.items():
                node.border.on_state(id, mark, self.clock(node))
            self.follow_up(node)

    def on_timer(self, node: Node, due: int) -> None:
        """Run the node's timer, unless it was set anew meanwhile."""
        if self.alive(node) and not node.frozen and node.due == due:
            node.border.on_timer(self.clock(node))
            self.follow_up(node)

    def follow_up(self, node: Node) -> None:
        """Do what follows each step of a node.

        Share the newest states it learned with the other members of its site, set its timer, and send news to
        the nodes that asked if its routes or answers changed.
        """
        marks = node.border.take_states()
        if marks:
            known = self.marks[node.site]
            for id, mark in marks.items():
                known[id] = join_states(known[id], mark) if id in known else mark
            for sibling in self.sites[node.site].gateways:
                if sibling != node.name:
                    self.at(
                        self.now + self.random.randrange(*DELAY_US),
                        partial(self.receive_states, sibling, marks),
                    )
        due = max(self.now + 1_000, int(node.border.next_us() / node.rate) + 1)
        if node.due <= self.now or due < node.due:
            node.due = due
            self.at(due, partial(self.on_timer, node, due))
        state = (node.border.table_version, node.border.offers_version)
        if state == node.last_state:
            return
        node.last_state = state
        for asker, last in node.askers.items():
            at = max(self.now, last + NOTICE_INTERVAL_US)
            node.askers[asker] = at
            self.at(at, partial(self.send_notices, node, asker))

    def send_notices(self, node: Node, to: str) -> None:
        """Tell a node that asked that there is a newer state."""
        if self.alive(node) and not node.frozen:
            self.send(node, to, ChangeNotice(node.site))

    def corrupt_if_hostile(self, node: Node, tell: Advertisement) -> Advertisement:
        """Return the answer, corrupted if the node's site is hostile."""
        return self._hostile.corrupt(node.border, tell) if node.site == HOSTILE else tell

    # Requests

    def request(self) -> None:
        """Start one request at a random node."""
        random = self.random
        node = random.choice(list(self.nodes.values()))
        if not node.up or node.frozen or node.site == HOSTILE:
            return
        self._requests += 1
        self._forward(node, (), random.choice(CLASSES), self._requests)

    def _forward(self, node: Node, path: tuple[str, ...], cls: str, number: int) -> None:
        ways = node.border.best_routes(cls, self.clock(node), path)
        if not ways:
            return
        route = self.random.choice(ways)
        way = (*path, node.site)
        learned_directly = (route.id.owner, route.id.gateway) in node.border.gateways_heard
        self.sent.append(Sent(self.now, number, way, cls, route.id, route.sites[0], learned_directly))
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
        ways = border.best_routes(cls, now, path)
        found = node.passage.admit(path[-1], path, cls, border.partners, border.offers(now), bool(ways), now)
        if not isinstance(found, Admitted):
            self.refused += 1
            return
        if found.offer is not None:
            self.served.append(
                Served(self.now, number, path, cls, OfferId(node.site, node.name, found.offer))
            )
            node.passage.finished(found.offer)
            return
        self._forward(node, path, cls, number)

    # Changes and faults

    def change(self, owner: str = "") -> None:
        """Change an owner's file: add an offer, withdraw one or change its terms.

        Each of its gateways reloads the file within 50 ms.
        """
        random = self.random
        site = self.sites[owner or random.choice([name for name in self.sites if name != HOSTILE])]
        name = f"offer{random.randrange(3)}"
        if name in site.offers and random.random() < 0.5:
            del site.offers[name]
        else:
            site.offers[name] = self.draw_offer(name)
        item = site.offers.get(name)
        for gateway in site.gateways:
            self.at(self.now + random.randrange(50_000), partial(self._reload, gateway, name, item))

    def _reload(self, gateway: str, name: str, item: OfferConfig | None) -> None:
        node, site = self.nodes[gateway], self.sites[gateway.partition("/")[0]]
        if not node.up:
            return
        if node.frozen:
            self.at(self.now + 100_000, lambda: self._reload(gateway, name, item))
            return
        self.terms_history[OfferId(site.name, gateway, name)].append(
            (self.now, None if item is None else item.terms)
        )
        node.border.configure(site.partners.values(), site.offers.values(), self.clock(node))
        # It reloads the whole file, which may have changed again meanwhile.
        for other in {*site.offers, name}:
            now = site.offers.get(other)
            history = self.terms_history[OfferId(site.name, gateway, other)]
            last = history[-1][1] if history else None
            if last != (None if now is None else now.terms):
                history.append((self.now, None if now is None else now.terms))
        self.follow_up(node)

    def fault(self) -> None:
        """Inject one random fault, or change a file."""
        random = self.random
        duration_us = random.randrange(300_000, 6 * SECOND)
        kind = random.choice(
            ("cut", "cut", "island", "island", "kill", "freeze", "loss", "change", "change", "change")
        )
        if kind == "island":
            duration_us = random.randrange(3 * SECOND, 9 * SECOND)
        if kind != "change":
            self.fault_intervals.append((self.now, self.now + duration_us))
        if kind == "change":
            self.change()
        elif kind == "island":  # a site that changes its file while it is isolated
            name = random.choice([name for name in self.sites if name != HOSTILE])
            for other in self.sites:
                if other != name:
                    self.cut.add(frozenset((name, other)))
                    self.at(self.now + duration_us, partial(self._heal, frozenset((name, other))))
            self.at(self.now + random.randrange(SECOND // 2), partial(self.change, name))
        elif kind == "cut":
            pair = frozenset(random.sample(list(self.sites), 2))
            self.cut.add(pair)
            self.at(self.now + duration_us, lambda: self._heal(pair))
        elif kind == "loss":
            self.loss = random.uniform(0.05, 0.4)
            self.at(self.now + duration_us, self._end_loss)
        else:
            node = random.choice(list(self.nodes.values()))
            if not node.up or node.frozen:
                return
            if kind == "kill":
                node.up = False
                stored_epoch = node.epoch if random.random() < 0.7 else 0  # 0: the disk is lost
                self.at(self.now + duration_us, lambda: self._restart(node, stored_epoch))
            else:
                node.frozen = True
                self.at(self.now + duration_us, lambda: self._resume(node))

    def _heal(self, pair: frozenset[str]) -> None:
        self.cut.discard(pair)

    def _end_loss(self) -> None:
        self.loss = 0.0

    def _restart(self, node: Node, stored_epoch: int) -> None:
        site = self.sites[node.site]
        for name in {*site.offers, *(id.name for id in self.terms_history if id.gateway == node.name)}:
            item = site.offers.get(name)
            current = None if item is None else item.terms
            history = self.terms_history[OfferId(node.site, node.name, name)]
            if (history[-1][1] if history else None) != current:
                history.append((self.now, current))
        self.start(node.name, stored_epoch + 1)

    def _resume(self, node: Node) -> None:
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.receive(node, sender, message)

    def run_scenario(self, seconds: float = 12.0, requests: int = 400) -> None:
        """Run faults, then 4 s without new ones, with requests throughout; let all settle, then check."""
        random = self.random
        faults_end = int((seconds - 4) * SECOND)
        for _ in range(random.randrange(4, 12)):
            self.at(random.randrange(SECOND, faults_end), self.fault)
        for _ in range(requests):
            self.at(random.randrange(int(seconds * SECOND)), self.request)
        self.run(int(seconds * SECOND))
        self._repair_all()
        until = self.now + bound_us(len(self.sites))
        while self.now < until and any(self._oracle()):
            self.run(min(until, self.now + SECOND))
        self.settled_us = bound_us(len(self.sites)) - (until - self.now)
        self.check()

    def _repair_all(self) -> None:
        for pair in list(self.cut):
            self._heal(pair)
        self._end_loss()
        for node in list(self.nodes.values()):
            if node.frozen:
                self._resume(node)
            if not node.up:
                self._restart(node, node.epoch)

    # Checkers

    def check(self) -> None:
        """Run all checkers and add what they find to `breaches`."""
        self.breaches += [*self._sent_as_allowed(), *self._served_as_allowed(), *self._no_site_twice()]
        self.breaches += [*self._oracle(), *self._order_independent()]

    def _allowed(self, id: OfferId, path: tuple[str, ...], cls: str, since: int, until: int) -> bool:
        """Return whether the owner's file allowed this at any moment of the interval."""
        history = self.terms_history[id]
        for at, (began, found) in enumerate(history):
            ended = history[at + 1][0] if at + 1 < len(history) else until + 1
            if found is None or began > until or ended < since:
                continue
            if found.allows_use(path[0], cls) and all(found.allows_onward(site) for site in path[1:]):
                return True
        return False

    def _longest_us(self, id: OfferId, until: int) -> int:
        """Return the longest lifetime that this offer had by then, plus clock drift and network delay."""
        lifetimes_ms = [
            found.left_ms for began, found in self.terms_history[id] if found is not None and began <= until
        ]
        return int(max(lifetimes_ms, default=0) * 1_000 * 1.001) + 2 * DELAY_US[1]

    def _sent_as_allowed(self) -> Iterator[str]:
        for item in self.sent:
            id = item.id
            # What was sent just before a change is valid for its lifetime, and may have been passed on.
            since = item.t - self._longest_us(id, item.t)
            if self._must_know(item):
                since = max(since, item.t - MAX_WITHDRAWAL_US)
            if item.to == HOSTILE != id.owner and not item.learned_directly:
                # A node that since its start has learned of an offer only through a hostile site may get
                # it late: the sites share no clock. The owner's gateway refuses its requests.
                self.sent_via_hostile += 1
                continue
            # Only the sites so far are checked here; the next ones check those further along the path.
            if not self._allowed(id, item.path, item.cls, since, item.t):
                yield f"{item} goes by an offer whose owner's terms forbid it"

    def _must_know(self, item: Sent) -> bool:
        """Return whether news of a change certainly arrived within the last MAX_WITHDRAWAL_US.

        That is so if there was no fault since a lifetime before, and no hostile site may be in between.
        """
        direct = item.to == item.id.owner or HOSTILE not in self.sites
        began = item.t - MAX_WITHDRAWAL_US - max(LIFETIMES_MS) * 1_000
        return direct and not any(start <= item.t and end >= began for start, end in self.fault_intervals)

    def _served_as_allowed(self) -> Iterator[str]:
        for item in self.served:
            if not self._allowed(item.id, item.path, item.cls, item.t, item.t):
                yield f"{item} is served against the terms"

    def _no_site_twice(self) -> Iterator[str]:
        for sent in self.sent:
            if len(set(sent.path)) != len(sent.path) or sent.to in sent.path:
                yield f"{sent} visits a site twice"

    def _oracle(self) -> Iterator[str]:
        """Yield each route in which a border differs from the routes that follow from the files."""
        expected_tables = oracle(self.sites)
        # With a hostile site that keeps changing, a neighbour's route may be damped, and is still used.
        usable = (None, UnusedReason.NOT_LENT, *((UnusedReason.DAMPED,) if HOSTILE in self.sites else ()))
        # Where a node rightly routes through the hostile site, it passes on that path or none.
        excluded = {
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
            expected = expected_tables[node.site]
            # A neighbour may prefer what the hostile site rightly passes on, and then passes on that path.
            other = {(route.id, route.peer) for route in node.border.table if HOSTILE in route.sites}
            for key in sorted({*got, *expected} - other):
                if key[0] in excluded:
                    continue
                if got.get(key) != expected.get(key):
                    yield f"{node.name} has {got.get(key)} for {key}, and should have {expected.get(key)}"

    def _prefers_hostile(self, id: OfferId, peer: str) -> bool:
        """Return whether this gateway routes through the hostile site, so it passes on that path or none."""
        table = self.nodes[peer].border.table
        ways = [route for route in table if route.id == id and route.state in (None, UnusedReason.NOT_LENT)]
        return bool(ways) and HOSTILE in ways[0].sites

    def _order_independent(self) -> Iterator[str]:
        for node in self.nodes.values():
            held = [item for peer in node.border.peers.values() for item in peer.held.values()]
            first = build_table(held, node.border.partners, {})
            self.random.shuffle(held)
            if build_table(held, node.border.partners, {}) != first:
                yield f"{node.name}: the table depends on the order of its input"


RouteTable = dict[tuple[OfferId, str], tuple[tuple[str, ...], tuple[int, int, int]]]


def oracle(sites: dict[str, Site]) -> dict[str, RouteTable]:
    """Return each site's routes, computed from the files, round by round until nothing changes.

    Routes through a hostile site are left out, as if it sent nothing.
    """

    class Candidate(NamedTuple):
        rank: tuple[int, int, int]
        path: tuple[str, ...]
        id: OfferId
        peer: str
        terms: Terms
        cost: int  # as the sites it is passed on to count it

    table: dict[str, list[Candidate]] = {name: [] for name in sites}
    for _ in range(2 * len(sites) + 2):
        fresh: dict[str, list[Candidate]] = {}
        for name, site in sites.items():
            found = []
            for partner in site.partners.values():
                if not partner.neighbour or partner.name == HOSTILE:
                    continue
                other = sites[partner.name]
                recipient_relation = other.partners[name].relation
                exports: list[tuple[OfferId | None, tuple[str, ...], Terms, int, str]] = []
                for item in other.offers.values():
                    exports.append((None, (other.name,), item.terms, item.cost, item.name))
                best: dict[OfferId, Candidate] = {}
                for way in sorted(table[other.name]):
                    best.setdefault(way.id, way)
                for way in best.values():
                    learned_from = other.partners[way.path[0]].relation
                    if (
                        may_export(learned_from, recipient_relation)
                        and way.terms.allows_onward(other.name)
                        and name not in way.path
                    ):
                        exports.append((way.id, (other.name, *way.path), way.terms, way.cost, ""))
                for id, path, lent, cost, offer in exports:
                    if lent.empty or not (lent.to is None or name in lent.to or lent.allows_onward(name)):
                        continue
                    rank = (int(partner.relation), cost + partner.cost, len(path) - 1)
                    for gateway in other.gateways:
                        which = id or OfferId(other.name, gateway, offer)
                        found.append(Candidate(rank, path, which, gateway, lent, cost + partner.cost))
            fresh[name] = sorted(found)
        if fresh == table:
            break
        table = fresh
    return {name: {(way.id, way.peer): (way.path, way.rank) for way in ways} for name, ways in table.items()}

"""One agent's border with partner sites: what it offers them, what it believes of what they offer, and the
routes that follow. No I/O: words and times come in, words and a table come out.

Every agent that has a border asks each gateway of each partner for itself, with a number that the answer has
to name, and counts the lifetime of what the owner tells from the moment in which it asked: elapsed time, its
own, with a bound on drift. So no clock is compared with another's, and an answer that was held up on its way
holds for less and never for more. What comes by way of others is counted from when its owner's stamp was
first heard of, and from no later than the owner's own clock can have shown it, as the freshest of its words
told: an old word that is told again, or was kept back to be told late, is no new one.

The table is a function of what is held and of this site's own preferences; `settle` has no memory. What does
have one (which state of an offer is the newest, what changes too often) is kept apart and handed to it."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from sorrelfront.decisions.sites.offers import (
    CHAINS_MOST,
    COST_MOST,
    Chain,
    Count,
    Hop,
    Offer,
    OfferId,
    Place,
    Relation,
    Sign,
    Text,
    Verify,
    Why,
    circle,
    content,
    digest,
    fault,
    may_tell,
    passed_on,
    prove,
    signed,
)
from sorrelfront.decisions.sites.terms import LEFT_MOST_MS, SiteName, Terms

MS = 1_000  # microseconds
OUTLIVE_EVERY_US = 2_000_000
STAMP_PART = 4
# Of the time between two asks, that a lifetime has at least: over five hops an offer then comes in time.
LIFETIME_LEAST = 8
OWN_MOST = 256  # offers of one gateway
IDS_MOST = 4_096  # of one owner, whose newest state is remembered
CHECKED_MOST = 8_192  # chains whose signatures were found good
LANES_MOST = 256  # answers of `ways` that are kept until the table changes
PATH_MOST = 8  # sites that a request has come through
# Clocks of two machines differ by up to so much (parts in a million): twice what quartz is sold with.
DRIFT_PPM = 400
# A change that comes back this often in its half-life keeps an offer out (RFC 2439's figures, faster).
DAMP_AT, DAMP_UNTIL, DAMP_MOST = 3.0, 1.0, 8.0
DAMP_HALF_US = 8_000_000


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="a", gc=False):
    """What do you lend me? `number` comes back with the answer. `have`: a digest of what I was told last.
    `known`: the highest life of your gateway that I have heard of."""

    site: SiteName
    to: SiteName
    number: Count
    have: Annotated[bytes, Meta(max_length=16)]
    known: tuple[Count, Count]
    role: Relation  # what you are to me
    providers: Annotated[tuple[SiteName, ...], Meta(max_length=64)] = ()


class Tell(msgspec.Struct, frozen=True, array_like=True, tag="t", gc=False):
    """All that I lend you, or pass on to you. `chains` is None if it is what you have. `ages_ms`: of each,
    how long ago its owner's stamp was heard here at the latest."""

    site: SiteName
    to: SiteName
    gateway: Text
    place: Place
    number: Count
    epoch: Count
    birth: Count
    version: Count
    have: Annotated[bytes, Meta(max_length=16)]
    chains: Annotated[tuple[Chain, ...], Meta(max_length=CHAINS_MOST)] | None
    ages_ms: Annotated[tuple[Count, ...], Meta(max_length=CHAINS_MOST)]
    role: Relation  # what you are to me
    ticket: Annotated[bytes, Meta(max_length=64)] = b""
    providers: Annotated[tuple[SiteName, ...], Meta(max_length=64)] = ()


class News(msgspec.Struct, frozen=True, array_like=True, tag="n", gc=False):
    """Something has changed: ask again."""

    site: SiteName


@dataclass(frozen=True, slots=True)
class Partner:
    """What this site holds of another. `cost` is added to all that comes from it."""

    name: str
    relation: Relation
    cost: int = 1
    providers: frozenset[str] = frozenset()
    neighbour: bool = True  # it is asked and told; else its key is known, for what others pass on


@dataclass(frozen=True, slots=True)
class Lent:
    """An offer of this gateway's, as its file has it."""

    name: str
    terms: Terms
    cost: int = 1
    capacity: int = 100
    group: str = ""
    until_us: int | None = None  # when it ends, on the border's clock


@dataclass(frozen=True, slots=True)
class Settings:
    renew_us: int = 1_000_000  # between two asks of one gateway
    stale_us: int = 5_000_000  # for how long one that does not answer is shown, and used if there is no other


@dataclass(slots=True)
class Held:
    """One chain as one gateway has told it."""

    chain: Chain
    peer: str
    partner: str
    place: str
    expires_us: int
    since_us: int


@dataclass(slots=True)
class Peer:
    """One gateway of a partner's that this agent asks. `held` by offer."""

    partner: str
    number: int = 0
    asked_us: int = 0
    have: bytes = b""
    place: str = ""
    gateway: str = ""
    life: tuple[int, int] = (0, 0)
    ticket: bytes = b""
    silent_since: int | None = None
    agrees: bool = True  # on what the one is to the other
    held: dict[OfferId, Held] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)  # why -> chains of its last answer
    way_us: int = 0  # there and back, as measured by asking


class Newest(NamedTuple):
    """The newest state of an offer that is known of, and the life that it is of. `sum`: of its content; empty
    if it was withdrawn."""

    epoch: int
    version: int
    sum: bytes
    birth: int
    forked: bool = False


class Route(NamedTuple):
    """A way to an offer. `rank` says which is preferred: lower is better."""

    id: OfferId
    peer: str
    partner: str
    place: str
    sites: tuple[str, ...]
    terms: Terms
    rank: tuple[int, int, int]
    capacity: int
    group: str
    state: Why | None  # None: good


@dataclass(slots=True)
class _Flap:
    penalty: float
    at_us: int
    out: bool = False

    def now(self, now: int) -> float:
        return float(self.penalty * 0.5 ** ((now - self.at_us) / DAMP_HALF_US))


def settle(held: Iterable[Held], partners: Mapping[str, Partner], states: Mapping[tuple[str, OfferId], Why]
           ) -> tuple[Route, ...]:  # fmt: skip
    """The table: all routes, the preferred first. The same for the same arguments, whatever their order."""
    found = []
    for item in held:
        partner = partners.get(item.partner)
        if partner is None:
            continue
        chain = item.chain
        rank = (int(partner.relation), min(COST_MOST, chain.cost + partner.cost), len(chain.hops))
        found.append(
            Route(
                chain.offer.id, item.peer, item.partner, item.place, chain.sites, chain.terms, rank,
                chain.offer.capacity, chain.offer.group, states.get((item.peer, chain.offer.id)),
            )
        )  # fmt: skip
    return tuple(sorted(found, key=lambda route: (route.rank, route.sites, route.id, route.peer)))


class Border:
    """What one agent knows of partners, and tells them. `peers` are named by whoever carries words: one for
    each gateway of a partner's that is asked."""

    def __init__(
        self,
        site: str,
        gateway: str,
        place: str,
        sign: Sign,
        verify: Verify,
        life: tuple[int, int],
        now: int,
        settings: Settings = Settings(),
    ) -> None:
        """`life`: epoch and birth of this process; the epoch is above every earlier one of its name."""
        self.site, self.gateway, self.place = site, gateway, place
        self.settings = settings
        self.now = now
        self.life = life
        self.partners: dict[str, Partner] = {}
        self.peers: dict[str, Peer] = {}
        self.newest: OrderedDict[OfferId, Newest] = OrderedDict()
        self.counts = dict.fromkeys(
            ("asked", "told", "refused", "overdue", "withdrawn", "forked", "damped", "outlived", "unheard"), 0
        )
        self.table: tuple[Route, ...] = ()
        self.circle: list[str] = []  # of providers, as partners tell; empty for none
        self.changed = 0  # counts states of the table
        self.told = 0  # counts states of what this gateway tells
        self.marks: dict[OfferId, Newest] = {}  # heard first hand and not yet taken by the carrier of copies
        self._sign, self._verify = sign, verify
        self._began_us = now
        self._outlived_us = now - OUTLIVE_EVERY_US
        self._version = 0
        self._own: dict[str, tuple[Lent, Offer]] = {}
        # (owner, gateway) -> the state that it told itself last, and the offers that it told then.
        self._floors: OrderedDict[tuple[str, str], tuple[tuple[int, int], frozenset[str]]] = OrderedDict()
        # Two contents under one state -> until when the last word of each holds.
        self._forked: dict[OfferId, dict[bytes, int]] = {}
        self._ids: dict[str, int] = {}  # owner -> offers remembered
        self._heard: OrderedDict[tuple[OfferId, int, int, int], int] = OrderedDict()  # a stamp -> since when
        # (owner, gateway, epoch, birth) -> when that life began at the latest, and when that was found
        self._born: OrderedDict[tuple[str, str, int, int], tuple[int, int]] = OrderedDict()
        self.good: OrderedDict[bytes, None] = OrderedDict()  # digests of chains with good signatures
        self._flaps: dict[tuple[str, OfferId], _Flap] = {}
        self._passed: dict[tuple[bytes, str], Chain] = {}
        self._exports: dict[str, tuple[tuple[int, int], tuple[Chain, ...], bytes]] = {}
        self._takings = 0  # counts what changed in what is held, stamps among it
        self._lanes: OrderedDict[tuple[str, tuple[str, ...]], tuple[Route, ...]] = OrderedDict()
        self._lanes_of = -1
        self._provided: dict[str, frozenset[str]] = {}  # partner -> its providers, as it tells

    # What this site goes by

    def configure(self, partners: Iterable[Partner], lent: Iterable[Lent], now: int) -> None:
        """Go by another file. An offer that is not in it is withdrawn; one whose terms changed counts as
        changed from now on, for requests that come from now on."""
        self.now = max(now, self.now)
        self.partners = {item.name: item for item in partners}
        for name in [name for name, peer in self.peers.items() if peer.partner not in self.partners]:
            del self.peers[name]
        wanted = {item.name: item for item in lent}
        if len(wanted) > OWN_MOST:
            raise ValueError(f"{len(wanted)} offers; a gateway has {OWN_MOST} at most")
        before = {name: item for name, (item, _) in self._own.items()}
        if before != wanted:
            self._version += 1
            self._own = {
                name: self._own[name] if before.get(name) == item else (item, self._made(item, self._version))
                for name, item in wanted.items()
            }
            self.told += 1
        self._settle()

    def _made(self, item: Lent, version: int) -> Offer:
        epoch, birth = self.life
        stamp_ms = (self.now - self._began_us) // MS
        return signed(
            Offer(
                self.site, self.gateway, item.name, epoch, birth, version, stamp_ms, item.cost, item.capacity,
                item.group, self._terms(item),
            ),
            self._sign,
        )  # fmt: skip

    def _terms(self, item: Lent) -> Terms:
        """As they are told now: nobody who hears them now may believe them for longer than they hold."""
        if item.until_us is None:
            return item.terms
        left_ms = max(0, item.until_us - self.now) // MS
        return msgspec.structs.replace(item.terms, left_ms=min(item.terms.left_ms, left_ms))

    def _stamp(self, name: str, item: Lent, offer: Offer) -> None:
        """Have it say anew that it holds. One whose end is near says so in another state of it."""
        version = offer.version
        if self._terms(item) != offer.terms:
            self._version += 1
            self.told += 1
            version = self._version
        self._own[name] = (item, self._made(item, version))
        self._takings += 1

    def live(self, life: tuple[int, int], now: int) -> None:
        """Go on as another life: somebody remembers a later one of this gateway's name."""
        self.now = max(now, self.now)
        self.life = life
        self._outlived_us = now
        self._own = {name: (item, self._made(item, self._version)) for name, (item, _) in self._own.items()}
        self.told += 1

    def offers(self, now: int) -> dict[str, Lent]:
        """What is lent at this moment, by the file."""
        return {
            name: item
            for name, (item, _) in self._own.items()
            if item.until_us is None or now < item.until_us
        }

    @property
    def heard_itself(self) -> Container[tuple[str, str]]:
        """Gateways, as (owner, gateway), that have told their offers themselves in this life."""
        return self._floors.keys()

    # Asking

    def peer(self, name: str, partner: str, first: int = 0) -> None:
        """There is such a gateway. `first`: the number of the first ask, drawn by who can."""
        if partner in self.partners:
            self.peers.setdefault(name, Peer(partner, first))

    def drop(self, name: str) -> None:
        if self.peers.pop(name, None) is not None:
            self._settle()

    def ask(self, name: str, now: int) -> Ask:
        """To be sent at once: what is answered counts from now."""
        self.now = max(now, self.now)
        peer = self.peers[name]
        peer.number += 1
        peer.asked_us = now
        self.counts["asked"] += 1
        role = self.partners[peer.partner].relation
        return Ask(self.site, peer.partner, peer.number, peer.have, peer.life, role, self.providers)

    @property
    def providers(self) -> tuple[str, ...]:
        found = sorted(name for name, item in self.partners.items() if item.relation is Relation.PROVIDER)
        return tuple(found[:64])

    def silent(self, name: str, now: int) -> None:
        """This gateway did not answer, or its connection broke."""
        self.now = max(now, self.now)
        peer = self.peers.get(name)
        if peer is not None and peer.silent_since is None:
            peer.silent_since = now
            peer.have = b""
            self._settle()

    def on_tell(self, name: str, tell: Tell, now: int, proven: Sequence[Why | None] | None = None) -> bool:
        """What it answers. `proven`: of each chain, what `prove` has found; left out, it is found here. False
        if it is no answer to what was asked last."""
        self.now = max(now, self.now)
        peer = self.peers.get(name)
        if peer is None or (tell.site, tell.to) != (peer.partner, self.site) or tell.number != peer.number:
            return False
        asked = peer.asked_us
        if tell.chains is None and tell.have != peer.have:
            return False
        if tell.chains is not None and len(tell.chains) != len(tell.ages_ms):
            return False
        self.counts["told"] += 1
        peer.silent_since = None
        way = now - asked
        peer.way_us = way if not peer.way_us else min(way, peer.way_us + way // 8)
        peer.place, peer.gateway, peer.ticket = tell.place, tell.gateway, tell.ticket
        peer.life = max(peer.life, (tell.epoch, tell.birth)) if tell.epoch >= peer.life[0] else peer.life
        peer.agrees = tell.role == self.partners[peer.partner].relation.other_way
        self._on_providers(peer.partner, tell.providers)
        if tell.chains is None:
            for held in peer.held.values():
                if not held.chain.hops:
                    held.expires_us = self._until(held.chain.terms, asked)
        else:
            if proven is None:
                proven = prove(tell.chains, self._verify, self._known, self.good)
            self._take(name, peer, tell, asked, proven)
            peer.have = tell.have
        self._settle()
        return True

    def _take(self, name: str, peer: Peer, tell: Tell, asked: int, proven: Sequence[Why | None]) -> None:
        before, peer.held = peer.held, {}
        peer.refused = {}
        self._takings += 1
        for chain, age_ms, found in zip(tell.chains or (), tell.ages_ms, proven, strict=True):
            why = self._believe(peer, chain, found)
            if why is None:
                heard = self._first_heard(chain.offer, asked - age_ms * MS)
                since = asked if not chain.hops else heard
                why = self._note(chain.offer, self._until(chain.terms, since) <= self.now)
            if why in (Why.OLD, Why.WITHDRAWN, Why.FORKED) and not chain.hops:
                self._outlive(peer, chain.offer)
            if why is not None:
                peer.refused[why.name] = peer.refused.get(why.name, 0) + 1
                self.counts["refused"] += 1
                continue
            id = chain.offer.id
            known = before.get(id)
            peer.held[id] = Held(
                chain, name, peer.partner, tell.place, self._until(chain.terms, since),
                known.since_us if known is not None else self.now,
            )  # fmt: skip
            if known is not None and content(known.chain.offer) != content(chain.offer):
                self._flapped(name, id)
        for id in before:
            if id not in peer.held:
                self._flapped(name, id)
                self.counts["withdrawn"] += 1
        if tell.gateway:
            self._withdrawn(peer, tell)

    def _believe(self, peer: Peer, chain: Chain, found: Why | None) -> Why | None:
        """None, and its state is remembered; or why it is not believed."""
        if not peer.agrees:
            return Why.ROLE
        why = fault(chain, self.site, peer.partner, self.partners[peer.partner].relation) or found
        if why is not None:
            return why
        self.good[digest(chain)] = None
        while len(self.good) > CHECKED_MOST:
            self.good.popitem(last=False)
        return None

    def _outlive(self, peer: Peer, offer: Offer) -> None:
        """The gateway itself tells what is not believed, since another life of its name is remembered, or a
        state under which it can be told no more: have it rise above that. Risk: one that lost its disk would
        stay out for as long as anybody remembers."""
        known = self.newest.get(offer.id)
        if known is None or known.epoch < max(offer.epoch, peer.life[0]):
            return
        if known.birth != offer.birth:
            peer.life = (known.epoch, known.birth)
        elif known[:2] == offer.age:
            peer.life = (known.epoch, offer.birth ^ 1)  # another than it

    def _known(self, site: str) -> bool:
        return site in self.partners

    def _note(self, offer: Offer, over: bool) -> Why | None:
        """Which state of this offer is the newest. `over`: the time of this word is over."""
        mark = Newest(offer.epoch, offer.version, content(offer), offer.birth)
        floor = self._floors.get((offer.owner, offer.gateway))
        if floor is not None and offer.age <= floor[0] and offer.name not in floor[1]:
            # Risk: what was never heard of before would be new, though its gateway has just not told it.
            return Why.WITHDRAWN
        known = self.newest.get(offer.id)
        if known is not None and known[:2] == mark[:2] and known.sum and known.sum != mark.sum:
            if over:
                # Risk: an old life's word, told again for ever, would keep the next life's offer out.
                return Why.EXPIRED
            last = self._forked.setdefault(offer.id, {known.sum: self.now})
            last[mark.sum] = self.now + offer.terms.left_ms * MS
        elif offer.id in self._forked:
            self._forked[offer.id][mark.sum] = self.now + offer.terms.left_ms * MS
        why = self.note(offer.id, mark, first_hand=True)
        return Why.EXPIRED if why is None and over else why

    def on_mark(self, id: OfferId, mark: Newest, now: int) -> None:
        """What another member of this site was told of an offer."""
        self.now = max(now, self.now)
        if id.owner in self.partners:
            self.note(id, mark)
            self._settle()

    def note(self, id: OfferId, mark: Newest, first_hand: bool = False) -> Why | None:
        """A state of an offer that is known to be there, from its owner's own words or from a member's copy.
        A later one drops what is held of earlier ones; two contents under one state are a fork, of which
        neither is used, whichever came first."""
        known = self.newest.get(id)
        if known is None:
            if self._ids.get(id.owner, 0) >= IDS_MOST:
                return Why.TOO_MANY
            self._ids[id.owner] = self._ids.get(id.owner, 0) + 1
        merged = mark if known is None else later(known, mark)
        if merged != known:
            self.newest[id] = merged
            if first_hand:
                self.marks[id] = merged
            if merged.forked and not (known is not None and known.forked):
                self.counts["forked"] += 1
        if merged[:2] > mark[:2]:
            return Why.OLD
        if merged.forked:
            return Why.FORKED
        return Why.WITHDRAWN if not merged.sum and mark.sum else None

    def take_marks(self) -> dict[OfferId, Newest]:
        """What was heard first hand since the last time, for the other members of this site."""
        marks, self.marks = self.marks, {}
        return marks

    def _withdrawn(self, peer: Peer, tell: Tell) -> None:
        """What its own gateway does not tell any more is withdrawn, whoever else still tells it. Risk: what
        it tells and is not believed, in an answer that was long on its way, would count as withdrawn."""
        told = {chain.offer.id for chain in tell.chains or ()}
        names = frozenset(id.name for id in told if (id.owner, id.gateway) == (tell.site, tell.gateway))
        self._floors[tell.site, tell.gateway] = ((tell.epoch, tell.version), names)
        self._floors.move_to_end((tell.site, tell.gateway))
        while len(self._floors) > IDS_MOST:
            self._floors.popitem(last=False)
        for id, known in list(self.newest.items()):
            if (id.owner, id.gateway) != (tell.site, tell.gateway) or id in told or not known.sum:
                continue
            if known.epoch >= tell.epoch and known.birth != tell.birth:
                # Another life than the one that answers now. Which of two under one epoch is the later one
                # nobody can say: it is to rise above both, and neither's offer holds until then.
                peer.life = max(peer.life, (known.epoch, known.birth))
                if known.epoch == tell.epoch:
                    self.note(id, known._replace(sum=b""), first_hand=True)
            elif known[:2] <= (tell.epoch, tell.version):
                self.note(id, Newest(tell.epoch, tell.version, b"", tell.birth), first_hand=True)

    def _first_heard(self, offer: Offer, at: int) -> int:
        """Since when this stamp is known to have been there, at the earliest that anybody has shown. Risk: an
        old word that is told again would begin its time anew."""
        key = (offer.id, offer.epoch, offer.birth, offer.stamp_ms)
        known = self._heard.get(key)
        first = min(at, self._began_at_latest(offer) + offer.stamp_ms * MS)
        if known is not None:
            first = min(known, first)
        self._heard[key] = first
        if known is None:
            limit = self.now - (LEFT_MOST_MS + LEFT_MOST_MS // 10) * MS
            while len(self._heard) > 4 * IDS_MOST or next(iter(self._heard.values())) < limit:
                self._heard.popitem(last=False)
        return first

    def _began_at_latest(self, offer: Offer) -> int:
        """When the life that stamped this began at the latest, on this agent's clock, by the freshest of its
        stamps: each was made before it came. Risk: one on the way collects stamps and tells them one by one
        when their owner is long gone. Harm: counted from when it was asked, a long wait for the answer would
        make all later stamps look old; so it is counted from when it came. The bound gives way by the drift
        of two clocks."""
        key = (offer.owner, offer.gateway, offer.epoch, offer.birth)
        began = self.now - offer.stamp_ms * MS
        if key in self._born:
            latest, since = self._born[key]
            latest += (self.now - since) * 2 * DRIFT_PPM // 1_000_000
            if latest <= began:
                return latest
        self._born[key] = (began, self.now)
        self._born.move_to_end(key)
        while len(self._born) > IDS_MOST:
            self._born.popitem(last=False)
        return began

    def _until(self, terms: Terms, since: int) -> int:
        left_us = terms.left_ms * MS
        return since + left_us - left_us * DRIFT_PPM // 1_000_000

    def _on_providers(self, partner: str, told: tuple[str, ...]) -> None:
        self._provided[partner] = frozenset(told)
        self.circle = self.circle_of_providers()

    def circle_of_providers(self) -> list[str]:
        """Sites that provide for each other in a circle, by this site's own file and what partners tell."""
        known = {name: item.providers | self._provided.get(name, frozenset())
                 for name, item in self.partners.items()}  # fmt: skip
        for name, item in self.partners.items():
            if item.relation is Relation.CUSTOMER:
                known[name] |= {self.site}
        known[self.site] = frozenset(self.providers)
        return circle(known)

    # Damping

    def _flapped(self, peer: str, id: OfferId) -> None:
        flap = self._flaps.get((peer, id))
        if flap is None:
            if len(self._flaps) >= IDS_MOST:
                return
            flap = self._flaps[peer, id] = _Flap(0.0, self.now)
        flap.penalty = min(DAMP_MOST, flap.now(self.now) + 1.0)
        flap.at_us = self.now
        if flap.penalty >= DAMP_AT and not flap.out:
            flap.out = True
            self.counts["damped"] += 1

    # Time

    def next_us(self) -> int:
        """When `on_time` is due at the latest."""
        due = [held.expires_us for peer in self.peers.values() for held in peer.held.values()]
        due += [
            peer.silent_since + self.settings.stale_us
            for peer in self.peers.values()
            if peer.silent_since is not None and peer.held
        ]
        due += [self._stamp_us(offer) for _, offer in self._own.values()]
        return min([self.now + self.settings.renew_us, *due])

    def _stamp_us(self, offer: Offer) -> int:
        """When this offer has to say anew that it holds: after a quarter of its lifetime, so that the rest is
        there for the way to those who have it from others."""
        return self._began_us + (offer.stamp_ms + max(250, offer.terms.left_ms // STAMP_PART)) * MS

    def on_time(self, now: int) -> None:
        """Let go of what has had its time, and have own offers say that they still hold."""
        self.now = max(now, self.now)
        for peer in self.peers.values():
            gone = peer.silent_since is not None and peer.silent_since + self.settings.stale_us <= self.now
            for id, held in list(peer.held.items()):
                if held.expires_us <= self.now or gone:
                    del peer.held[id]
                    self.counts["overdue"] += held.expires_us <= self.now
        for key, flap in list(self._flaps.items()):
            level = flap.now(self.now)
            if flap.out and level < DAMP_UNTIL:
                flap.out = False
            if level < 0.1:
                del self._flaps[key]
        for name, (item, offer) in list(self._own.items()):
            if self._stamp_us(offer) <= self.now:
                self._stamp(name, item, offer)
        self._join()
        self._forget()
        self._settle()

    def _join(self) -> None:
        """A fork is over once the time of all words but one content's is: then one life is left of it. Risk:
        a gateway that lost its disk while all its neighbours started anew would stay out for sites that
        remember the life before."""
        for id, until in list(self._forked.items()):
            live = [sum for sum, at in until.items() if at > self.now]
            known = self.newest.get(id)
            if known is None or not known.forked or len(live) > 1:
                continue
            if live:
                self.newest[id] = known._replace(sum=live[0], forked=False)
            del self._forked[id]

    def _forget(self) -> None:
        """States of offers that nobody tells any more and that could not be believed any more."""
        if len(self.newest) <= IDS_MOST // 2:
            return
        live = {id for peer in self.peers.values() for id in peer.held}
        for id in [id for id in self.newest if id not in live][: len(self.newest) - IDS_MOST // 2]:
            if self.newest[id].sum:
                continue  # its owner has not withdrawn it
            del self.newest[id]
            self._ids[id.owner] -= 1

    # The table

    def _settle(self) -> None:
        states: dict[tuple[str, OfferId], Why] = {}
        held = []
        for name, peer in self.peers.items():
            for id, item in peer.held.items():
                why = self._state(name, peer, id, item)
                if why is not None:
                    states[name, id] = why
                held.append(item)
        table = settle(held, self.partners, states)
        if table != self.table:
            self.table = table
            self.changed += 1

    def _state(self, name: str, peer: Peer, id: OfferId, held: Held) -> Why | None:
        if held.expires_us <= self.now:
            return Why.EXPIRED
        newest = self.newest.get(id)
        offer = held.chain.offer
        if newest is not None and newest.forked and newest[:2] == offer.age:
            return Why.FORKED
        if newest is not None and newest[:2] > offer.age:
            return Why.OLD if newest.sum else Why.WITHDRAWN
        if newest is not None and newest[:2] == offer.age and not newest.sum:
            return Why.WITHDRAWN
        if not (held.chain.terms.to is None or self.site in held.chain.terms.to):
            return Why.NOT_LENT
        flap = self._flaps.get((name, id))
        if flap is not None and flap.out:
            return Why.DAMPED
        return Why.STALE if peer.silent_since is not None else None

    def ways(self, cls: str, now: int, path: tuple[str, ...] = ()) -> tuple[Route, ...]:
        """The routes by which a request may go on now: the best ones, equal among themselves. `path`: sites
        that it has come through, where it began first; empty for a request of this site's own. An offer of
        one gateway's counts once, by its best way."""
        if self._lanes_of != self.changed:
            self._lanes.clear()
            self._lanes_of = self.changed
        key = (cls, path)
        found = self._lanes.get(key)
        if found is None:
            found = self._lanes[key] = self._ways(cls, path)
            while len(self._lanes) > LANES_MOST:
                self._lanes.popitem(last=False)
        return tuple(route for route in found if self.holds(route, now)) if found else found

    def holds(self, route: Route, now: int) -> bool:
        """Whether it is still what it was, at this moment. Risk: between two looks at the time a route would
        be used past its lifetime."""
        peer = self.peers.get(route.peer)
        held = peer.held.get(route.id) if peer is not None else None
        if held is None or held.expires_us <= now or held.place != route.place:
            return False
        newest = self.newest.get(route.id)
        return held.chain.terms == route.terms and (newest is None or newest[:2] <= held.chain.offer.age)

    def _ways(self, cls: str, path: tuple[str, ...]) -> tuple[Route, ...]:
        usable = (None, Why.NOT_LENT) if path else (None,)  # what is not lent here may be lent to its origin
        good = [route for route in self.table if route.state in usable and self._permits(route, cls, path)]
        if not good:
            # Risk: one hostile site that comes and goes would have a neighbour's only good way damped further
            # on. What is damped is told to nobody, and used if there is nothing else.
            last = (Why.DAMPED, Why.STALE)
            good = [route for route in self.table if route.state in last and self._permits(route, cls, path)]
        seen: set[OfferId] = set()
        chosen = []
        for route in good:
            if route.rank == good[0].rank and route.id not in seen:
                seen.add(route.id)
                chosen.append(route)
        return tuple(chosen)

    def _permits(self, route: Route, cls: str, path: tuple[str, ...]) -> bool:
        origin = path[0] if path else self.site
        if not route.terms.lends(origin, cls) or set(route.sites) & set(path):
            return False
        if not path:
            return True
        # It is passed on: each site between the one where it began and the owner must be let to.
        relation = self.partners[route.partner].relation
        before = self.partners.get(path[-1])
        carriers = (*path[1:], self.site)
        allowed = before is not None and may_tell(relation, before.relation)
        return allowed and all(route.terms.carries(site) for site in carriers)

    # Telling

    def on_ask(self, partner: str, ask: Ask, ticket: bytes, now: int) -> Tell | None:
        """What this gateway lends to the one that asks, and passes on to it; None if it is no partner or
        meant another."""
        self.now = max(now, self.now)
        known = self.partners.get(partner)
        if known is None or not known.neighbour or (ask.site, ask.to) != (partner, self.site):
            self.counts["unheard"] += 1
            return None
        self._on_providers(partner, ask.providers)
        chains, have = self._export(partner) if ask.role == known.relation.other_way else ((), b"")
        same = have == ask.have
        epoch, birth = self.life
        ages = () if same else tuple(self._age_ms(chain) for chain in chains)
        return Tell(
            self.site, partner, self.gateway, self.place, ask.number, epoch, birth, self._version, have,
            None if same else chains, ages, known.relation, ticket, self.providers,
        )  # fmt: skip

    def outlived(self, ask: Ask) -> int | None:
        """The epoch that this life has to be above, if the one that asks knows of another life at or above
        it. Not twice within OUTLIVE_EVERY_US: of two processes by one name each rises above the other."""
        epoch, birth = ask.known
        over = epoch > self.life[0] or (epoch == self.life[0] and birth != self.life[1])
        return epoch if over and self.now >= self._outlived_us + OUTLIVE_EVERY_US else None

    def _export(self, partner: str) -> tuple[tuple[Chain, ...], bytes]:
        """What this partner is told, and a digest of it."""
        state = (self.changed + self.told + self._takings, len(self.circle))
        known = self._exports.get(partner)
        if known is not None and known[0] == state:
            return known[1:]
        chains = [
            Chain(offer) for _, (_, offer) in sorted(self._own.items()) if _concerns(offer.terms, partner)
        ]
        if not self.circle:  # else nothing is passed on: no order of events need settle
            chains += self._carried(partner, CHAINS_MOST - len(chains))
        found = tuple(chains)
        self._exports[partner] = (state, found, _sum(found))
        return self._exports[partner][1:]

    def _carried(self, partner: str, most: int) -> list[Chain]:
        """What others lend and this site passes on to the partner: of each offer its best way, if that may be
        passed on. Risk: told by a lesser way than requests would go, the partner would count on terms that
        do not hold."""
        told = self.partners[partner].relation
        best: dict[OfferId, Route] = {}
        for route in self.table:
            if route.state in (None, Why.NOT_LENT):
                best.setdefault(route.id, route)
        chains = []
        for id in sorted(best)[:most]:
            route = best[id]
            learnt = self.partners[route.partner].relation
            terms = route.terms
            if partner in route.sites or not may_tell(learnt, told):
                continue
            if terms.carries(self.site) and _concerns(terms, partner):
                held = self.peers[route.peer].held[id]
                chains.append(self._pass_on(held.chain, partner, learnt, told))
        return chains

    def _age_ms(self, chain: Chain) -> int:
        """How long ago its owner's stamp was first heard of here."""
        offer = chain.offer
        if offer.owner == self.site:
            return 0
        heard = self._heard.get((offer.id, offer.epoch, offer.birth, offer.stamp_ms), self._began_us)
        return max(0, self.now - heard + MS - 1) // MS

    def _pass_on(self, chain: Chain, partner: str, learnt: Relation, told: Relation) -> Chain:
        key = (digest(chain), partner)
        found = self._passed.get(key)
        if found is None or found.hops[-1].told != told or found.hops[-1].learnt != learnt:
            while len(self._passed) >= CHECKED_MOST:
                del self._passed[next(iter(self._passed))]
            cost = self.partners[chain.sites[0]].cost
            hop = Hop(self.site, partner, learnt, told, cost, chain.terms)
            found = self._passed[key] = passed_on(chain, hop, self._sign)
        return found


def later(one: Newest, other: Newest) -> Newest:
    """Which state of an offer holds: a join over (epoch, version), in which two contents under one state are
    a fork and stay one, and a withdrawal under one state outweighs what it withdraws."""
    if one[:2] != other[:2]:
        return max(one, other, key=lambda item: item[:2])
    birth = min(one.birth, other.birth)
    if not one.sum or not other.sum:
        return Newest(one.epoch, one.version, b"", birth)
    if one.sum == other.sum:
        return Newest(one.epoch, one.version, one.sum, birth, one.forked or other.forked)
    return Newest(one.epoch, one.version, min(one.sum, other.sum), birth, True)


def _concerns(terms: Terms, partner: str) -> bool:
    """Whether a site may hear of it: it may use it, or pass it on."""
    if terms.empty:
        return False
    return terms.to is None or partner in terms.to or terms.carries(partner)


def _sum(chains: tuple[Chain, ...]) -> bytes:
    found = hashlib.blake2b(digest_size=16)
    for chain in chains:
        found.update(digest(chain))
    return found.digest()

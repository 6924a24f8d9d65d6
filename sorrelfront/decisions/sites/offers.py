"""Signed offers of sites, the chain of those who passed one on, and what is wrong with a chain. No I/O.

An offer is its owner's word. Whoever passes it on signs a hop: to whom, under which terms, in which relation
to the one before and the one after, over the digest of all that stands before (as path attestations do, RFC
8205). So nobody can claim another's name, a way that was not taken or terms that were not given; what a
hostile site can do is to withhold, and to pass on what it has no right to, which its own signature shows."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Container, Iterable
from enum import Enum, IntEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from sorrelfront.decisions.sites.terms import NAME_MOST, RATE_MOST, SiteName, Terms, canonical, within

HOPS_MOST = 7  # sites that passed an offer on; with its owner and its reader a way has nine
COST_MOST = 1_000_000
COUNT_MOST = 2**63 - 1
CHAINS_MOST = 4_096  # in one Tell; one with more is refused whole
FORGED_MOST = 16  # of one answer, that are looked at
SIGNATURE = 64  # bytes (Ed25519, RFC 8032)

Count = Annotated[int, Meta(ge=0, le=COUNT_MOST)]
Text = Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]
Cost = Annotated[int, Meta(ge=1, le=COST_MOST)]  # at least one: a longer way is always dearer
Signature = Annotated[bytes, Meta(max_length=SIGNATURE)]
Place = Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]  # host:port

Sign = Callable[[bytes], bytes]
Verify = Callable[[str, bytes, bytes], bool]  # site, signature, what it signed


class Relation(IntEnum):
    """What a site is to another (Gao and Rexford 2001; roles of RFC 9234), in the order of preference: one's
    customers are lent to, and what they offer is passed on to everybody; peers and providers lend."""

    CUSTOMER = 0
    PEER = 1
    PROVIDER = 2

    @property
    def other_way(self) -> Relation:
        return Relation(2 - self)


class OfferId(NamedTuple):
    owner: str
    gateway: str
    name: str


class Offer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one gateway of a site lends. `epoch` and `birth` are those of the gateway's life, `version` grows
    with each change of what it offers, `stamp_ms` counts elapsed time in its life. `group`: who drops repeats
    of a key there; empty for nobody."""

    owner: SiteName
    gateway: Text
    name: Text
    epoch: Count
    birth: Count
    version: Count
    stamp_ms: Count
    cost: Cost
    capacity: Annotated[int, Meta(ge=1, le=RATE_MOST)]
    group: Annotated[str, Meta(max_length=NAME_MOST)]
    terms: Terms
    signature: Signature = b""

    @property
    def id(self) -> OfferId:
        return OfferId(self.owner, self.gateway, self.name)

    @property
    def age(self) -> tuple[int, int]:
        """Of two states of one offer the one that is higher in this is newer."""
        return self.epoch, self.version


class Hop(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One that passed an offer on to `next`. `learnt`: what the one before is to it; `told`: what `next` is
    to it."""

    site: SiteName
    next: SiteName
    learnt: Relation
    told: Relation
    cost: Cost
    terms: Terms
    signature: Signature = b""


class Chain(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An offer, by the way on which it came."""

    offer: Offer
    hops: Annotated[tuple[Hop, ...], Meta(max_length=HOPS_MOST)] = ()

    @property
    def terms(self) -> Terms:
        """What is left of the owner's."""
        return self.hops[-1].terms if self.hops else self.offer.terms

    @property
    def sites(self) -> tuple[str, ...]:
        """From the one that told it to the owner."""
        return (*(hop.site for hop in reversed(self.hops)), self.offer.owner)

    @property
    def cost(self) -> int:
        return self.offer.cost + sum(hop.cost for hop in self.hops)


class Why(Enum):
    """Why a chain is not used. Each has a remedy for operators in `REMEDY`."""

    UNKNOWN_SITE = "a site on its way has no key here"
    SIGNATURE = "a signature on its way is not that of the site it names"
    WIDENED = "its terms were widened on the way"
    NOT_PASSED_ON = "a site passed it on that had no right to"
    LOOP = "its way comes through a site twice"
    ADDRESSEE = "it was told by another than the last site on its way, or meant for another"
    VALLEY = "a site passed on what it had from a peer or a provider to one that is no customer"
    ROLE = "the partner sees the relation otherwise"
    SPELLING = "its terms are not in the one form that equal terms have"
    OLD = "its gateway has told a later state"
    FORKED = "there are two contents under one state of it"
    TOO_MANY = "its owner offers more than is remembered"
    EMPTY = "nothing is allowed by its terms"
    NOT_LENT = "it is not lent to this site"
    EXPIRED = "its time is over without a word from its owner"
    DAMPED = "it changes too often"
    STALE = "its gateway does not answer"
    WITHDRAWN = "its owner has withdrawn it"


REMEDY = {
    Why.UNKNOWN_SITE: "Name the site with its key in [partners], or have the partner not pass its offers on.",
    Why.SIGNATURE: "Compare the keys in [partners] with those that the site gives; if they agree, call it.",
    Why.WIDENED: "Call the partner that passed it on: it adds to what the owner allows.",
    Why.NOT_PASSED_ON: "Call the partner: the owner's terms do not let it pass this on.",
    Why.LOOP: "Nothing: each site leaves out what came through itself.",
    Why.ADDRESSEE: "Compare the site's names in both files; each partner is known by its own.",
    Why.VALLEY: "Compare the relations in both files, or ask the partner to pass on customers' offers only.",
    Why.ROLE: "Agree with the partner who lends to whom, and set `relation` in both files.",
    Why.SPELLING: "Ask the partner which program it runs; this one's own words are always in one form.",
    Why.OLD: "Nothing, if it passes; else the partner repeats old words and should be called.",
    Why.FORKED: "Ask the owner whether two processes run under one gateway's name or a disk was put back.",
    Why.TOO_MANY: "Ask the owner to offer fewer, larger things; what was known before is kept.",
    Why.EMPTY: "Nothing: the sites on its way have narrowed it until nothing was left.",
    Why.NOT_LENT: "Ask its owner to name this site in `to`, if it should be used.",
    Why.EXPIRED: "Look at the link to the partner and at its gateways' logs.",
    Why.DAMPED: "Ask the owner what goes up and down there; it is used again once it has been quiet.",
    Why.STALE: "Look at the link to the partner and at its gateway's process.",
    Why.WITHDRAWN: "Nothing: requests go elsewhere.",
}

_encode = msgspec.msgpack.Encoder().encode


def _offer_bytes(offer: Offer) -> bytes:
    return b"sorrelfront offer 1\x00" + _encode(msgspec.structs.replace(offer, signature=b""))


def _hop_bytes(before: bytes, hop: Hop) -> bytes:
    digest = hashlib.blake2b(before, digest_size=32).digest()
    return b"sorrelfront hop 1\x00" + digest + _encode(msgspec.structs.replace(hop, signature=b""))


def signed(offer: Offer, sign: Sign) -> Offer:
    return msgspec.structs.replace(offer, signature=sign(_offer_bytes(offer)))


def passed_on(chain: Chain, hop: Hop, sign: Sign) -> Chain:
    """The chain with a hop more, signed. Says nothing of whether that is allowed."""
    data = _hop_bytes(_encode(chain), hop)
    return Chain(chain.offer, (*chain.hops, msgspec.structs.replace(hop, signature=sign(data))))


def content(offer: Offer) -> bytes:
    """A digest of all that two words of one state must agree in."""
    plain = msgspec.structs.replace(offer, signature=b"", stamp_ms=0)
    return hashlib.blake2b(_encode(plain), digest_size=8).digest()


def digest(chain: Chain) -> bytes:
    return hashlib.blake2b(_encode(chain), digest_size=16).digest()


def prove(
    chains: Iterable[Chain], verify: Verify, known: Callable[[str], bool], good: Container[bytes]
) -> list[Why | None]:
    """`authentic` of each. This is what costs, and may be done in a thread: it changes nothing. `good`:
    digests of chains that were found authentic before. After FORGED_MOST bad signatures the rest is held to
    be as bad without a look. Risk: a site that sends thousands of forged chains has them all checked."""
    found: list[Why | None] = []
    forged = 0
    for chain in chains:
        why = None
        if digest(chain) not in good:
            why = Why.SIGNATURE if forged >= FORGED_MOST else authentic(chain, verify, known)
            forged += why is Why.SIGNATURE
        found.append(why)
    return found


def authentic(chain: Chain, verify: Verify, known: Callable[[str], bool]) -> Why | None:
    """What is wrong with its signatures. This costs; `fault` says the rest."""
    if not all(known(site) for site in chain.sites):
        return Why.UNKNOWN_SITE
    offer = chain.offer
    if not verify(offer.owner, offer.signature, _offer_bytes(offer)):
        return Why.SIGNATURE
    before = Chain(offer)
    for hop in chain.hops:
        if not verify(hop.site, hop.signature, _hop_bytes(_encode(before), hop)):
            return Why.SIGNATURE
        before = Chain(offer, (*before.hops, hop))
    return None


def fault(chain: Chain, me: str, teller: str, relation: Relation) -> Why | None:
    """What the chain's own words show to be against the rules, whoever says so. `relation`: what the teller
    is to this site."""
    sites = chain.sites
    if sites[0] != teller or (chain.hops and chain.hops[-1].next != me):
        return Why.ADDRESSEE
    if me in sites or len(set(sites)) != len(sites):
        return Why.LOOP
    allowed, learnt_by = chain.offer.terms, ""
    if not canonical(allowed):
        return Why.SPELLING
    for hop in chain.hops:
        if learnt_by not in ("", hop.site):
            return Why.ADDRESSEE
        if not canonical(hop.terms):
            return Why.SPELLING
        if not allowed.carries(hop.site):
            return Why.NOT_PASSED_ON
        if not within(hop.terms, allowed):
            return Why.WIDENED
        if not may_tell(hop.learnt, hop.told):
            return Why.VALLEY
        allowed, learnt_by = hop.terms, hop.next
    if chain.hops and chain.hops[-1].told != relation.other_way:
        return Why.ROLE
    return Why.EMPTY if allowed.empty else None


def may_tell(learnt: Relation, told: Relation) -> bool:
    """Gao and Rexford's rule for passing on: what customers offer goes to everybody, all else to customers.
    Under it, with customers preferred and no circle of providers, every order of events settles."""
    return learnt is Relation.CUSTOMER or told is Relation.CUSTOMER


def circle(providers: dict[str, frozenset[str]]) -> list[str]:
    """Sites of which each has the next one for a provider, and the last one the first; empty if there is no
    such circle. The first found in the order of names."""
    done: set[str] = set()
    for start in sorted(providers):
        way: list[str] = []
        stack = [(start, iter(sorted(providers.get(start, ()))))]
        if start in done:
            continue
        way.append(start)
        while stack:
            site, rest = stack[-1]
            following = next(rest, None)
            if following is None:
                stack.pop()
                way.pop()
                done.add(site)
            elif following in way:
                return way[way.index(following) :]
            elif following not in done:
                way.append(following)
                stack.append((following, iter(sorted(providers.get(following, ())))))
    return []

"""Signed offers of sites, the chains of hops that re-advertise them, and the validation of chains. No I/O.

An offer is signed by its owner. Each site that re-advertises it signs a hop: the next site, the terms and
its relations to the previous and the next site, over a digest of everything before (as BGPsec path
attestations do, RFC 8205). So no site can forge another's name, a path that was not taken or terms that were
not given. A hostile site can only withhold offers, or re-advertise what it must not, which its own signature
proves.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Container, Iterable
from enum import Enum, IntEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from sorrelfront.decisions.sites.terms import MAX_NAME_LENGTH, MAX_RATE, SiteName, Terms, canonical, within

MAX_HOPS = 7  # sites that re-advertised an offer; a path has nine with its owner and its reader
MAX_COST = 1_000_000
MAX_COUNT = 2**63 - 1
MAX_CHAINS = 4_096  # chains in one advertisement; one with more is refused whole
MAX_FORGED = 16  # bad signatures in one advertisement before the rest is rejected unverified
SIGNATURE_BYTES = 64  # bytes (Ed25519, RFC 8032)

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Text = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Cost = Annotated[int, Meta(ge=1, le=MAX_COST)]  # at least one: a longer path always costs more
Signature = Annotated[bytes, Meta(max_length=SIGNATURE_BYTES)]
HostPort = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]  # host:port

Sign = Callable[[bytes], bytes]
Verify = Callable[[str, bytes, bytes], bool]  # site, signature, signed data


class Relation(IntEnum):
    """What a site is to another (Gao and Rexford 2001; roles of RFC 9234), in order of preference.

    A site lends to its customers and re-advertises their offers to everybody; peers and providers lend to it.
    """

    CUSTOMER = 0
    PEER = 1
    PROVIDER = 2

    @property
    def inverse(self) -> Relation:
        """The same relation as the other site sees it."""
        return Relation(2 - self)


class OfferId(NamedTuple):
    """Identifies an offer: its owner, the gateway that makes it, and its name there."""

    owner: str
    gateway: str
    name: str


class Offer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one gateway of a site lends.

    `epoch` and `boot_id` (its boot id) identify the gateway's incarnation, `version` grows with each change
    of its offers, and `stamp_ms` is the time since the incarnation started. `group` is the scope in which
    repeated idempotency keys are dropped there; empty for none.
    """

    owner: SiteName
    gateway: Text
    name: Text
    epoch: Count
    boot_id: Count
    version: Count
    stamp_ms: Count
    cost: Cost
    capacity: Annotated[int, Meta(ge=1, le=MAX_RATE)]
    group: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
    terms: Terms
    signature: Signature = b""

    @property
    def id(self) -> OfferId:
        """The id under which all versions of this offer are known."""
        return OfferId(self.owner, self.gateway, self.name)

    @property
    def state(self) -> tuple[int, int]:
        """Epoch and version: of two states of one offer, the one with the higher pair is newer."""
        return self.epoch, self.version


class Hop(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A site that re-advertised an offer to `next`.

    `import_relation` is what the previous site is to it, `export_relation` what `next` is to it.
    """

    site: SiteName
    next: SiteName
    import_relation: Relation
    export_relation: Relation
    cost: Cost
    terms: Terms
    signature: Signature = b""


class Chain(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An offer with the hops by which it was received, in order from the owner."""

    offer: Offer
    hops: Annotated[tuple[Hop, ...], Meta(max_length=MAX_HOPS)] = ()

    @property
    def terms(self) -> Terms:
        """The terms after the last hop: the owner's, as narrowed on the path."""
        return self.hops[-1].terms if self.hops else self.offer.terms

    @property
    def sites(self) -> tuple[str, ...]:
        """The path from the site that advertised it to the owner."""
        return (*(hop.site for hop in reversed(self.hops)), self.offer.owner)

    @property
    def cost(self) -> int:
        """The offer's cost plus that of each hop."""
        return self.offer.cost + sum(hop.cost for hop in self.hops)


class UnusedReason(Enum):
    """Why a chain is not used. `REMEDY` has what an operator can do about each."""

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
    UnusedReason.UNKNOWN_SITE: (
        "Name the site with its key in [partners], or have the partner not pass its offers on."
    ),
    UnusedReason.SIGNATURE: (
        "Compare the keys in [partners] with those that the site gives; if they agree, call it."
    ),
    UnusedReason.WIDENED: "Call the partner that passed it on: it adds to what the owner allows.",
    UnusedReason.NOT_PASSED_ON: "Call the partner: the owner's terms do not let it pass this on.",
    UnusedReason.LOOP: "Nothing: each site leaves out what came through itself.",
    UnusedReason.ADDRESSEE: "Compare the site's names in both files; each partner is known by its own.",
    UnusedReason.VALLEY: (
        "Compare the relations in both files, or ask the partner to pass on customers' offers only."
    ),
    UnusedReason.ROLE: "Agree with the partner who lends to whom, and set `relation` in both files.",
    UnusedReason.SPELLING: (
        "Ask the partner which program it runs; this one's own words are always in one form."
    ),
    UnusedReason.OLD: "Nothing, if it passes; else the partner repeats old words and should be called.",
    UnusedReason.FORKED: (
        "Ask the owner whether two processes run under one gateway's name or a disk was put back."
    ),
    UnusedReason.TOO_MANY: "Ask the owner to offer fewer, larger things; what was known before is kept.",
    UnusedReason.EMPTY: "Nothing: the sites on its way have narrowed it until nothing was left.",
    UnusedReason.NOT_LENT: "Ask its owner to name this site in `to`, if it should be used.",
    UnusedReason.EXPIRED: "Look at the link to the partner and at its gateways' logs.",
    UnusedReason.DAMPED: (
        "Ask the owner what goes up and down there; it is used again once it has been quiet."
    ),
    UnusedReason.STALE: "Look at the link to the partner and at its gateway's process.",
    UnusedReason.WITHDRAWN: "Nothing: requests go elsewhere.",
}

_encode = msgspec.msgpack.Encoder().encode


def _offer_bytes(offer: Offer) -> bytes:
    return b"sorrelfront offer 1\x00" + _encode(msgspec.structs.replace(offer, signature=b""))


def _hop_bytes(before: bytes, hop: Hop) -> bytes:
    digest = hashlib.blake2b(before, digest_size=32).digest()
    return b"sorrelfront hop 1\x00" + digest + _encode(msgspec.structs.replace(hop, signature=b""))


def sign_offer(offer: Offer, sign: Sign) -> Offer:
    """Return the offer with its owner's signature."""
    return msgspec.structs.replace(offer, signature=sign(_offer_bytes(offer)))


def add_hop(chain: Chain, hop: Hop, sign: Sign) -> Chain:
    """Return the chain with one more signed hop; whether that is allowed is not checked."""
    data = _hop_bytes(_encode(chain), hop)
    return Chain(chain.offer, (*chain.hops, msgspec.structs.replace(hop, signature=sign(data))))


def content_digest(offer: Offer) -> bytes:
    """Digest everything that two copies of one state must agree in: all but the stamp and the signature."""
    plain = msgspec.structs.replace(offer, signature=b"", stamp_ms=0)
    return hashlib.blake2b(_encode(plain), digest_size=8).digest()


def chain_digest(chain: Chain) -> bytes:
    """Digest a chain with all its signatures."""
    return hashlib.blake2b(_encode(chain), digest_size=16).digest()


def verify_chains(
    chains: Iterable[Chain], verify: Verify, known: Callable[[str], bool], good: Container[bytes]
) -> list[UnusedReason | None]:
    """Return the `signature_fault` of each chain.

    This is the expensive part of validation. It changes no state, so it may run in a thread. `good` has the
    digests of chains verified before. After MAX_FORGED bad signatures the remaining chains are rejected
    unverified, so that a site cannot use up CPU time by sending thousands of forged chains.
    """
    found: list[UnusedReason | None] = []
    forged = 0
    for chain in chains:
        why = None
        if chain_digest(chain) not in good:
            why = UnusedReason.SIGNATURE if forged >= MAX_FORGED else signature_fault(chain, verify, known)
            forged += why is UnusedReason.SIGNATURE
        found.append(why)
    return found


def signature_fault(chain: Chain, verify: Verify, known: Callable[[str], bool]) -> UnusedReason | None:
    """Return what is wrong with the chain's signatures; expensive. `fault` checks everything else."""
    if not all(known(site) for site in chain.sites):
        return UnusedReason.UNKNOWN_SITE
    offer = chain.offer
    if not verify(offer.owner, offer.signature, _offer_bytes(offer)):
        return UnusedReason.SIGNATURE
    before = Chain(offer)
    for hop in chain.hops:
        if not verify(hop.site, hop.signature, _hop_bytes(_encode(before), hop)):
            return UnusedReason.SIGNATURE
        before = Chain(offer, (*before.hops, hop))
    return None


def fault(chain: Chain, me: str, advertiser: str, relation: Relation) -> UnusedReason | None:
    """Return which rule the chain's contents break, apart from its signatures.

    Args:
        chain: The chain to check.
        me: This site.
        advertiser: The site that advertised the chain.
        relation: What the advertising site is to this one.
    """
    sites = chain.sites
    if sites[0] != advertiser or (chain.hops and chain.hops[-1].next != me):
        return UnusedReason.ADDRESSEE
    if me in sites or len(set(sites)) != len(sites):
        return UnusedReason.LOOP
    allowed, expected = chain.offer.terms, ""
    if not canonical(allowed):
        return UnusedReason.SPELLING
    for hop in chain.hops:
        if expected not in ("", hop.site):
            return UnusedReason.ADDRESSEE
        if not canonical(hop.terms):
            return UnusedReason.SPELLING
        if not allowed.allows_onward(hop.site):
            return UnusedReason.NOT_PASSED_ON
        if not within(hop.terms, allowed):
            return UnusedReason.WIDENED
        if not may_export(hop.import_relation, hop.export_relation):
            return UnusedReason.VALLEY
        allowed, expected = hop.terms, hop.next
    if chain.hops and chain.hops[-1].export_relation != relation.inverse:
        return UnusedReason.ROLE
    return UnusedReason.EMPTY if allowed.empty else None


def may_export(import_relation: Relation, export_relation: Relation) -> bool:
    """Whether an offer learned from one relation may be advertised to another (Gao-Rexford export rule).

    Customers' offers go to everybody, all others to customers only. With customers preferred and no cycle of
    providers, routing then converges for every order of events.
    """
    return import_relation is Relation.CUSTOMER or export_relation is Relation.CUSTOMER


def provider_cycle(providers: dict[str, frozenset[str]]) -> list[str]:
    """Return a cycle of sites in which each one's provider is the next; empty if there is none.

    Of several cycles the first in the order of names is returned.
    """
    done: set[str] = set()
    for start in sorted(providers):
        path: list[str] = []
        stack = [(start, iter(sorted(providers.get(start, ()))))]
        if start in done:
            continue
        path.append(start)
        while stack:
            site, remaining = stack[-1]
            following = next(remaining, None)
            if following is None:
                stack.pop()
                path.pop()
                done.add(site)
            elif following in path:
                return path[path.index(following) :]
            elif following not in done:
                path.append(following)
                stack.append((following, iter(sorted(providers.get(following, ())))))
    return []

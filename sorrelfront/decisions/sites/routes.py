"""One agent's border with partner sites: its own offers, the offers it accepts, and its routing table.

No I/O: messages and times come in, messages and a table come out.

Each border agent queries every gateway of every partner, with a number that the advertisement has to repeat.
The lifetime of an offer that its owner advertises starts when the query was sent, in this agent's elapsed
time and with a margin for clock drift. So no two clocks are compared, and a delayed advertisement is valid
for less time, never for more. The lifetime of a re-advertised offer starts when its owner's stamp was first
seen, or at the latest time at which the owner's clock can have shown that stamp, judged by its freshest
stamp, if that is earlier. So a message that is replayed or was held back gains no new lifetime.

The table depends only on the chains held and on this site's own preferences; `build_table` has no state.
Stateful inputs (which state of an offer is the newest, which routes flap) are kept separately and passed to
it.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from sorrelfront.decisions.sites.offers import (
    MAX_CHAINS,
    MAX_COST,
    Chain,
    Count,
    Hop,
    HostPort,
    Offer,
    OfferId,
    Relation,
    Sign,
    Text,
    UnusedReason,
    Verify,
    add_hop,
    chain_digest,
    content_digest,
    fault,
    may_export,
    provider_cycle,
    sign_offer,
    verify_chains,
)
from sorrelfront.decisions.sites.terms import MAX_LIFETIME_MS, SiteName, Terms

MS = 1_000  # microseconds
EPOCH_RAISE_INTERVAL_US = 2_000_000
RESTAMP_DIVISOR = 4
# Minimum lifetime in query intervals: enough for an offer to pass five hops before it expires.
MIN_LIFETIME_INTERVALS = 8
MAX_OWN_OFFERS = 256  # offers by one gateway
MAX_OFFER_IDS = 4_096  # offers of one owner whose newest state is remembered
MAX_VERIFIED_CHAINS = 8_192  # chains whose signatures have been verified
MAX_CACHED_ROUTES = 256  # results of `best_routes` that are cached until the table changes
MAX_PATH_SITES = 8  # sites that a request has passed
# Maximum difference in rate between two machines' clocks, in parts per million: twice that sold with quartz.
DRIFT_PPM = 400
# Route flap damping: penalties of one per flap, with the figures of RFC 2439 but a shorter half-life.
DAMP_SUPPRESS_AT, DAMP_REUSE_BELOW, DAMP_MAX_PENALTY = 3.0, 1.0, 8.0
DAMP_HALF_LIFE_US = 8_000_000


class OfferQuery(msgspec.Struct, frozen=True, array_like=True, tag="a", gc=False):
    """Query for the offers that a gateway makes and re-advertises to the sender.

    `number` is repeated in the answer. `digest` is that of the last advertisement received,
    `known_incarnation` the highest incarnation of the receiving gateway that the sender has seen.
    """

    site: SiteName
    to: SiteName
    number: Count
    digest: Annotated[bytes, Meta(max_length=16)]
    known_incarnation: tuple[Count, Count]
    role: Relation  # what you are to me
    providers: Annotated[tuple[SiteName, ...], Meta(max_length=64)] = ()


class Advertisement(msgspec.Struct, frozen=True, array_like=True, tag="t", gc=False):
    """Advertisement of all offers that a gateway makes or re-advertises to one partner.

    `chains` is None if they are the same as the receiver has by its digest. `ages_ms` has for each chain how
    long ago its owner's stamp was first seen by the sender.
    """

    site: SiteName
    to: SiteName
    gateway: Text
    address: HostPort
    number: Count
    epoch: Count
    boot_id: Count
    version: Count
    digest: Annotated[bytes, Meta(max_length=16)]
    chains: Annotated[tuple[Chain, ...], Meta(max_length=MAX_CHAINS)] | None
    ages_ms: Annotated[tuple[Count, ...], Meta(max_length=MAX_CHAINS)]
    role: Relation  # what you are to me
    ticket: Annotated[bytes, Meta(max_length=64)] = b""
    providers: Annotated[tuple[SiteName, ...], Meta(max_length=64)] = ()


class ChangeNotice(msgspec.Struct, frozen=True, array_like=True, tag="n", gc=False):
    """Notice that the sender's advertisement has changed and should be queried again."""

    site: SiteName


@dataclass(frozen=True, slots=True)
class Partner:
    """This site's configuration of another site. `cost` is added to every route from it."""

    name: str
    relation: Relation
    cost: int = 1
    providers: frozenset[str] = frozenset()
    neighbour: bool = True  # queries are exchanged with it; otherwise only its key is known, to verify hops


@dataclass(frozen=True, slots=True)
class OfferConfig:
    """An offer of this gateway as configured."""

    name: str
    terms: Terms
    cost: int = 1
    capacity: int = 100
    group: str = ""
    until_us: int | None = None  # end time on the border's clock


@dataclass(frozen=True, slots=True)
class Settings:
    """Timing of a border's queries."""

    renew_us: int = 1_000_000  # interval between queries to one gateway
    stale_us: int = 5_000_000  # how long routes of a gateway that does not answer are kept as a last resort


@dataclass(slots=True)
class HeldChain:
    """One chain as advertised by one gateway."""

    chain: Chain
    peer: str
    partner: str
    address: str
    expires_us: int
    since_us: int


@dataclass(slots=True)
class Peer:
    """The state of one partner gateway that this agent queries. `held` has its chains by offer."""

    partner: str
    number: int = 0
    asked_us: int = 0
    digest: bytes = b""
    address: str = ""
    gateway: str = ""
    incarnation: tuple[int, int] = (0, 0)
    ticket: bytes = b""
    silent_since: int | None = None
    agrees: bool = True  # whether both sites configure the same relation
    held: dict[OfferId, HeldChain] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)  # reason -> chains refused in its last answer
    round_trip_us: int = 0  # round-trip time, as measured by queries


class OfferState(NamedTuple):
    """The newest known state of an offer and the boot id of the incarnation that made it.

    `content` is the digest of its content, empty if the offer was withdrawn. `forked` says that two different
    contents were seen under this state.
    """

    epoch: int
    version: int
    content: bytes
    boot_id: int
    forked: bool = False


class Route(NamedTuple):
    """A path to an offer. Routes with a lower `rank` are preferred."""

    id: OfferId
    peer: str
    partner: str
    address: str
    sites: tuple[str, ...]
    terms: Terms
    rank: tuple[int, int, int]
    capacity: int
    group: str
    state: UnusedReason | None  # why it is not usable; None if it is


@dataclass(slots=True)
class _Flap:
    penalty: float
    at_us: int
    suppressed: bool = False

    def penalty_at(self, now: int) -> float:
        return float(self.penalty * 0.5 ** ((now - self.at_us) / DAMP_HALF_LIFE_US))


def build_table(
    held: Iterable[HeldChain],
    partners: Mapping[str, Partner],
    states: Mapping[tuple[str, OfferId], UnusedReason],
) -> tuple[Route, ...]:
    """Build the table: all routes, preferred ones first. The order of the arguments has no effect."""
    found = []
    for item in held:
        partner = partners.get(item.partner)
        if partner is None:
            continue
        chain = item.chain
        rank = (int(partner.relation), min(MAX_COST, chain.cost + partner.cost), len(chain.hops))
        found.append(
            Route(
                chain.offer.id, item.peer, item.partner, item.address, chain.sites, chain.terms, rank,
                chain.offer.capacity, chain.offer.group, states.get((item.peer, chain.offer.id)),
            )
        )  # fmt: skip
    return tuple(sorted(found, key=lambda route: (route.rank, route.sites, route.id, route.peer)))


class Border:
    """What one agent knows of its partners' offers, and what it advertises to them.

    `peers` has one entry for each partner gateway that is queried, under a name that the transport chooses.
    """

    def __init__(
        self,
        site: str,
        gateway: str,
        address: str,
        sign: Sign,
        verify: Verify,
        incarnation: tuple[int, int],
        now: int,
        settings: Settings = Settings(),
    ) -> None:
        """Create the border of one gateway.

        `incarnation` is that of this process: its epoch, which is above every earlier one of this
        gateway, and its boot id.
        """
        self.site, self.gateway, self.address = site, gateway, address
        self.settings = settings
        self.now = now
        self.incarnation = incarnation
        self.partners: dict[str, Partner] = {}
        self.peers: dict[str, Peer] = {}
        self.newest: OrderedDict[OfferId, OfferState] = OrderedDict()
        self.counts = dict.fromkeys(
            ("asked", "told", "refused", "overdue", "withdrawn", "forked", "damped", "outlived", "unheard"), 0
        )
        self.table: tuple[Route, ...] = ()
        self.provider_cycle: list[str] = []  # a cycle of providers, as reported by partners; empty for none
        self.table_version = 0  # version of the table
        self.offers_version = 0  # version of this gateway's own offers
        # States received from partners and not yet replicated to the other members of this site.
        self.pending_states: dict[OfferId, OfferState] = {}
        self._sign, self._verify = sign, verify
        self._began_us = now
        self._epoch_raised_us = now - EPOCH_RAISE_INTERVAL_US
        self._version = 0
        self._own: dict[str, tuple[OfferConfig, Offer]] = {}
        # (owner, gateway) -> the (epoch, version) that it last advertised itself, and its offers then.
        self._self_advertised: OrderedDict[tuple[str, str], tuple[tuple[int, int], frozenset[str]]] = (
            OrderedDict()
        )
        # Forked offers: content digest -> when the last copy of that content expires.
        self._forked: dict[OfferId, dict[bytes, int]] = {}
        self._id_counts: dict[str, int] = {}  # owner -> number of offers remembered
        self._first_seen: OrderedDict[tuple[OfferId, int, int, int], int] = (
            OrderedDict()
        )  # stamp -> first seen
        # (owner, gateway, epoch, birth) -> latest possible start of that incarnation, and when computed
        self._started: OrderedDict[tuple[str, str, int, int], tuple[int, int]] = OrderedDict()
        self.verified: OrderedDict[bytes, None] = OrderedDict()  # digests of chains with valid signatures
        self._flaps: dict[tuple[str, OfferId], _Flap] = {}
        self._reexports: dict[tuple[bytes, str], Chain] = {}
        self._exports: dict[str, tuple[tuple[int, int], tuple[Chain, ...], bytes]] = {}
        self._held_version = 0  # version of the chains held, with their stamps
        self._route_cache: OrderedDict[tuple[str, tuple[str, ...]], tuple[Route, ...]] = OrderedDict()
        self._route_cache_version = -1
        self._reported_providers: dict[str, frozenset[str]] = {}  # partner -> providers it reports

    # Configuration

    def configure(self, partners: Iterable[Partner], lent: Iterable[OfferConfig], now: int) -> None:
        """Apply a new configuration.

        Offers that are not in it are withdrawn. Changed terms apply to requests that arrive from now on.

        Raises:
            ValueError: If there are more than MAX_OWN_OFFERS offers.
        """
        self.now = max(now, self.now)
        self.partners = {item.name: item for item in partners}
        for name in [name for name, peer in self.peers.items() if peer.partner not in self.partners]:
            del self.peers[name]
        wanted = {item.name: item for item in lent}
        if len(wanted) > MAX_OWN_OFFERS:
            raise ValueError(f"{len(wanted)} offers; a gateway has {MAX_OWN_OFFERS} at most")
        before = {name: item for name, (item, _) in self._own.items()}
        if before != wanted:
            self._version += 1
            self._own = {
                name: self._own[name]
                if before.get(name) == item
                else (item, self._sign_own(item, self._version))
                for name, item in wanted.items()
            }
            self.offers_version += 1
        self._rebuild_table()

    def _sign_own(self, item: OfferConfig, version: int) -> Offer:
        epoch, birth = self.incarnation
        stamp_ms = (self.now - self._began_us) // MS
        return sign_offer(
            Offer(
                self.site, self.gateway, item.name, epoch, birth, version, stamp_ms, item.cost, item.capacity,
                item.group, self._terms(item),
            ),
            self._sign,
        )  # fmt: skip

    def _terms(self, item: OfferConfig) -> Terms:
        """Return the terms to advertise now: their lifetime ends no later than the offer itself."""
        if item.until_us is None:
            return item.terms
        left_ms = max(0, item.until_us - self.now) // MS
        return msgspec.structs.replace(item.terms, left_ms=min(item.terms.left_ms, left_ms))

    def _restamp(self, name: str, item: OfferConfig, offer: Offer) -> None:
        """Renew the stamp of an offer; one whose end is near gets a new version with a shorter lifetime."""
        version = offer.version
        if self._terms(item) != offer.terms:
            self._version += 1
            self.offers_version += 1
            version = self._version
        self._own[name] = (item, self._sign_own(item, version))
        self._held_version += 1

    def set_incarnation(self, incarnation: tuple[int, int], now: int) -> None:
        """Continue as another incarnation, as a partner remembers a later one of this gateway."""
        self.now = max(now, self.now)
        self.incarnation = incarnation
        self._epoch_raised_us = now
        self._own = {
            name: (item, self._sign_own(item, self._version)) for name, (item, _) in self._own.items()
        }
        self.offers_version += 1

    def offers(self, now: int) -> dict[str, OfferConfig]:
        """Return the configured offers that have not ended."""
        return {
            name: item
            for name, (item, _) in self._own.items()
            if item.until_us is None or now < item.until_us
        }

    @property
    def gateways_heard(self) -> Container[tuple[str, str]]:
        """Gateways, as (owner, gateway), that advertised their own offers to this incarnation."""
        return self._self_advertised.keys()

    # Queries

    def add_peer(self, name: str, partner: str, first: int = 0) -> None:
        """Add a partner gateway to query; `first` precedes the number of the first query."""
        if partner in self.partners:
            self.peers.setdefault(name, Peer(partner, first))

    def remove_peer(self, name: str) -> None:
        """Remove a partner gateway and its routes."""
        if self.peers.pop(name, None) is not None:
            self._rebuild_table()

    def query(self, name: str, now: int) -> OfferQuery:
        """Return the next query to a gateway; send it at once, as lifetimes in its answer start now."""
        self.now = max(now, self.now)
        peer = self.peers[name]
        peer.number += 1
        peer.asked_us = now
        self.counts["asked"] += 1
        role = self.partners[peer.partner].relation
        return OfferQuery(
            self.site, peer.partner, peer.number, peer.digest, peer.incarnation, role, self.providers
        )

    @property
    def providers(self) -> tuple[str, ...]:
        """The partners configured as providers, at most 64, sorted."""
        found = sorted(name for name, item in self.partners.items() if item.relation is Relation.PROVIDER)
        return tuple(found[:64])

    def on_silence(self, name: str, now: int) -> None:
        """Record that a gateway did not answer or its connection failed."""
        self.now = max(now, self.now)
        peer = self.peers.get(name)
        if peer is not None and peer.silent_since is None:
            peer.silent_since = now
            peer.digest = b""
            self._rebuild_table()

    def on_advertisement(
        self,
        name: str,
        advertisement: Advertisement,
        now: int,
        proven: Sequence[UnusedReason | None] | None = None,
    ) -> bool:
        """Process an advertisement.

        `proven` is the result of `verify_chains` for its chains; if it is left out, the signatures are
        verified here. Returns False if this does not answer the last query.
        """
        self.now = max(now, self.now)
        peer = self.peers.get(name)
        if (
            peer is None
            or (advertisement.site, advertisement.to) != (peer.partner, self.site)
            or advertisement.number != peer.number
        ):
            return False
        asked = peer.asked_us
        if advertisement.chains is None and advertisement.digest != peer.digest:
            return False
        if advertisement.chains is not None and len(advertisement.chains) != len(advertisement.ages_ms):
            return False
        self.counts["told"] += 1
        peer.silent_since = None
        elapsed = now - asked
        peer.round_trip_us = (
            elapsed if not peer.round_trip_us else min(elapsed, peer.round_trip_us + elapsed // 8)
        )
        peer.address, peer.gateway, peer.ticket = (
            advertisement.address,
            advertisement.gateway,
            advertisement.ticket,
        )
        peer.incarnation = (
            max(peer.incarnation, (advertisement.epoch, advertisement.boot_id))
            if advertisement.epoch >= peer.incarnation[0]
            else peer.incarnation
        )
        peer.agrees = advertisement.role == self.partners[peer.partner].relation.inverse
        self._update_providers(peer.partner, advertisement.providers)
        if advertisement.chains is None:
            for held in peer.held.values():
                if not held.chain.hops:
                    held.expires_us = self._expiry(held.chain.terms, asked)
        else:
            if proven is None:
                proven = verify_chains(advertisement.chains, self._verify, self._known, self.verified)
            self._import(name, peer, advertisement, asked, proven)
            peer.digest = advertisement.digest
        self._rebuild_table()
        return True

    def _import(
        self, name: str, peer: Peer, tell: Advertisement, asked: int, proven: Sequence[UnusedReason | None]
    ) -> None:
        before, peer.held = peer.held, {}
        peer.refused = {}
        self._held_version += 1
        for chain, age_ms, found in zip(tell.chains or (), tell.ages_ms, proven, strict=True):
            why = self._check(peer, chain, found)
            if why is None:
                seen = self._stamp_first_seen(chain.offer, asked - age_ms * MS)
                since = asked if not chain.hops else seen
                why = self._record_chain(chain.offer, self._expiry(chain.terms, since) <= self.now)
            if why in (UnusedReason.OLD, UnusedReason.WITHDRAWN, UnusedReason.FORKED) and not chain.hops:
                self._request_higher_epoch(peer, chain.offer)
            if why is not None:
                peer.refused[why.name] = peer.refused.get(why.name, 0) + 1
                self.counts["refused"] += 1
                continue
            id = chain.offer.id
            known = before.get(id)
            peer.held[id] = HeldChain(
                chain, name, peer.partner, tell.address, self._expiry(chain.terms, since),
                known.since_us if known is not None else self.now,
            )  # fmt: skip
            if known is not None and content_digest(known.chain.offer) != content_digest(chain.offer):
                self._count_flap(name, id)
        for id in before:
            if id not in peer.held:
                self._count_flap(name, id)
                self.counts["withdrawn"] += 1
        if tell.gateway:
            self._withdraw_missing(peer, tell)

    def _check(self, peer: Peer, chain: Chain, found: UnusedReason | None) -> UnusedReason | None:
        """Return why a chain is refused, or None and remember that its signatures are valid."""
        if not peer.agrees:
            return UnusedReason.ROLE
        why = fault(chain, self.site, peer.partner, self.partners[peer.partner].relation) or found
        if why is not None:
            return why
        self.verified[chain_digest(chain)] = None
        while len(self.verified) > MAX_VERIFIED_CHAINS:
            self.verified.popitem(last=False)
        return None

    def _request_higher_epoch(self, peer: Peer, offer: Offer) -> None:
        """Have a gateway raise its epoch if its own advertisement is refused because of a remembered state.

        That state is of another incarnation, or is one under which the offer can no longer be advertised.
        Otherwise a gateway that lost its disk would be refused for as long as any site remembers that state.
        """
        known = self.newest.get(offer.id)
        if known is None or known.epoch < max(offer.epoch, peer.incarnation[0]):
            return
        if known.boot_id != offer.boot_id:
            peer.incarnation = (known.epoch, known.boot_id)
        elif known[:2] == offer.state:
            peer.incarnation = (known.epoch, offer.boot_id ^ 1)  # any other boot id

    def _known(self, site: str) -> bool:
        return site in self.partners

    def _record_chain(self, offer: Offer, expired: bool) -> UnusedReason | None:
        """Record the state that a chain shows; return why it is unusable. `expired`: its lifetime is over."""
        state = OfferState(offer.epoch, offer.version, content_digest(offer), offer.boot_id)
        advertised = self._self_advertised.get((offer.owner, offer.gateway))
        if advertised is not None and offer.state <= advertised[0] and offer.name not in advertised[1]:
            # Without this an offer seen for the first time would pass as new, though its gateway no longer
            # advertises it.
            return UnusedReason.WITHDRAWN
        known = self.newest.get(offer.id)
        if known is not None and known[:2] == state[:2] and known.content and known.content != state.content:
            if expired:
                # A replayed message of an old incarnation would otherwise keep the new offer out forever.
                return UnusedReason.EXPIRED
            last = self._forked.setdefault(offer.id, {known.content: self.now})
            last[state.content] = self.now + offer.terms.left_ms * MS
        elif offer.id in self._forked:
            self._forked[offer.id][state.content] = self.now + offer.terms.left_ms * MS
        why = self.record_state(offer.id, state, received=True)
        return UnusedReason.EXPIRED if why is None and expired else why

    def on_state(self, id: OfferId, state: OfferState, now: int) -> None:
        """Record the state of an offer that another member of this site has received."""
        self.now = max(now, self.now)
        if id.owner in self.partners:
            self.record_state(id, state)
            self._rebuild_table()

    def record_state(self, id: OfferId, state: OfferState, received: bool = False) -> UnusedReason | None:
        """Record a state of an offer, from a chain or replicated by a member; return why it is unusable.

        A later state replaces earlier ones. Two contents under one state are a fork: neither is used,
        whichever came first.
        """
        known = self.newest.get(id)
        if known is None:
            if self._id_counts.get(id.owner, 0) >= MAX_OFFER_IDS:
                return UnusedReason.TOO_MANY
            self._id_counts[id.owner] = self._id_counts.get(id.owner, 0) + 1
        merged = state if known is None else join_states(known, state)
        if merged != known:
            self.newest[id] = merged
            if received:
                self.pending_states[id] = merged
            if merged.forked and not (known is not None and known.forked):
                self.counts["forked"] += 1
        if merged[:2] > state[:2]:
            return UnusedReason.OLD
        if merged.forked:
            return UnusedReason.FORKED
        return UnusedReason.WITHDRAWN if not merged.content and state.content else None

    def take_states(self) -> dict[OfferId, OfferState]:
        """Return the states received since the last call, to replicate to the other members of this site."""
        marks, self.pending_states = self.pending_states, {}
        return marks

    def _withdraw_missing(self, peer: Peer, tell: Advertisement) -> None:
        """Withdraw the offers that their own gateway no longer advertises, whoever else still does.

        Offers that it advertises but that were refused, as in a delayed advertisement, are not withdrawn.
        """
        advertised = {chain.offer.id for chain in tell.chains or ()}
        names = frozenset(id.name for id in advertised if (id.owner, id.gateway) == (tell.site, tell.gateway))
        self._self_advertised[tell.site, tell.gateway] = ((tell.epoch, tell.version), names)
        self._self_advertised.move_to_end((tell.site, tell.gateway))
        while len(self._self_advertised) > MAX_OFFER_IDS:
            self._self_advertised.popitem(last=False)
        for id, known in list(self.newest.items()):
            if (id.owner, id.gateway) != (tell.site, tell.gateway) or id in advertised or not known.content:
                continue
            if known.epoch >= tell.epoch and known.boot_id != tell.boot_id:
                # Another incarnation than the one that answers now. Two under one epoch cannot be ordered: it
                # has to raise its epoch above both, and until then neither one's offer is valid.
                peer.incarnation = max(peer.incarnation, (known.epoch, known.boot_id))
                if known.epoch == tell.epoch:
                    self.record_state(id, known._replace(content=b""), received=True)
            elif known[:2] <= (tell.epoch, tell.version):
                self.record_state(id, OfferState(tell.epoch, tell.version, b"", tell.boot_id), received=True)

    def _stamp_first_seen(self, offer: Offer, at: int) -> int:
        """Return the earliest time at which this stamp is known to have existed.

        Otherwise the lifetime of an old message would start again whenever it is replayed.
        """
        key = (offer.id, offer.epoch, offer.boot_id, offer.stamp_ms)
        known = self._first_seen.get(key)
        first = min(at, self._latest_start(offer) + offer.stamp_ms * MS)
        if known is not None:
            first = min(known, first)
        self._first_seen[key] = first
        if known is None:
            limit = self.now - (MAX_LIFETIME_MS + MAX_LIFETIME_MS // 10) * MS
            while len(self._first_seen) > 4 * MAX_OFFER_IDS or next(iter(self._first_seen.values())) < limit:
                self._first_seen.popitem(last=False)
        return first

    def _latest_start(self, offer: Offer) -> int:
        """Return the latest time, on this agent's clock, at which the stamping incarnation can have started.

        It follows from the freshest stamp, as each was made before it arrived. This keeps a site on the path
        from collecting stamps and sending them one by one after their owner is gone. It is counted from the
        arrival, not from the query: a slow answer would otherwise make all later stamps look old. The bound
        is relaxed over time by the drift between two clocks.
        """
        key = (offer.owner, offer.gateway, offer.epoch, offer.boot_id)
        began = self.now - offer.stamp_ms * MS
        if key in self._started:
            latest, since = self._started[key]
            latest += (self.now - since) * 2 * DRIFT_PPM // 1_000_000
            if latest <= began:
                return latest
        self._started[key] = (began, self.now)
        self._started.move_to_end(key)
        while len(self._started) > MAX_OFFER_IDS:
            self._started.popitem(last=False)
        return began

    def _expiry(self, terms: Terms, since: int) -> int:
        left_us = terms.left_ms * MS
        return since + left_us - left_us * DRIFT_PPM // 1_000_000

    def _update_providers(self, partner: str, reported: tuple[str, ...]) -> None:
        self._reported_providers[partner] = frozenset(reported)
        self.provider_cycle = self.find_provider_cycle()

    def find_provider_cycle(self) -> list[str]:
        """Return a cycle of providers by this site's configuration and its partners' reports, or nothing."""
        known = {name: item.providers | self._reported_providers.get(name, frozenset())
                 for name, item in self.partners.items()}  # fmt: skip
        for name, item in self.partners.items():
            if item.relation is Relation.CUSTOMER:
                known[name] |= {self.site}
        known[self.site] = frozenset(self.providers)
        return provider_cycle(known)

    # Damping

    def _count_flap(self, peer: str, id: OfferId) -> None:
        flap = self._flaps.get((peer, id))
        if flap is None:
            if len(self._flaps) >= MAX_OFFER_IDS:
                return
            flap = self._flaps[peer, id] = _Flap(0.0, self.now)
        flap.penalty = min(DAMP_MAX_PENALTY, flap.penalty_at(self.now) + 1.0)
        flap.at_us = self.now
        if flap.penalty >= DAMP_SUPPRESS_AT and not flap.suppressed:
            flap.suppressed = True
            self.counts["damped"] += 1

    # Timers

    def next_us(self) -> int:
        """Return when `on_timer` is due at the latest."""
        due = [held.expires_us for peer in self.peers.values() for held in peer.held.values()]
        due += [
            peer.silent_since + self.settings.stale_us
            for peer in self.peers.values()
            if peer.silent_since is not None and peer.held
        ]
        due += [self._restamp_due_us(offer) for _, offer in self._own.values()]
        return min([self.now + self.settings.renew_us, *due])

    def _restamp_due_us(self, offer: Offer) -> int:
        """Return when an offer's stamp is due for renewal.

        That is after a quarter of its lifetime; the rest is left for re-advertisement over several hops.
        """
        return self._began_us + (offer.stamp_ms + max(250, offer.terms.left_ms // RESTAMP_DIVISOR)) * MS

    def on_timer(self, now: int) -> None:
        """Remove expired chains, decay flap penalties and renew the stamps of this gateway's offers."""
        self.now = max(now, self.now)
        for peer in self.peers.values():
            gone = peer.silent_since is not None and peer.silent_since + self.settings.stale_us <= self.now
            for id, held in list(peer.held.items()):
                if held.expires_us <= self.now or gone:
                    del peer.held[id]
                    self.counts["overdue"] += held.expires_us <= self.now
        for key, flap in list(self._flaps.items()):
            level = flap.penalty_at(self.now)
            if flap.suppressed and level < DAMP_REUSE_BELOW:
                flap.suppressed = False
            if level < 0.1:
                del self._flaps[key]
        for name, (item, offer) in list(self._own.items()):
            if self._restamp_due_us(offer) <= self.now:
                self._restamp(name, item, offer)
        self._resolve_forks()
        self._forget()
        self._rebuild_table()

    def _resolve_forks(self) -> None:
        """End a fork once all copies but those of one content have expired: one incarnation is then left.

        Otherwise a gateway that lost its disk while all its neighbours restarted would stay refused by sites
        that remember its previous incarnation.
        """
        for id, until in list(self._forked.items()):
            live = [content for content, at in until.items() if at > self.now]
            known = self.newest.get(id)
            if known is None or not known.forked or len(live) > 1:
                continue
            if live:
                self.newest[id] = known._replace(content=live[0], forked=False)
            del self._forked[id]

    def _forget(self) -> None:
        """Forget the states of withdrawn offers that no gateway advertises, if many are remembered."""
        if len(self.newest) <= MAX_OFFER_IDS // 2:
            return
        live = {id for peer in self.peers.values() for id in peer.held}
        for id in [id for id in self.newest if id not in live][: len(self.newest) - MAX_OFFER_IDS // 2]:
            if self.newest[id].content:
                continue  # not withdrawn by its owner
            del self.newest[id]
            self._id_counts[id.owner] -= 1

    # Routing table

    def _rebuild_table(self) -> None:
        states: dict[tuple[str, OfferId], UnusedReason] = {}
        held = []
        for name, peer in self.peers.items():
            for id, item in peer.held.items():
                why = self._state(name, peer, id, item)
                if why is not None:
                    states[name, id] = why
                held.append(item)
        table = build_table(held, self.partners, states)
        if table != self.table:
            self.table = table
            self.table_version += 1

    def _state(self, name: str, peer: Peer, id: OfferId, held: HeldChain) -> UnusedReason | None:
        if held.expires_us <= self.now:
            return UnusedReason.EXPIRED
        newest = self.newest.get(id)
        offer = held.chain.offer
        if newest is not None and newest.forked and newest[:2] == offer.state:
            return UnusedReason.FORKED
        if newest is not None and newest[:2] > offer.state:
            return UnusedReason.OLD if newest.content else UnusedReason.WITHDRAWN
        if newest is not None and newest[:2] == offer.state and not newest.content:
            return UnusedReason.WITHDRAWN
        if not (held.chain.terms.to is None or self.site in held.chain.terms.to):
            return UnusedReason.NOT_LENT
        flap = self._flaps.get((name, id))
        if flap is not None and flap.suppressed:
            return UnusedReason.DAMPED
        return UnusedReason.STALE if peer.silent_since is not None else None

    def best_routes(self, cls: str, now: int, path: tuple[str, ...] = ()) -> tuple[Route, ...]:
        """Return the best routes for a request, all of equal rank and each offer once.

        `path` has the sites that the request has passed, its origin first; it is empty for this site's own
        requests.
        """
        if self._route_cache_version != self.table_version:
            self._route_cache.clear()
            self._route_cache_version = self.table_version
        key = (cls, path)
        found = self._route_cache.get(key)
        if found is None:
            found = self._route_cache[key] = self._best_routes(cls, path)
            while len(self._route_cache) > MAX_CACHED_ROUTES:
                self._route_cache.popitem(last=False)
        return tuple(route for route in found if self.is_valid(route, now)) if found else found

    def is_valid(self, route: Route, now: int) -> bool:
        """Whether a route is still valid at this moment.

        Between two calls of `on_timer` a route would otherwise be used past its lifetime.
        """
        peer = self.peers.get(route.peer)
        held = peer.held.get(route.id) if peer is not None else None
        if held is None or held.expires_us <= now or held.address != route.address:
            return False
        newest = self.newest.get(route.id)
        return held.chain.terms == route.terms and (newest is None or newest[:2] <= held.chain.offer.state)

    def _best_routes(self, cls: str, path: tuple[str, ...]) -> tuple[Route, ...]:
        usable = (
            (None, UnusedReason.NOT_LENT) if path else (None,)
        )  # not lent to this site, but perhaps to the origin
        good = [route for route in self.table if route.state in usable and self._permits(route, cls, path)]
        if not good:
            # Damped routes are not re-advertised, but are used as a last resort. Otherwise one hostile site
            # that flaps could have a neighbour's only good route damped further along the path.
            last = (UnusedReason.DAMPED, UnusedReason.STALE)
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
        if not route.terms.allows_use(origin, cls) or set(route.sites) & set(path):
            return False
        if not path:
            return True
        # A forwarded request: the terms must allow each site between its origin and the owner to forward it.
        relation = self.partners[route.partner].relation
        before = self.partners.get(path[-1])
        carriers = (*path[1:], self.site)
        allowed = before is not None and may_export(relation, before.relation)
        return allowed and all(route.terms.allows_onward(site) for site in carriers)

    # Advertisements

    def on_query(self, partner: str, query: OfferQuery, ticket: bytes, now: int) -> Advertisement | None:
        """Answer a query with what this gateway offers and re-advertises to the partner.

        Returns None if the sender is no neighbour or the query is addressed to another site.
        """
        self.now = max(now, self.now)
        known = self.partners.get(partner)
        if known is None or not known.neighbour or (query.site, query.to) != (partner, self.site):
            self.counts["unheard"] += 1
            return None
        self._update_providers(partner, query.providers)
        chains, have = self._export(partner) if query.role == known.relation.inverse else ((), b"")
        same = have == query.digest
        epoch, birth = self.incarnation
        ages = () if same else tuple(self._stamp_age_ms(chain) for chain in chains)
        return Advertisement(
            self.site, partner, self.gateway, self.address, query.number, epoch, birth, self._version, have,
            None if same else chains, ages, known.relation, ticket, self.providers,
        )  # fmt: skip

    def epoch_to_exceed(self, query: OfferQuery) -> int | None:
        """Return the epoch that this incarnation has to exceed, if the sender knows another at or above it.

        At most once per EPOCH_RAISE_INTERVAL_US: two processes under one name raise their epochs in turn.
        """
        epoch, birth = query.known_incarnation
        over = epoch > self.incarnation[0] or (epoch == self.incarnation[0] and birth != self.incarnation[1])
        return epoch if over and self.now >= self._epoch_raised_us + EPOCH_RAISE_INTERVAL_US else None

    def _export(self, partner: str) -> tuple[tuple[Chain, ...], bytes]:
        """Return the chains to advertise to a partner and their digest."""
        state = (self.table_version + self.offers_version + self._held_version, len(self.provider_cycle))
        known = self._exports.get(partner)
        if known is not None and known[0] == state:
            return known[1:]
        chains = [
            Chain(offer) for _, (_, offer) in sorted(self._own.items()) if _visible_to(offer.terms, partner)
        ]
        if not self.provider_cycle:  # with a cycle of providers routing might not converge
            chains += self._reexported(partner, MAX_CHAINS - len(chains))
        found = tuple(chains)
        self._exports[partner] = (state, found, _chains_digest(found))
        return self._exports[partner][1:]

    def _reexported(self, partner: str, most: int) -> list[Chain]:
        """Return the chains to re-advertise to a partner: each offer's best route, if that may be exported.

        Requests take the best route. If a worse one were advertised, the partner would rely on terms that do
        not apply.
        """
        export_relation = self.partners[partner].relation
        best: dict[OfferId, Route] = {}
        for route in self.table:
            if route.state in (None, UnusedReason.NOT_LENT):
                best.setdefault(route.id, route)
        chains = []
        for id in sorted(best)[:most]:
            route = best[id]
            import_relation = self.partners[route.partner].relation
            terms = route.terms
            if partner in route.sites or not may_export(import_relation, export_relation):
                continue
            if terms.allows_onward(self.site) and _visible_to(terms, partner):
                held = self.peers[route.peer].held[id]
                chains.append(self._reexport(held.chain, partner, import_relation, export_relation))
        return chains

    def _stamp_age_ms(self, chain: Chain) -> int:
        """Return how long ago the owner's stamp was first seen here, rounded up."""
        offer = chain.offer
        if offer.owner == self.site:
            return 0
        heard = self._first_seen.get((offer.id, offer.epoch, offer.boot_id, offer.stamp_ms), self._began_us)
        return max(0, self.now - heard + MS - 1) // MS

    def _reexport(
        self, chain: Chain, partner: str, import_relation: Relation, export_relation: Relation
    ) -> Chain:
        key = (chain_digest(chain), partner)
        found = self._reexports.get(key)
        if (
            found is None
            or found.hops[-1].export_relation != export_relation
            or found.hops[-1].import_relation != import_relation
        ):
            while len(self._reexports) >= MAX_VERIFIED_CHAINS:
                del self._reexports[next(iter(self._reexports))]
            cost = self.partners[chain.sites[0]].cost
            hop = Hop(self.site, partner, import_relation, export_relation, cost, chain.terms)
            found = self._reexports[key] = add_hop(chain, hop, self._sign)
        return found


def join_states(one: OfferState, other: OfferState) -> OfferState:
    """Return the join of two states of an offer, ordered by (epoch, version).

    Two contents under one state are a fork and remain one; a withdrawal outweighs a content under the same
    state.
    """
    if one[:2] != other[:2]:
        return max(one, other, key=lambda item: item[:2])
    birth = min(one.boot_id, other.boot_id)
    if not one.content or not other.content:
        return OfferState(one.epoch, one.version, b"", birth)
    if one.content == other.content:
        return OfferState(one.epoch, one.version, one.content, birth, one.forked or other.forked)
    return OfferState(one.epoch, one.version, min(one.content, other.content), birth, True)


def _visible_to(terms: Terms, partner: str) -> bool:
    """Whether an offer may be advertised to a site: it may use or re-advertise it."""
    if terms.empty:
        return False
    return terms.to is None or partner in terms.to or terms.allows_onward(partner)


def _chains_digest(chains: tuple[Chain, ...]) -> bytes:
    found = hashlib.blake2b(digest_size=16)
    for chain in chains:
        found.update(chain_digest(chain))
    return found.digest()

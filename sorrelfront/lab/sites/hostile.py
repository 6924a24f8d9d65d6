"""Simulate a hostile partner site, which sends arbitrary answers and has only its own key."""

from __future__ import annotations

from random import Random

import msgspec

from sorrelfront.decisions.sites.offers import MAX_CHAINS, Chain, Hop, Relation, Sign, add_hop, sign_offer
from sorrelfront.decisions.sites.routes import Advertisement, Border
from sorrelfront.decisions.sites.terms import ANYTHING

MAX_STORED_CHAINS = 64  # received chains that it may replay later
FLOOD_CHAINS = 2_000  # forged chains in one answer


class Hostile:
    """Corrupts answers, each time differently.

    It passes on what it may not, widens terms, replays old answers as new ones, uses other sites' names,
    claims paths that were not taken and, with `flood`, floods its partners.
    """

    def __init__(self, sign: Sign, random: Random, flood: bool = False) -> None:
        self._sign, self._random, self._flood = sign, random, flood
        self._stored_chains: list[Chain] = []

    def corrupt(self, border: Border, tell: Advertisement) -> Advertisement:
        """Return the answer with up to three forged chains, or a flood of them, and false ages."""
        random, partner = self._random, tell.to
        chains = list(tell.chains if tell.chains is not None else border._export(partner)[0])
        held = [item.chain for peer in border.peers.values() for item in peer.held.values()]
        self._stored_chains = (
            self._stored_chains + [chain for chain in held if chain not in self._stored_chains]
        )[-MAX_STORED_CHAINS:]
        relation = border.partners[partner].relation
        for _ in range(random.randrange(4)):
            if self._stored_chains:
                chains.append(
                    self._forged_chain(random.choice(self._stored_chains), border.site, partner, relation)
                )
        if self._flood and chains and random.random() < 0.1:
            chains += self._flood_chains(chains[0])
        chains = chains[:MAX_CHAINS]
        ages = tuple(random.choice((0, 0, 500)) for _ in chains)
        return msgspec.structs.replace(tell, chains=tuple(chains), ages_ms=ages, digest=random.randbytes(16))

    def _forged_chain(self, source: Chain, me: str, partner: str, relation: Relation) -> Chain:
        random = self._random
        wider = random.choice((ANYTHING, source.terms, source.terms))
        hop = Hop(me, partner, random.choice(list(Relation)), relation, 1, wider)
        kind = random.randrange(4)
        if kind == 0:  # as a newer state by the owner itself
            forged = msgspec.structs.replace(source.offer, version=source.offer.version + 1, terms=wider)
            return Chain(sign_offer(forged, self._sign))
        if kind == 1 and source.hops:  # by a path without the site that it came through
            return add_hop(Chain(source.offer, source.hops[:-1]), hop, self._sign)
        return add_hop(source, hop, self._sign)

    def _flood_chains(self, sample: Chain) -> list[Chain]:
        """Return chains without a valid owner's signature, each of which the receiver has to check."""
        return [
            Chain(
                msgspec.structs.replace(
                    sample.offer, name=f"x{number}", stamp_ms=self._random.getrandbits(40)
                )
            )
            for number in range(FLOOD_CHAINS)
        ]

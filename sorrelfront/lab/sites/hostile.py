"""A partner site that says what it likes, with a key of its own and nobody else's."""

from __future__ import annotations

from random import Random

import msgspec

from sorrelfront.decisions.sites.offers import CHAINS_MOST, Chain, Hop, Relation, Sign, passed_on, signed
from sorrelfront.decisions.sites.routes import Border, Tell
from sorrelfront.decisions.sites.terms import ANYTHING

HOARD_MOST = 64  # chains that it has heard and tells again later
FLOOD = 2_000  # chains of its own in one answer


class Hostile:
    """Spoils answers: what it may not pass on, wider terms, old words as new ones, others' names, ways that
    were not taken, very much, and each time something else."""

    def __init__(self, sign: Sign, random: Random, flood: bool = False) -> None:
        self._sign, self._random, self._flood = sign, random, flood
        self._hoard: list[Chain] = []

    def spoil(self, border: Border, tell: Tell) -> Tell:
        random, partner = self._random, tell.to
        chains = list(tell.chains if tell.chains is not None else border._export(partner)[0])
        held = [item.chain for peer in border.peers.values() for item in peer.held.values()]
        self._hoard = (self._hoard + [chain for chain in held if chain not in self._hoard])[-HOARD_MOST:]
        told = border.partners[partner].relation
        for _ in range(random.randrange(4)):
            if self._hoard:
                chains.append(self._one(random.choice(self._hoard), border.site, partner, told))
        if self._flood and chains and random.random() < 0.1:
            chains += self._many(chains[0])
        chains = chains[:CHAINS_MOST]
        ages = tuple(random.choice((0, 0, 500)) for _ in chains)
        return msgspec.structs.replace(tell, chains=tuple(chains), ages_ms=ages, have=random.randbytes(16))

    def _one(self, source: Chain, me: str, partner: str, told: Relation) -> Chain:
        random = self._random
        wider = random.choice((ANYTHING, source.terms, source.terms))
        hop = Hop(me, partner, random.choice(list(Relation)), told, 1, wider)
        what = random.randrange(4)
        if what == 0:  # as the owner's own newer word
            forged = msgspec.structs.replace(source.offer, version=source.offer.version + 1, terms=wider)
            return Chain(signed(forged, self._sign))
        if what == 1 and source.hops:  # by a way without the one that it came through
            return passed_on(Chain(source.offer, source.hops[:-1]), hop, self._sign)
        return passed_on(source, hop, self._sign)

    def _many(self, like: Chain) -> list[Chain]:
        """Unsigned by any owner: each has to be looked at."""
        return [
            Chain(
                msgspec.structs.replace(like.offer, name=f"x{number}", stamp_ms=self._random.getrandbits(40))
            )
            for number in range(FLOOD)
        ]

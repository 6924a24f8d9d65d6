"""Whether a request from a partner is let in at a gateway, and by what. No I/O.

The gateway of the owner has the last word: whatever others believe of an offer, and for however long, a
request is served by the terms that the owner's file has now. One that is turned away here never ran."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from sorrelfront.decisions.sites.routes import PATH_MOST, Lent, Partner
from sorrelfront.decisions.sites.terms import NAME_MOST, RATE_MOST

PATH = re.compile(r"[a-z0-9][a-z0-9-]*(,[a-z0-9][a-z0-9-]*)*")
SECOND_US = 1_000_000
BURST = 0.2  # of an offer's rate, that may come at once; the rest comes evenly
FULL_US = 500_000  # when a gateway is full: about how long until it is worth another try
NEVER_US = 30_000_000  # what terms forbid may be allowed after a change of them, which takes a person


class Turned(Enum):
    """Why a request from a partner was turned away."""

    PATH = "its path cannot be read"
    STRANGER = "it does not come from a partner that was told so"
    LOOP = "it has been here before"
    FORBIDDEN = "no offer allows it"
    RATE = "its offer's rate is used up"
    FULL = "this gateway is full"


class Away(NamedTuple):
    """Turned away: nothing has run. Worth another try after this time."""

    why: Turned
    retry_after_us: int


class In(NamedTuple):
    """Let in, by this offer of this gateway's; None: on its way to another site's."""

    offer: str | None


@dataclass(slots=True)
class _Bucket:
    """Of an offer's rate (a token bucket; Turner 1986)."""

    tokens: float
    at_us: int


def parse_path(text: str) -> tuple[str, ...] | None:
    """The sites that a request has come through, where it began first; None if that cannot be read."""
    if len(text) > PATH_MOST * (NAME_MOST + 1) or PATH.fullmatch(text) is None:
        return None
    sites = tuple(text.split(","))
    good = len(sites) <= PATH_MOST and len(set(sites)) == len(sites)
    return sites if good and all(len(site) <= NAME_MOST for site in sites) else None


class Passage:
    """Lets requests in, one by one, and counts those that are inside."""

    def __init__(self, site: str) -> None:
        self.site = site
        self.inside: dict[str, int] = {}  # by offer
        self.counts = dict.fromkeys((item.name.lower() for item in Turned), 0) | {"own": 0, "through": 0}
        self._buckets: dict[str, _Bucket] = {}

    def judge(
        self,
        partner: str | None,
        path: tuple[str, ...] | None,
        cls: str,
        partners: Mapping[str, Partner],
        lent: Mapping[str, Lent],
        through: bool,
        now: int,
    ) -> In | Away:
        """`partner`: whose ticket it bears, if that is a good one. `path`: where it has come through.
        `through`: there are routes by which it may go on. What is let in has to be told as `left`."""
        found = self._judge(partner, path, cls, partners, lent, through, now)
        if isinstance(found, Away):
            self.counts[found.why.name.lower()] += 1
        elif found.offer is None:
            self.counts["through"] += 1
        else:
            self.counts["own"] += 1
            self.inside[found.offer] = self.inside.get(found.offer, 0) + 1
        return found

    def _judge(
        self,
        partner: str | None,
        path: tuple[str, ...] | None,
        cls: str,
        partners: Mapping[str, Partner],
        lent: Mapping[str, Lent],
        through: bool,
        now: int,
    ) -> In | Away:
        if path is None:
            return Away(Turned.PATH, NEVER_US)
        if partner is None or partner not in partners or path[-1] != partner:
            return Away(Turned.STRANGER, NEVER_US)
        if self.site in path:
            return Away(Turned.LOOP, NEVER_US)
        allowed = [item for _, item in sorted(lent.items()) if _allows(item, path, cls)]
        if not allowed:
            return In(None) if through else Away(Turned.FORBIDDEN, NEVER_US)
        wait = math.inf
        for item in allowed:
            if self.inside.get(item.name, 0) >= item.capacity:
                continue
            wait = min(wait, self._spend(item, now))
            if not wait:
                return In(item.name)
        if through:
            return In(None)
        if wait == math.inf:
            return Away(Turned.FULL, FULL_US)
        return Away(Turned.RATE, int(wait))

    def _spend(self, item: Lent, now: int) -> int:
        """Take one request of the offer's rate; or how many microseconds until there is one. What may come at
        once and what is gained in a second are together no more than the rate: no second has more."""
        if item.terms.rate >= RATE_MOST:
            return 0
        most = max(1.0, item.terms.rate * BURST)
        rate = max(item.terms.rate - most, item.terms.rate / 2)
        bucket = self._buckets.setdefault(item.name, _Bucket(most, now))
        gained = max(0, now - bucket.at_us) * rate / SECOND_US
        bucket.tokens, bucket.at_us = min(most, bucket.tokens + gained), max(now, bucket.at_us)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0
        return max(1, int((1.0 - bucket.tokens) * SECOND_US / rate))

    def left(self, offer: str) -> None:
        """A request that was let in by this offer has its answer."""
        count = self.inside.get(offer, 0) - 1
        if count > 0:
            self.inside[offer] = count
        else:
            self.inside.pop(offer, None)

    def keep(self, lent: Mapping[str, Lent]) -> None:
        """Offers that are not among these are gone."""
        for name in [name for name in self._buckets if name not in lent]:
            del self._buckets[name]


def _allows(item: Lent, path: tuple[str, ...], cls: str) -> bool:
    """Whether the offer is for the site where the request began, and each site after it may carry it on."""
    return item.terms.lends(path[0], cls) and all(item.terms.carries(site) for site in path[1:])

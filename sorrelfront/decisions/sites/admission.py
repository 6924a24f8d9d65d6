"""Admission of requests from partners at a gateway. No I/O.

The owner's gateway decides: whatever other sites believe about an offer, and for however long, a request is
admitted by the terms that the owner's file has now. A request that is rejected here has not been executed.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from sorrelfront.decisions.sites.routes import MAX_PATH_SITES, OfferConfig, Partner
from sorrelfront.decisions.sites.terms import MAX_NAME_LENGTH, MAX_RATE

PATH_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]*(,[a-z0-9][a-z0-9-]*)*")
SECOND_US = 1_000_000
BURST_SHARE = 0.2  # fraction of an offer's rate that may arrive as a burst; the rest is spread evenly
FULL_RETRY_US = 500_000  # retry delay when a gateway is full: about when a slot should be free
FORBIDDEN_RETRY_US = 30_000_000  # retry delay when the terms forbid a request: an operator has to change them


class Rejection(Enum):
    """Why a request from a partner was rejected."""

    PATH = "its path cannot be read"
    STRANGER = "it does not come from a partner that was told so"
    LOOP = "it has been here before"
    FORBIDDEN = "no offer allows it"
    RATE = "its offer's rate is used up"
    FULL = "this gateway is full"


class Rejected(NamedTuple):
    """Rejected without having been executed; may be retried after `retry_after_us`."""

    reason: Rejection
    retry_after_us: int


class Admitted(NamedTuple):
    """Admitted under this offer of the gateway; None if it is to be forwarded to another site."""

    offer: str | None


@dataclass(slots=True)
class _Bucket:
    """Token bucket for the rate of one offer (Turner 1986)."""

    tokens: float
    at_us: int


def parse_path(text: str) -> tuple[str, ...] | None:
    """Return the sites that a request has passed, its origin first; None if the text is malformed."""
    if len(text) > MAX_PATH_SITES * (MAX_NAME_LENGTH + 1) or PATH_PATTERN.fullmatch(text) is None:
        return None
    sites = tuple(text.split(","))
    good = len(sites) <= MAX_PATH_SITES and len(set(sites)) == len(sites)
    return sites if good and all(len(site) <= MAX_NAME_LENGTH for site in sites) else None


class Admission:
    """Admits requests one by one and counts those in flight."""

    def __init__(self, site: str) -> None:
        self.site = site
        self.in_flight: dict[str, int] = {}  # requests in flight by offer
        self.counts = dict.fromkeys((item.name.lower() for item in Rejection), 0) | {"own": 0, "through": 0}
        self._buckets: dict[str, _Bucket] = {}

    def admit(
        self,
        partner: str | None,
        path: tuple[str, ...] | None,
        cls: str,
        partners: Mapping[str, Partner],
        lent: Mapping[str, OfferConfig],
        can_forward: bool,
        now: int,
    ) -> Admitted | Rejected:
        """Admit or reject a request.

        Call `finished` for every request admitted under an offer once it is answered.

        Args:
            partner: The partner whose valid ticket the request carries; None if it carries none.
            path: The sites that the request has passed; None if that was malformed.
            cls: The request class.
            partners: All partners by name.
            lent: The offers of this gateway by name.
            can_forward: Whether there are routes by which the request may be forwarded.
            now: Microseconds.
        """
        found = self._decide(partner, path, cls, partners, lent, can_forward, now)
        if isinstance(found, Rejected):
            self.counts[found.reason.name.lower()] += 1
        elif found.offer is None:
            self.counts["through"] += 1
        else:
            self.counts["own"] += 1
            self.in_flight[found.offer] = self.in_flight.get(found.offer, 0) + 1
        return found

    def _decide(
        self,
        partner: str | None,
        path: tuple[str, ...] | None,
        cls: str,
        partners: Mapping[str, Partner],
        lent: Mapping[str, OfferConfig],
        can_forward: bool,
        now: int,
    ) -> Admitted | Rejected:
        if path is None:
            return Rejected(Rejection.PATH, FORBIDDEN_RETRY_US)
        if partner is None or partner not in partners or path[-1] != partner:
            return Rejected(Rejection.STRANGER, FORBIDDEN_RETRY_US)
        if self.site in path:
            return Rejected(Rejection.LOOP, FORBIDDEN_RETRY_US)
        allowed = [item for _, item in sorted(lent.items()) if _allows(item, path, cls)]
        if not allowed:
            return Admitted(None) if can_forward else Rejected(Rejection.FORBIDDEN, FORBIDDEN_RETRY_US)
        wait = math.inf
        for item in allowed:
            if self.in_flight.get(item.name, 0) >= item.capacity:
                continue
            wait = min(wait, self._take_token(item, now))
            if not wait:
                return Admitted(item.name)
        if can_forward:
            return Admitted(None)
        if wait == math.inf:
            return Rejected(Rejection.FULL, FULL_RETRY_US)
        return Rejected(Rejection.RATE, int(wait))

    def _take_token(self, item: OfferConfig, now: int) -> int:
        """Take one token of the offer's rate; return 0, or the microseconds until there is one.

        Burst and refill of one second together are no more than the rate, so no second admits more than that.
        """
        if item.terms.rate >= MAX_RATE:
            return 0
        burst = max(1.0, item.terms.rate * BURST_SHARE)
        rate = max(item.terms.rate - burst, item.terms.rate / 2)
        bucket = self._buckets.setdefault(item.name, _Bucket(burst, now))
        refilled = max(0, now - bucket.at_us) * rate / SECOND_US
        bucket.tokens, bucket.at_us = min(burst, bucket.tokens + refilled), max(now, bucket.at_us)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0
        return max(1, int((1.0 - bucket.tokens) * SECOND_US / rate))

    def finished(self, offer: str) -> None:
        """Record that a request admitted under this offer has been answered."""
        count = self.in_flight.get(offer, 0) - 1
        if count > 0:
            self.in_flight[offer] = count
        else:
            self.in_flight.pop(offer, None)

    def retain(self, lent: Mapping[str, OfferConfig]) -> None:
        """Drop the token buckets of offers that are not among these."""
        for name in [name for name in self._buckets if name not in lent]:
            del self._buckets[name]


def _allows(item: OfferConfig, path: tuple[str, ...], cls: str) -> bool:
    """Whether the offer is for the request's origin site and each later site may forward the request."""
    return item.terms.allows_use(path[0], cls) and all(item.terms.allows_onward(site) for site in path[1:])

"""Terms under which a site lends to others: a bounded lattice. No I/O.

Terms are ordered by what they allow. Each site on the path from the owner may narrow them and none can widen
them. What two terms both allow is their meet, the componentwise minimum, which is commutative, associative
and idempotent (a meet semilattice with `ANYTHING` at the top and `NOTHING` at the bottom). Sets are sorted
tuples, so equal terms encode to equal bytes, whoever signs them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_NAME_LENGTH = 64  # characters in the name of a site, class or offer
MAX_NAMES = 256  # names in one set
MAX_RATE = 1_000_000  # requests per second; this value also means "unlimited"
MAX_LIFETIME_MS = 86_400_000  # an offer is valid for at most a day after its owner last confirmed it

SiteName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern="^[a-z0-9][a-z0-9-]*$")]
ClassName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Sites = Annotated[tuple[SiteName, ...], Meta(max_length=MAX_NAMES)]
Classes = Annotated[tuple[ClassName, ...], Meta(max_length=MAX_NAMES)]


class Terms(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What the owner of an offer allows.

    Attributes:
        to: Sites that may use the offer; None for every site whose key the reader has.
        onward: Sites that may re-advertise the offer; None for every site whose key the reader has.
        classes: Request classes that may use the offer; None for all.
        rate: Maximum requests per second through each gateway.
        left_ms: Lifetime without a further confirmation, in elapsed time.
    """

    to: Sites | None
    onward: Sites | None
    classes: Classes | None
    rate: Annotated[int, Meta(ge=0, le=MAX_RATE)]
    left_ms: Annotated[int, Meta(ge=0, le=MAX_LIFETIME_MS)]

    @property
    def empty(self) -> bool:
        """Whether the terms allow no use at all.

        Such an offer may still be re-advertised, which is of no use to anybody.
        """
        return self.to == () or self.classes == () or not self.rate or not self.left_ms

    def allows_use(self, site: str, cls: str) -> bool:
        """Whether requests of this class from this site may use the offer."""
        return _has(site, self.to) and _has(cls, self.classes) and self.rate > 0 and self.left_ms > 0

    def allows_onward(self, site: str) -> bool:
        """Whether this site may re-advertise the offer and forward requests that use it."""
        return _has(site, self.onward)


ANYTHING = Terms(None, None, None, MAX_RATE, MAX_LIFETIME_MS)
NOTHING = Terms((), (), (), 0, 0)


def terms(
    to: Iterable[str] | None = None,
    onward: Iterable[str] | None = (),
    classes: Iterable[str] | None = None,
    rate: int = MAX_RATE,
    left_ms: int = MAX_LIFETIME_MS,
) -> Terms:
    """Build terms in canonical form.

    `onward` defaults to nobody: an offer that does not name a site there is not re-advertised.
    """
    return Terms(_sorted(to), _sorted(onward), _sorted(classes), rate, left_ms)


def canonical(found: Terms) -> bool:
    """Whether the terms are in canonical form.

    Two encodings of one set would otherwise be taken for two conflicting contents of one offer.
    """
    return all(names is None or names == _sorted(names) for names in (found.to, found.onward, found.classes))


def meet(one: Terms, other: Terms) -> Terms:
    """Return the terms that allow what both arguments allow."""
    return Terms(
        _intersection(one.to, other.to),
        _intersection(one.onward, other.onward),
        _intersection(one.classes, other.classes),
        min(one.rate, other.rate),
        min(one.left_ms, other.left_ms),
    )


def within(one: Terms, other: Terms) -> bool:
    """Whether `one` allows nothing that `other` does not."""
    return meet(one, other) == one


def _sorted(names: Iterable[str] | None) -> tuple[str, ...] | None:
    return None if names is None else tuple(sorted(set(names)))


def _intersection(one: tuple[str, ...] | None, other: tuple[str, ...] | None) -> tuple[str, ...] | None:
    if one is None:
        return other
    if other is None:
        return one
    return tuple(sorted(set(one).intersection(other)))


def _has(name: str, names: tuple[str, ...] | None) -> bool:
    return names is None or name in names

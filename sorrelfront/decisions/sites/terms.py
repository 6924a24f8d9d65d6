"""Terms under which a site lends to others: a bounded lattice. No I/O.

Terms are ordered by what they allow. On the way from the owner each site may narrow them and none can widen
them: what two terms allow together is their meet, the componentwise minimum, which is commutative,
associative and idempotent (a meet semilattice with `ANYTHING` on top and `NOTHING` below). Sets are sorted
tuples, so equal terms have equal bytes, whoever signs them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

NAME_MOST = 64  # characters of a site's, class's or offer's name
NAMES_MOST = 256  # in one set
RATE_MOST = 1_000_000  # requests a second; also says "no bound"
LEFT_MOST_MS = 86_400_000  # no offer is good for longer than a day without word from its owner

SiteName = Annotated[str, Meta(min_length=1, max_length=NAME_MOST, pattern="^[a-z0-9][a-z0-9-]*$")]
ClassName = Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]
Sites = Annotated[tuple[SiteName, ...], Meta(max_length=NAMES_MOST)]
Classes = Annotated[tuple[ClassName, ...], Meta(max_length=NAMES_MOST)]


class Terms(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """`to`: sites that may use it. `onward`: sites that may pass it on. None, for either and for `classes`:
    all, that is every member of the association whose key the reader has. `rate`: requests a second at most,
    by each gateway. `left_ms`: for how long it is good without further word, in elapsed time."""

    to: Sites | None
    onward: Sites | None
    classes: Classes | None
    rate: Annotated[int, Meta(ge=0, le=RATE_MOST)]
    left_ms: Annotated[int, Meta(ge=0, le=LEFT_MOST_MS)]

    @property
    def empty(self) -> bool:
        """Whether nobody may do anything by it. One that nobody may use may still be passed on, by which
        nobody gains."""
        return self.to == () or self.classes == () or not self.rate or not self.left_ms

    def lends(self, site: str, cls: str) -> bool:
        """Whether this site's requests of this class may go by it."""
        return _in(site, self.to) and _in(cls, self.classes) and self.rate > 0 and self.left_ms > 0

    def carries(self, site: str) -> bool:
        """Whether this site may pass it on, and requests that go by it."""
        return _in(site, self.onward)


ANYTHING = Terms(None, None, None, RATE_MOST, LEFT_MOST_MS)
NOTHING = Terms((), (), (), 0, 0)


def terms(
    to: Iterable[str] | None = None,
    onward: Iterable[str] | None = (),
    classes: Iterable[str] | None = None,
    rate: int = RATE_MOST,
    left_ms: int = LEFT_MOST_MS,
) -> Terms:
    """In the one form that equal terms have. `onward` is nobody unless somebody is named: an offer that says
    nothing of it is not passed on."""
    return Terms(_set(to), _set(onward), _set(classes), rate, left_ms)


def canonical(found: Terms) -> bool:
    """Whether it is in that form. Risk: two spellings of one set would pass for two contents of one offer."""
    return all(names is None or names == _set(names) for names in (found.to, found.onward, found.classes))


def meet(one: Terms, other: Terms) -> Terms:
    """What both allow."""
    return Terms(
        _both(one.to, other.to),
        _both(one.onward, other.onward),
        _both(one.classes, other.classes),
        min(one.rate, other.rate),
        min(one.left_ms, other.left_ms),
    )


def within(one: Terms, other: Terms) -> bool:
    """Whether the first allows nothing that the second does not."""
    return meet(one, other) == one


def _set(names: Iterable[str] | None) -> tuple[str, ...] | None:
    return None if names is None else tuple(sorted(set(names)))


def _both(one: tuple[str, ...] | None, other: tuple[str, ...] | None) -> tuple[str, ...] | None:
    if one is None:
        return other
    if other is None:
        return one
    return tuple(sorted(set(one).intersection(other)))


def _in(name: str, names: tuple[str, ...] | None) -> bool:
    return names is None or name in names

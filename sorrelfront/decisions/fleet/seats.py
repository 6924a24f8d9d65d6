"""Where each member's slice of the servers begins, worked out by each from its own view, with no service to
ask.

Members that see the same have the same places, whatever happened before. Of n members up to `MATCHED_MOST`
each has one of the first n points of the van der Corput sequence, as evenly as seats kept by a coordination
service (`places`): pairs of a member and a seat are taken by the lowest of a hash of both, so one that joins
or leaves moves a few others (highest random weight, Thaler and Ravishankar 1998, made one to one). That takes
n^2 hashes. Larger fleets go by a hash table with linear probing, whose layout depends on the names alone
(Amble and Knuth, "Ordered hash tables", 1974): it moves fewer still, and its gaps are less even."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from sorrelfront.decisions.places import POINTS, point

MATCHED_MOST = 64  # members: 4,096 pairs take some 10 ms, in which an instance does nothing else
MIX = 0x9E3779B97F4A7C15  # an odd number that spreads bits (Knuth, multiplicative hashing)
ROOM = 2  # cells for each member, at least: at half full a run is two or three cells long


def _hashes(name: str) -> tuple[int, int]:
    """Where on the ring, and whose turn comes first."""
    digest = hashlib.blake2b(name.encode(), digest_size=16, person=b"sorrelfront-seat").digest()
    return int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big")


def places(names: Collection[str]) -> dict[str, int]:
    """Each member's point on a ring of `POINTS`, all different. Raises ValueError if there are more members
    than half the ring has points."""
    if ROOM * len(names) > POINTS:
        raise ValueError(f"{len(names)} members on a ring of {POINTS} points")
    return _matched(names) if len(names) <= MATCHED_MOST else _probed(names)


def _matched(names: Collection[str]) -> dict[str, int]:
    """The lowest pair first, then the lowest of those that are left, and so on."""
    keys = {name: _hashes(name)[0] for name in names}
    seats = [_hashes(f"seat {seat}")[0] for seat in range(len(names))]
    pairs = [
        ((key ^ mark) * MIX >> 16 & 2**48 - 1, name, seat)
        for name, key in keys.items()
        for seat, mark in enumerate(seats)
    ]
    pairs.sort()
    found: dict[str, int] = {}
    taken: set[int] = set()
    for _, name, seat in pairs:
        if name not in found and seat not in taken:
            found[name] = point(seat)
            taken.add(seat)
    return found


def _probed(names: Collection[str]) -> dict[str, int]:
    bits = (ROOM * len(names) - 1).bit_length()
    cells = 1 << bits
    taken: dict[int, str] = {}
    for _, name in sorted((_hashes(name)[1], name) for name in names):
        at = _hashes(name)[0]
        cell = at >> (64 - bits)
        while cell in taken:
            cell = (cell + 1) % cells
        taken[cell] = name
    return {name: cell * POINTS // cells for cell, name in taken.items()}


class Seat:
    """This member's place, taken anew when its view has rested for a while."""

    def __init__(self, name: str, rest_us: int) -> None:
        """`rest_us`: a view that still changes (a storm of joins, a partition that flaps) moves nobody."""
        self.point: int | None = None
        self._name = name
        self._rest_us = rest_us
        self._seen: frozenset[str] | None = None
        self._since = 0

    def on_view(self, living: Collection[str], now: int) -> int | None:
        """Call now and then with who lives. The new point if it is another one, else None."""
        seen = frozenset(living)
        if seen != self._seen:
            self._seen, self._since = seen, now
            return None
        if now - self._since < self._rest_us or self._name not in seen:
            return None
        point = places(seen)[self._name]
        if point == self.point:
            return None
        self.point = point
        return point

"""The ring position of each member's slice of the servers, computed from its own view without a service.

Members with equal views compute equal positions, whatever the history. Up to `MAX_MATCHED_MEMBERS`, each of
n members has one of the first n points of the van der Corput sequence, as evenly as slots kept by a
coordination service (`decisions.seat_allocation`). Pairs of a member and a slot are taken by the lowest hash
of both, so a member that joins or leaves moves a few others (highest random weight, Thaler and Ravishankar
1998, made one to one). That takes n^2 hashes. Larger fleets use a hash table with linear probing, whose
layout depends
on the names alone (Amble and Knuth, "Ordered hash tables", 1974): it moves even fewer members, and its gaps
are less even.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from sorrelfront.decisions.seat_allocation import RING_POINTS, ring_point

MAX_MATCHED_MEMBERS = 64  # 4,096 pairs take some 10 ms, which block the instance
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # odd, mixes the bits (Knuth, multiplicative hashing)
CELLS_PER_MEMBER = 2  # at least; at half full a run is two or three cells long


def _hashes(name: str) -> tuple[int, int]:
    """Return two hashes of a name: for its position on the ring, and for the order of insertion."""
    digest = hashlib.blake2b(name.encode(), digest_size=16, person=b"sorrelfront-seat").digest()
    return int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big")


def ring_positions(names: Collection[str]) -> dict[str, int]:
    """Return each member's point on a ring of `RING_POINTS`; all are different.

    Raises ValueError if there are more members than half the ring's points.
    """
    if CELLS_PER_MEMBER * len(names) > RING_POINTS:
        raise ValueError(f"{len(names)} members on a ring of {RING_POINTS} points")
    return _matched(names) if len(names) <= MAX_MATCHED_MEMBERS else _linear_probed(names)


def _matched(names: Collection[str]) -> dict[str, int]:
    """Take the pair with the lowest hash, then the lowest of the remaining ones, and so on."""
    name_hashes = {name: _hashes(name)[0] for name in names}
    slot_hashes = [_hashes(f"seat {slot}")[0] for slot in range(len(names))]
    pairs = [
        ((name_hash ^ slot_hash) * HASH_MULTIPLIER >> 16 & 2**48 - 1, name, slot)
        for name, name_hash in name_hashes.items()
        for slot, slot_hash in enumerate(slot_hashes)
    ]
    pairs.sort()
    positions: dict[str, int] = {}
    taken: set[int] = set()
    for _, name, slot in pairs:
        if name not in positions and slot not in taken:
            positions[name] = ring_point(slot)
            taken.add(slot)
    return positions


def _linear_probed(names: Collection[str]) -> dict[str, int]:
    bits = (CELLS_PER_MEMBER * len(names) - 1).bit_length()
    cells = 1 << bits
    taken: dict[int, str] = {}
    for _, name in sorted((_hashes(name)[1], name) for name in names):
        position = _hashes(name)[0]
        cell = position >> (64 - bits)
        while cell in taken:
            cell = (cell + 1) % cells
        taken[cell] = name
    return {name: cell * RING_POINTS // cells for cell, name in taken.items()}


class RingPosition:
    """This member's ring position, recomputed once its view has been stable for a while."""

    def __init__(self, name: str, settle_us: int) -> None:
        """Create it without a position.

        `settle_us`: how long the view must be stable; while it changes (many joins, a flapping partition) the
        position stays.
        """
        self.point: int | None = None
        self._name = name
        self._settle_us = settle_us
        self._members: frozenset[str] | None = None
        self._stable_since_us = 0

    def on_view(self, living: Collection[str], now: int) -> int | None:
        """Check the living members, now and then; return the new point if it changed, else None."""
        members = frozenset(living)
        if members != self._members:
            self._members, self._stable_since_us = members, now
            return None
        if now - self._stable_since_us < self._settle_us or self._name not in members:
            return None
        point = ring_positions(members)[self._name]
        if point == self.point:
            return None
        self.point = point
        return point

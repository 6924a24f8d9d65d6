"""Which place each instance of a fleet has, so that their slices of the servers cover the list. No I/O.

Instances take *seats*, numbered from 0: a node `seat-N` that only one session can hold, the lowest that is
free. A seat has its point on the ring of servers for good, whoever sits there and however many sit: the
points are the van der Corput sequence in base 2, whose first n points leave no gap above twice the least. So
one that joins moves no other's slice, and one that leaves moves one at most: once a seat has been free for
`hole_us`, the instance with the highest number moves into it.

Source: J. G. van der Corput, Verteilungsfunktionen (1935); docs/design/zookeeper.md has the options weighed.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from random import Random
from typing import NamedTuple

SEATS_MOST = 4_096
POINTS = 65_536  # places on the ring: what the balancer is told as the number of agents
CHOICE_MOST = 128  # free seats that a claim is drawn from
BITS = POINTS.bit_length() - 1


def point(seat: int) -> int:
    """Where on a ring of POINTS this seat's slice begins: the bits of its number, reversed."""
    if not 0 <= seat < POINTS:
        raise ValueError(f"no seat: {seat}")
    turned = 0
    for _ in range(BITS):
        turned = turned << 1 | seat & 1
        seat >>= 1
    return turned


class Claim(NamedTuple):
    """Try to make this seat's node, after this time. What came of it is told by `on_claimed`."""

    seat: int
    delay_us: int


class Release(NamedTuple):
    """Delete this seat's node, which is ours."""

    seat: int


class Sit(NamedTuple):
    """The slice begins at this seat's point from now on; None: where the configuration says, since we have
    no seat any more."""

    seat: int | None


class Wake(NamedTuple):
    """Call `on_timer` after this time."""

    delay_us: int


Action = Claim | Release | Sit | Wake


class Session(Enum):
    HELD = "held"
    SILENT = "silent"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in microseconds. `hole_us`: how long a seat is free before the highest moves there, so that one
    that restarts finds its own again. `keep_us`: how long one whose session may have ended without its
    knowing goes on by its seat; the session's time-out is the least that makes sense."""

    hole_us: int = 10_000_000
    keep_us: int = 15_000_000
    spread_us: int = 200_000

    def __post_init__(self) -> None:
        for name in ("hole_us", "keep_us", "spread_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")


class Places:
    """One instance's seat. Every method returns the actions that follow.

    Two never hold one seat's node. One that has lost its session goes on by its seat until it knows better,
    for `keep_us` at most after its service fell silent; in that time another may have taken the node, so two
    may *go by* one seat for `keep_us` less the session's time-out, and for the time that a claim takes."""

    def __init__(self, terms: Terms, seed: int, last: int | None = None) -> None:
        """`last`: the seat that this instance had before it was started anew, which it asks for first."""
        self._terms = terms
        self._random = Random(seed)
        self._seats: frozenset[int] = frozenset()
        self._holes: dict[int, int] = {}  # free seats below the highest, and since when
        self._session = Session.SILENT
        self._silent_since = -1
        self._wanted: int | None = None  # being claimed
        self.held: int | None = None  # our node
        self.seat: int | None = last  # what the slice goes by
        self._misses = 0  # claims in a row that somebody else was ahead of
        self.moves = 0  # of the slice, since the start

    @property
    def count(self) -> int:
        """How many instances hold seats, as last heard."""
        return len(self._seats)

    def on_session(self, session: Session, now: int) -> list[Action]:
        before, self._session = self._session, session
        if session is Session.SILENT:
            if before is Session.HELD:
                self._silent_since = now
                return [Wake(self._terms.keep_us)] if self.seat is not None else []
            return []
        if session is Session.LOST:
            # The node went with the session; the seat is gone by until another is held or time is up.
            self.held = self._wanted = None
            if before is Session.HELD:
                self._silent_since = now
            return [Wake(self._terms.keep_us)] if self.seat is not None else []
        self._silent_since = -1
        return []

    def on_seats(self, taken: Collection[int], now: int) -> list[Action]:
        """The seats whose nodes are there, from a read under a session that is held."""
        self._seats = frozenset(seat for seat in taken if 0 <= seat < SEATS_MOST)
        if self.held is not None and self.held not in self._seats and self._wanted is None:
            self.held = None  # somebody deleted it
        highest = max(self._seats, default=-1)
        holes = [seat for seat in range(highest) if seat not in self._seats]
        self._holes = {seat: self._holes.get(seat, now) for seat in holes}
        return self._decide(now)

    def on_claimed(self, seat: int, ours: bool, now: int) -> list[Action]:
        """The node was made, or somebody else had made it."""
        if self._wanted != seat:
            return [Release(seat)] if ours and seat != self.held else []
        self._wanted = None
        if not ours:
            self._misses += 1
            self._seats |= {seat}
            return self._decide(now) if self.held is None else []
        actions: list[Action] = []
        if self.held is not None:
            actions.append(Release(self.held))
        self.held = seat
        self._misses = 0
        self._seats |= {seat}
        if self.seat != seat:
            self.seat = seat
            self.moves += 1
            actions.append(Sit(seat))
        return actions

    def on_failed(self, seat: int, now: int) -> list[Action]:
        """Nobody knows whether the claim came through: the next read of the seats tells."""
        if self._wanted == seat:
            self._wanted = None
        return []

    def on_timer(self, now: int) -> list[Action]:
        if self._session is Session.HELD:
            return self._decide(now)
        if self.seat is None or not self._over(now):
            return []
        self.seat = self.held = None
        return [Sit(None)]

    def _over(self, now: int) -> bool:
        return self._silent_since >= 0 and now >= self._silent_since + self._terms.keep_us

    def _decide(self, now: int) -> list[Action]:
        if self._session is not Session.HELD or self._wanted is not None:
            return []
        if self.held is None:
            return self._claim(self._first_choice(), spread=True)
        # Only the highest moves, and only into a hole that has stayed one.
        if not self._holes or self.held != max(self._seats, default=-1):
            return []
        seat, since = min(self._holes.items())
        wait_us = since + self._terms.hole_us - now
        return [Wake(wait_us)] if wait_us > 0 else self._claim(seat, spread=False)

    def _first_choice(self) -> int:
        if self.seat is not None and self.seat not in self._seats:
            return self.seat
        # One of the first that are free: twice as many with each miss. Risk: a fleet that starts together
        # asks for one seat after the other, all of it for each.
        free = (seat for seat in range(SEATS_MOST) if seat not in self._seats)
        choice = [*islice(free, min(CHOICE_MOST, 1 << min(self._misses, 16)))]
        return self._random.choice(choice) if choice else SEATS_MOST

    def _claim(self, seat: int, spread: bool) -> list[Action]:
        if seat >= SEATS_MOST:
            return []
        self._wanted = seat
        delay = int(self._random.random() * self._terms.spread_us) if spread else 0
        return [Claim(seat, delay)]


def gaps(seats: Collection[int]) -> tuple[float, float]:
    """The least and the greatest part of the ring between neighbours, as multiples of an even share."""
    points = sorted(point(seat) for seat in seats)
    if not points:
        return math.nan, math.nan
    around = [*points[1:], points[0] + POINTS]
    shares = [(after - at) * len(points) / POINTS for at, after in zip(points, around, strict=True)]
    return min(shares), max(shares)

"""Assign a numbered seat to each instance of a fleet, so that their slices of the servers cover the list.

A seat is an ephemeral node `seat-N`, numbered from 0, which only one session can own; an instance takes the
lowest free one. Each seat has a fixed point on the ring of servers, whichever instance holds it and however
many seats are taken: the points are the van der Corput sequence in base 2, whose first n points leave no gap
above twice the smallest. So an instance that joins moves no other slice, and one that leaves moves at most
one: once a seat has been free for `hole_us`, the instance with the highest seat moves into it.

This module does no I/O. Sources: J. G. van der Corput, Verteilungsfunktionen (1935); docs/design/zookeeper.md
compares the options.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from random import Random
from typing import NamedTuple

MAX_SEATS = 4_096
RING_POINTS = 65_536  # points on the ring; the balancer gets this as the number of agents
MAX_CANDIDATES = 128  # free seats from which a claim is chosen at random
POINT_BITS = RING_POINTS.bit_length() - 1


def ring_point(seat: int) -> int:
    """Return the point on the ring at which the slice of this seat begins: its bit-reversed number.

    Raises:
        ValueError: The seat is negative or not below RING_POINTS.
    """
    if not 0 <= seat < RING_POINTS:
        raise ValueError(f"seat {seat} is not from 0 to {RING_POINTS - 1}")
    reversed_bits = 0
    for _ in range(POINT_BITS):
        reversed_bits = reversed_bits << 1 | seat & 1
        seat >>= 1
    return reversed_bits


class Claim(NamedTuple):
    """Try to create this seat's node after a delay; `on_claimed` or `on_claim_unknown` gets the result."""

    seat: int
    delay_us: int


class Release(NamedTuple):
    """Delete the node of this seat, which we own."""

    seat: int


class SeatChange(NamedTuple):
    """The slice begins at the point of this seat from now on.

    None means that we have no seat any more: the slice begins where the configuration says.
    """

    seat: int | None


class Wake(NamedTuple):
    """Call `on_timer` after this delay."""

    delay_us: int


Action = Claim | Release | SeatChange | Wake


class SessionState(Enum):
    """State of the session with the service."""

    CONNECTED = "held"
    DISCONNECTED = "silent"  # the session may still be alive
    EXPIRED = "lost"


@dataclass(frozen=True, slots=True)
class Settings:
    """Time limits of seat assignment, in microseconds.

    `hole_us` is how long a seat stays free before the instance with the highest seat moves into it, so that
    an instance that restarts gets its own seat again. `keep_us` is how long an instance keeps using its seat
    after it lost contact and its session may have expired; values below the session timeout make no sense.
    `spread_us` is the upper bound of the random delay before a claim.
    """

    hole_us: int = 10_000_000
    keep_us: int = 15_000_000
    spread_us: int = 200_000

    def __post_init__(self) -> None:
        for name in ("hole_us", "keep_us", "spread_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")


class SeatAllocator:
    """Assigns a seat to one instance. Its `on_...` methods return the actions to take.

    No two instances ever own the node of the same seat. An instance that has lost its session keeps using
    its seat until it holds another one, for at most `keep_us` after contact was lost. Another instance may
    own the node by then, so two instances may *use* the same seat for `keep_us` less the session timeout,
    plus the time that a claim takes.
    """

    def __init__(self, settings: Settings, seed: int, last: int | None = None) -> None:
        """Start without a seat; `last` is the seat before a restart, which is claimed first."""
        self._settings = settings
        self._random = Random(seed)
        self._taken: frozenset[int] = frozenset()
        self._holes: dict[int, int] = {}  # free seats below the highest taken one, and since when
        self._session_state = SessionState.DISCONNECTED
        self._contact_lost_at = -1
        self._pending_claim: int | None = None  # seat being claimed
        self.held: int | None = None  # seat whose node we own
        self.seat: int | None = last  # seat that determines the slice
        self._failed_claims = 0  # consecutive claims that another instance won
        self.moves = 0  # moves of the slice since the start

    @property
    def count(self) -> int:
        """The number of seats taken, as last read."""
        return len(self._taken)

    def on_session(self, session: SessionState, now: int) -> list[Action]:
        """Handle a change of the session state."""
        before, self._session_state = self._session_state, session
        if session is SessionState.DISCONNECTED:
            if before is SessionState.CONNECTED:
                self._contact_lost_at = now
                return [Wake(self._settings.keep_us)] if self.seat is not None else []
            return []
        if session is SessionState.EXPIRED:
            # The node is deleted with the session; the seat is used until another is held or `keep_us` is
            # over.
            self.held = self._pending_claim = None
            if before is SessionState.CONNECTED:
                self._contact_lost_at = now
            return [Wake(self._settings.keep_us)] if self.seat is not None else []
        self._contact_lost_at = -1
        return []

    def on_seats(self, taken: Collection[int], now: int) -> list[Action]:
        """Handle a read of the seat nodes that exist, made while the session is connected."""
        self._taken = frozenset(seat for seat in taken if 0 <= seat < MAX_SEATS)
        if self.held is not None and self.held not in self._taken and self._pending_claim is None:
            self.held = None  # our node has been deleted
        highest = max(self._taken, default=-1)
        holes = [seat for seat in range(highest) if seat not in self._taken]
        self._holes = {seat: self._holes.get(seat, now) for seat in holes}
        return self._decide(now)

    def on_lost(self, seat: int) -> None:
        """Record that the node of this seat is not ours any more; the next `on_seats` follows it up."""
        if self.held == seat:
            self.held = None

    def on_claimed(self, seat: int, is_ours: bool, now: int) -> list[Action]:
        """Handle the result of a claim: the node is ours, or another instance created it first."""
        if self._pending_claim != seat:
            return [Release(seat)] if is_ours and seat != self.held else []
        self._pending_claim = None
        if not is_ours:
            self._failed_claims += 1
            self._taken |= {seat}
            return self._decide(now) if self.held is None else []
        actions: list[Action] = []
        if self.held is not None:
            actions.append(Release(self.held))
        self.held = seat
        self._failed_claims = 0
        self._taken |= {seat}
        if self.seat != seat:
            self.seat = seat
            self.moves += 1
            actions.append(SeatChange(seat))
        return actions

    def on_claim_unknown(self, seat: int, now: int) -> list[Action]:
        """Handle a claim with an unknown result: the next read of the seats decides."""
        if self._pending_claim == seat:
            self._pending_claim = None
        return []

    def on_timer(self, now: int) -> list[Action]:
        """Handle a due `Wake`: move to a lower seat, or give up a seat that was kept for `keep_us`."""
        if self._session_state is SessionState.CONNECTED:
            return self._decide(now)
        if self.seat is None or not self._keep_time_over(now):
            return []
        self.seat = self.held = None
        return [SeatChange(None)]

    def _keep_time_over(self, now: int) -> bool:
        return self._contact_lost_at >= 0 and now >= self._contact_lost_at + self._settings.keep_us

    def _decide(self, now: int) -> list[Action]:
        if self._session_state is not SessionState.CONNECTED or self._pending_claim is not None:
            return []
        if self.held is None:
            return self._claim(self._choose_seat(), spread=True)
        # Only the instance with the highest seat moves, and only into a seat that was free for `hole_us`.
        if not self._holes or self.held != max(self._taken, default=-1):
            return []
        seat, since = min(self._holes.items())
        wait_us = since + self._settings.hole_us - now
        return [Wake(wait_us)] if wait_us > 0 else self._claim(seat, spread=False)

    def _choose_seat(self) -> int:
        if self.seat is not None and self.seat not in self._taken:
            return self.seat
        # A random one of the lowest free seats; the number of candidates doubles with each failed claim.
        # Otherwise all instances of a fleet that starts together would claim the same seat, one seat at a
        # time.
        free = (seat for seat in range(MAX_SEATS) if seat not in self._taken)
        candidates = [*islice(free, min(MAX_CANDIDATES, 1 << min(self._failed_claims, 16)))]
        return self._random.choice(candidates) if candidates else MAX_SEATS

    def _claim(self, seat: int, spread: bool) -> list[Action]:
        if seat >= MAX_SEATS:
            return []
        self._pending_claim = seat
        delay = int(self._random.random() * self._settings.spread_us) if spread else 0
        return [Claim(seat, delay)]


def gap_ratios(seats: Collection[int]) -> tuple[float, float]:
    """Return the smallest and largest gap between neighbours on the ring, as multiples of an even share."""
    points = sorted(ring_point(seat) for seat in seats)
    if not points:
        return math.nan, math.nan
    next_points = [*points[1:], points[0] + RING_POINTS]
    shares = [
        (following - start) * len(points) / RING_POINTS
        for start, following in zip(points, next_points, strict=True)
    ]
    return min(shares), max(shares)

"""Ring positions from the view: equal for equal views, with few moves, and none while the view changes."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from sorrelfront.decisions.fleet.placement import RingPosition, ring_positions
from sorrelfront.decisions.seat_allocation import RING_POINTS

NAMES = [f"h{host}/i{number}" for host in range(40) for number in range(4)]


def test_positions_depend_on_the_names_alone_and_are_distinct() -> None:
    for count in (1, 2, 3, 64, 65, 160):
        names = NAMES[:count]
        positions = ring_positions(names)
        assert positions == ring_positions(Random(count).sample(names, count))
        assert len(set(positions.values())) == count
        assert all(0 <= point < RING_POINTS for point in positions.values())


def count_moved(before: int, after: int) -> int:
    old, new = ring_positions(NAMES[:before]), ring_positions(NAMES[:after])
    return sum(old[name] != new[name] for name in NAMES[: min(before, after)])


def test_join_or_leave_moves_few_members() -> None:
    for step in (1, -1):
        moves = [count_moved(count, count + step) for count in range(20, 64)]
        assert sum(moves) / len(moves) <= 5
        assert max(moves) <= 20
    large = [count_moved(count, count + 1) for count in range(130, 150)]
    assert sum(large) / len(large) <= 2


def test_gaps_are_as_even_as_those_of_a_coordination_service() -> None:
    for count in (3, 50, 64):
        points = sorted(ring_positions(NAMES[:count]).values())
        gaps = [b - a for a, b in pairwise([*points, points[0] + RING_POINTS])]
        assert max(gaps) <= 2 * min(gaps)


def test_more_members_than_the_ring_can_hold_are_refused() -> None:
    with pytest.raises(ValueError, match="members on a ring"):
        ring_positions([str(number) for number in range(RING_POINTS // 2 + 1)])


def test_position_is_taken_once_the_view_is_stable() -> None:
    seat = RingPosition("h0/i0", settle_us=100)
    assert seat.on_view(NAMES[:4], 0) is None
    assert seat.on_view(NAMES[:5], 90) is None  # the view changed: the wait starts again
    assert seat.on_view(NAMES[:5], 150) is None
    assert seat.on_view(NAMES[:5], 190) == ring_positions(NAMES[:5])["h0/i0"]
    assert seat.on_view(NAMES[:5], 900) is None  # unchanged
    assert seat.on_view(NAMES[1:5], 1_000) is None
    assert seat.on_view(NAMES[1:5], 2_000) is None  # not in its own view: it keeps its position

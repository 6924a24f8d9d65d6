"""Places by the view: the same for all who see the same, few moves, and none while the view still changes."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from sorrelfront.decisions.fleet.seats import Seat, places
from sorrelfront.decisions.places import POINTS

NAMES = [f"h{host}/i{number}" for host in range(40) for number in range(4)]


def test_places_depend_on_the_names_alone_and_are_all_different() -> None:
    for count in (1, 2, 3, 64, 65, 160):
        names = NAMES[:count]
        found = places(names)
        assert found == places(Random(count).sample(names, count))
        assert len(set(found.values())) == count
        assert all(0 <= point < POINTS for point in found.values())


def moved(before: int, after: int) -> int:
    one, other = places(NAMES[:before]), places(NAMES[:after])
    return sum(one[name] != other[name] for name in NAMES[: min(before, after)])


def test_one_that_joins_or_leaves_moves_a_few() -> None:
    for step in (1, -1):
        moves = [moved(count, count + step) for count in range(20, 64)]
        assert sum(moves) / len(moves) <= 5
        assert max(moves) <= 20
    far = [moved(count, count + 1) for count in range(130, 150)]
    assert sum(far) / len(far) <= 2


def test_gaps_are_as_even_as_those_of_seats_that_a_service_keeps() -> None:
    for count in (3, 50, 64):
        points = sorted(places(NAMES[:count]).values())
        gaps = [b - a for a, b in pairwise([*points, points[0] + POINTS])]
        assert max(gaps) <= 2 * min(gaps)


def test_more_members_than_the_ring_has_room_for_are_refused() -> None:
    with pytest.raises(ValueError, match="members on a ring"):
        places([str(number) for number in range(POINTS // 2 + 1)])


def test_a_seat_is_taken_once_the_view_has_rested() -> None:
    seat = Seat("h0/i0", rest_us=100)
    assert seat.on_view(NAMES[:4], 0) is None
    assert seat.on_view(NAMES[:5], 90) is None  # it changed: the rest begins anew
    assert seat.on_view(NAMES[:5], 150) is None
    assert seat.on_view(NAMES[:5], 190) == places(NAMES[:5])["h0/i0"]
    assert seat.on_view(NAMES[:5], 900) is None  # nothing new
    assert seat.on_view(NAMES[1:5], 1_000) is None
    assert seat.on_view(NAMES[1:5], 2_000) is None  # it does not see itself: it stands back, and stays

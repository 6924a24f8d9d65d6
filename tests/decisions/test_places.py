"""Seats: never two for one, the least that moves, and what a join or a leave of one costs."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest

from sorrelfront.decisions.places import (
    POINTS,
    SEATS_MOST,
    Action,
    Claim,
    Places,
    Release,
    Session,
    Sit,
    Terms,
    Wake,
    gaps,
    point,
)

S = 1_000_000
TERMS = Terms(hole_us=5 * S, keep_us=10 * S, spread_us=1)


class Hall:
    """The service's nodes, and instances that take seats by it."""

    def __init__(self, count: int) -> None:
        self.now = 100 * S
        self.nodes: dict[int, Places] = {}
        self.everyone = [Places(TERMS, seed) for seed in range(count)]
        self.sits: list[tuple[Places, int | None]] = []
        self.timers: list[tuple[int, Places]] = []
        for one in self.everyone:
            self.join(one)

    def join(self, one: Places) -> None:
        self.do(one, one.on_session(Session.HELD, self.now))
        self.tell(one)
        self.settle()

    def tell(self, one: Places) -> None:
        self.do(one, one.on_seats([*self.nodes], self.now))

    def settle(self) -> None:
        """Everybody reads until nothing changes."""
        while True:
            before = dict(self.nodes)
            for one in self.everyone:
                if one._session is Session.HELD:
                    self.tell(one)
            if self.nodes == before:
                return

    def do(self, one: Places, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Claim(seat, _):
                    ours = seat not in self.nodes
                    if ours:
                        self.nodes[seat] = one
                    self.do(one, [*one.on_claimed(seat, ours, self.now)])
                case Release(seat):
                    assert self.nodes.pop(seat) is one
                case Sit(seat):
                    self.sits.append((one, seat))
                case Wake(delay_us):
                    self.timers.append((self.now + delay_us, one))

    def leave(self, one: Places) -> None:
        """Its session has ended, and its node with it."""
        self.nodes = {seat: who for seat, who in self.nodes.items() if who is not one}
        self.do(one, [*one.on_session(Session.LOST, self.now)])
        self.settle()

    def run(self, us: int) -> None:
        until = self.now + us
        while due := [item for item in self.timers if item[0] <= until]:
            first = min(due, key=lambda item: item[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.do(first[1], [*first[1].on_timer(self.now)])
            self.settle()
        self.now = until


def test_points_never_move_and_cover_the_ring() -> None:
    assert [point(seat) for seat in range(4)] == [0, POINTS // 2, POINTS // 4, 3 * POINTS // 4]
    assert len({point(seat) for seat in range(SEATS_MOST)}) == SEATS_MOST
    for count in range(1, 300):
        least, most = gaps(range(count))
        assert most <= 2 * least + 1e-9 and most < 2.0
    with pytest.raises(ValueError):
        point(POINTS)


def test_fifty_take_fifty_seats_and_a_join_moves_nobody() -> None:
    hall = Hall(50)
    assert sorted(hall.nodes) == list(range(50)) and len(hall.sits) == 50
    one = Places(TERMS, 77)
    hall.everyone.append(one)
    hall.join(one)
    assert one.seat == 50 and len(hall.sits) == 51
    assert all(who.count == 51 for who in hall.everyone)


def test_who_leaves_moves_one_at_most_and_only_after_a_while() -> None:
    hall = Hall(50)
    gone = hall.nodes[17]
    hall.sits.clear()
    hall.leave(gone)
    hall.run(TERMS.hole_us - 1)
    assert not hall.sits and 17 not in hall.nodes
    hall.run(2 * S)
    assert [seat for _, seat in hall.sits] == [17] and sorted(hall.nodes) == list(range(49))
    moved = hall.sits[0][0]
    assert moved.held == 17 and moved.moves == 2


def test_one_that_flaps_moves_nobody_and_gets_its_own_seat_again() -> None:
    hall = Hall(20)
    flapping = hall.nodes[5]
    hall.sits.clear()
    for _ in range(10):
        hall.leave(flapping)
        hall.run(1 * S)
        hall.join(flapping)
        hall.run(1 * S)
    assert not hall.sits and hall.nodes[5] is flapping and flapping.seat == 5


def test_one_that_comes_back_asks_for_its_own_seat_though_a_lower_one_is_free() -> None:
    hall = Hall(20)
    lower, own = hall.nodes[5], hall.nodes[7]
    hall.leave(lower)
    hall.leave(own)
    hall.sits.clear()
    hall.join(own)
    assert hall.nodes[7] is own and not hall.sits


def test_a_seat_is_gone_by_until_better_is_known_and_no_longer_than_stated() -> None:
    hall = Hall(3)
    one = hall.nodes[1]
    hall.do(one, [*one.on_session(Session.SILENT, hall.now)])
    hall.run(TERMS.keep_us - 1)
    assert one.seat == 1
    hall.run(2)
    assert one.seat is None and hall.sits[-1] == (one, None)
    # The node lived on, since the session did: it is found again.
    hall.nodes.pop(1)
    hall.join(one)
    assert one.seat == 1 and hall.nodes[1] is one


def test_another_may_have_taken_the_seat_meanwhile() -> None:
    hall = Hall(3)
    one = hall.nodes[1]
    hall.leave(one)
    other = Places(TERMS, 9)
    hall.everyone.append(other)
    hall.join(other)
    assert other.held == 1
    hall.join(one)
    assert one.held == 3 and one.seat == 3


def test_a_claim_that_came_too_late_or_to_nobody_knows_where() -> None:
    one = Places(TERMS, 1)
    one.on_session(Session.HELD, 0)
    (claim,) = one.on_seats([0, 1], 0)
    assert isinstance(claim, Claim) and claim.seat == 2
    assert one.on_seats([0, 1], 0) == []  # one claim at a time
    one.on_failed(2, 0)
    (claim,) = one.on_seats([0, 1, 2], 0)
    assert isinstance(claim, Claim) and claim.seat == 3
    assert one.on_claimed(2, True, 0) == [Release(2)]  # the one given up came through after all
    (claim,) = one.on_claimed(3, False, 0)
    assert isinstance(claim, Claim) and claim.seat in (4, 5)  # one of more, with each miss


def test_no_seat_beyond_the_most_and_none_of_bad_names() -> None:
    one = Places(TERMS, 1)
    one.on_session(Session.HELD, 0)
    assert one.on_seats(range(SEATS_MOST), 0) == []
    assert one.count == SEATS_MOST
    one.on_seats([-4, SEATS_MOST + 3, 1], 0)
    assert one.count == 1


def test_random_comings_and_goings_never_share_a_seat() -> None:
    for seed in range(40):
        random = Random(seed)
        hall = Hall(random.randint(2, 12))
        for _ in range(40):
            one = random.choice(hall.everyone)
            if one._session is Session.HELD:
                hall.leave(one)
            else:
                hall.join(one)
            hall.run(random.randint(0, 4 * S))
            held = [who.held for who in hall.everyone if who.held is not None]
            assert len(held) == len(set(held)) and all(hall.nodes[who.held] is who for who in hall.everyone
                                                        if who.held is not None)  # fmt: skip
        hall.run(60 * S)
        assert sorted(hall.nodes) == list(range(len(hall.nodes)))

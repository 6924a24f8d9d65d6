"""Seats: no two owners of one seat, few moves, and how many slices move when an instance joins or leaves."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest

from sorrelfront.decisions.seat_allocation import (
    MAX_SEATS,
    RING_POINTS,
    Action,
    Claim,
    Release,
    SeatAllocator,
    SeatChange,
    SessionState,
    Settings,
    Wake,
    gap_ratios,
    ring_point,
)

S = 1_000_000
SETTINGS = Settings(hole_us=5 * S, keep_us=10 * S, spread_us=1)


class Fleet:
    """Simulates the seat nodes of a service and the instances that claim them."""

    def __init__(self, count: int) -> None:
        self.now = 100 * S
        self.nodes: dict[int, SeatAllocator] = {}
        self.instances = [SeatAllocator(SETTINGS, seed) for seed in range(count)]
        self.changes: list[tuple[SeatAllocator, int | None]] = []
        self.timers: list[tuple[int, SeatAllocator]] = []
        for instance in self.instances:
            self.join(instance)

    def join(self, instance: SeatAllocator) -> None:
        self.do(instance, instance.on_session(SessionState.CONNECTED, self.now))
        self.tell(instance)
        self.settle()

    def tell(self, instance: SeatAllocator) -> None:
        self.do(instance, instance.on_seats([*self.nodes], self.now))

    def settle(self) -> None:
        """Let all connected instances read the seats until nothing changes."""
        while True:
            before = dict(self.nodes)
            for instance in self.instances:
                if instance._session_state is SessionState.CONNECTED:
                    self.tell(instance)
            if self.nodes == before:
                return

    def do(self, instance: SeatAllocator, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Claim(seat, _):
                    is_ours = seat not in self.nodes
                    if is_ours:
                        self.nodes[seat] = instance
                    self.do(instance, [*instance.on_claimed(seat, is_ours, self.now)])
                case Release(seat):
                    assert self.nodes.pop(seat) is instance
                case SeatChange(seat):
                    self.changes.append((instance, seat))
                case Wake(delay_us):
                    self.timers.append((self.now + delay_us, instance))

    def leave(self, instance: SeatAllocator) -> None:
        """End the session of an instance, and delete its node."""
        self.nodes = {seat: owner for seat, owner in self.nodes.items() if owner is not instance}
        self.do(instance, [*instance.on_session(SessionState.EXPIRED, self.now)])
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
    assert [ring_point(seat) for seat in range(4)] == [
        0,
        RING_POINTS // 2,
        RING_POINTS // 4,
        3 * RING_POINTS // 4,
    ]
    assert len({ring_point(seat) for seat in range(MAX_SEATS)}) == MAX_SEATS
    for count in range(1, 300):
        least, most = gap_ratios(range(count))
        assert most <= 2 * least + 1e-9 and most < 2.0
    with pytest.raises(ValueError):
        ring_point(RING_POINTS)


def test_fifty_instances_take_fifty_seats_and_a_join_moves_none() -> None:
    fleet = Fleet(50)
    assert sorted(fleet.nodes) == list(range(50)) and len(fleet.changes) == 50
    instance = SeatAllocator(SETTINGS, 77)
    fleet.instances.append(instance)
    fleet.join(instance)
    assert instance.seat == 50 and len(fleet.changes) == 51
    assert all(owner.count == 51 for owner in fleet.instances)


def test_a_leave_moves_at_most_one_and_only_after_the_delay() -> None:
    fleet = Fleet(50)
    gone = fleet.nodes[17]
    fleet.changes.clear()
    fleet.leave(gone)
    fleet.run(SETTINGS.hole_us - 1)
    assert not fleet.changes and 17 not in fleet.nodes
    fleet.run(2 * S)
    assert [seat for _, seat in fleet.changes] == [17] and sorted(fleet.nodes) == list(range(49))
    moved = fleet.changes[0][0]
    assert moved.held == 17 and moved.moves == 2


def test_an_instance_that_flaps_moves_none_and_gets_its_own_seat_again() -> None:
    fleet = Fleet(20)
    flapping = fleet.nodes[5]
    fleet.changes.clear()
    for _ in range(10):
        fleet.leave(flapping)
        fleet.run(1 * S)
        fleet.join(flapping)
        fleet.run(1 * S)
    assert not fleet.changes and fleet.nodes[5] is flapping and flapping.seat == 5


def test_a_returning_instance_claims_its_own_seat_though_a_lower_one_is_free() -> None:
    fleet = Fleet(20)
    lower, own = fleet.nodes[5], fleet.nodes[7]
    fleet.leave(lower)
    fleet.leave(own)
    fleet.changes.clear()
    fleet.join(own)
    assert fleet.nodes[7] is own and not fleet.changes


def test_a_seat_is_used_without_contact_for_at_most_the_keep_time() -> None:
    fleet = Fleet(3)
    instance = fleet.nodes[1]
    fleet.do(instance, [*instance.on_session(SessionState.DISCONNECTED, fleet.now)])
    fleet.run(SETTINGS.keep_us - 1)
    assert instance.seat == 1
    fleet.run(2)
    assert instance.seat is None and fleet.changes[-1] == (instance, None)
    # The instance claims its own seat again once it is connected.
    fleet.nodes.pop(1)
    fleet.join(instance)
    assert instance.seat == 1 and fleet.nodes[1] is instance


def test_another_instance_may_have_taken_the_seat() -> None:
    fleet = Fleet(3)
    instance = fleet.nodes[1]
    fleet.leave(instance)
    other = SeatAllocator(SETTINGS, 9)
    fleet.instances.append(other)
    fleet.join(other)
    assert other.held == 1
    fleet.join(instance)
    assert instance.held == 3 and instance.seat == 3


def test_lost_claims_and_claims_with_an_unknown_result() -> None:
    instance = SeatAllocator(SETTINGS, 1)
    instance.on_session(SessionState.CONNECTED, 0)
    (claim,) = instance.on_seats([0, 1], 0)
    assert isinstance(claim, Claim) and claim.seat == 2
    assert instance.on_seats([0, 1], 0) == []  # only one claim at a time
    instance.on_claim_unknown(2, 0)
    (claim,) = instance.on_seats([0, 1, 2], 0)
    assert isinstance(claim, Claim) and claim.seat == 3
    assert instance.on_claimed(2, True, 0) == [Release(2)]  # the claim with an unknown result had succeeded
    (claim,) = instance.on_claimed(3, False, 0)
    assert isinstance(claim, Claim) and claim.seat in (4, 5)  # more candidates after each failed claim


def test_no_seat_beyond_the_maximum_and_none_out_of_range() -> None:
    instance = SeatAllocator(SETTINGS, 1)
    instance.on_session(SessionState.CONNECTED, 0)
    assert instance.on_seats(range(MAX_SEATS), 0) == []
    assert instance.count == MAX_SEATS
    instance.on_seats([-4, MAX_SEATS + 3, 1], 0)
    assert instance.count == 1


def test_random_joins_and_leaves_never_share_a_seat() -> None:
    for seed in range(40):
        random = Random(seed)
        fleet = Fleet(random.randint(2, 12))
        for _ in range(40):
            instance = random.choice(fleet.instances)
            if instance._session_state is SessionState.CONNECTED:
                fleet.leave(instance)
            else:
                fleet.join(instance)
            fleet.run(random.randint(0, 4 * S))
            held = [owner.held for owner in fleet.instances if owner.held is not None]
            assert len(held) == len(set(held)) and all(
                fleet.nodes[owner.held] is owner for owner in fleet.instances if owner.held is not None
            )
        fleet.run(60 * S)
        assert sorted(fleet.nodes) == list(range(len(fleet.nodes)))

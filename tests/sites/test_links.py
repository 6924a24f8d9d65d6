"""Slow links: properties of the allocation, and shares in use that never exceed the capacity."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.sites import links
from sorrelfront.decisions.sites.links import Demand, Grant, LinkShare, TrafficClass, divide, max_min_shares

SECOND = 1_000_000
CLASSES = st.lists(
    st.builds(
        TrafficClass, st.sampled_from("abcd"), st.integers(0, 2), st.integers(1, 4), st.integers(0, 50),
        st.integers(0, 2),
    ),
    min_size=1, max_size=4, unique_by=lambda item: item.name,
)  # fmt: skip
WANTS = st.lists(
    st.tuples(st.sampled_from(["x", "y", "z"]), st.integers(0, 3), st.integers(0, 120)), max_size=10
)


@settings(derandomize=True, max_examples=400)
@given(
    st.dictionaries(st.sampled_from("abcde"), st.integers(0, 60), min_size=1),
    st.integers(0, 200),
    st.randoms(),
)
def test_max_min_shares_are_fair_and_use_the_whole_amount(
    wants: dict[str, int], amount: int, random: Random
) -> None:
    weights = {name: random.randrange(1, 5) for name in wants}
    found = max_min_shares(amount, wants, weights)
    assert sum(found.values()) == min(amount, sum(wants.values()))
    for name, given_ in found.items():
        assert 0 <= given_ <= wants[name]
        for other in found:
            if given_ < wants[name]:  # its demand is not met: nobody has more per weight, except for one unit
                assert (found[other] - 1) * weights[name] <= (given_ + 1) * weights[other]


@settings(derandomize=True, max_examples=400)
@given(CLASSES, WANTS, st.integers(0, 400))
def test_the_allocation_keeps_floors_and_priorities(
    classes: list[TrafficClass], wants: list[tuple[str, int, int]], capacity: int
) -> None:
    demands = [Demand(agent, classes[at % len(classes)].name, amount) for agent, at, amount in wants]
    found = divide(capacity, classes, demands)
    assert found == divide(capacity, reversed(classes), list(reversed(demands)))
    assert sum(found.values()) == min(capacity, sum(item.bytes_s for item in demands))
    wanted = {item.name: sum(row.bytes_s for row in demands if row.cls == item.name) for item in classes}
    had = {
        item.name: sum(amount for (_, name), amount in found.items() if name == item.name) for item in classes
    }
    if sum(min(item.floor, wanted[item.name]) for item in classes) <= capacity:
        assert all(had[item.name] >= min(item.floor, wanted[item.name]) for item in classes)
        for high in classes:
            for low in classes:
                if (high.priority, -high.worth) < (low.priority, -low.worth) and had[low.name] > low.floor:
                    assert (
                        had[high.name] == wanted[high.name]
                    )  # no demand is unmet while a lower priority has more than its floor


def test_invalid_demands_and_capacities_are_refused() -> None:
    with pytest.raises(ValueError, match="demand"):
        divide(10, [TrafficClass("a")], [Demand("x", "b", 1)])
    with pytest.raises(ValueError, match="demand"):
        divide(10, [TrafficClass("a")], [Demand("x", "a", -1)])
    with pytest.raises(ValueError, match="capacity"):
        divide(-1, [TrafficClass("a")], [])


class LinkSimulation:
    """Simulated agents on one link, each with its own clock rate.

    Messages are delayed, lost and duplicated; agents hang and restart. Invariant: what all agents together
    may send never exceeds the capacity.
    """

    def __init__(self, seed: int, make: Callable[[int, int, int, int], LinkShare]) -> None:
        self.random = random = Random(seed)
        self.make = make
        self.now = 0
        self.capacity = random.randrange(1_000, 100_000)
        count = random.randrange(2, 6)
        self.rates = [1 + random.uniform(-200, 200) / 1e6 for _ in range(count)]
        self.shares = [self.start(self.capacity // count, -10 * SECOND) for _ in range(count)]
        self.frozen = [0] * count
        self.most = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        for at in range(count):
            self.later(random.randrange(SECOND), partial(self.act, at))
        for _ in range(random.randrange(6)):
            self.later(random.randrange(20 * SECOND), self.fault)

    def later(self, delay: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + delay, self.random.getrandbits(40), what))

    def clock(self, at: int) -> int:
        return int(self.now * self.rates[at])

    def fault(self) -> None:
        at = self.random.randrange(len(self.shares))
        if self.random.random() < 0.5:
            self.frozen[at] = self.now + self.random.randrange(6 * SECOND)
        else:
            self.shares[at] = self.start(self.shares[at].own, self.clock(at))

    def start(self, own: int, began: int) -> LinkShare:
        return self.make(own, 2 * SECOND, began, self.random.getrandbits(48))

    def act(self, at: int) -> None:
        self.later(self.random.randrange(50_000, 600_000), partial(self.act, at))
        if self.frozen[at] > self.now:
            return
        other = self.random.randrange(len(self.shares))
        if other != at:
            number = self.shares[at].request(f"{other}", self.clock(at))
            self.send(partial(self.on_request, at, other, number))

    def send(self, what: Callable[[], None]) -> None:
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            self.later(int(10 ** self.random.uniform(3, 6.5)), what)

    def on_request(self, borrower: int, lender: int, number: int) -> None:
        if self.frozen[lender] > self.now:
            return
        wanted, spare = (self.random.randrange(self.capacity) for _ in range(2))
        grant = self.shares[lender].lend(f"{borrower}", number, wanted, spare, self.clock(lender))
        self.send(partial(self.on_grant, borrower, lender, grant))

    def on_grant(self, borrower: int, lender: int, grant: Grant) -> None:
        if self.frozen[borrower] <= self.now:
            self.shares[borrower].on_grant(f"{lender}", grant, self.clock(borrower))

    def run(self) -> int:
        """Run the simulation; return by how many bytes per second the capacity was exceeded at worst."""
        over = 0
        while self._heap and self.now < 25 * SECOND:
            self.now, _, what = heapq.heappop(self._heap)
            what()
            used = [share.usable(self.clock(at)) for at, share in enumerate(self.shares)]
            self.most = max(self.most, *used)
            over = max(over, sum(used) - self.capacity)
        return over


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_shares_in_use_never_exceed_the_capacity(first: int) -> None:
    lending = 0
    for seed in range(first, first + 50):
        simulation = LinkSimulation(seed, LinkShare)
        assert simulation.run() <= 0, seed
        lending += simulation.most > simulation.capacity // len(simulation.shares)
    assert lending > 25  # some capacity was lent


class LendsTwice(LinkShare):
    """Forgets a borrower's outstanding lease before it answers the next request."""

    def lend(self, borrower: str, number: int, wanted: int, spare: int, now: int) -> Grant:
        self.lent.pop(borrower, None)
        return LinkShare.lend(self, borrower, number, wanted, spare, now)


class IgnoresEarlierLeases(LinkShare):
    """Starts as if the previous incarnation had lent nothing."""

    def usable(self, now: int) -> int:
        self.began_us = -(10**9)
        return LinkShare.usable(self, now)


@pytest.mark.parametrize("planted", [LendsTwice, IgnoresEarlierLeases])
def test_the_simulation_finds_planted_defects(planted: type[LinkShare]) -> None:
    assert sum(LinkSimulation(seed, planted).run() > 0 for seed in range(60)) >= 5


def test_a_borrower_stops_early_enough_for_clock_drift() -> None:
    one, other = LinkShare(100, 2 * SECOND, -(10**9), 1), LinkShare(100, 2 * SECOND, -(10**9), 2)
    grant = one.lend("other", other.request("one", 0), 50, 50, 0)
    other.on_grant("one", grant, 0)
    end = 2 * SECOND - 2 * SECOND * links.DRIFT_PPM // 1_000_000
    assert other.usable(end - 1) == 150 and other.usable(end) == 100
    assert one.usable(2 * SECOND - 1) == 50 and one.usable(2 * SECOND) == 100


def test_a_grant_to_the_previous_incarnation_is_ignored() -> None:
    lender, before = LinkShare(100, 2 * SECOND, -(10**9), 1), LinkShare(100, 2 * SECOND, -(10**9), 40)
    late = lender.lend("other", before.request("one", 0), 50, 50, 0)
    fresh = LinkShare(100, 2 * SECOND, SECOND, 90)
    fresh.request("one", SECOND)
    fresh.on_grant("one", late, SECOND)
    assert not fresh.borrowed

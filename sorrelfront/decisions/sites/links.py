"""Bandwidth allocation on a slow link between sites, in whole bytes per second. No I/O.

`divide` computes the allocation: floors first, then priorities in order, among equal priorities the class
with the higher worth per byte, among equals weighted max-min (water filling; Bertsekas and Gallager 1992,
6.5.2), and within a class evenly among its agents. It is deterministic: every agent with the same input
computes the same shares.

`LinkShare` is one agent's share of a link. Each agent owns a fixed part of the capacity and leases what it
does not need to others (escrow, O'Neil 1986; leases, Gray and Cheriton 1989). The owner does not use what it
has lent until the lease has ended by the owner's clock, and the borrower stops earlier by its own clock. So
the shares in use never exceed the capacity, during any partition and whatever each agent believes of the
others' demand: different views cost utilization only.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

DRIFT_PPM = 400  # maximum difference in rate between two clocks
MAX_CAPACITY = 10**12  # bytes per second
MAX_PARTS = 4_096  # (agent, class) pairs on one link


class TrafficClass(NamedTuple):
    """A traffic class on a link.

    A lower `priority` is served first. `worth` is the worth of one byte, in the same unit for all classes.
    """

    name: str
    priority: int = 0
    weight: int = 1
    floor: int = 0  # bytes per second guaranteed before any class gets more than its floor
    worth: int = 0


class Demand(NamedTuple):
    """Bytes per second that an agent wants to send in one class."""

    agent: str
    cls: str
    bytes_s: int


def max_min_shares(amount: int, wants: Mapping[str, int], weights: Mapping[str, int]) -> dict[str, int]:
    """Divide an amount by weighted max-min fairness.

    No share exceeds its demand, the whole amount is used if demanded, and the share per unit of weight is
    smaller than another's only where the demand is met. Remaining single units go out in name order.
    """
    left, shares = max(0, amount), dict.fromkeys(wants, 0)
    unmet = sorted(
        (name for name in wants if wants[name] > 0), key=lambda name: (wants[name] / weights[name], name)
    )
    total = sum(weights[name] for name in unmet)
    while unmet:
        name = unmet[0]
        if wants[name] * total > left * weights[name]:
            break
        shares[name] = wants[name]
        left -= wants[name]
        total -= weights[name]
        unmet.pop(0)
    remaining = left
    for name in unmet:
        shares[name] = min(wants[name], remaining * weights[name] // total)
        left -= shares[name]
    for name in sorted(unmet):
        if left <= 0:
            break
        if shares[name] < wants[name]:
            shares[name] += 1
            left -= 1
    return shares


def divide(
    capacity: int, classes: Iterable[TrafficClass], demands: Iterable[Demand]
) -> dict[tuple[str, str], int]:
    """Return the bytes per second for each (agent, class).

    Raises:
        ValueError: If a demand or the capacity is invalid.
    """
    known = {item.name: item for item in classes}
    by_class: dict[str, dict[str, int]] = {name: {} for name in known}
    for item in demands:
        if item.cls not in known or item.bytes_s < 0:
            raise ValueError(f"invalid demand on this link: {item}")
        by_class[item.cls][item.agent] = by_class[item.cls].get(item.agent, 0) + item.bytes_s
    if not 0 <= capacity <= MAX_CAPACITY or sum(map(len, by_class.values())) > MAX_PARTS:
        raise ValueError(f"invalid capacity {capacity} for {sum(map(len, by_class.values()))} parts")
    wants = {name: sum(agents.values()) for name, agents in by_class.items()}
    floors = {name: min(known[name].floor, wants[name]) for name in known}
    given = max_min_shares(capacity, floors, {name: max(1, known[name].floor) for name in known})
    left = capacity - sum(given.values())
    ranks = sorted({(item.priority, -item.worth) for item in known.values()})
    for rank in ranks:
        same = [name for name, item in known.items() if (item.priority, -item.worth) == rank]
        more = max_min_shares(
            left,
            {name: wants[name] - given[name] for name in same},
            {name: known[name].weight for name in same},
        )
        for name, amount in more.items():
            given[name] += amount
            left -= amount
    return {
        (agent, name): amount
        for name, agents in by_class.items()
        for agent, amount in max_min_shares(given[name], agents, dict.fromkeys(agents, 1)).items()
    }


class Grant(NamedTuple):
    """A lease of `bytes_s` for `left_us` from the time of the request, by the borrower's clock.

    `number` is that of the request.
    """

    number: int
    bytes_s: int
    left_us: int


@dataclass(slots=True)
class _Lease:
    bytes_s: int
    until_us: int


@dataclass(slots=True)
class LinkShare:
    """One agent's share of one direction of a link.

    `own` is its configured part of the capacity in bytes per second; all parts together are no more than the
    capacity. Times are microseconds of this agent's clock.
    """

    own: int
    lease_us: int
    began_us: int  # start of this incarnation: leases granted by the previous one may still be running
    # Random for each incarnation: a delayed grant to the previous one would otherwise be taken for the
    # answer to a later request with the same number.
    first_number: int
    lent: dict[str, _Lease] = field(default_factory=dict)
    borrowed: dict[str, _Lease] = field(default_factory=dict)
    _requested: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # lender -> request number, time sent

    def usable(self, now: int) -> int:
        """Return the bytes per second it may send now: its own, less what is lent, plus what is borrowed."""
        self._expire(now)
        lent = sum(item.bytes_s for item in self.lent.values())
        if now < self.began_us + self.lease_us + self.lease_us * DRIFT_PPM // 1_000_000:
            lent = self.own
        return max(0, self.own - lent) + sum(item.bytes_s for item in self.borrowed.values())

    def _expire(self, now: int) -> None:
        for parts in (self.lent, self.borrowed):
            for name in [name for name, item in parts.items() if item.until_us <= now]:
                del parts[name]

    # Borrower side

    def request(self, lender: str, now: int) -> int:
        """Return the number for a request that is sent now; the lease time of a grant starts here."""
        number = self._requested.get(lender, (self.first_number, 0))[0] + 1
        self._requested[lender] = (number, now)
        return number

    def on_grant(self, lender: str, grant: Grant, now: int) -> None:
        """Replace what is borrowed from this lender; a grant for an earlier request is ignored."""
        number, requested = self._requested.get(lender, (-1, 0))
        if grant.number != number:
            return
        until = requested + grant.left_us - grant.left_us * DRIFT_PPM // 1_000_000
        if grant.bytes_s > 0 and until > now:
            self.borrowed[lender] = _Lease(grant.bytes_s, until)
        else:
            self.borrowed.pop(lender, None)

    # Lender side

    def lend(self, borrower: str, number: int, wanted: int, spare: int, now: int) -> Grant:
        """Answer a request for a lease.

        `spare` is the part of its own that this agent does not need by its own division. What was lent before
        stays lent until its lease ends, whatever is granted now: if a smaller grant is lost, the borrower
        still uses the larger one.
        """
        self._expire(now)
        if now < self.began_us + self.lease_us + self.lease_us * DRIFT_PPM // 1_000_000:
            return Grant(number, 0, 0)
        others = sum(item.bytes_s for name, item in self.lent.items() if name != borrower)
        granted = max(0, min(wanted, spare, self.own - others))
        before = self.lent.get(borrower)
        if before is not None and before.bytes_s > granted:
            # The borrower may use the larger grant until its lease ends; the smaller one ends with it.
            self.lent[borrower] = _Lease(before.bytes_s, before.until_us)
            left = max(0, before.until_us - now) if granted else 0
            return Grant(number, granted, left)
        if granted:
            self.lent[borrower] = _Lease(granted, now + self.lease_us)
        return Grant(number, granted, self.lease_us if granted else 0)

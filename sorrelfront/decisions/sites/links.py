"""How a thin link between sites is shared out: exact in whole bytes a second, and never over it. No I/O.

`divide` says who should have what: floors first, then priorities in order, among equal priorities the class
that is worth more a byte, among equals max-min by weight (water filling; Bertsekas and Gallager 1992, 6.5.2),
and within a class evenly among its agents. The same input gives the same shares, whoever computes.

`Holder` is one agent's hold on a link. Each agent owns a fixed part of the capacity, and lends what it does
not need to others for a while (escrow, O'Neil 1986; leases, Gray and Cheriton 1989): what is lent is not used
by its owner until the lease has ended by the owner's clock, and the borrower lets go before that by its own.
So at every moment of every partition, whatever anybody believes of the others' demand, all parts that are in
use sum up to no more than the capacity: views may differ, and cost only use."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

DRIFT_PPM = 400  # by which two clocks differ at most
CAPACITY_MOST = 10**12  # bytes a second
PARTS_MOST = 4_096  # agents and classes of one link


class Class(NamedTuple):
    """A traffic class. `priority`: lower goes first. `worth`: a byte's, in any one unit."""

    name: str
    priority: int = 0
    weight: int = 1
    floor: int = 0  # bytes a second that it has before any other has more than its own floor
    worth: int = 0


class Demand(NamedTuple):
    """Bytes a second that an agent would send of a class."""

    agent: str
    cls: str
    bytes_s: int


def fill(amount: int, wants: Mapping[str, int], weights: Mapping[str, int]) -> dict[str, int]:
    """Max-min by weight: nobody has more than it wants, all of the amount is used if it is wanted, and what
    one has a unit of weight is no less than another's unless it wants no more. Left-over single units go by
    name."""
    left, found = max(0, amount), dict.fromkeys(wants, 0)
    waiting = sorted(
        (name for name in wants if wants[name] > 0), key=lambda name: (wants[name] / weights[name], name)
    )
    total = sum(weights[name] for name in waiting)
    while waiting:
        name = waiting[0]
        if wants[name] * total > left * weights[name]:
            break
        found[name] = wants[name]
        left -= wants[name]
        total -= weights[name]
        waiting.pop(0)
    share = left
    for name in waiting:
        found[name] = min(wants[name], share * weights[name] // total)
        left -= found[name]
    for name in sorted(waiting):
        if left <= 0:
            break
        if found[name] < wants[name]:
            found[name] += 1
            left -= 1
    return found


def divide(capacity: int, classes: Iterable[Class], demands: Iterable[Demand]) -> dict[tuple[str, str], int]:
    """Bytes a second for each agent and class. Raises ValueError for what is no demand or capacity."""
    known = {item.name: item for item in classes}
    by_class: dict[str, dict[str, int]] = {name: {} for name in known}
    for item in demands:
        if item.cls not in known or item.bytes_s < 0:
            raise ValueError(f"no demand on this link: {item}")
        by_class[item.cls][item.agent] = by_class[item.cls].get(item.agent, 0) + item.bytes_s
    if not 0 <= capacity <= CAPACITY_MOST or sum(map(len, by_class.values())) > PARTS_MOST:
        raise ValueError(f"a capacity of {capacity} for {sum(map(len, by_class.values()))} parts")
    wants = {name: sum(agents.values()) for name, agents in by_class.items()}
    floors = {name: min(known[name].floor, wants[name]) for name in known}
    given = fill(capacity, floors, {name: max(1, known[name].floor) for name in known})
    left = capacity - sum(given.values())
    ranks = sorted({(item.priority, -item.worth) for item in known.values()})
    for rank in ranks:
        same = [name for name, item in known.items() if (item.priority, -item.worth) == rank]
        more = fill(
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
        for agent, amount in fill(given[name], agents, dict.fromkeys(agents, 1)).items()
    }


class Grant(NamedTuple):
    """Use so much of mine for so long from when you have asked, by your clock. `number`: of the ask."""

    number: int
    bytes_s: int
    left_us: int


@dataclass(slots=True)
class _Lent:
    bytes_s: int
    until_us: int


@dataclass(slots=True)
class Holder:
    """One agent's hold on one direction of a link. `own`: its part of the capacity, by the file; all parts
    sum up to no more than the capacity. Bytes a second; microseconds of this agent's clock."""

    own: int
    lease_us: int
    began_us: int  # of this life: what the one before has lent may still be in use for a lease
    # Drawn for each life. Risk: a grant that was long on its way to the life before would count from a later
    # ask of the same number.
    first: int
    lent: dict[str, _Lent] = field(default_factory=dict)
    borrowed: dict[str, _Lent] = field(default_factory=dict)
    _asked: dict[str, tuple[int, int]] = field(default_factory=dict)  # lender -> number, when

    def usable(self, now: int) -> int:
        """What it may send now: its own but for what is lent, and what it has borrowed."""
        self._expire(now)
        lent = sum(item.bytes_s for item in self.lent.values())
        if now < self.began_us + self.lease_us + self.lease_us * DRIFT_PPM // 1_000_000:
            lent = self.own
        return max(0, self.own - lent) + sum(item.bytes_s for item in self.borrowed.values())

    def _expire(self, now: int) -> None:
        for parts in (self.lent, self.borrowed):
            for name in [name for name, item in parts.items() if item.until_us <= now]:
                del parts[name]

    # As a borrower

    def ask(self, lender: str, now: int) -> int:
        """The number of an ask that is sent now: a grant counts from here."""
        number = self._asked.get(lender, (self.first, 0))[0] + 1
        self._asked[lender] = (number, now)
        return number

    def on_grant(self, lender: str, grant: Grant, now: int) -> None:
        """In place of what it had from this lender; one that answers no open ask is worth nothing."""
        number, asked = self._asked.get(lender, (-1, 0))
        if grant.number != number:
            return
        until = asked + grant.left_us - grant.left_us * DRIFT_PPM // 1_000_000
        if grant.bytes_s > 0 and until > now:
            self.borrowed[lender] = _Lent(grant.bytes_s, until)
        else:
            self.borrowed.pop(lender, None)

    # As a lender

    def lend(self, borrower: str, number: int, wanted: int, spare: int, now: int) -> Grant:
        """Answer an ask. `spare`: of its own, what this agent can do without by its division. What was lent
        before stays lent until its lease ends, whatever is granted now: the borrower may not have heard.
        Risk: a smaller grant that is lost leaves the larger one in use."""
        self._expire(now)
        if now < self.began_us + self.lease_us + self.lease_us * DRIFT_PPM // 1_000_000:
            return Grant(number, 0, 0)
        others = sum(item.bytes_s for name, item in self.lent.items() if name != borrower)
        granted = max(0, min(wanted, spare, self.own - others))
        before = self.lent.get(borrower)
        if before is not None and before.bytes_s > granted:
            # It may go on with the larger one to its end; then with this.
            self.lent[borrower] = _Lent(before.bytes_s, before.until_us)
            left = max(0, before.until_us - now) if granted else 0
            return Grant(number, granted, left)
        if granted:
            self.lent[borrower] = _Lent(granted, now + self.lease_us)
        return Grant(number, granted, self.lease_us if granted else 0)

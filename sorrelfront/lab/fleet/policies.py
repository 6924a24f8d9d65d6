"""Fleets that change their policy, in memory: seeds, a lossy network, crashes with disks, clocks that drift.

What is checked, over the whole history of a seed: every slot has one value, whoever learns it; the value was
proposed; at no moment does a member serve by an older version once any member has served by a newer one; what
was chosen is still what a voter says after any crash. """

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.policy import (
    FIRST,
    Chosen,
    Current,
    Grant,
    Holder,
    Keep,
    Need,
    Proposer,
    Record,
    Reject,
    Send,
    Value,
    Voter,
    Word,
    started,
)

SECOND = 1_000_000
LEASE_US = 3 * SECOND
VOTERS = ("v0", "v1", "v2")
PROPOSERS = ("p0", "p1")
DRIFT = 200e-6
CRASH = 0.05  # between any two things that a voter does
AGAIN_US = SECOND // 2  # before a proposer that heard nothing begins anew


@dataclass
class Clock:
    """A process's elapsed time, a little fast or slow."""

    rate: float

    def __call__(self, now: int) -> int:
        return int(now * self.rate)


@dataclass
class Seat:
    """One voter's process and its disk."""

    voter: Voter
    clock: Clock
    disk: Record | None
    up: bool = True


@dataclass
class Plants:
    """Planted defects, for tests that the checker finds them."""

    promise_first: bool = False  # told before it is durable
    wrong_end: bool = False  # a lease counts from when the grant arrives
    remembers: bool = False  # a voter without its disk votes as if it were new


@dataclass
class Run:
    """One seed."""

    seed: int
    plants: Plants = field(default_factory=Plants)
    members: int = 5
    broken: list[str] = field(default_factory=list)
    changes: int = 0  # slots that were decided

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.now = 0
        self.loss = self.random.choice((0.0, 0.2, 0.4))
        self.cut: set[str] = set()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.seats = {name: self._seat(name) for name in VOTERS}
        self.holders = {
            f"m{number}": Holder(f"m{number}", VOTERS, LEASE_US) for number in range(self.members)
        }
        self.clocks = {name: self._clock() for name in self.holders}
        self.frozen: dict[str, int] = {}  # members that are stopped, until when
        self.proposers: dict[str, Proposer] = {}
        self.offered: set[Value] = set()
        self.values: dict[int, Value] = {}
        self.newest = 0  # the newest version that any member has served by

    def _clock(self) -> Clock:
        return Clock(1 + self.random.uniform(-DRIFT, DRIFT))

    def _seat(self, name: str) -> Seat:
        clock = self._clock()
        return Seat(started(name, VOTERS, FIRST, LEASE_US, 0, fresh=True), clock, FIRST)

    # Events

    def at(self, after: int, then: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + after, self._count, then))

    def send(self, sender: str, to: str, word: Word) -> None:
        if self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < 0.05 else 1):
            # Now and then very late: after leases have ended, and after crashes.
            late = self.random.randrange(5 * SECOND) if self.random.random() < 0.05 else 0
            self.at(self.random.randrange(200, 20_000) + late, partial(self._come, sender, to, word))

    def _come(self, sender: str, to: str, word: Word) -> None:
        if (sender in self.cut) != (to in self.cut):
            return
        if to in self.seats:
            self._voter(to, word, sender)
        elif to in self.holders:
            self._holder(to, word)
        elif to in self.proposers:
            self._proposer(to, word)

    def _voter(self, name: str, word: Word, sender: str) -> None:
        seat = self.seats[name]
        if not seat.up:
            return
        voter, actions = seat.voter.step(word, sender, seat.clock(self.now))
        seat.voter = voter
        self._carry_out(name, actions)

    def _carry_out(self, name: str, actions: list[Keep | Send]) -> None:
        """In order; a crash may come between any two."""
        seat = self.seats[name]
        if self.plants.promise_first:
            actions = sorted(actions, key=lambda item: isinstance(item, Keep))
        for action in actions:
            if self.random.random() < CRASH:
                self._crash(name)
                return
            if isinstance(action, Keep):
                seat.disk = action.record
            else:
                if isinstance(action.word, Chosen | Current):
                    self._learnt(action.word)
                self.send(name, action.to, action.word)

    def _crash(self, name: str, lose_disk: bool = False) -> None:
        seat = self.seats[name]
        seat.up = False
        if lose_disk:
            seat.disk = FIRST if self.plants.remembers else None
        self.at(self.random.randrange(SECOND // 20, 2 * SECOND), partial(self._start, name))

    def _start(self, name: str) -> None:
        seat = self.seats[name]
        seat.up = True
        seat.voter = started(name, VOTERS, seat.disk, LEASE_US, seat.clock(self.now), fresh=False)
        self._ask(name)

    def _ask(self, name: str) -> None:
        """One that lost its memory asks until it is answered; one that is behind hears with the next
        change."""
        seat = self.seats[name]
        if seat.up and seat.voter.record is None:
            self._carry_out(name, seat.voter.begin())
            self.at(SECOND // 2, partial(self._ask, name))

    def _holder(self, name: str, word: Word) -> None:
        if self.frozen.get(name, 0) > self.now:
            self.at(self.frozen[name] - self.now, partial(self._holder, name, word))  # it lies in its socket
            return
        holder, now = self.holders[name], self.clocks[name](self.now)
        match word:
            case Grant():
                if self.plants.wrong_end:
                    word = word._replace(asked_us=now)
                self.holders[name] = holder.on_grant(word, now)
            case Current():
                self._learnt(word)
                holder, moved = holder.on_current(word)
                self.holders[name] = holder
                if moved:
                    for send in holder.released():
                        self.send(name, send.to, send.word)
                    self._renew_once(name)
            case Need():
                for slot in range(word.slot, holder.version + 1):
                    if slot in self.values:
                        self.send(name, word.who, Chosen(slot, self.values[slot]))
        self._serve(name)

    def _renew_once(self, name: str) -> None:
        for send in self.holders[name].renew(self.clocks[name](self.now)):
            self.send(name, send.to, send.word)

    def _renew(self, name: str) -> None:
        if self.frozen.get(name, 0) <= self.now:
            self._renew_once(name)
        self.at(LEASE_US // 4, partial(self._renew, name))

    def _serve(self, name: str) -> None:
        """A request comes in: by which version is it decided?"""
        if self.frozen.get(name, 0) > self.now:
            return
        version = self.holders[name].serves(self.clocks[name](self.now))
        if version is None:
            return
        if version < self.newest:
            self.broken.append(f"{self.now}: {name} serves by {version}, and {self.newest} was served by")
        self.newest = max(self.newest, version)

    def _request(self, name: str) -> None:
        self._serve(name)
        self.at(self.random.randrange(5_000, 50_000), partial(self._request, name))

    def _propose(self, name: str, number: int) -> None:
        slot = (
            max((seat.voter.record.slot for seat in self.seats.values() if seat.voter.record), default=0) + 1
        )
        value = Value(f"{name}-{number}", b"%d" % number, void=self.random.random() < 0.2)
        self.offered.add(value)
        proposer = Proposer(name, VOTERS, slot, value, (1, name))
        self.proposers[name] = proposer
        for send in proposer.begin():
            self.send(name, send.to, send.word)
        self.at(AGAIN_US, partial(self._press, name, proposer.value))

    def _press(self, name: str, value: Value) -> None:
        """A proposer that has no outcome yet begins a higher round; it may as well have been killed."""
        proposer = self.proposers.get(name)
        if proposer is None or proposer.value != value or proposer.outcome is not None:
            return
        if self.random.random() < 0.15:
            del self.proposers[name]  # killed; somebody else brings it to an end, or nobody
            return
        self.proposers[name], sends = proposer.again(proposer.ballot)
        for send in sends:
            self.send(name, send.to, send.word)
        self.at(AGAIN_US + self.random.randrange(AGAIN_US), partial(self._press, name, value))

    def _proposer(self, name: str, word: Word) -> None:
        proposer = self.proposers[name]
        before = proposer.outcome
        if isinstance(word, Reject):
            return  # the timer begins anew, above it or not
        if isinstance(word, Need):
            for slot in range(word.slot, proposer.slot):
                if slot in self.values:
                    self.send(name, word.who, Chosen(slot, self.values[slot]))
            return
        proposer, sends = proposer.step(word)
        self.proposers[name] = proposer
        if proposer.outcome is not None and before is None:
            self._learnt(Chosen(proposer.slot, proposer.outcome))
        for send in sends:
            self.send(name, send.to, send.word)

    def _learnt(self, word: Chosen | Current) -> None:
        known = self.values.setdefault(word.slot, word.value)
        if known != word.value:
            self.broken.append(f"{self.now}: slot {word.slot} holds {known.change} and {word.value.change}")
        if word.value not in self.offered:
            self.broken.append(f"{self.now}: nobody proposed {word.value}")

    def _trouble(self) -> None:
        match self.random.randrange(5):
            case 0:
                name = self.random.choice(VOTERS)
                if all(seat.up for seat in self.seats.values()):
                    self._crash(name)
            case 1:
                name = self.random.choice(VOTERS)
                sound = [seat for seat in self.seats.values() if seat.up and seat.disk is not None]
                if len(sound) == len(VOTERS) and not any(seat.disk.abstains for seat in sound if seat.disk):
                    self._crash(name, lose_disk=True)
            case 2:
                names = [*VOTERS, *self.holders, *PROPOSERS]
                self.cut = set(self.random.sample(names, self.random.randrange(1, len(names))))
            case 3:
                self.cut = set()
            case 4:
                name = self.random.choice(list(self.holders))
                self.frozen[name] = self.now + self.random.randrange(SECOND, 8 * SECOND)
        self.at(self.random.randrange(SECOND // 4, 2 * SECOND), self._trouble)

    def play(self, seconds: int = 40) -> Run:
        for name in self.holders:
            self.at(self.random.randrange(LEASE_US // 4), partial(self._renew, name))
            self.at(self.random.randrange(50_000), partial(self._request, name))
        for number in range(0, 16, 2):
            at = self.random.randrange(seconds * SECOND)
            for more, name in enumerate(PROPOSERS):  # two operators at once
                self.at(at + self.random.randrange(30_000), partial(self._propose, name, number + more))
        self.at(SECOND, self._trouble)
        while self._heap and self._heap[0][0] < seconds * SECOND and not self.broken:
            self.now, _, then = heapq.heappop(self._heap)
            then()
        self.changes = len(self.values)
        return self

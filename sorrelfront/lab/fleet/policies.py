"""Simulate policy changes of a fleet, with a lossy network, crashes with disks and clocks that drift.

Faults are drawn from a seed. Checked over the whole history of a seed: every slot has one value, whoever
learns it; the value was proposed; no member serves by an older version once any member has served by a newer
one; a voter still reports the chosen value after any crash.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.change import Change, State
from sorrelfront.decisions.fleet.policy import (
    EMPTY_RECORD,
    Accept,
    Chosen,
    Current,
    Grant,
    LearnRequest,
    LeaseHolder,
    Persist,
    PolicyMessage,
    Record,
    Send,
    ValidationReply,
    ValidationRequest,
    Value,
    Voter,
    start_voter,
)

SECOND = 1_000_000
LEASE_US = 3 * SECOND
VOTERS = ("v0", "v1", "v2")
PROPOSERS = ("p0", "p1")
MAX_DRIFT = 200e-6
CRASH_RATES = (0.0, 0.002, 0.05)  # probability between any two actions of a voter; one is drawn for each seed
REFUSAL_RATE = 0.01  # probability that a member refuses a check
KILL_RATE = 0.02  # probability that a proposer is killed, each time that its timer fires


@dataclass
class Clock:
    """A process's monotonic clock, which runs slightly fast or slow."""

    rate: float

    def __call__(self, now: int) -> int:
        """Return this clock's microseconds at the simulation's time `now`."""
        return int(now * self.rate)


@dataclass
class VoterNode:
    """A voter's process and its disk; None if the disk was lost."""

    voter: Voter
    clock: Clock
    disk: Record | None
    up: bool = True


@dataclass
class Defects:
    """Planted defects, for tests of the checker."""

    sends_before_write: bool = False  # a promise is sent before it is durable
    lease_from_arrival: bool = False  # a lease counts from the arrival of the grant
    votes_without_disk: bool = False  # a voter that lost its disk votes as if it were new
    # Members apply a change that is still being voted on and may be abandoned
    applies_undecided: bool = False


@dataclass
class Simulation:
    """One seed's simulation and the violations found in it."""

    seed: int
    defects: Defects = field(default_factory=Defects)
    members: int = 5
    contended: bool = False  # always two operators at once, no checks, frequent voter crashes
    violations: list[str] = field(default_factory=list)
    changes: int = 0  # slots that were decided

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.now = 0
        self.loss = self.random.choice((0.0, 0.2, 0.4))
        self.max_fault_gap_us = self.random.choice((2, 12)) * SECOND  # longest time between two faults
        self.crash_rate = 0.15 if self.contended else self.random.choice(CRASH_RATES)
        self.partitioned: set[str] = set()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.voter_nodes = {name: self._new_voter_node(name) for name in VOTERS}
        self.holders = {
            f"m{number}": LeaseHolder(f"m{number}", VOTERS, LEASE_US) for number in range(self.members)
        }
        self.clocks = {name: self._clock() for name in self.holders}
        self.frozen: dict[str, int] = {}  # suspended members -> until when
        self.proposers: dict[str, Change] = {}
        self.finished: set[Change] = set()
        self.reported_rejected: set[str] = set()  # changes that were reported to their proposer as not made
        self.in_force = 0  # count of changes that were reported to their proposer as in force
        self.proposed: set[Value] = set()
        self.decided: dict[int, Value] = {}
        self.newest_served = 0  # the newest version that any member has served by

    def _clock(self) -> Clock:
        return Clock(1 + self.random.uniform(-MAX_DRIFT, MAX_DRIFT))

    def _new_voter_node(self, name: str) -> VoterNode:
        clock = self._clock()
        return VoterNode(
            start_voter(name, VOTERS, EMPTY_RECORD, LEASE_US, 0, new_fleet=True), clock, EMPTY_RECORD
        )

    # Events

    def at(self, after: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after this many microseconds."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + after, self._count, callback))

    def send(self, sender: str, to: str, message: PolicyMessage) -> None:
        """Send a message; it may be lost, duplicated or delayed."""
        if self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < 0.05 else 1):
            # Some messages arrive very late: after leases have ended, and after crashes.
            late = self.random.randrange(5 * SECOND) if self.random.random() < 0.05 else 0
            self.at(self.random.randrange(200, 20_000) + late, partial(self._deliver, sender, to, message))

    def _deliver(self, sender: str, to: str, message: PolicyMessage) -> None:
        if (sender in self.partitioned) != (to in self.partitioned):
            return
        if to in self.voter_nodes:
            self._deliver_to_voter(to, message, sender)
        elif to in self.holders:
            self._deliver_to_holder(to, message)
        elif to in self.proposers:
            self._deliver_to_proposer(to, message)

    def _deliver_to_voter(self, name: str, message: PolicyMessage, sender: str) -> None:
        node = self.voter_nodes[name]
        if not node.up:
            return
        voter, actions = node.voter.step(message, sender, node.clock(self.now))
        node.voter = voter
        self._perform(name, actions)

    def _perform(self, name: str, actions: list[Persist | Send]) -> None:
        """Perform the actions in order; a crash may come between any two."""
        node = self.voter_nodes[name]
        if self.defects.sends_before_write:
            actions = sorted(actions, key=lambda item: isinstance(item, Persist))
        for action in actions:
            if self.random.random() < self.crash_rate:
                self._crash(name)
                return
            if isinstance(action, Persist):
                node.disk = action.record
            else:
                if isinstance(action.message, Chosen | Current):
                    self._check_decided(action.message)
                self.send(name, action.to, action.message)

    def _crash(self, name: str, lose_disk: bool = False) -> None:
        node = self.voter_nodes[name]
        node.up = False
        if lose_disk:
            node.disk = EMPTY_RECORD if self.defects.votes_without_disk else None
        low, high = (SECOND // 40, SECOND // 20) if self.contended else (SECOND // 20, 2 * SECOND)
        self.at(self.random.randrange(low, high), partial(self._start, name))

    def _start(self, name: str) -> None:
        node = self.voter_nodes[name]
        node.up = True
        node.voter = start_voter(name, VOTERS, node.disk, LEASE_US, node.clock(self.now), new_fleet=False)
        self._query_voters(name)

    def _query_voters(self, name: str) -> None:
        """Query the other voters, once; `_catch_up` repeats it.

        A voter without a record asks for its state until it is answered. The others ask what was chosen
        meanwhile.
        """
        node = self.voter_nodes[name]
        if node.up:
            record = node.voter.record
            queries = node.voter.recovery_actions()
            if record is not None:
                queries = [
                    Send(other, LearnRequest(record.slot + 1, name)) for other in VOTERS if other != name
                ]
            self._perform(name, queries)

    def _catch_up(self, name: str) -> None:
        self._query_voters(name)
        self.at(SECOND, partial(self._catch_up, name))

    def _deliver_to_holder(self, name: str, message: PolicyMessage) -> None:
        if self.frozen.get(name, 0) > self.now:
            # The message waits in the socket.
            self.at(self.frozen[name] - self.now, partial(self._deliver_to_holder, name, message))
            return
        holder, now = self.holders[name], self.clocks[name](self.now)
        match message:
            case Grant():
                if self.defects.lease_from_arrival:
                    message = message._replace(asked_us=now)
                self.holders[name] = holder.on_grant(message, now)
            case Current():
                self._check_decided(message)
                holder, moved = holder.on_current(message)
                self.holders[name] = holder
                if moved:
                    for send in holder.release_messages():
                        self.send(name, send.to, send.message)
                    self._renew_once(name)
            case ValidationRequest():
                fault = "no" if self.random.random() < REFUSAL_RATE else ""
                self.send(name, message.requester, ValidationReply(message.number, name, fault))
        self._serve(name)

    def _renew_once(self, name: str) -> None:
        for send in self.holders[name].renew(self.clocks[name](self.now)):
            self.send(name, send.to, send.message)

    def _renew(self, name: str) -> None:
        if self.frozen.get(name, 0) <= self.now:
            self._renew_once(name)
        self.at(LEASE_US // 4, partial(self._renew, name))

    def _serve(self, name: str) -> None:
        """Serve a request and check the policy version that decides it."""
        if self.frozen.get(name, 0) > self.now:
            return
        version = self.holders[name].serving_version(self.clocks[name](self.now))
        if version is None:
            return
        if version < self.newest_served:
            self.violations.append(
                f"{self.now}: {name} serves by {version} after {self.newest_served} was served by"
            )
        self.newest_served = max(self.newest_served, version)

    def _request(self, name: str) -> None:
        self._serve(name)
        self.at(self.random.randrange(5_000, 50_000), partial(self._request, name))

    def _propose(self, name: str, number: int) -> None:
        void = self.contended or self.random.random() < 0.2  # an abandoned change is not checked first
        value = Value(f"{name}-{number}", b"%d" % number, void)
        self.proposed.add(value)
        alive = [item for item in self.holders if self.frozen.get(item, 0) <= self.now]
        change = Change(name, VOTERS, value, None, LEASE_US, alive, self.random, self.now)
        self.proposers[name] = change
        self._run_proposer_timer(name, change)

    def _run_proposer_timer(self, name: str, change: Change) -> None:
        """Run the proposer's timer; the proposer may be killed instead."""
        if self.proposers.get(name) is not change or change.done:
            return
        if self.random.random() < KILL_RATE:
            del self.proposers[name]  # another proposer completes the change, or none does
            return
        self._send_all(name, change.on_timer(self.now))
        self._check_outcome(change)
        self.at(max(1, change.next_due_us() - self.now), partial(self._run_proposer_timer, name, change))

    def _deliver_to_proposer(self, name: str, message: PolicyMessage) -> None:
        change = self.proposers[name]
        if change.done:
            return
        sends = change.on_message(message, self.now)
        if self.defects.applies_undecided:
            early = [send.message for send in sends if isinstance(send.message, Accept)][:1]
            for accept in early:
                self._send_all(name, [Send(to, Current(accept.slot, accept.value)) for to in self.holders])
        self._send_all(name, sends)
        self._check_outcome(change)

    def _send_all(self, name: str, sends: list[Send]) -> None:
        for send in sends:
            if isinstance(send.message, Chosen | Current) and not self.defects.applies_undecided:
                self._check_decided(send.message)
            self.send(name, send.to, send.message)

    def _check_outcome(self, change: Change) -> None:
        """Check that an outcome reported to a proposer is true and stays true."""
        if not change.done or change in self.finished:
            return
        self.finished.add(change)
        outcome = change.outcome
        if outcome.state is State.IN_FORCE:
            self.in_force += 1
            self.newest_served = max(self.newest_served, outcome.version)
            if self.decided.get(outcome.version, change.value).change != change.value.change:
                self.violations.append(f"{self.now}: {change.value.change} is reported in force and is not")
        elif outcome.state is State.NOT_IN_FORCE:
            self.reported_rejected.add(change.value.change)
            if any(value.change in self.reported_rejected for value in self.decided.values()):
                self.violations.append(
                    f"{self.now}: {change.value.change} was decided on and is reported as rejected"
                )

    def _check_decided(self, message: Chosen | Current) -> None:
        known = self.decided.setdefault(message.slot, message.value)
        if known != message.value:
            self.violations.append(
                f"{self.now}: slot {message.slot} holds {known.change} and {message.value.change}"
            )
        if message.value.change in self.reported_rejected:
            self.violations.append(
                f"{self.now}: {message.value.change} was reported as rejected and is decided on"
            )
        if message.value not in self.proposed:
            self.violations.append(f"{self.now}: nobody proposed {message.value}")

    def _inject_fault(self) -> None:
        match self.random.randrange(5):
            case 0:
                name = self.random.choice(VOTERS)
                if all(node.up for node in self.voter_nodes.values()):
                    self._crash(name)
            case 1:
                name = self.random.choice(VOTERS)
                healthy = [node for node in self.voter_nodes.values() if node.up and node.disk is not None]
                if len(healthy) == len(VOTERS) and not any(
                    node.disk.abstain_through_slot for node in healthy if node.disk
                ):
                    self._crash(name, lose_disk=True)
            case 2:
                names = [*VOTERS, *self.holders, *PROPOSERS]
                self.partitioned = set(self.random.sample(names, self.random.randrange(1, len(names))))
            case 3:
                self.partitioned = set()
            case 4:
                name = self.random.choice(list(self.holders))
                self.frozen[name] = self.now + self.random.randrange(SECOND, 8 * SECOND)
        self.at(self.random.randrange(SECOND // 4, self.max_fault_gap_us), self._inject_fault)

    def run(self, seconds: int = 40) -> Simulation:
        """Run the simulation for this many virtual seconds, or to the first violation; return itself."""
        for name in self.holders:
            self.at(self.random.randrange(LEASE_US // 4), partial(self._renew, name))
            self.at(self.random.randrange(50_000), partial(self._request, name))
        for number in range(0, 80 if self.contended else 16, 2):
            at = self.random.randrange(seconds * SECOND)
            concurrent = self.contended or self.random.random() < 0.5  # two operators at once
            for offset, name in enumerate(PROPOSERS[: 1 + concurrent]):
                self.at(at + self.random.randrange(30_000), partial(self._propose, name, number + offset))
        for name in VOTERS:
            self.at(self.random.randrange(SECOND), partial(self._catch_up, name))
        self.at(SECOND, self._inject_fault)
        while self._heap and self._heap[0][0] < seconds * SECOND and not self.violations:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.changes = len(self.decided)
        return self

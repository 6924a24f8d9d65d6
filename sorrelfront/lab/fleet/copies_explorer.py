"""Explore every order of events of a small fleet with copies: three members, two of which write two keys.

The search is breadth first and visits each state once. An event is one of: an owner puts or deletes a key;
two members compare and fetch what they lack; a member is killed and restarts, with its disk or, once,
without. Messages in flight when a comparison breaks off are left to the seeds (`copies.py`). In every state
reached, the members compare until nothing changes. Then all must have one digest and, of each key, what its
owner wrote last, unless the only member that had it lost its disk.
"""

from __future__ import annotations

import copy
from collections.abc import Sequence
from itertools import combinations
from random import Random
from typing import NamedTuple

from sorrelfront.decisions.fleet.replicas import (
    SUPERSEDED_PREFIX,
    Action,
    Change,
    ReplicaStore,
    Send,
    Settings,
    Write,
)
from sorrelfront.lab.fleet.copies import CopiesFactory

MEMBERS = ("a/i", "b/i", "c/i")
OWNERS = MEMBERS[:2]
KEYS = ("x", "y")
SETTINGS = Settings(alone_us=1)
STEP_US = 1_000
MAX_ROUNDS = 6  # of comparisons of all pairs, within which a state has to settle


class Result(NamedTuple):
    """The result of an exploration."""

    states: int
    depth: int  # to which all states were visited
    violation: str  # the violation found; empty if none


class Model:
    """One state of the whole system: members, disks and what the owners wrote."""

    def __init__(self, make: CopiesFactory = ReplicaStore) -> None:
        self.make = make
        self.now = 0
        self.disks: dict[str, list[Change]] = {name: [] for name in MEMBERS}
        self.members: dict[str, ReplicaStore] = {}
        self.written: dict[tuple[str, str], bytes | None] = {}
        self.replicated: dict[tuple[str, str], bytes | None] = {}  # what another member has too
        self.disk_losses = 0
        self.writes = 0
        for name in MEMBERS:
            self.start(name)

    def start(self, name: str) -> None:
        """Start the member from its disk."""
        random = Random(f"{name}/{self.now}")
        one = self.members[name] = self.make(name, SETTINGS, random, self.now, list(self.disks[name]), "reg")
        if not self.disks[name]:
            # It has no peers at first, so its book begins at once.
            self.do(name, one.on_timer(self.now + 1, []))

    def do(self, name: str, actions: Sequence[Action], other: str = "") -> list[Send]:
        """Complete the writes among the actions at once; return the messages to `other`."""
        sends = []
        one = self.members[name]
        for action in actions:
            if isinstance(action, Write):
                self.disks[name].append(action.change)
                sends += self.do(name, list(one.on_written(action.number, self.now)), other)
            elif isinstance(action, Send) and action.to == other:
                sends.append(action)
        return sends

    def compare(self, one: str, other: str) -> None:
        """Have two members compare until neither has anything more to send to the other."""
        self.now += STEP_US
        messages = []
        for name, peer in ((one, other), (other, one)):
            member = self.members[name]
            member.peers = [peer]
            sends = self.do(
                name, list(member.on_message(peer, self.members[peer]._digest_message(), self.now)), peer
            )
            messages += [(name, peer, item.message) for item in sends]
        for _ in range(200):
            if not messages:
                break
            src, dst, message = messages.pop(0)
            sends = self.do(dst, list(self.members[dst].on_message(src, message, self.now)), src)
            messages += [(dst, src, item.message) for item in sends]
        for name in (one, other):
            member = self.members[name]
            member._fetches.clear()
            if member.own_replica is None:
                member._start_incarnation()
                self.do(name, list(member._take_actions()))
            if name in OWNERS:
                self.replicated.update({at: value for at, value in self.written.items() if at[0] == name})

    def write(self, name: str, key: str) -> bool:
        """Put the key, or delete it if it exists; return False before the book has begun."""
        one = self.members[name]
        if one.own_replica is None:
            return False
        self.now += STEP_US
        self.writes += 1
        if key in one.own_replica.entries:
            one.delete(key, self.now)
            self.written[name, key] = None
        else:
            one.put(key, b"%d" % self.writes, self.now)
            self.written[name, key] = b"%d" % self.writes
        self.do(name, list(one._take_actions()))
        return True

    def restart(self, name: str, loses_disk: bool) -> None:
        """Kill and start the member; with `loses_disk` only what another member has is still expected."""
        self.now += STEP_US
        if loses_disk:
            self.disk_losses += 1
            self.disks[name] = []
            for pair in [pair for pair in self.written if pair[0] == name]:
                self.written[pair] = self.replicated.get(pair)
        self.start(name)

    def signature(self) -> object:
        """Return the state without what does not matter: births, times, numbers of writes."""
        members = []
        for one in self.members.values():
            books = sorted(
                (
                    id.owner, id.epoch, book.seq,
                    tuple(sorted((key, item.seq, item.value is None) for key, item in book.entries.items()
                                 if not key.startswith(SUPERSEDED_PREFIX))),
                    tuple(book.tombstones),
                )
                for id, book in one.replicas.items()
            )  # fmt: skip
            members.append((tuple(books), one.own_replica is None, one.gc_epoch))
        written = tuple(sorted((at, value is None) for at, value in self.written.items()))
        replicated = tuple(
            sorted((at, value == self.written.get(at)) for at, value in self.replicated.items())
        )
        return tuple(members), written, replicated, self.disk_losses

    def violation(self) -> str:
        """Return what is violated once the members have compared; empty if nothing."""
        model = copy.deepcopy(self)
        for _ in range(MAX_ROUNDS):
            before = [one.digest() for one in model.members.values()]
            for one, other in combinations(MEMBERS, 2):
                model.compare(one, other)
            if before == [one.digest() for one in model.members.values()]:
                break
        digests = {one.digest() for one in model.members.values()}
        if len(digests) > 1:
            return f"{len(digests)} digests"
        for (owner, key), value in model.written.items():
            held = {stored for id, stored in model.members["c/i"].values(key) if id.owner == owner}
            if held != (set() if value is None else {value}):
                return f"{owner} {key}: {held}, and {value!r} was written last"
        return ""


def successors(model: Model) -> list[Model]:
    """Return every state that one event leads to."""
    models = []
    for one, other in combinations(MEMBERS, 2):
        after = copy.deepcopy(model)
        after.compare(one, other)
        models.append(after)
    for name in OWNERS:
        for key in KEYS:
            after = copy.deepcopy(model)
            if after.write(name, key):
                models.append(after)
    for name in MEMBERS:
        for loses_disk in (False, True):
            if loses_disk and model.disk_losses:
                continue
            after = copy.deepcopy(model)
            after.restart(name, loses_disk)
            models.append(after)
    return models


def explore(depth: int, make: CopiesFactory = ReplicaStore) -> Result:
    """Visit every state within `depth` events of the start; stop at the first violation."""
    first = Model(make)
    seen = {first.signature()}
    frontier = [first]
    for step in range(depth):
        next_frontier: list[Model] = []
        for model in frontier:
            for after in successors(model):
                signature = after.signature()
                if signature in seen:
                    continue
                seen.add(signature)
                violation = after.violation()
                if violation:
                    return Result(len(seen), step, violation)
                next_frontier.append(after)
        frontier = next_frontier
    return Result(len(seen), depth, "")

"""Every order of events of a small fleet that decides on a policy: three voters, two proposers, crashes,
losses.

Breadth first over states, each visited once. A word that was sent may be delivered at any later time, any
number of times or never, so losses, repetitions and every order are covered by words that stay; a crash takes
what a voter has only in memory. Checked in every state: at most one value is chosen in the slot, and it was
proposed."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sorrelfront.decisions.fleet.policy import (
    FIRST,
    Accept,
    Accepted,
    Ballot,
    Keep,
    Prepare,
    Promise,
    Proposer,
    Record,
    Reject,
    Send,
    Value,
    Voter,
    Word,
)

VOTERS = ("a", "b", "c")
PROPOSERS = ("p", "q")
VALUES = (Value("x", b"X"), Value("y", b"Y"))


class World(NamedTuple):
    """A state of all of it. `sent` are words that may still come, `votes` what was ever accepted."""

    voters: tuple[Voter, ...]
    disks: tuple[Record | None, ...]
    proposers: tuple[Proposer, ...]
    sent: frozenset[tuple[str, str, Word]]
    votes: frozenset[tuple[str, Ballot, Value]]
    crashes: int


class Found(NamedTuple):
    states: int
    depth: int  # to which all states were visited
    whole: bool  # nothing was left to visit
    broken: str  # empty if all held


Plant = Callable[[Voter, list[Keep | Send], Record | None], Record | None]


def durable(voter: Voter, actions: list[Keep | Send], disk: Record | None) -> Record | None:
    """What is on disk after a step: the last that was kept."""
    for action in actions:
        if isinstance(action, Keep):
            disk = action.record
    return disk


def never_kept(voter: Voter, actions: list[Keep | Send], disk: Record | None) -> Record | None:
    """A planted defect: promises are told before they are durable, and a crash comes in between."""
    return disk


def start() -> World:
    voters = tuple(Voter(name, VOTERS, FIRST, 1_000, 0) for name in VOTERS)
    proposers = tuple(
        Proposer(name, VOTERS, 1, value, (1, name)) for name, value in zip(PROPOSERS, VALUES, strict=True)
    )
    sent = frozenset(
        (proposer.name, send.to, send.word) for proposer in proposers for send in proposer.begin()
    )
    return World(voters, (FIRST,) * len(VOTERS), proposers, sent, frozenset(), 0)


def chosen(world: World) -> set[Value]:
    """Values that a majority has accepted in one ballot, ever."""
    counts: dict[tuple[Ballot, Value], int] = {}
    for _, ballot, value in world.votes:
        counts[ballot, value] = counts.get((ballot, value), 0) + 1
    return {value for (_, value), count in counts.items() if count > len(VOTERS) // 2}


def nexts(world: World, rounds: int, crashes: int, plant: Plant) -> list[World]:
    """Every state that one event leads to: a word reaches a voter, or a voter crashes and starts again.

    What a voter answers reaches its proposer at once or never. That leaves nothing out: a proposer goes by
    which answers it had and not by when, and what it sends on may still come at any later time."""
    found = []
    for sender, to, word in world.sent:
        found += _voted(world, VOTERS.index(to), sender, word, rounds, plant)
    if world.crashes < crashes:
        for at, voter in enumerate(world.voters):
            back = voter._replace(record=world.disks[at], leases=(), told=())
            voters = (*world.voters[:at], back, *world.voters[at + 1 :])
            found.append(world._replace(voters=voters, crashes=world.crashes + 1))
    return found


def _voted(world: World, at: int, sender: str, word: Word, rounds: int, plant: Plant) -> list[World]:
    voter, actions = world.voters[at].step(word, sender, 0)
    disk = plant(voter, actions, world.disks[at])
    votes = set(world.votes)
    answers: list[tuple[str, Word]] = []
    for action in actions:
        if isinstance(action, Send):
            answers.append((action.to, action.word))
            if isinstance(action.word, Accepted) and isinstance(word, Accept):
                votes.add((voter.name, word.ballot, word.value))
    lost = world._replace(
        voters=(*world.voters[:at], voter, *world.voters[at + 1 :]),
        disks=(*world.disks[:at], disk, *world.disks[at + 1 :]),
        votes=frozenset(votes),
    )
    heard = lost
    for to, answer in answers:
        if to in PROPOSERS:
            heard = _proposed(heard, PROPOSERS.index(to), answer, rounds)
    return [lost] if heard == lost else [lost, heard]


def _proposed(world: World, at: int, word: Word, rounds: int) -> World:
    proposer = world.proposers[at]
    if isinstance(word, Reject):
        # Only what answers the round under way, or each old one would begin another.
        if proposer.ballot[0] >= rounds or word.ballot <= proposer.ballot:
            return world
        proposer, sends = proposer.again(word.ballot)
    else:
        proposer, sends = proposer.step(word)
    sent = set(world.sent) | {(proposer.name, send.to, send.word) for send in sends}
    proposers = (*world.proposers[:at], proposer, *world.proposers[at + 1 :])
    return world._replace(proposers=proposers, sent=frozenset(sent))


def explore(
    depth: int, rounds: int = 2, crashes: int = 1, plant: Plant = durable, most: int = 2_000_000
) -> Found:
    """Visit every state that so many events lead to, `most` at the most."""
    first = start()
    seen = {first}
    edge = [first]
    for step in range(depth):
        fresh: list[World] = []
        for world in edge:
            for after in nexts(world, rounds, crashes, plant):
                if after in seen:
                    continue
                values = chosen(after)
                outcomes = {item.outcome for item in after.proposers if item.outcome is not None}
                if len(values | outcomes) > 1:
                    return Found(len(seen), step, False, f"two outcomes: {sorted(values | outcomes)}")
                if not outcomes <= set(VALUES):
                    return Found(len(seen), step, False, f"a value that nobody proposed: {outcomes}")
                seen.add(after)
                fresh.append(after)
                if len(seen) >= most:
                    return Found(len(seen), step, False, "")
        if not fresh:
            return Found(len(seen), step, True, "")
        edge = fresh
    return Found(len(seen), depth, False, "")


__all__ = ["Found", "Prepare", "Promise", "World", "durable", "explore", "never_kept", "start"]

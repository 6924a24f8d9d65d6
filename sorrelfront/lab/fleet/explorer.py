"""Explore every order of events of a small fleet that decides on a policy.

There are three voters and two proposers, with crashes and losses. The search is breadth first and visits each
state once. A sent message may be delivered at any later time, any number of times or never: sent messages are
never removed, which covers losses, duplicates and every order. A crash loses what a voter has only in memory.
Checked in every state: at most one value is chosen in the slot, and it was proposed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sorrelfront.decisions.fleet.policy import (
    EMPTY_RECORD,
    Accept,
    Accepted,
    Ballot,
    Persist,
    PolicyMessage,
    Prepare,
    Promise,
    Proposer,
    Record,
    Reject,
    Send,
    Value,
    Voter,
)

VOTERS = ("a", "b", "c")
PROPOSERS = ("p", "q")
VALUES = (Value("x", b"X"), Value("y", b"Y"))


class Model(NamedTuple):
    """One state of the system; `sent` are messages that may still arrive, `votes` all votes ever cast."""

    voters: tuple[Voter, ...]
    disks: tuple[Record | None, ...]
    proposers: tuple[Proposer, ...]
    sent: frozenset[tuple[str, str, PolicyMessage]]
    votes: frozenset[tuple[str, Ballot, Value]]
    crashes: int


class Result(NamedTuple):
    """The result of an exploration."""

    states: int
    depth: int  # to which all states were visited
    complete: bool  # no state was left to visit
    violation: str  # the violation found; empty if none


DiskModel = Callable[[Voter, list[Persist | Send], Record | None], Record | None]


def durable(voter: Voter, actions: list[Persist | Send], disk: Record | None) -> Record | None:
    """Return what is on disk after a step: the last record that was written."""
    for action in actions:
        if isinstance(action, Persist):
            disk = action.record
    return disk


def never_durable(voter: Voter, actions: list[Persist | Send], disk: Record | None) -> Record | None:
    """Plant a defect: promises are sent before they are durable, and a crash comes in between."""
    return disk


def initial_model() -> Model:
    """Return the state in which both proposers have sent their first messages."""
    voters = tuple(Voter(name, VOTERS, EMPTY_RECORD, 1_000, 0) for name in VOTERS)
    proposers = tuple(
        Proposer(name, VOTERS, 1, value, (1, name)) for name, value in zip(PROPOSERS, VALUES, strict=True)
    )
    sent = frozenset(
        (proposer.name, send.to, send.message) for proposer in proposers for send in proposer.begin()
    )
    return Model(voters, (EMPTY_RECORD,) * len(VOTERS), proposers, sent, frozenset(), 0)


def chosen(model: Model) -> set[Value]:
    """Return the values that a majority has ever accepted in one ballot."""
    counts: dict[tuple[Ballot, Value], int] = {}
    for _, ballot, value in model.votes:
        counts[ballot, value] = counts.get((ballot, value), 0) + 1
    return {value for (_, value), count in counts.items() if count > len(VOTERS) // 2}


def successors(model: Model, rounds: int, crashes: int, disk_model: DiskModel) -> list[Model]:
    """Return every state that one event leads to.

    An event is a message that reaches a voter, or a voter that crashes and restarts. A voter's answer reaches
    its proposer at once or never. That leaves nothing out: a proposer depends on which answers it received
    and not on when, and what it then sends may still arrive at any later time.
    """
    models = []
    for sender, to, message in model.sent:
        models += _deliver_to_voter(model, VOTERS.index(to), sender, message, rounds, disk_model)
    if model.crashes < crashes:
        for at, voter in enumerate(model.voters):
            back = voter._replace(record=model.disks[at], leases=(), recovery_replies=())
            voters = (*model.voters[:at], back, *model.voters[at + 1 :])
            models.append(model._replace(voters=voters, crashes=model.crashes + 1))
    return models


def _deliver_to_voter(
    model: Model, at: int, sender: str, message: PolicyMessage, rounds: int, disk_model: DiskModel
) -> list[Model]:
    voter, actions = model.voters[at].step(message, sender, 0)
    disk = disk_model(voter, actions, model.disks[at])
    votes = set(model.votes)
    answers: list[tuple[str, PolicyMessage]] = []
    for action in actions:
        if isinstance(action, Send):
            answers.append((action.to, action.message))
            if isinstance(action.message, Accepted) and isinstance(message, Accept):
                votes.add((voter.name, message.ballot, message.value))
    unanswered = model._replace(
        voters=(*model.voters[:at], voter, *model.voters[at + 1 :]),
        disks=(*model.disks[:at], disk, *model.disks[at + 1 :]),
        votes=frozenset(votes),
    )
    answered = unanswered
    for to, answer in answers:
        if to in PROPOSERS:
            answered = _deliver_to_proposer(answered, PROPOSERS.index(to), answer, rounds)
    return [unanswered] if answered == unanswered else [unanswered, answered]


def _deliver_to_proposer(model: Model, at: int, message: PolicyMessage, rounds: int) -> Model:
    proposer = model.proposers[at]
    if isinstance(message, Reject):
        # Only a rejection of the current round counts, or each old one would begin another round.
        if proposer.ballot[0] >= rounds or message.ballot <= proposer.ballot:
            return model
        proposer, sends = proposer.next_round(message.ballot)
    else:
        proposer, sends = proposer.step(message)
    sent = set(model.sent) | {(proposer.name, send.to, send.message) for send in sends}
    proposers = (*model.proposers[:at], proposer, *model.proposers[at + 1 :])
    return model._replace(proposers=proposers, sent=frozenset(sent))


def explore(
    depth: int,
    rounds: int = 2,
    crashes: int = 1,
    disk_model: DiskModel = durable,
    max_states: int = 2_000_000,
) -> Result:
    """Visit every state within `depth` events of the start, at most `max_states` of them."""
    first = initial_model()
    seen = {first}
    frontier = [first]
    for step in range(depth):
        next_frontier: list[Model] = []
        for model in frontier:
            for after in successors(model, rounds, crashes, disk_model):
                if after in seen:
                    continue
                values = chosen(after)
                outcomes = {item.outcome for item in after.proposers if item.outcome is not None}
                if len(values | outcomes) > 1:
                    return Result(len(seen), step, False, f"two outcomes: {sorted(values | outcomes)}")
                if not outcomes <= set(VALUES):
                    return Result(len(seen), step, False, f"a value that nobody proposed: {outcomes}")
                seen.add(after)
                next_frontier.append(after)
                if len(seen) >= max_states:
                    return Result(len(seen), step, False, "")
        if not next_frontier:
            return Result(len(seen), step, True, "")
        frontier = next_frontier
    return Result(len(seen), depth, False, "")


__all__ = ["Model", "Prepare", "Promise", "Result", "durable", "explore", "initial_model", "never_durable"]

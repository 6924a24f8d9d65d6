"""One change of policy from its proposal to its end, as whoever proposes it sees it. Without I/O.

    look    ask the voters where they stand: which slot is next, who holds a lease
    check   have every member that may serve by it say whether it would; one that is silent and holds no lease
            is gone without, one that may still be serving stands in the way
    decide  have the voters choose it in that slot (`policy.Proposer`)
    wait    until no older lease is out at a majority of the voters: it is in force

Until the third step nothing was proposed, so a change that ends there has had no effect anywhere and never
will. In the third a change that is heard of no more may still be chosen: it is "under way" then, and whoever
proposes next, or gives it up, brings it to its end."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

from sorrelfront.decisions.fleet.policy import (
    Check,
    Checked,
    Chosen,
    Current,
    Look,
    Need,
    Proposer,
    Reject,
    Send,
    Shown,
    Value,
    Word,
)

AGAIN_US = 300_000  # before a word that nobody answered is said again: some round trips, on a busy host
SPREAD_US = 200_000  # drawn on top, so that two who propose at once do not go on crossing each other
WAIT_US = 40_000  # between two looks whether older leases are back: a round trip, and some
CHECK_US = 1_000_000  # for a member without a lease to answer before it is gone without
LEASES = 2.5  # times a lease: for those with one to answer, and for older ones to end
LOOK_US = 3_000_000  # for a majority of the voters to answer at all
DECIDE_US = 10_000_000  # for a majority to vote


class State(Enum):
    IN_FORCE = "in force"
    NOT_IN_FORCE = "not in force"
    UNDER_WAY = "under way"


class Stage(Enum):
    LOOK = "look"
    CHECK = "check"
    DECIDE = "decide"
    WAIT = "wait"
    DONE = "done"


class Outcome(NamedTuple):
    """How far a change has come. `version` is 0 until it has one; `waits` names who is waited for, or who
    stood in the way; `answers` has what each member said of it, empty for yes."""

    state: State
    stage: Stage
    version: int
    why: str
    waits: tuple[str, ...]
    answers: dict[str, str]


class Change:
    """A change that this member proposes. One at a time at a member."""

    def __init__(
        self, name: str, voters: tuple[str, ...], value: Value, onto: int | None, lease_us: int,
        members: list[str], random: Random, now: int,
    ) -> None:  # fmt: skip
        """`onto`: the version that whoever proposes has looked at; None for whichever is there. `members`:
        those that live, as the view has it."""
        self.value = value
        self._name = name
        self._voters = voters
        self._onto = onto
        self._lease_us = lease_us
        self._members = set(members)
        self._random = random
        self._number = random.getrandbits(52)
        self._stage = Stage.LOOK
        self._since = now
        self._again = now
        self._shown: dict[str, Shown] = {}
        self._answers: dict[str, str] = {}
        self._asked: set[str] = set()  # members, in this round
        self._proposer: Proposer | None = None
        self._above = (0, "")
        self._slot = 0
        self._version = 0
        self._state = State.NOT_IN_FORCE
        self._why = ""
        self._waits: tuple[str, ...] = ()

    # Told

    @property
    def done(self) -> bool:
        return self._stage is Stage.DONE

    @property
    def outcome(self) -> Outcome:
        state = State.UNDER_WAY if not self.done else self._state
        return Outcome(state, self._stage, self._version, self._why, self._waits, dict(self._answers))

    def next_us(self) -> int:
        """When it wants `on_time`."""
        return self._again

    # Events

    def on_time(self, now: int) -> list[Send]:
        """Go on, or say again what was not answered. Call at `next_us`, and at the start."""
        if self.done or now < self._again:
            return []
        waits = self._stage is Stage.WAIT
        self._again = now + (WAIT_US if waits else AGAIN_US + self._random.randrange(SPREAD_US))
        late = now - self._since
        match self._stage:
            case Stage.LOOK:
                if late > LOOK_US:
                    return self._end(State.NOT_IN_FORCE, "no majority of the voters answers", self._silent())
                return self._look()
            case Stage.CHECK:
                if late > int(self._lease_us * LEASES) + DECIDE_US:
                    return self._end(State.NOT_IN_FORCE, "no majority of the voters answers", self._silent())
                self._shown.clear()  # a voter that has died would tell of leases that are long over
                self._asked.clear()
                return self._look() + self._checks()
            case Stage.DECIDE:
                if late > DECIDE_US:
                    why = "no majority of the voters has voted; it may still be chosen"
                    return self._end(State.UNDER_WAY, why, self._silent())
                return self._round()
            case Stage.WAIT:
                if late > int(self._lease_us * LEASES):
                    why = "it is decided; older leases are still out, or too few voters answer"
                    return self._end(State.UNDER_WAY, why, self._waits)
                return self._look() + self._tell_late()
        return []

    def on_word(self, word: Word, now: int) -> list[Send]:
        """What voters and members answer."""
        if self.done:
            return []
        if isinstance(word, Shown) and word.number == self._number:
            self._shown[word.voter] = word
            return self._on_shown(now)
        if isinstance(word, Checked) and word.number == self._number and self._stage is Stage.CHECK:
            self._answers[word.member] = word.fault
            if word.fault:
                why = f"{word.member} refuses it: {word.fault}"
                return self._end(State.NOT_IN_FORCE, why, (word.member,))
            return self._checked(now)
        if self._proposer is not None and self._stage is Stage.DECIDE:
            if isinstance(word, Reject) and word.slot == self._slot:
                self._above = max(self._above, word.ballot)
            elif not isinstance(word, Need):
                self._proposer, sends = self._proposer.step(word)
                return [*sends, *self._decided(now)]
        return []

    # Looking

    @property
    def _majority(self) -> int:
        return len(self._voters) // 2 + 1

    def _silent(self) -> tuple[str, ...]:
        return tuple(name for name in self._voters if name not in self._shown)

    def _look(self) -> list[Send]:
        return [Send(voter, Look(self._number, self._name, False)) for voter in self._voters]

    def _on_shown(self, now: int) -> list[Send]:
        known = [item for item in self._shown.values() if item.slot >= 0]
        if len(known) < self._majority:
            return []
        if self._stage is Stage.LOOK:
            return self._looked(max(known, key=lambda item: item.slot), now)
        if self._stage is Stage.CHECK:
            latest = max(item.slot for item in known)
            if latest >= self._slot:
                return self._end(State.NOT_IN_FORCE, f"another change came first, as version {latest}", ())
            return self._checks() + self._checked(now)
        if self._stage is Stage.WAIT:
            return self._waited(known)
        return []

    def _looked(self, latest: Shown, now: int) -> list[Send]:
        if latest.change == self.value.change:
            self._slot = latest.slot
            return self._enter(Stage.WAIT, now) + self._look()
        if self._onto is not None and latest.slot != self._onto:
            return self._end(State.NOT_IN_FORCE, f"another change came first, as version {latest.slot}", ())
        self._slot = latest.slot + 1
        if self.value.void or latest.under_way == self.value.change:
            # Given up, or proposed again: it was checked when it was proposed first.
            return self._enter(Stage.DECIDE, now) + self._round()
        return self._enter(Stage.CHECK, now) + self._checks() + self._checked(now)

    def _enter(self, stage: Stage, now: int) -> list[Send]:
        self._stage, self._since = stage, now
        if stage is Stage.WAIT:
            self._version = self._slot  # this change's own, for good
        self._again = now + (WAIT_US if stage is Stage.WAIT else AGAIN_US)
        return []

    # Checking

    def _holders(self) -> set[str]:
        """Members that may be serving, by those voters that answered."""
        return {name for item in self._shown.values() for name, _, _ in item.leases}

    def _checks(self) -> list[Send]:
        """To those that were not asked in this round. Risk: one that was away when it began, and has a lease
        by now, would never be asked and stand in the way."""
        wanted = sorted((self._members | self._holders()) - set(self._answers) - self._asked)
        self._asked.update(wanted)
        return [Send(name, Check(self._number, self._name, self.value.document)) for name in wanted]

    def _checked(self, now: int) -> list[Send]:
        # Risk: a voter that has just started does not know whom its former life granted a lease.
        if sum(item.slot >= 0 and not item.blind_us for item in self._shown.values()) < self._majority:
            return []  # who may be serving is not known in this round yet
        late = now - self._since
        holders = self._holders() - set(self._answers)
        silent = self._members - set(self._answers)
        if holders:
            self._waits = tuple(sorted(holders))
            if late <= int(self._lease_us * LEASES):
                return []
            return self._end(State.NOT_IN_FORCE, "members that may be serving do not answer", self._waits)
        if silent and late <= CHECK_US:
            self._waits = tuple(sorted(silent))
            return []
        self._waits = ()
        return self._enter(Stage.DECIDE, now) + self._round()

    # Deciding

    def _round(self) -> list[Send]:
        if self._proposer is None:
            # Risk: by its name alone, another change that this member proposes in the same slot, or its next
            # life, would vote under the same ballot for another value, and two could be chosen.
            who = f"{self._name}#{self._number:x}"
            self._proposer = Proposer(who, self._voters, self._slot, self.value, (1, who))
            return self._proposer.begin()
        if self._above <= self._proposer.ballot:
            return self._proposer.still()  # a higher round would only void what is on its way
        self._proposer, sends = self._proposer.again(self._above)
        return sends

    def _decided(self, now: int) -> list[Send]:
        proposer = self._proposer
        if proposer is None or proposer.outcome is None:
            return []
        current = Current(self._slot, proposer.outcome)
        others = sorted((self._members | self._holders()) - set(self._voters))
        told: list[Send] = []
        if not proposer.outcome.void:  # what a void slot leaves in force its voters know
            told = [Send(name, current) for name in others]
        if proposer.outcome.change != self.value.change:
            why = f"another change came first, as version {self._slot}"
            return told + self._end(State.NOT_IN_FORCE, why, ())
        self._shown.clear()
        return told + self._enter(Stage.WAIT, now) + self._look()

    # Waiting

    def _waited(self, known: list[Shown]) -> list[Send]:
        there = [item for item in known if item.slot >= self._slot and not item.blind_us]
        old = {name for item in there for name, version, _ in item.leases if version < self._slot}
        free = [item for item in there if not any(version < self._slot for _, version, _ in item.leases)]
        self._waits = tuple(sorted(old))
        if len(free) < self._majority:
            return []
        return self._end(State.IN_FORCE, "", ())

    def _tell_late(self) -> list[Send]:
        """What was chosen, once more to those that seem not to have heard of it."""
        outcome = self._proposer.outcome if self._proposer is not None else None
        if outcome is None:
            return []
        late = [item.voter for item in self._shown.values() if item.slot == self._slot - 1]
        told = [Send(voter, Chosen(self._slot, outcome)) for voter in late]
        if not outcome.void:
            told += [Send(name, Current(self._slot, outcome)) for name in self._waits]
        return told

    def _end(self, state: State, why: str, waits: tuple[str, ...]) -> list[Send]:
        self._stage, self._state, self._why, self._waits = Stage.DONE, state, why, waits
        return []

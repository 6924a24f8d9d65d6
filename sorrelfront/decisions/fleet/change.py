"""The steps by which a proposer brings one policy change from proposal to outcome. Without I/O.

    look    query the voters' state: which slot is next, who holds a lease
    check   ask every member that may serve the policy whether it would; a silent member without a lease is
            skipped, one that may still be serving blocks the change
    decide  have the voters choose it in that slot (`policy.Proposer`)
    wait    until a majority of the voters has no older lease outstanding: the change is in force

Nothing is proposed before the third step, so a change that ends earlier has no effect anywhere and never
will. A change that loses contact with the voters during the third step may still be chosen: it is then "under
way", and the next proposal, or giving it up, settles it.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

from sorrelfront.decisions.fleet.policy import (
    Chosen,
    Current,
    LearnRequest,
    PolicyMessage,
    Proposer,
    Reject,
    Send,
    StateQuery,
    ValidationReply,
    ValidationRequest,
    Value,
    VoterState,
)

RESEND_US = 300_000  # before an unanswered message is sent again: several round trips on a busy host
RESEND_JITTER_US = 200_000  # random, on top: two simultaneous proposers do not keep preempting each other
LEASE_POLL_US = 40_000  # between two queries whether older leases have ended: a little over a round trip
CHECK_TIMEOUT_US = 1_000_000  # for a member without a lease to answer before it is skipped
LEASE_TIMEOUT_FACTOR = 2.5  # lease lengths, for lease holders to answer and for older leases to end
LOOK_TIMEOUT_US = 3_000_000  # for a majority of the voters to answer at all
DECIDE_TIMEOUT_US = 10_000_000  # for a majority to vote


class State(Enum):
    """Whether a change is in force; the values are printed and sent as they are."""

    IN_FORCE = "in force"
    NOT_IN_FORCE = "not in force"
    UNDER_WAY = "under way"


class Stage(Enum):
    """The step that a change has reached; the values are sent as they are."""

    LOOK = "look"
    CHECK = "check"
    DECIDE = "decide"
    WAIT = "wait"
    DONE = "done"


class Outcome(NamedTuple):
    """The progress or the result of a change.

    `version` is 0 until the change has one. `waits` names the members or voters that are waited for, or that
    blocked it. `answers` has each member's reason for rejecting it, empty if it accepts.
    """

    state: State
    stage: Stage
    version: int
    why: str
    waits: tuple[str, ...]
    answers: dict[str, str]


class Change:
    """A change that this member proposes; a member proposes one at a time."""

    def __init__(
        self, name: str, voters: tuple[str, ...], value: Value, base_version: int | None, lease_us: int,
        members: list[str], random: Random, now: int,
    ) -> None:  # fmt: skip
        """Start in the first step; nothing is sent before `on_timer` is called.

        `base_version` is the version that the proposal is based on, None for whichever is the latest.
        `members` are the live members in the view.
        """
        self.value = value
        self._name = name
        self._voters = voters
        self._base_version = base_version
        self._lease_us = lease_us
        self._members = set(members)
        self._random = random
        self._request_id = random.getrandbits(52)
        self._stage = Stage.LOOK
        self._stage_start_us = now
        self._next_send_us = now
        self._states: dict[str, VoterState] = {}
        self._answers: dict[str, str] = {}
        self._asked: set[str] = set()  # members, in this round
        self._proposer: Proposer | None = None
        self._highest_ballot = (0, "")
        self._slot = 0
        self._version = 0
        self._state = State.NOT_IN_FORCE
        self._reason = ""
        self._waiting_for: tuple[str, ...] = ()

    # Progress

    @property
    def done(self) -> bool:
        """Whether the change has ended."""
        return self._stage is Stage.DONE

    @property
    def outcome(self) -> Outcome:
        """The progress so far; while it is not done, its state is under way."""
        state = State.UNDER_WAY if not self.done else self._state
        return Outcome(
            state, self._stage, self._version, self._reason, self._waiting_for, dict(self._answers)
        )

    def next_due_us(self) -> int:
        """When `on_timer` is due next."""
        return self._next_send_us

    # Events

    def on_timer(self, now: int) -> list[Send]:
        """Check the timeouts and resend what was not answered. Call at `next_due_us`, and at the start."""
        if self.done or now < self._next_send_us:
            return []
        polls = self._stage is Stage.WAIT
        self._next_send_us = now + (
            LEASE_POLL_US if polls else RESEND_US + self._random.randrange(RESEND_JITTER_US)
        )
        elapsed_us = now - self._stage_start_us
        match self._stage:
            case Stage.LOOK:
                if elapsed_us > LOOK_TIMEOUT_US:
                    return self._finish(
                        State.NOT_IN_FORCE, "no majority of the voters answers", self._silent_voters()
                    )
                return self._query_voters()
            case Stage.CHECK:
                if elapsed_us > int(self._lease_us * LEASE_TIMEOUT_FACTOR) + DECIDE_TIMEOUT_US:
                    return self._finish(
                        State.NOT_IN_FORCE, "no majority of the voters answers", self._silent_voters()
                    )
                self._states.clear()  # a voter that has died would still list leases that ended long ago
                self._asked.clear()
                return self._query_voters() + self._check_requests()
            case Stage.DECIDE:
                if elapsed_us > DECIDE_TIMEOUT_US:
                    reason = "no majority of the voters has voted; it may still be chosen"
                    return self._finish(State.UNDER_WAY, reason, self._silent_voters())
                return self._send_round()
            case Stage.WAIT:
                if elapsed_us > int(self._lease_us * LEASE_TIMEOUT_FACTOR):
                    reason = "it is decided; older leases are still out, or too few voters answer"
                    return self._finish(State.UNDER_WAY, reason, self._waiting_for)
                return self._query_voters() + self._resend_decision()
        return []

    def on_message(self, message: PolicyMessage, now: int) -> list[Send]:
        """Handle an answer of a voter or a member."""
        if self.done:
            return []
        if isinstance(message, VoterState) and message.number == self._request_id:
            self._states[message.voter] = message
            return self._on_state(now)
        if (
            isinstance(message, ValidationReply)
            and message.number == self._request_id
            and self._stage is Stage.CHECK
        ):
            self._answers[message.member] = message.fault
            if message.fault:
                reason = f"{message.member} refuses it: {message.fault}"
                return self._finish(State.NOT_IN_FORCE, reason, (message.member,))
            return self._after_check(now)
        if self._proposer is not None and self._stage is Stage.DECIDE:
            if isinstance(message, Reject) and message.slot == self._slot:
                self._highest_ballot = max(self._highest_ballot, message.ballot)
            elif not isinstance(message, LearnRequest):
                self._proposer, sends = self._proposer.step(message)
                return [*sends, *self._after_decision(now)]
        return []

    # Query

    @property
    def _majority(self) -> int:
        return len(self._voters) // 2 + 1

    def _silent_voters(self) -> tuple[str, ...]:
        return tuple(name for name in self._voters if name not in self._states)

    def _query_voters(self) -> list[Send]:
        return [Send(voter, StateQuery(self._request_id, self._name, False)) for voter in self._voters]

    def _on_state(self, now: int) -> list[Send]:
        known = [item for item in self._states.values() if item.slot >= 0]
        if len(known) < self._majority:
            return []
        if self._stage is Stage.LOOK:
            return self._after_query(max(known, key=lambda item: item.slot), now)
        if self._stage is Stage.CHECK:
            latest = max(item.slot for item in known)
            if latest >= self._slot:
                return self._finish(State.NOT_IN_FORCE, f"another change came first, as version {latest}", ())
            return self._check_requests() + self._after_check(now)
        if self._stage is Stage.WAIT:
            return self._after_wait(known)
        return []

    def _after_query(self, latest: VoterState, now: int) -> list[Send]:
        if latest.change == self.value.change:
            self._slot = latest.slot
            return self._enter_stage(Stage.WAIT, now) + self._query_voters()
        if self._base_version is not None and latest.slot != self._base_version:
            return self._finish(
                State.NOT_IN_FORCE, f"another change came first, as version {latest.slot}", ()
            )
        self._slot = latest.slot + 1
        if self.value.void or latest.under_way == self.value.change:
            # A no-op, or a repeated proposal: the policy was checked when it was first proposed.
            return self._enter_stage(Stage.DECIDE, now) + self._send_round()
        return self._enter_stage(Stage.CHECK, now) + self._check_requests() + self._after_check(now)

    def _enter_stage(self, stage: Stage, now: int) -> list[Send]:
        self._stage, self._stage_start_us = stage, now
        if stage is Stage.WAIT:
            self._version = self._slot  # final: the version of this change
        self._next_send_us = now + (LEASE_POLL_US if stage is Stage.WAIT else RESEND_US)
        return []

    # Check

    def _holders(self) -> set[str]:
        """Members that may be serving, according to the voters that answered."""
        return {name for item in self._states.values() for name, _, _ in item.leases}

    def _check_requests(self) -> list[Send]:
        """Requests to the members that were not asked in this round.

        Members are collected anew each round: one that was away when the check began and has a lease by now
        would otherwise never be asked, and block the change.
        """
        unasked = sorted((self._members | self._holders()) - set(self._answers) - self._asked)
        self._asked.update(unasked)
        return [
            Send(name, ValidationRequest(self._request_id, self._name, self.value.document))
            for name in unasked
        ]

    def _after_check(self, now: int) -> list[Send]:
        # A voter that has just restarted does not count: it does not know the leases that it granted before.
        if sum(item.slot >= 0 and not item.blind_us for item in self._states.values()) < self._majority:
            return []  # this round does not know yet which members may be serving
        elapsed_us = now - self._stage_start_us
        holders = self._holders() - set(self._answers)
        silent = self._members - set(self._answers)
        if holders:
            self._waiting_for = tuple(sorted(holders))
            if elapsed_us <= int(self._lease_us * LEASE_TIMEOUT_FACTOR):
                return []
            return self._finish(
                State.NOT_IN_FORCE, "members that may be serving do not answer", self._waiting_for
            )
        if silent and elapsed_us <= CHECK_TIMEOUT_US:
            self._waiting_for = tuple(sorted(silent))
            return []
        self._waiting_for = ()
        return self._enter_stage(Stage.DECIDE, now) + self._send_round()

    # Decide

    def _send_round(self) -> list[Send]:
        if self._proposer is None:
            # The name alone is not unique: another change that this member proposes in the same slot, or
            # after a restart, would use the same ballot for another value, and two values could be chosen.
            proposer = f"{self._name}#{self._request_id:x}"
            self._proposer = Proposer(proposer, self._voters, self._slot, self.value, (1, proposer))
            return self._proposer.begin()
        if self._highest_ballot <= self._proposer.ballot:
            return self._proposer.resend()  # a higher round would only invalidate what is in flight
        self._proposer, sends = self._proposer.next_round(self._highest_ballot)
        return sends

    def _after_decision(self, now: int) -> list[Send]:
        proposer = self._proposer
        if proposer is None or proposer.outcome is None:
            return []
        current = Current(self._slot, proposer.outcome)
        others = sorted((self._members | self._holders()) - set(self._voters))
        sends: list[Send] = []
        if not proposer.outcome.void:  # the voters know which policy a void slot leaves in force
            sends = [Send(name, current) for name in others]
        if proposer.outcome.change != self.value.change:
            reason = f"another change came first, as version {self._slot}"
            return sends + self._finish(State.NOT_IN_FORCE, reason, ())
        self._states.clear()
        return sends + self._enter_stage(Stage.WAIT, now) + self._query_voters()

    # Wait

    def _after_wait(self, known: list[VoterState]) -> list[Send]:
        current = [item for item in known if item.slot >= self._slot and not item.blind_us]
        old = {name for item in current for name, version, _ in item.leases if version < self._slot}
        free = [item for item in current if not any(version < self._slot for _, version, _ in item.leases)]
        self._waiting_for = tuple(sorted(old))
        if len(free) < self._majority:
            return []
        return self._finish(State.IN_FORCE, "", ())

    def _resend_decision(self) -> list[Send]:
        """Send the chosen value again to voters and members that seem to have missed it."""
        outcome = self._proposer.outcome if self._proposer is not None else None
        if outcome is None:
            return []
        behind = [item.voter for item in self._states.values() if item.slot == self._slot - 1]
        sends = [Send(voter, Chosen(self._slot, outcome)) for voter in behind]
        if not outcome.void:
            sends += [Send(name, Current(self._slot, outcome)) for name in self._waiting_for]
        return sends

    def _finish(self, state: State, reason: str, waits: tuple[str, ...]) -> list[Send]:
        self._stage, self._state, self._reason, self._waiting_for = Stage.DONE, state, reason, waits
        return []

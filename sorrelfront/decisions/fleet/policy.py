"""Consensus on one versioned policy for a fleet, and leases on its versions. Without I/O.

Versions are slots. In each slot the voters choose one value by Paxos (Lamport, "Paxos Made Simple", 2001): a
policy, or a void value, which gives up a change for good. A voter votes in a slot only if it knows the value
chosen in the previous one, so there are no gaps below a slot. A member serves a version while a majority of
the voters has granted it a lease on that version (Gray and Cheriton, 1989), counted from when it asked. A
voter grants a lease on a newer version only after every older lease that it granted has expired by its own
clock or was released. A majority that grants the newer version shares a voter with each majority that granted
an older one, so two versions are never served at the same time.

State is immutable: each step returns the next state and the actions to take, in order. A record to persist
(`Persist`) has to be on disk before any later action is sent.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

MAX_CLOCK_DRIFT = 500e-6  # relative drift between two clocks: 200 ppm each, with a margin
MAX_SLOTS_AHEAD = 2  # how far past the slots known to others a voter may have voted before it lost its disk
HISTORY_LENGTH = 16  # chosen values that a voter keeps for members that were away

Ballot = tuple[int, str]  # round, proposer
NO_BALLOT: Ballot = (0, "")


class Value(NamedTuple):
    """The value of a slot: a policy, or with `void` a no-op that leaves the previous policy in force."""

    change: str
    document: bytes = b""
    void: bool = False


# Messages


class Prepare(NamedTuple):
    """Paxos phase 1a: a proposer asks the voters to promise its ballot."""

    slot: int
    ballot: Ballot


class Promise(NamedTuple):
    """Paxos phase 1b: the voter promises the ballot and reports the value that it accepted last."""

    slot: int
    ballot: Ballot
    voter: str
    accepted: Ballot
    value: Value | None


class Accept(NamedTuple):
    """Paxos phase 2a: a proposer asks the voters to accept a value."""

    slot: int
    ballot: Ballot
    value: Value


class Accepted(NamedTuple):
    """Paxos phase 2b: the voter has accepted the value of this ballot."""

    slot: int
    ballot: Ballot
    voter: str


class Reject(NamedTuple):
    """The voter has promised a higher ballot, which is given here."""

    slot: int
    ballot: Ballot
    voter: str


class Chosen(NamedTuple):
    """The value that was chosen in this slot; it never changes."""

    slot: int
    value: Value


class Current(NamedTuple):
    """The value of the latest slot that the sender knows, and the policy in force by it.

    For members, and for a voter that is further behind than the history reaches. `document` is empty if the
    policy is the value's own.
    """

    slot: int
    value: Value
    document: bytes = b""

    @property
    def policy(self) -> bytes:
        """The encoded policy in force as of this slot."""
        return self.document if self.value.void else self.value.document


class LearnRequest(NamedTuple):
    """A request for the values chosen from this slot on."""

    slot: int
    requester: str


class Renew(NamedTuple):
    """A request for a lease on this version, new or renewed; `asked_us`, by the member's clock, is echoed."""

    member: str
    version: int
    asked_us: int


class Grant(NamedTuple):
    """A lease on this version; it runs from `asked_us`, the member's clock at its request."""

    voter: str
    version: int
    asked_us: int


class Release(NamedTuple):
    """The member no longer serves any version older than this, and has no requests in flight under one."""

    member: str
    version: int


class RecoveryQuery(NamedTuple):
    """A voter that has lost its record asks another one for its latest slot."""

    voter: str


class LatestSlot(NamedTuple):
    """The latest slot whose chosen value the voter knows; the answer to `RecoveryQuery` and `Initialize`."""

    voter: str
    latest_slot: int


class Uninitialized(NamedTuple):
    """The voter has no record: it was never initialized, or it has lost its disk."""

    voter: str


class Initialize(NamedTuple):
    """An operator initializes a voter.

    Without a value, as a voter of a new fleet. With one, which is for a fleet that has lost its quorum for
    good: the voter continues from this slot with this value, whatever was voted.
    """

    slot: int
    value: Value | None
    requester: str


class StateQuery(NamedTuple):
    """A query for a voter's state; `number` is echoed in the answer."""

    number: int
    requester: str
    history: bool


class VoterState(NamedTuple):
    """A voter's state.

    `slot` is its latest slot (-1 without a record), with the id of the change chosen there and the digest of
    the policy in force. `under_way` is the change that it has accepted in the next slot. `leases` are the
    running ones: holder, version, remaining time in microseconds. For `blind_us` it grants none. `history`
    has the latest chosen values, if asked for.
    """

    number: int
    voter: str
    slot: int
    change: str
    digest: str
    under_way: str
    leases: tuple[tuple[str, int, int], ...]
    blind_us: int
    history: tuple[Value, ...]


class ValidationRequest(NamedTuple):
    """A request to a member to validate a policy before it is proposed."""

    number: int
    requester: str
    document: bytes


class ValidationReply(NamedTuple):
    """The result of a check: `fault` is empty if the member would serve the policy, else the reason."""

    number: int
    member: str
    fault: str


PolicyMessage = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Reject
    | Chosen
    | Current
    | LearnRequest
    | Renew
    | Grant
    | Release
    | RecoveryQuery
    | LatestSlot
    | Uninitialized
    | Initialize
    | StateQuery
    | VoterState
    | ValidationRequest
    | ValidationReply
)


def digest_of(document: bytes) -> str:
    """Return the digest of an encoded policy, for display and comparison; empty for an empty document."""
    return blake2b(document, digest_size=8).hexdigest() if document else ""


# Actions


class Persist(NamedTuple):
    """Persist this record before any later action is taken."""

    record: Record


class Send(NamedTuple):
    """Send a message to a voter or a member, by name."""

    to: str
    message: PolicyMessage


class Record(NamedTuple):
    """The persistent state of a voter."""

    chosen: tuple[Value, ...]  # the latest HISTORY_LENGTH of them
    slot: int  # of the last of `chosen`; 0: nothing was chosen yet
    promised: Ballot
    accepted: Ballot
    value: Value | None
    abstain_through_slot: int  # it does not vote in slots up to this one
    document: bytes = b""  # the policy in force by the last of `chosen`


EMPTY_RECORD = Record((), 0, NO_BALLOT, NO_BALLOT, None, 0)  # of a voter of a new fleet, on initialization
Step = tuple["Voter", list[Persist | Send]]


class Voter(NamedTuple):
    """One voter, the acceptor of Paxos and the grantor of leases: its record and its volatile state."""

    name: str
    voters: tuple[str, ...]
    record: Record | None  # None: it was never initialized, or it has lost its disk
    lease_us: int
    no_grants_until_us: int  # leases that it granted before a restart may run until then
    leases: tuple[tuple[str, int, int], ...] = ()  # holder, version, expiry by this voter's clock
    recovery_replies: tuple[
        tuple[str, int], ...
    ] = ()  # without a record: the latest slots that other voters report

    @property
    def majority(self) -> int:
        """The number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    # Voting

    def on_prepare(self, message: Prepare, sender: str) -> Step:
        """Promise the ballot, unless a higher one was promised or the slot is not the next."""
        record = self.record
        if record is None:
            return self, []
        refusal = self._refusal(record, message.slot, message.ballot, sender)
        if refusal is not None:
            return self, refusal
        updated = record._replace(promised=message.ballot)
        answer = Promise(message.slot, message.ballot, self.name, record.accepted, record.value)
        return self._replace(record=updated), [Persist(updated), Send(sender, answer)]

    def on_accept(self, message: Accept, sender: str) -> Step:
        """Accept the value, unless a higher ballot was promised or the slot is not the next."""
        record = self.record
        if record is None:
            return self, []
        refusal = self._refusal(record, message.slot, message.ballot, sender)
        if refusal is not None:
            return self, refusal
        updated = record._replace(promised=message.ballot, accepted=message.ballot, value=message.value)
        answer = Accepted(message.slot, message.ballot, self.name)
        return self._replace(record=updated), [Persist(updated), Send(sender, answer)]

    def _refusal(self, record: Record, slot: int, ballot: Ballot, sender: str) -> list[Persist | Send] | None:
        """The actions to take instead of voting, possibly none; None if it may vote."""
        actions = self._other_slot_actions(record, slot, sender)
        if actions is not None:
            return actions
        if slot <= record.abstain_through_slot:
            return []
        if ballot < record.promised:
            return [Send(sender, Reject(slot, record.promised, self.name))]
        return None

    def _other_slot_actions(self, record: Record, slot: int, sender: str) -> list[Persist | Send] | None:
        """The answer to a vote in a slot that is not the next one; None if it is."""
        if slot <= record.slot:
            return [Send(sender, message) for message in self.chosen_from(slot)]
        if slot > record.slot + 1:
            return [Send(sender, LearnRequest(record.slot + 1, self.name))]
        return None

    def current(self) -> list[Current]:
        """The latest chosen value that this voter knows; empty if it knows none."""
        record = self.record
        if record is None or not record.chosen:
            return []
        value = record.chosen[-1]
        return [Current(record.slot, value, record.document if value.void else b"")]

    def chosen_from(self, slot: int) -> list[Chosen | Current]:
        """The values chosen from this slot on; only the latest if the history does not reach back so far."""
        record = self.record
        if record is None:
            return []
        first = record.slot - len(record.chosen) + 1
        if slot < first:
            return [*self.current()]
        return [Chosen(first + at, value) for at, value in enumerate(record.chosen) if first + at >= slot]

    def on_chosen(self, message: Chosen) -> Step:
        """Learn the value of the next slot; other slots are ignored."""
        record = self.record
        if record is None or message.slot != record.slot + 1:
            return self, []
        chosen = (*record.chosen, message.value)[-HISTORY_LENGTH:]
        document = record.document if message.value.void else message.value.document
        updated = Record(
            chosen, message.slot, NO_BALLOT, NO_BALLOT, None, record.abstain_through_slot, document
        )
        return self._replace(record=updated), [Persist(updated)]

    def on_current(self, message: Current) -> Step:
        """Skip to a later slot; votes in earlier ones, whose values may be in no history, are dropped."""
        record = self.record
        if record is None or message.slot <= record.slot:
            return self, []
        earlier = record.chosen if message.slot == record.slot + 1 else ()
        chosen = (*earlier, message.value)[-HISTORY_LENGTH:]
        updated = Record(
            chosen, message.slot, NO_BALLOT, NO_BALLOT, None, record.abstain_through_slot, message.policy
        )
        return self._replace(record=updated), [Persist(updated)]

    def on_initialize(self, message: Initialize, sender: str) -> Step:
        """Initialize a voter of a new fleet, or force an existing one to the operator's slot and value.

        A forced slot only moves forward: a voter that returns after all may have taken part in choosing other
        values in lower slots.
        """
        record = self.record
        if message.value is None and record is None:
            fresh = self._replace(
                record=EMPTY_RECORD, recovery_replies=(), no_grants_until_us=0
            )  # no lease was ever granted
            return fresh, [Persist(EMPTY_RECORD), Send(sender, LatestSlot(self.name, 0))]
        if message.value is not None and (record is None or message.slot > record.slot):
            document = message.value.document
            updated = Record((message.value,), message.slot, NO_BALLOT, NO_BALLOT, None, 0, document)
            reply = LatestSlot(self.name, message.slot)
            return self._replace(record=updated, recovery_replies=()), [Persist(updated), Send(sender, reply)]
        return self, [] if record is None else [Send(sender, LatestSlot(self.name, record.slot))]

    # Recovery of a voter without a record

    def on_latest_slot(self, message: LatestSlot) -> Step:
        """Vote again, after losing the disk, only in slots in which this voter cannot have voted before.

        It cannot have voted beyond the second slot past the latest one that a majority of the voters reports:
        to vote in a slot a voter must know the value of the previous one, and that was chosen by a majority
        that knew the value of the one before it.
        """
        if self.record is not None or message.voter == self.name or message.voter not in self.voters:
            return self, []
        replies = tuple(sorted({**dict(self.recovery_replies), message.voter: message.latest_slot}.items()))
        if len(replies) < self.majority:
            return self._replace(recovery_replies=replies), []
        updated = EMPTY_RECORD._replace(
            abstain_through_slot=max(slot for _, slot in replies) + MAX_SLOTS_AHEAD
        )
        actions: list[Persist | Send] = [Persist(updated)]
        actions += [Send(voter, LearnRequest(1, self.name)) for voter, _ in replies]
        return self._replace(record=updated, recovery_replies=()), actions

    # Leases

    def on_renew(self, message: Renew, now: int) -> Step:
        """Grant a lease on the latest version, once no other member holds one on an older version.

        A member that gets no grant gets no answer either, and asks again.
        """
        record = self.record
        if record is None:
            return self, [Send(message.member, Uninitialized(self.name))]
        if message.version < record.slot:
            return self, [Send(message.member, item) for item in self.current()]
        if message.version > record.slot:
            return self, [Send(message.member, LearnRequest(record.slot + 1, self.name))]
        if record.slot < record.abstain_through_slot - MAX_SLOTS_AHEAD:
            # A voter that lost its disk could grant an older version than it had granted before, together
            # with a voter that is behind. Any version that was ever served is known to a majority, so to one
            # of the voters that it asked; it grants nothing until it has caught up with them.
            return self, []
        # The member's own older lease does not count: asking for this version ends it.
        running = [item for item in self.leases if item[2] > now and item[0] != message.member]
        older = any(version < message.version for _, version, _ in running)
        if older or now < self.no_grants_until_us:
            return self._replace(leases=tuple(running)), []  # the member asks again
        until = now + int(self.lease_us * (1 + MAX_CLOCK_DRIFT)) + 1
        leases = (*running, (message.member, message.version, until))
        return self._replace(leases=leases), [
            Send(message.member, Grant(self.name, message.version, message.asked_us))
        ]

    def on_release(self, message: Release, now: int) -> Step:
        """Drop the member's leases on older versions, and all expired ones."""
        remaining = tuple(
            item
            for item in self.leases
            if item[2] > now and not (item[0] == message.member and item[1] < message.version)
        )
        return self._replace(leases=remaining), []

    def state_reply(self, message: StateQuery, now: int) -> VoterState:
        """The answer to a query for this voter's state."""
        record = self.record
        running = tuple(
            (holder, version, until - now) for holder, version, until in self.leases if until > now
        )
        no_grants_us = max(0, self.no_grants_until_us - now)
        if record is None:
            return VoterState(message.number, self.name, -1, "", "", "", running, no_grants_us, ())
        change = record.chosen[-1].change if record.chosen else ""
        under_way = record.value.change if record.value is not None else ""
        history = record.chosen if message.history else ()
        digest = digest_of(record.document)
        return VoterState(
            message.number, self.name, record.slot, change, digest, under_way, running, no_grants_us, history
        )

    def step(self, message: PolicyMessage, sender: str, now: int) -> Step:
        """Handle one message from `sender`; `now` is by this voter's own clock."""
        match message:
            case Current():
                return self.on_current(message)
            case Initialize():
                return self.on_initialize(message, sender)
            case StateQuery():
                return self, [Send(message.requester, self.state_reply(message, now))]
            case RecoveryQuery() if self.record is None:
                return self, [Send(message.voter, Uninitialized(self.name))]
            case Prepare():
                return self.on_prepare(message, sender)
            case Accept():
                return self.on_accept(message, sender)
            case Chosen():
                return self.on_chosen(message)
            case LearnRequest() if self.record is not None:
                return self, [Send(message.requester, item) for item in self.chosen_from(message.slot)]
            case Renew():
                return self.on_renew(message, now)
            case Release():
                return self.on_release(message, now)
            case RecoveryQuery() if self.record is not None:
                return self, [Send(message.voter, LatestSlot(self.name, self.record.slot))]
            case LatestSlot():
                return self.on_latest_slot(message)
        return self, []

    def recovery_actions(self) -> list[Persist | Send]:
        """Actions at the start: a voter without a record asks the others for their latest slots."""
        if self.record is not None:
            return []
        return [Send(voter, RecoveryQuery(self.name)) for voter in self.voters if voter != self.name]


def start_voter(
    name: str, voters: tuple[str, ...], record: Record | None, lease_us: int, now: int, new_fleet: bool
) -> Voter:
    """Create a voter from the record on its disk.

    `new_fleet` says that its fleet is being created, so no lease can be running. Otherwise it grants none for
    one lease, since it does not know which it granted before.
    """
    no_grants_until_us = now if new_fleet else now + int(lease_us * (1 + MAX_CLOCK_DRIFT)) + 1
    return Voter(name, voters, record, lease_us, no_grants_until_us)


class Proposer(NamedTuple):
    """One round of proposing a value in a slot; `next_round` starts another one."""

    name: str
    voters: tuple[str, ...]
    slot: int
    value: Value
    ballot: Ballot
    promises: tuple[tuple[str, Ballot, Value | None], ...] = ()
    accepts: frozenset[str] = frozenset()
    proposed: Value | None = None  # sent in phase 2: its own value, or one that may be chosen already
    outcome: Value | None = None  # the chosen value, once known

    @property
    def majority(self) -> int:
        """The number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    def begin(self) -> list[Send]:
        """The messages of phase 1, to all voters."""
        return [Send(voter, Prepare(self.slot, self.ballot)) for voter in self.voters]

    def resend(self) -> list[Send]:
        """Repeat the messages of the current phase, for voters with a slow disk or a lost message."""
        if self.proposed is None:
            return self.begin()
        return [Send(voter, Accept(self.slot, self.ballot, self.proposed)) for voter in self.voters]

    def next_round(self, above: Ballot) -> tuple[Proposer, list[Send]]:
        """Start a round higher than `above`, after a rejection or a timeout."""
        fresh = Proposer(
            self.name, self.voters, self.slot, self.value,
            (max(above[0], self.ballot[0]) + 1, self.name), outcome=self.outcome,
        )  # fmt: skip
        return fresh, [] if self.outcome is not None else fresh.begin()

    def on_promise(self, message: Promise) -> tuple[Proposer, list[Send]]:
        """Count a promise; at a majority, start phase 2."""
        if message.slot != self.slot or message.ballot != self.ballot or self.proposed is not None:
            return self, []
        if any(voter == message.voter for voter, _, _ in self.promises):
            return self, []
        promises = (*self.promises, (message.voter, message.accepted, message.value))
        if len(promises) < self.majority:
            return self._replace(promises=promises), []
        _, ballot, value = max(promises, key=lambda item: item[1])
        # The accepted value with the highest ballot may already be chosen: it replaces the proposer's own.
        chosen = value if ballot != NO_BALLOT and value is not None else self.value
        sends = [Send(voter, Accept(self.slot, self.ballot, chosen)) for voter in self.voters]
        return self._replace(promises=promises, proposed=chosen), sends

    def on_accepted(self, message: Accepted) -> tuple[Proposer, list[Send]]:
        """Count an acceptance; at a majority the value is chosen, and the voters are informed."""
        if message.slot != self.slot or message.ballot != self.ballot or self.outcome is not None:
            return self, []
        accepts = self.accepts | {message.voter}
        if len(accepts) < self.majority or self.proposed is None:
            return self._replace(accepts=accepts), []
        sends = [Send(voter, Chosen(self.slot, self.proposed)) for voter in self.voters]
        return self._replace(accepts=accepts, outcome=self.proposed), sends

    def on_chosen(self, message: Chosen) -> Proposer:
        """Learn the value that another proposer's round has chosen in this slot."""
        if message.slot != self.slot or self.outcome is not None:
            return self
        return self._replace(outcome=message.value)

    def step(self, message: PolicyMessage) -> tuple[Proposer, list[Send]]:
        """Handle one message; those that are not for a proposer are ignored."""
        match message:
            case Promise():
                return self.on_promise(message)
            case Accepted():
                return self.on_accepted(message)
            case Chosen():
                return self.on_chosen(message), []
        return self, []


class LeaseHolder(NamedTuple):
    """A member that serves under leases: the version that it knows, and the voters that have granted it."""

    name: str
    voters: tuple[str, ...]
    lease_us: int
    version: int = 0
    document: bytes = b""
    grants: tuple[tuple[str, int], ...] = ()  # voter, expiry by this member's clock

    @property
    def majority(self) -> int:
        """The number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    def serving_version(self, now: int) -> int | None:
        """The version that requests may be served under at this moment, or None.

        Call it for each decision: a process that was suspended notices an expired lease only by checking.
        """
        valid = sum(until > now for _, until in self.grants)
        return self.version if valid >= self.majority else None

    def lease_until_us(self) -> int:
        """When its lease expires unless it is renewed, by its clock; 0 without a majority of grants."""
        ends = sorted((until for _, until in self.grants), reverse=True)
        return ends[self.majority - 1] if len(ends) >= self.majority else 0

    def renew(self, now: int) -> list[Send]:
        """Requests for the lease, to all voters; call at the start and several times per lease."""
        return [Send(voter, Renew(self.name, self.version, now)) for voter in self.voters]

    def on_grant(self, message: Grant, now: int) -> LeaseHolder:
        """Record a voter's grant of the current version, counted from when it was asked for."""
        if message.version != self.version or message.voter not in self.voters or message.asked_us > now:
            return self
        until = message.asked_us + int(self.lease_us * (1 - MAX_CLOCK_DRIFT))
        grants = {**dict(self.grants)}
        grants[message.voter] = max(grants.get(message.voter, 0), until)
        return self._replace(grants=tuple(sorted(grants.items())))

    def on_current(self, message: Current) -> tuple[LeaseHolder, bool]:
        """Switch to this version if it is newer, and serve none until it is granted.

        Also returns whether it was newer: then call `release_messages` as soon as no request is in flight
        under the previous version. Versions in between may be skipped, since each has the whole policy.
        """
        if message.slot <= self.version:
            return self, False
        return self._replace(version=message.slot, document=message.policy, grants=()), True

    def release_messages(self) -> list[Send]:
        """Releases of all older versions, to all voters."""
        return [Send(voter, Release(self.name, self.version)) for voter in self.voters]

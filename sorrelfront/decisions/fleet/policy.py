"""One policy for a whole fleet: a change is decided once by a quorum of voters, and served by leases. Without
I/O.

Versions are slots. In each slot the voters choose one value by Paxos (Lamport, "Paxos Made Simple", 2001): a
policy, or nothing, which is how a change is given up for good. A voter votes in a slot only if it knows what
was chosen in the one before, so a slot has no gap below it. A member serves by a version while a majority of
the voters has granted it a lease on that version (Gray and Cheriton, 1989), counted from when it asked. A
voter grants one on a newer version only once every older lease that it granted has run out by its own clock,
or was given back; a majority that grants the newer has a voter in common with each that granted an older one,
so no two versions are served at once.

State is immutable: each step returns the next state and what to do, in order. What is to be kept (`Keep`) has
to be on disk before anything after it is sent."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

DRIFT = 500e-6  # between two clocks, at most, as a share: 200 millionths each, and some
AHEAD = 2  # slots past the last that others know, in which a voter may have voted before it lost its memory
HISTORY = 16  # chosen values that a voter keeps for members that were away

Ballot = tuple[int, str]  # round, and who
NONE: Ballot = (0, "")


class Value(NamedTuple):
    """What a slot may hold. `void`: the change was given up; the policy before it stays."""

    change: str
    document: bytes = b""
    void: bool = False


# Words


class Prepare(NamedTuple):
    slot: int
    ballot: Ballot


class Promise(NamedTuple):
    slot: int
    ballot: Ballot
    voter: str
    accepted: Ballot
    value: Value | None


class Accept(NamedTuple):
    slot: int
    ballot: Ballot
    value: Value


class Accepted(NamedTuple):
    slot: int
    ballot: Ballot
    voter: str


class Reject(NamedTuple):
    """A higher ballot was promised."""

    slot: int
    ballot: Ballot
    voter: str


class Chosen(NamedTuple):
    """This slot holds this value, for good."""

    slot: int
    value: Value


class Current(NamedTuple):
    """What the latest slot that I know holds, and the policy in force by it: for members, and for a voter
    that is further behind than any history goes. `document` is left empty if it is the value's own."""

    slot: int
    value: Value
    document: bytes = b""

    @property
    def policy(self) -> bytes:
        return self.document if self.value.void else self.value.document


class Need(NamedTuple):
    """I lack what was chosen from this slot on."""

    slot: int
    who: str


class Renew(NamedTuple):
    """A lease on this version, please. `asked_us` is the asker's clock and comes back."""

    member: str
    version: int
    asked_us: int


class Grant(NamedTuple):
    voter: str
    version: int
    asked_us: int


class Release(NamedTuple):
    """I serve by nothing older than this version any more, and nothing of mine is under way by it."""

    member: str
    version: int


class Ask(NamedTuple):
    """From a voter without memory: what do you know?"""

    voter: str


class Known(NamedTuple):
    voter: str
    chosen: int


class Blank(NamedTuple):
    """From a voter that knows of no fleet: it has just been set up, or has lost its disk."""

    voter: str


class Found(NamedTuple):
    """An operator's word to a voter: this is a new fleet (no value), or, where too many voters are gone for
    good, go on from this slot with this value whatever was voted."""

    slot: int
    value: Value | None
    who: str


class Look(NamedTuple):
    """What do you know? `number` comes back."""

    number: int
    who: str
    history: bool


class Shown(NamedTuple):
    """What a voter knows: its latest slot (-1: blank) and what that holds, by its change and the digest of
    the policy in force; the change that it has accepted in the next slot; the leases that run (holder,
    version, how long still); for how long it grants none; and, if asked for, earlier slots."""

    number: int
    voter: str
    slot: int
    change: str
    digest: str
    under_way: str
    leases: tuple[tuple[str, int, int], ...]
    blind_us: int
    history: tuple[Value, ...]


class Check(NamedTuple):
    """Would you serve by this policy?"""

    number: int
    who: str
    document: bytes


class Checked(NamedTuple):
    """I would, or why not."""

    number: int
    member: str
    fault: str


Word = (
    Prepare | Promise | Accept | Accepted | Reject | Chosen | Current | Need | Renew | Grant | Release | Ask
    | Known | Blank | Found | Look | Shown | Check | Checked
)  # fmt: skip


def digest_of(document: bytes) -> str:
    """Of a policy, for people and for comparing. Empty for none."""
    return blake2b(document, digest_size=8).hexdigest() if document else ""


# What to do


class Keep(NamedTuple):
    """Have this on disk before what follows is done."""

    record: Record


class Send(NamedTuple):
    to: str
    word: Word


class Record(NamedTuple):
    """What a voter has on disk."""

    chosen: tuple[Value, ...]  # the latest HISTORY of them
    slot: int  # of the last of these; 0: none yet
    promised: Ballot
    accepted: Ballot
    value: Value | None
    abstains: int  # it does not vote in slots up to this one
    document: bytes = b""  # the policy in force by the last of `chosen`


FIRST = Record((), 0, NONE, NONE, None, 0)  # of a voter of a new fleet, written when the fleet is founded
Step = tuple["Voter", list[Keep | Send]]


class Voter(NamedTuple):
    """One voter: its record, and what it knows only while it runs."""

    name: str
    voters: tuple[str, ...]
    record: Record | None  # None: it has lost its memory
    lease_us: int
    blind_until_us: int  # leases that a former life granted may still run until then
    leases: tuple[tuple[str, int, int], ...] = ()  # holder, version, until when by this clock
    told: tuple[tuple[str, int], ...] = ()  # while without memory: what others know

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    # Choosing

    def on_prepare(self, word: Prepare, sender: str) -> Step:
        record = self.record
        if record is None:
            return self, []
        refused = self._refused(record, word.slot, word.ballot, sender)
        if refused is not None:
            return self, refused
        kept = record._replace(promised=word.ballot)
        answer = Promise(word.slot, word.ballot, self.name, record.accepted, record.value)
        return self._replace(record=kept), [Keep(kept), Send(sender, answer)]

    def on_accept(self, word: Accept, sender: str) -> Step:
        record = self.record
        if record is None:
            return self, []
        refused = self._refused(record, word.slot, word.ballot, sender)
        if refused is not None:
            return self, refused
        kept = record._replace(promised=word.ballot, accepted=word.ballot, value=word.value)
        answer = Accepted(word.slot, word.ballot, self.name)
        return self._replace(record=kept), [Keep(kept), Send(sender, answer)]

    def _refused(self, record: Record, slot: int, ballot: Ballot, sender: str) -> list[Keep | Send] | None:
        """What to do instead of voting, perhaps nothing; None if it may vote."""
        turned = self._out_of_turn(record, slot, sender)
        if turned is not None:
            return turned
        if slot <= record.abstains:
            return []
        if ballot < record.promised:
            return [Send(sender, Reject(slot, record.promised, self.name))]
        return None

    def _out_of_turn(self, record: Record, slot: int, sender: str) -> list[Keep | Send] | None:
        """What to say of a slot that is not the next one; None if it is."""
        if slot <= record.slot:
            return [Send(sender, word) for word in self.chosen_from(slot)]
        if slot > record.slot + 1:
            return [Send(sender, Need(record.slot + 1, self.name))]
        return None

    def current(self) -> list[Current]:
        """Where this voter stands, if anything was chosen yet."""
        record = self.record
        if record is None or not record.chosen:
            return []
        value = record.chosen[-1]
        return [Current(record.slot, value, record.document if value.void else b"")]

    def chosen_from(self, slot: int) -> list[Chosen | Current]:
        """What was chosen from this slot on; where the history does not go back so far, the latest alone."""
        record = self.record
        if record is None:
            return []
        first = record.slot - len(record.chosen) + 1
        if slot < first:
            return [*self.current()]
        return [Chosen(first + at, value) for at, value in enumerate(record.chosen) if first + at >= slot]

    def on_chosen(self, word: Chosen) -> Step:
        record = self.record
        if record is None or word.slot != record.slot + 1:
            return self, []
        chosen = (*record.chosen, word.value)[-HISTORY:]
        document = record.document if word.value.void else word.value.document
        kept = Record(chosen, word.slot, NONE, NONE, None, record.abstains, document)
        return self._replace(record=kept), [Keep(kept)]

    def on_current(self, word: Current) -> Step:
        """Skip slots whose values nobody near remembers. What was voted in them does not matter any more."""
        record = self.record
        if record is None or word.slot <= record.slot:
            return self, []
        earlier = record.chosen if word.slot == record.slot + 1 else ()
        chosen = (*earlier, word.value)[-HISTORY:]
        kept = Record(chosen, word.slot, NONE, NONE, None, record.abstains, word.policy)
        return self._replace(record=kept), [Keep(kept)]

    def on_found(self, word: Found, sender: str) -> Step:
        """Be a voter of a new fleet; or, forced, stand where the operator says. A forced one goes forward
        only. Risk: a voter that comes back after all may have chosen something else meanwhile."""
        record = self.record
        if word.value is None and record is None:
            fresh = self._replace(record=FIRST, told=(), blind_until_us=0)  # nobody ever had a lease
            return fresh, [Keep(FIRST), Send(sender, Known(self.name, 0))]
        if word.value is not None and (record is None or word.slot > record.slot):
            document = word.value.document
            kept = Record((word.value,), word.slot, NONE, NONE, None, 0, document)
            told = Known(self.name, word.slot)
            return self._replace(record=kept, told=()), [Keep(kept), Send(sender, told)]
        return self, [] if record is None else [Send(sender, Known(self.name, record.slot))]

    # Without memory

    def on_known(self, word: Known) -> Step:
        """A voter that lost its disk votes again only where its former life cannot have voted.

        It voted in no slot beyond the next but one of what a majority of the others knows: to vote in a slot
        takes to know the one before, and that one was chosen by a majority that knew the one before it.
        """
        if self.record is not None or word.voter == self.name or word.voter not in self.voters:
            return self, []
        told = tuple(sorted({**dict(self.told), word.voter: word.chosen}.items()))
        if len(told) < self.majority:
            return self._replace(told=told), []
        kept = FIRST._replace(abstains=max(chosen for _, chosen in told) + AHEAD)
        asks: list[Keep | Send] = [Keep(kept)]
        asks += [Send(voter, Need(1, self.name)) for voter, _ in told]
        return self._replace(record=kept, told=()), asks

    # Leases

    def on_renew(self, word: Renew, now: int) -> Step:
        record = self.record
        if record is None:
            return self, [Send(word.member, Blank(self.name))]
        if word.version < record.slot:
            return self, [Send(word.member, item) for item in self.current()]
        if word.version > record.slot:
            return self, [Send(word.member, Need(record.slot + 1, self.name))]
        if record.slot < record.abstains - AHEAD:
            # Risk: it lost its memory, and grants an older version than it had granted before, together with
            # a voter that was behind. A version that was served by is known to a majority, so to one of those
            # that it asked.
            return self, []
        # Its former lease on an older version is over: it asks for this one.
        running = [item for item in self.leases if item[2] > now and item[0] != word.member]
        older = any(version < word.version for _, version, _ in running)
        if older or now < self.blind_until_us:
            return self._replace(leases=tuple(running)), []  # it asks again
        until = now + int(self.lease_us * (1 + DRIFT)) + 1
        leases = (*running, (word.member, word.version, until))
        return self._replace(leases=leases), [
            Send(word.member, Grant(self.name, word.version, word.asked_us))
        ]

    def on_release(self, word: Release, now: int) -> Step:
        left = tuple(
            item
            for item in self.leases
            if item[2] > now and not (item[0] == word.member and item[1] < word.version)
        )
        return self._replace(leases=left), []

    def shown(self, word: Look, now: int) -> Shown:
        """What it knows, for whoever asks."""
        record = self.record
        running = tuple((who, version, until - now) for who, version, until in self.leases if until > now)
        blind = max(0, self.blind_until_us - now)
        if record is None:
            return Shown(word.number, self.name, -1, "", "", "", running, blind, ())
        change = record.chosen[-1].change if record.chosen else ""
        under_way = record.value.change if record.value is not None else ""
        history = record.chosen if word.history else ()
        digest = digest_of(record.document)
        return Shown(word.number, self.name, record.slot, change, digest, under_way, running, blind, history)

    def step(self, word: Word, sender: str, now: int) -> Step:
        """One word from `sender`, at this time of this voter's own clock."""
        match word:
            case Current():
                return self.on_current(word)
            case Found():
                return self.on_found(word, sender)
            case Look():
                return self, [Send(word.who, self.shown(word, now))]
            case Ask() if self.record is None:
                return self, [Send(word.voter, Blank(self.name))]
            case Prepare():
                return self.on_prepare(word, sender)
            case Accept():
                return self.on_accept(word, sender)
            case Chosen():
                return self.on_chosen(word)
            case Need() if self.record is not None:
                return self, [Send(word.who, item) for item in self.chosen_from(word.slot)]
            case Renew():
                return self.on_renew(word, now)
            case Release():
                return self.on_release(word, now)
            case Ask() if self.record is not None:
                return self, [Send(word.voter, Known(self.name, self.record.slot))]
            case Known():
                return self.on_known(word)
        return self, []

    def begin(self) -> list[Keep | Send]:
        """What to do at the start."""
        if self.record is not None:
            return []
        return [Send(voter, Ask(self.name)) for voter in self.voters if voter != self.name]


def started(
    name: str, voters: tuple[str, ...], record: Record | None, lease_us: int, now: int, fresh: bool
) -> Voter:
    """A voter that starts with what its disk holds. `fresh`: its fleet is just being founded, and no lease is
    out."""
    blind = now if fresh else now + int(lease_us * (1 + DRIFT)) + 1
    return Voter(name, voters, record, lease_us, blind)


class Proposer(NamedTuple):
    """One attempt to have a value chosen in a slot; another one takes a higher round."""

    name: str
    voters: tuple[str, ...]
    slot: int
    value: Value
    ballot: Ballot
    promises: tuple[tuple[str, Ballot, Value | None], ...] = ()
    accepts: frozenset[str] = frozenset()
    proposed: Value | None = None  # what it had to propose: its own, or one that may be chosen already
    outcome: Value | None = None

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def begin(self) -> list[Send]:
        return [Send(voter, Prepare(self.slot, self.ballot)) for voter in self.voters]

    def still(self) -> list[Send]:
        """What is under way, once more, for those that may not have heard it: a slow disk, a lost word."""
        if self.proposed is None:
            return self.begin()
        return [Send(voter, Accept(self.slot, self.ballot, self.proposed)) for voter in self.voters]

    def again(self, above: Ballot) -> tuple[Proposer, list[Send]]:
        """With a higher round, after a rejection or a silence."""
        fresh = Proposer(
            self.name, self.voters, self.slot, self.value,
            (max(above[0], self.ballot[0]) + 1, self.name), outcome=self.outcome,
        )  # fmt: skip
        return fresh, [] if self.outcome is not None else fresh.begin()

    def on_promise(self, word: Promise) -> tuple[Proposer, list[Send]]:
        if word.slot != self.slot or word.ballot != self.ballot or self.proposed is not None:
            return self, []
        if any(voter == word.voter for voter, _, _ in self.promises):
            return self, []
        promises = (*self.promises, (word.voter, word.accepted, word.value))
        if len(promises) < self.majority:
            return self._replace(promises=promises), []
        _, ballot, value = max(promises, key=lambda item: item[1])
        # What may have been chosen is proposed again, not one's own.
        chosen = value if ballot != NONE and value is not None else self.value
        sends = [Send(voter, Accept(self.slot, self.ballot, chosen)) for voter in self.voters]
        return self._replace(promises=promises, proposed=chosen), sends

    def on_accepted(self, word: Accepted) -> tuple[Proposer, list[Send]]:
        if word.slot != self.slot or word.ballot != self.ballot or self.outcome is not None:
            return self, []
        accepts = self.accepts | {word.voter}
        if len(accepts) < self.majority or self.proposed is None:
            return self._replace(accepts=accepts), []
        told = [Send(voter, Chosen(self.slot, self.proposed)) for voter in self.voters]
        return self._replace(accepts=accepts, outcome=self.proposed), told

    def on_chosen(self, word: Chosen) -> Proposer:
        if word.slot != self.slot or self.outcome is not None:
            return self
        return self._replace(outcome=word.value)

    def step(self, word: Word) -> tuple[Proposer, list[Send]]:
        match word:
            case Promise():
                return self.on_promise(word)
            case Accepted():
                return self.on_accepted(word)
            case Chosen():
                return self.on_chosen(word), []
        return self, []


class Holder(NamedTuple):
    """A member that serves by leases: which version it knows, and who has granted it that."""

    name: str
    voters: tuple[str, ...]
    lease_us: int
    version: int = 0
    document: bytes = b""
    grants: tuple[tuple[str, int], ...] = ()  # voter, and until when by this member's clock

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def serves(self, now: int) -> int | None:
        """The version that a request may be decided by at this moment; None: by none. Ask at each decision: a
        process that was stopped finds out only by looking."""
        valid = sum(until > now for _, until in self.grants)
        return self.version if valid >= self.majority else None

    def until_us(self) -> int:
        """Until when it may serve if nobody renews; 0 if it may not."""
        ends = sorted((until for _, until in self.grants), reverse=True)
        return ends[self.majority - 1] if len(ends) >= self.majority else 0

    def renew(self, now: int) -> list[Send]:
        """Call every third of a lease, and at the start."""
        return [Send(voter, Renew(self.name, self.version, now)) for voter in self.voters]

    def on_grant(self, word: Grant, now: int) -> Holder:
        if word.version != self.version or word.voter not in self.voters or word.asked_us > now:
            return self
        until = word.asked_us + int(self.lease_us * (1 - DRIFT))
        kept = {**dict(self.grants)}
        kept[word.voter] = max(kept.get(word.voter, 0), until)
        return self._replace(grants=tuple(sorted(kept.items())))

    def on_current(self, word: Current) -> tuple[Holder, bool]:
        """Take this version if it is a newer one, and serve by none until it is granted. Whether it was
        newer: then call `released` as soon as nothing is under way by the one before. Versions in between
        may be skipped: each says the whole policy."""
        if word.slot <= self.version:
            return self, False
        return self._replace(version=word.slot, document=word.policy, grants=()), True

    def released(self) -> list[Send]:
        return [Send(voter, Release(self.name, self.version)) for voter in self.voters]

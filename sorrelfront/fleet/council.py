"""One member's part in the fleet's policy: its voter if it is one, its lease, and what it proposes.
Carries words, records and time; what to say is decided in `decisions.fleet`.

A voter's record is on disk before what follows from it is said. A member that hears of a newer version takes
nothing new by the one before, has what is under way finished, goes by the newer, and only then gives its
lease back."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from sorrelfront.decisions.fleet.change import Change, Outcome
from sorrelfront.decisions.fleet.policy import (
    Accepted,
    Blank,
    Check,
    Checked,
    Chosen,
    Current,
    Found,
    Grant,
    Holder,
    Keep,
    Look,
    Need,
    Promise,
    Record,
    Reject,
    Release,
    Renew,
    Send,
    Shown,
    Value,
    Voter,
    Word,
    digest_of,
    started,
)
from sorrelfront.decisions.fleet.said import pack_held, pack_record, unpack_held, unpack_record
from sorrelfront.decisions.fleet.words import Unreadable
from sorrelfront.fleet.carrier import now_us

log = logging.getLogger("sorrelfront.fleet")

INBOX_MOST = 1_024  # words that wait for a voter's disk; what comes beyond is dropped and counted
RENEWALS = 4  # in the time of a lease: three may be lost
# Between two askings while it has no lease: twice as long each time. Others give theirs back within
# milliseconds, or it takes as long as a lease.
SOON_US, LATER_US = 20_000, 160_000
TICK_US = (5_000, 100_000)  # the shortest and the longest sleep
LOOK_S = 1.0  # for voters to answer an operator's question
FORCED_AHEAD = 100  # slots that a forced policy skips, so that none that was voted in is used again


class Standing(Enum):
    """How a request that comes now stands with the promise."""

    LEASED = "leased"  # decided by a version that a majority has granted
    FREE = "free"  # the fleet has no policy yet: by this host's file
    WAIT = "wait"  # for a lease that may come in a moment
    CUT_OFF = "cut off"  # no lease, and it did not come in time


@dataclass(frozen=True, slots=True)
class Ports:
    """What a council needs of what is around it."""

    say: Callable[[str, Word], None]
    keep: Callable[[bytes], Awaitable[None]]  # durable once it returns; raises OSError
    remember: Callable[[bytes], None]  # as soon as the disk allows
    members: Callable[[], list[str]]  # that live
    check: Callable[[bytes], str]  # why this member would not go by a policy; empty if it would
    take: Callable[[int, bytes], str]  # go by it from now on; a fault if that cannot be
    finished: Callable[[], bool]  # nothing is under way by the version before
    opened: Callable[[], None]  # what waited for a lease may be decided


class Council:
    """This member's part. `start` it, give it words, `close` it."""

    def __init__(
        self, name: str, voters: tuple[str, ...], lease_us: int, ports: Ports,
        vote: bytes | None, held: bytes | None,
    ) -> None:  # fmt: skip
        """`vote` and `held`: what the disk has of an earlier life, or None."""
        now = now_us()
        self.name, self.voters, self.lease_us = name, voters, lease_us
        self._ports = ports
        self.voter: Voter | None = None
        if name in voters:
            self.voter = started(name, voters, _record(vote), lease_us, now, fresh=False)
        version, document = _held(held)
        self.holder = Holder(name, voters, lease_us, version, document)
        self._founded = held is not None
        self._remembered = version if held is not None else -1
        self.taken = 0  # the version that requests are decided by now
        self._moving = False  # a newer one is known, and the one before is not finished
        self._before_until = 0  # until when the lease on the one before runs
        self._wait_until = now + self._patience_us  # for a lease that is to come; past it, it is cut off
        self._without = True  # a lease, as far as it has noticed
        self._blank: set[str] = set()
        self.fault = ""
        self.change: Change | None = None
        self._shown: dict[str, Shown] = {}
        self._number = 0
        self._random = Random()  # no two members act alike
        self._inbox: deque[tuple[str, Word]] = deque()
        self._work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._next_renewal = 0
        self._soon_us = SOON_US
        self._next_need = 0
        self.counts = dict.fromkeys(("said", "heard", "dropped", "unkept", "moves"), 0)

    def start(self) -> None:
        if self.holder.version:
            self._take()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._tick())]
        if self.voter is not None:
            self._tasks.append(loop.create_task(self._vote()))
        for task in self._tasks:
            task.add_done_callback(_ended)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    # Requests

    def standing(self) -> Standing:
        """Of a request that comes in this moment. A process that was stopped finds out only by looking."""
        now = now_us()
        if not self._moving and not self.fault and self.holder.serves(now) is not None:
            return Standing.LEASED
        if self.free:
            return Standing.FREE
        if not self._without and not self._moving:
            self._without = True  # it has run out: renewing it was tried several times by now
            log.warning("the lease on version %d is over, and nobody renews it", self.taken)
        return Standing.WAIT if now < self._wait_until else Standing.CUT_OFF

    @property
    def _patience_us(self) -> int:
        """For a member that starts or moves to be granted a lease: older ones may run for one."""
        return int(self.lease_us * 1.25)

    @property
    def free(self) -> bool:
        """Whether the voters say that there is no fleet yet, and this member has never heard of one."""
        return not self._founded and len(self._blank) > len(self.voters) // 2

    def may_go_on(self, version: int) -> bool:
        """Whether a request that was taken under a lease on this version may have another attempt."""
        now = now_us()
        if self._moving:
            return version == self.taken and now < self._before_until
        return version == self.taken and self.holder.serves(now) == version

    # Words

    def hear(self, sender: str, word: Word) -> None:
        self.counts["heard"] += 1
        now = now_us()
        match word:
            case Grant():
                self._granted(word, now)
            case Current():
                self._current(word)
                self._to_voter(sender, word)
            case Blank():
                self._blank.add(word.voter)
            case Check():
                self._say(word.who, Checked(word.number, self.name, self._ports.check(word.document)[:400]))
            case Shown():
                if word.number == self._number:
                    self._shown[word.voter] = word
                self._to_change(word, now)
            case Promise() | Accepted() | Reject() | Checked():
                self._to_change(word, now)
            case Renew() | Release() | Look():
                self._lend(sender, word)
            case Need() | Chosen():
                self._to_voter(sender, word)
                self._to_change(word, now)
            case _:
                self._to_voter(sender, word)

    def _to_change(self, word: Word, now: int) -> None:
        if self.change is not None:
            for send in self.change.on_word(word, now):
                self._say(send.to, send.word)

    def _to_voter(self, sender: str, word: Word) -> None:
        if self.voter is None:
            return
        if len(self._inbox) >= INBOX_MOST:
            self.counts["dropped"] += 1
            return
        self._inbox.append((sender, word))
        self._work.set()

    def _say(self, to: str, word: Word) -> None:
        self.counts["said"] += 1
        if to == self.name:
            asyncio.get_running_loop().call_soon(self.hear, self.name, word)
        else:
            self._ports.say(to, word)

    # Voting

    async def _vote(self) -> None:
        """All words that wait, in their order; then one record, which has what each of them wanted kept; and
        only then their answers. Risk: a write for each word, and a slow disk falls ever further behind."""
        while True:
            await self._work.wait()
            self._work.clear()
            assert self.voter is not None
            before = after = self.voter
            actions: list[Keep | Send] = []
            while self._inbox:
                sender, word = self._inbox.popleft()
                after, more = after.step(word, sender, now_us())
                actions += more
            if not await self._kept(before.record, after.record):
                continue  # as if the words had never come
            # Leases were granted meanwhile, by what was on disk.
            self.voter = self.voter._replace(
                record=after.record, told=after.told, blind_until_us=after.blind_until_us
            )
            for action in actions:
                if isinstance(action, Send):
                    self._say(action.to, action.word)
            self._advanced(before.record, after.record)

    async def _kept(self, before: Record | None, after: Record | None) -> bool:
        if after is None or after == before:
            return True
        try:
            await self._ports.keep(pack_record(after))
        except OSError as fault:
            self.counts["unkept"] += 1
            log.warning("a vote is not given, since it cannot be kept: %s", fault.strerror or fault)
            return False
        return True

    def _lend(self, sender: str, word: Word) -> None:
        """Words that change nothing on disk, at once. Risk: leases that wait for a slow disk run out."""
        if self.voter is not None:
            self.voter, actions = self.voter.step(word, sender, now_us())
            for action in actions:
                if isinstance(action, Send):
                    self._say(action.to, action.word)

    def _advanced(self, before: Record | None, after: Record | None) -> None:
        """This process's voter knows of a newer version: so does its member."""
        assert self.voter is not None
        if after is not None and (before is None or after.slot > before.slot):
            for current in self.voter.current():
                self._current(current)

    # Serving

    def _granted(self, word: Grant, now: int) -> None:
        self._blank.discard(word.voter)
        self.holder = self.holder.on_grant(word, now)
        if self._moving or self.fault or self.holder.serves(now) is None:
            return
        self._founded = True
        self._wait_until = 0
        if self._without:
            self._without = False
            log.info("version %d is in force here", self.holder.version)
            self._ports.opened()
        if self._remembered != self.holder.version:
            self._remembered = self.holder.version
            self._ports.remember(pack_held(self.holder.version, self.holder.document))

    def _current(self, word: Current) -> None:
        now = now_us()
        before = self.holder
        after, moved = before.on_current(word)
        if not moved:
            return
        self._founded = True
        if not self._moving:
            self._before_until = before.until_us()
            self._moving = True
        if now >= self._wait_until:
            self._wait_until = now + self._patience_us
        self._without = True
        self.holder = after
        self.counts["moves"] += 1
        self._settle()

    def _settle(self) -> None:
        """Go by the newer version, once nothing is under way by the one before, or its lease is over."""
        if not self._moving or not (self._ports.finished() or now_us() >= self._before_until):
            return
        self._moving = False
        self._take()
        for send in self.holder.released():
            self._say(send.to, send.word)
        self._soon_us = SOON_US
        self._renew(now_us())

    def _take(self) -> None:
        self.taken = self.holder.version
        self.fault = self._ports.take(self.holder.version, self.holder.document)
        if self.fault:
            log.error("version %d cannot be taken: %s", self.holder.version, self.fault)

    def _renew(self, now: int) -> None:
        has = self.holder.serves(now) is not None
        self._next_renewal = now + (self.lease_us // RENEWALS if has else self._soon_us)
        self._soon_us = SOON_US if has else min(2 * self._soon_us, LATER_US)
        if self._moving or self.fault:
            return  # asking for a newer one says that nothing older is served any more
        for send in self.holder.renew(now):
            self._say(send.to, send.word)

    # Time

    async def _tick(self) -> None:
        while True:
            now = now_us()
            self._settle()
            if now >= self._next_renewal:
                self._renew(now)
            if self.voter is not None and now >= self._next_need:
                self._next_need = now + self.lease_us // 2
                self._catch_up(self.voter)
            if self.change is not None and not self.change.done:
                for send in self.change.on_time(now):
                    self._say(send.to, send.word)
            await asyncio.sleep(self._pause_us(now) / 1e6)

    def _pause_us(self, now: int) -> int:
        least, most = TICK_US
        due = self._next_renewal
        if self.change is not None and not self.change.done:
            due = min(due, self.change.next_us())
        return least if self._moving else min(most, max(least, due - now))

    def _catch_up(self, voter: Voter) -> None:
        """Ask the other voters what was chosen meanwhile; one without memory asks what they know."""
        for send in voter.begin():
            if isinstance(send, Send):
                self._say(send.to, send.word)
        if voter.record is not None:
            for other in self.voters:
                if other != self.name:
                    self._say(other, Need(voter.record.slot + 1, self.name))

    def again(self) -> None:
        """This host's file is another one: a policy that could not be taken may be taken now, and one that is
        in force is laid over the new file."""
        if not self._moving and self.holder.version:
            self._take()

    # Operators

    def propose(self, value: Value, onto: int | None) -> bool:
        """Begin a change; False while another one that this member proposed is under way."""
        if self.change is not None and not self.change.done:
            return self.change.value.change == value.change
        self.change = Change(
            self.name, self.voters, value, onto, self.lease_us, self._ports.members(), self._random, now_us()
        )
        for send in self.change.on_time(now_us()):
            self._say(send.to, send.word)
        return True

    def proposed(self) -> tuple[str, Outcome] | None:
        """The change that was proposed here last, and how far it has come."""
        return None if self.change is None else (self.change.value.change, self.change.outcome)

    async def look(self, history: bool) -> dict[str, Shown]:
        """What the voters know, of those that answer in time."""
        self._number = self._random.getrandbits(52)
        self._shown = {}
        for voter in self.voters:
            self._say(voter, Look(self._number, self.name, history))
        until = now_us() + int(LOOK_S * 1e6)
        while len(self._shown) < len(self.voters) and now_us() < until:
            await asyncio.sleep(0.01)
        return dict(self._shown)

    async def found(self, forced: Value | None) -> tuple[dict[str, Shown], str]:
        """Have all voters begin a new fleet; or, forced, go on by this value. What they know then, and what
        is wrong."""
        known = await self.look(False)
        latest = max((item.slot for item in known.values()), default=-1)
        if forced is None and (latest > 0 or self.holder.version > 0):
            return known, f"this fleet has a policy: version {max(latest, self.holder.version)}"
        if forced is None and len(known) < len(self.voters):
            silent = ", ".join(sorted(set(self.voters) - set(known)))
            return known, f"a new fleet takes all voters; silent: {silent}"
        slot = 0 if forced is None else max(latest, self.holder.version) + FORCED_AHEAD
        for voter in self.voters:
            self._say(voter, Found(slot, forced, self.name))
        await asyncio.sleep(LATER_US / 1e6)
        return await self.look(False), ""

    # Told

    def figures(self) -> dict[str, Any]:
        now = now_us()
        return {
            "version": self.taken, "digest": digest_of(self.holder.document) if not self._moving else "",
            "standing": self.standing().value, "fault": self.fault,
            "lease_left_s": round(max(0, self.holder.until_us() - now) / 1e6, 3), "inbox": len(self._inbox),
            **self.counts,
        }  # fmt: skip


def _record(data: bytes | None) -> Record | None:
    if data is None:
        return None
    try:
        return unpack_record(data)
    except Unreadable as fault:
        log.warning("what this voter remembers cannot be read: %s", fault)
        return None


def _held(data: bytes | None) -> tuple[int, bytes]:
    if data is None:
        return 0, b""
    try:
        return unpack_held(data)
    except Unreadable as fault:
        log.warning("the policy that was in force here cannot be read: %s", fault)
        return 0, b""


def _ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("the policy's part has failed", exc_info=task.exception())

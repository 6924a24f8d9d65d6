"""How far a list made of ephemeral nodes is trusted: what the service says, beside what attempts show.

A node goes when its session ends, which is not when its process ends. So a vanished node is one of three
things, and each has its rule here:

- *One or few, from a service that is well*: told as a drain, SETTLE_US later at most.
- *A crowd, or all, while the service was in doubt*: suspects. They are drawn on while they answer, for
  `suspect_us` at most, and leave once a fresh read misses them too and that time is over, or as soon as an
  attempt shows that one does not answer.
- *Its record changed on the way out, or said that it drains*: a drain, in a crowd too.

Nothing here does I/O or has a clock: events with the time in microseconds go in, actions come out. Sources:
docs/design/zookeeper.md weighs the options; the decay of flaps follows RFC 2439, 2 and 4.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from sorrelfront.decisions.interface import Backend, State

# Between a node's going and its being told, to see whether it goes alone, and whether it comes straight back.
# The grace of a drain is 500 ms: the rest is for reads and a busy loop.
SETTLE_US = 150_000
TOGETHER_US = 2_000_000  # what goes within this time goes together: expiries of one stall come tick by tick
FEW = 2  # so many may always go without being a crowd: a release replaces servers one or two at a time
CROWD_SHARE = 0.2  # of the list, above which what goes together is a crowd
# Two shares above which a crowd is doubt enough by itself: no release takes most servers away at once.
MOST_SHARE = 0.5
CHECK_US = 200_000  # between looks at whether suspects still answer
REMEMBER_US = 60_000_000  # estimates of a server that has gone are kept for so long, in case it comes back
FLAP_HALF_US = 15_000_000  # flaps are forgotten by half in this time
FLAP_HELD = 3.0  # flaps, as they fade, from which a server that comes back is held out
FLAP_REUSED = 1.5  # and below which it is taken back
HOLD_MOST_US = 10_000_000  # the longest that a good server is held out for what it did before
HELD_SHARE = 0.2  # of the list; if more flap, it is not they who flap
KNOWN_MOST = 20_000  # ids; twice the longest list


class Member(NamedTuple):
    """A server as its record says. `version` orders records of one id: the zxid of its last change."""

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    size: float
    started_us: int
    draining: bool
    version: int

    def backend(self, state: State) -> Backend:
        return Backend(self.id, self.zone, self.kind, self.cell, state, self.size, self.started_us)


class Service(Enum):
    """What the session with the service does."""

    WELL = "well"  # connected, and answering in time
    SLOW = "slow"  # connected, and late with an answer
    SILENT = "silent"  # not connected
    LOST = "lost"  # our own session has ended, or all that the service knew


class Answering(Enum):
    """What our own attempts show of a server since some time."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


Evidence = Callable[[str, int], Answering]


class Told(NamedTuple):
    """The balancer is told of these servers, or of the whole list."""

    complete: bool
    servers: tuple[tuple[Member, State], ...]


class Reread(NamedTuple):
    """Read the children anew after this time."""

    delay_us: int


class Wake(NamedTuple):
    """Call `on_timer` after this time."""

    delay_us: int


class Suspected(NamedTuple):
    """So many have vanished together and are drawn on while they answer, this one among them."""

    how_many: int
    server: str


Action = Told | Reread | Wake | Suspected


class Standing(Enum):
    LISTED = "listed"
    SETTLING = "settling"  # its node has just gone
    SUSPECT = "suspect"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in microseconds. `doubt_us`: how long after a trouble of the service a crowd that vanishes is put
    down to it; sessions end up to their whole time-out after it."""

    suspect_us: int = 30_000_000
    confirm_us: int = 1_000_000
    doubt_us: int = 30_000_000

    def __post_init__(self) -> None:
        for name in ("suspect_us", "confirm_us", "doubt_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")


@dataclass(slots=True)
class Known:
    """What is known of one id."""

    member: Member
    standing: Standing = Standing.LISTED
    since: int = 0  # of the standing
    vanished_at: int = -1  # when its last node went
    told: State | None = None
    told_member: Member | None = None
    drained: bool = False  # it has been said that it drains; holds while it is the same process
    missed: bool = False  # a suspect that a fresh read has missed too
    until: int = 0  # of a suspect
    flaps: float = 0.0
    flapped_at: int = 0
    held_until: int = 0
    nodes: set[str] = field(default_factory=set)

    def faded(self, now: int) -> float:
        return self.flaps * math.exp2(-max(0, now - self.flapped_at) / FLAP_HALF_US)


class Trust:
    """The list that the balancer is given. Events are noted one by one; `settle`, called after any of them
    and when it asked to be woken, tells what follows of them all. Risk: judged one by one, a release of
    thousands of records would walk the whole list for each."""

    def __init__(self, terms: Terms, seed: int, evidence: Evidence) -> None:
        self._terms = terms
        self._random = Random(seed)
        self._evidence = evidence
        self._known: dict[str, Known] = {}
        self._nodes: dict[str, Member | None] = {}  # None: no record that can be read
        self._whole = False  # the first read is complete
        self._began = False  # and the balancer has been told of it
        self._doubt_until = -1
        self._service = Service.SILENT
        self._heard_at = -1  # when the service last said anything
        self._wakes_at = -1
        self.left_out = 0  # records beyond KNOWN_MOST, since the start

    # Figures

    def age_us(self, now: int) -> int | None:
        """How old the list may be; None before there is one."""
        return None if not self._began else max(0, now - self._heard_at)

    @property
    def suspects(self) -> int:
        return sum(item.standing is Standing.SUSPECT for item in self._known.values())

    def held_out(self, now: int) -> int:
        listed = (item for item in self._known.values() if item.standing is Standing.LISTED)
        return sum(now < item.held_until for item in listed)

    def doubted(self, now: int) -> bool:
        """Whether what the service takes away is not simply believed."""
        return self._service is not Service.WELL or now < self._doubt_until

    # Events

    def on_service(self, service: Service, now: int) -> None:
        recovered = self._began and self._service in (Service.SILENT, Service.LOST)
        if service is not Service.WELL or recovered:
            self._doubt_until = now + self._terms.doubt_us
        self._service = service
        if service in (Service.WELL, Service.SLOW):
            self._heard_at = now

    def on_heard(self, now: int) -> None:
        """The service has said something, if only that it is there."""
        self._heard_at = now

    def on_children(self, names: Iterable[str], now: int, asked_at: int) -> None:
        """The children as a read that was sent at `asked_at` has them. Their records follow."""
        self._heard_at = now
        present = set(names)
        for node in [node for node in self._nodes if node not in present]:
            self._vanish(node, now)
        for known in self._known.values():
            if known.standing is Standing.SUSPECT and asked_at >= known.since + self._terms.confirm_us // 2:
                known.missed = True

    def on_record(self, node: str, member: Member | None, now: int) -> None:
        """A record as it was read; None if nobody can read it: the child is left out."""
        self._heard_at = now
        before = self._nodes.get(node)
        if before is not None and (member is None or member.id != before.id):
            self._known[before.id].nodes.discard(node)
            self._nodes[node] = None
            self._without(before.id, now, changed=True)
        if member is not None and member.id not in self._known:
            if len(self._known) >= KNOWN_MOST:
                self.left_out += 1
                member = None
            else:
                self._known[member.id] = Known(member, since=now)
        self._nodes[node] = member
        if member is not None:
            known = self._known[member.id]
            known.nodes.add(node)
            self._listed(known, now)

    def on_changed_away(self, node: str, now: int) -> None:
        """Its record changed, and it was gone before the change could be read: a drain is told this way by
        a server that says so and goes."""
        self._heard_at = now
        self._vanish(node, now, changed=True)

    def on_whole(self, now: int) -> None:
        """All records of the first read have been told."""
        self._heard_at = now
        self._whole = True

    # What follows

    def _listed(self, known: Known, now: int) -> None:
        """Take the newest record of this id."""
        records = (self._nodes[node] for node in known.nodes)
        member = max(
            (item for item in records if item is not None), key=lambda item: (item.started_us, item.version)
        )
        again = known.member.started_us != member.started_us
        if again:
            # Another process, cold by its start time: what the one before did says nothing of it.
            known.flaps, known.held_until, known.drained = 0.0, 0, False
        back = known.standing is Standing.LEFT or (known.drained and not member.draining)
        known.member = member
        known.drained = member.draining
        if known.standing is not Standing.LISTED:
            known.standing, known.since, known.missed = Standing.LISTED, now, False
        if back and not again and not member.draining:
            self._hold(known, now)

    def _hold(self, known: Known, now: int) -> None:
        """Keep a server out for a while that has come back too often."""
        flaps = known.faded(now)
        listed = sum(item.standing is Standing.LISTED for item in self._known.values())
        if flaps < FLAP_HELD or self.held_out(now) + 1 > max(1.0, HELD_SHARE * listed):
            return
        fades_in = FLAP_HALF_US * math.log2(flaps / FLAP_REUSED)
        known.held_until = now + min(HOLD_MOST_US, int(fades_in))

    def _vanish(self, node: str, now: int, changed: bool = False) -> None:
        member = self._nodes.pop(node, None)
        if member is not None:
            self._known[member.id].nodes.discard(node)
            self._without(member.id, now, changed)

    def _without(self, name: str, now: int, changed: bool = False) -> None:
        """A node of this id has gone. Another one may still name it: one of an older or a newer session."""
        known = self._known[name]
        if known.nodes:
            self._listed(known, now)
            return
        if known.standing is Standing.LISTED:
            known.standing, known.since, known.vanished_at = Standing.SETTLING, now, now
        if changed or known.drained:
            known.drained = True
            self._leave(known, now)

    def _leave(self, known: Known, now: int) -> None:
        known.standing, known.since = Standing.LEFT, now

    def settle(self, now: int) -> list[Action]:
        """Judge what has been waiting, tell what is new, and say when to look again."""
        if now >= self._wakes_at:
            self._wakes_at = -1
        if not self._whole:
            return []
        if not self._began:
            self._began = True
            return [Told(True, tuple(self._changes(now))), *self._wake(now)]
        actions: list[Action] = []
        due = [
            item for item in self._known.values()
            if item.standing is Standing.SETTLING and now >= item.since + SETTLE_US
        ]  # fmt: skip
        if due:
            actions += self._judge(due, now)
        self._look_at_suspects(now, actions)
        changes = self._changes(now)
        if changes:
            actions.append(Told(False, tuple(changes)))
        self._forget()
        return actions + self._wake(now)

    def _judge(self, due: list[Known], now: int) -> list[Action]:
        """Whether what has gone is believed."""
        # Those that are back already count too. Risk: of a crowd that registers again one by one, the last
        # would seem to have gone alone.
        crowded = [
            item for item in self._known.values()
            if not item.drained and (item.standing in (Standing.SETTLING, Standing.SUSPECT)
                                     or 0 <= now - item.vanished_at < TOGETHER_US)
        ]  # fmt: skip
        together = len(crowded)
        back = sum(item.standing is Standing.LISTED for item in crowded)
        listed = sum(item.standing is Standing.LISTED for item in self._known.values())
        whole = listed + together - back
        crowd = together > max(FEW, CROWD_SHARE * whole)
        most = crowd and together > MOST_SHARE * whole
        everyone = not listed and together > 1  # one alone is told, if it is the last one too
        if not (most or (self.doubted(now) and (crowd or everyone))):
            for known in due:
                self._leave(known, now)
            return []
        for known in due:
            known.standing, known.since, known.missed = Standing.SUSPECT, now, False
            known.until = now + self._terms.suspect_us
        return [Suspected(len(due), due[0].member.id), self._reread()]

    def _reread(self) -> Reread:
        """Spread, so that the instances of a fleet do not ask together."""
        return Reread(int(self._terms.confirm_us * (0.5 + self._random.random())))

    def _look_at_suspects(self, now: int, actions: list[Action]) -> None:
        for known in self._known.values():
            if known.standing is not Standing.SUSPECT:
                continue
            answering = self._evidence(known.member.id, known.since)
            if answering is Answering.NO:
                self._leave(known, now)
            elif now >= known.until:
                if known.missed and self._service in (Service.WELL, Service.SLOW):
                    self._leave(known, now)
                    continue
                # The service is silent, or has not been asked since: the last list stays.
                known.until = now + self._terms.confirm_us
                if not any(isinstance(item, Reread) for item in actions):
                    actions.append(self._reread())

    def _wanted(self, known: Known, now: int) -> State:
        match known.standing:
            case Standing.LISTED:
                out = known.drained or now < known.held_until
                return State.DRAINING if out else State.READY
            case Standing.LEFT:
                return State.GONE if now >= known.since + REMEMBER_US else State.DRAINING
            case _:  # as it was
                return known.told or State.DRAINING

    def _changes(self, now: int) -> list[tuple[Member, State]]:
        """What the balancer does not know yet."""
        places = self._places()
        changes = []
        for known in self._known.values():
            state = self._wanted(known, now)
            if places.get(known.member.address) is not known:
                # Its address is another server's by now. Risk: what is sent to one reaches the other.
                state = State.GONE
                if known.standing is not Standing.LISTED:
                    self._leave(known, now)
            if known.told is None and state is State.GONE:
                continue
            if state is known.told and known.member == known.told_member:
                continue
            if known.told is State.READY and state is not State.READY:
                known.flaps, known.flapped_at = known.faded(now) + 1.0, now
            known.told, known.told_member = state, known.member
            changes.append((known.member, state))
        return changes

    def _places(self) -> dict[tuple[str, int], Known]:
        """Who is at each address: of several, one that is listed, and of these the newest."""
        found: dict[tuple[str, int], Known] = {}
        for known in self._known.values():
            other = found.get(known.member.address)
            if other is None or _order(known) > _order(other):
                found[known.member.address] = known
        return found

    def _forget(self) -> None:
        """Let go of what has gone long since."""
        for name in [
            name for name, item in self._known.items()
            if item.standing is Standing.LEFT and item.told in (State.GONE, None)
        ]:  # fmt: skip
            del self._known[name]

    def _wake(self, now: int) -> list[Action]:
        """When something changes by itself next."""
        next_at = math.inf
        for known in self._known.values():
            if known.standing is Standing.SETTLING:
                next_at = min(next_at, known.since + SETTLE_US)
            elif known.standing is Standing.SUSPECT:
                next_at = min(next_at, now + CHECK_US, known.until)
            elif known.standing is Standing.LEFT:
                next_at = min(next_at, max(now + CHECK_US, known.since + REMEMBER_US))
            elif now < known.held_until:
                next_at = min(next_at, known.held_until)
        if next_at == math.inf or (now < self._wakes_at <= next_at):
            return []
        self._wakes_at = int(max(next_at, now + 1))
        return [Wake(self._wakes_at - now)]


def _order(known: Known) -> tuple[bool, int, int]:
    return known.standing is Standing.LISTED, known.member.started_us, known.member.version

"""Who is in the fleet: a view kept by the members themselves, without I/O. Words and times in, actions out.

SWIM (Das, Gupta, Motivala, DSN 2002): probes in random round-robin, indirect probes, suspicion, news on the
probes' back. Lifeguard (Dadgar, Phillips, Currey, 2018): local health that slows a sick member's probes,
suspicions whose time shrinks as others confirm them, the suspect told first. What departs from both stands in
docs/design/view.md.

What is known of a member is the highest of what was heard, by incarnation and then by state: a join of a
semilattice, so that the order of news does not matter. Only the member itself raises its incarnation.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random
from typing import NamedTuple

import msgspec

from sorrelfront.decisions.fleet.words import (
    DATAGRAM_MOST,
    MEMBERS_MOST,
    NEWS_MOST,
    Ack,
    Address,
    Ask,
    Clash,
    Gossip,
    Nack,
    News,
    Ping,
    State,
    Whole,
    Word,
    size,
)

ENVELOPE_MOST = 64  # bytes of a datagram that are the carrier's: version, hash
HEALTH_MOST = 8  # Lifeguard's S: probes and time-outs of the sickest take nine times as long
ASKED_MOST = 256  # pings on behalf of others under way at once; further ones are not made
CLASHES_MOST = 16
AHEAD = 64  # incarnations that are reserved on disk in one write
JOINS_MOST = 64  # addresses that are called on in turn
WORDS_ROOM = 200  # bytes of a datagram beside its news and names


@dataclass(frozen=True, slots=True)
class Settings:
    """Times in microseconds. Defaults are memberlist's for a local network, for the reasons in the note."""

    interval_us: int = 1_000_000  # between two probes
    timeout_us: int = 500_000  # for a direct answer; indirect ones have the rest of the interval
    indirect: int = 3  # members that are asked to ping for one
    suspicion: int = 4  # shortest suspicion, in intervals x max(1, log10 of the fleet's size)
    suspicion_most: int = 6  # the longest one, as a multiple of the shortest
    spread: int = 4  # times that news is sent, x log10 of the fleet's size
    gossip_us: int = 200_000  # between two rounds of news alone, while there is news
    fanout: int = 3  # members told in such a round
    exchange_us: int = 30_000_000  # between two full exchanges
    recall_us: int = 2_000_000  # between two calls on one that is dead or never answered
    keep_us: int = 3_600_000_000  # for which the dead are remembered, and called on
    members_most: int = MEMBERS_MOST
    # Lifeguard's parts; each can be left out to measure what it does.
    health: bool = True
    confirm: bool = True
    buddy: bool = True


class Send(NamedTuple):
    """Send this datagram."""

    to: Address
    word: Word


class Exchange(NamedTuple):
    """Connect there, send `View.whole()`, and hand over what is answered; a failure needs no word."""

    to: Address


class Keep(NamedTuple):
    """Write to disk: the next life of this member begins above this incarnation."""

    incarnation: int


class Told(NamedTuple):
    """For the log and for whoever follows: a member joined, was suspected, cleared, died or left; `twin`,
    another process goes by this one's name; `back`, this one stands back for it; `full`, the table has no
    room."""

    what: str
    name: str
    incarnation: int
    by: str
    address: Address


Action = Send | Exchange | Keep | Told


@dataclass(slots=True)
class _Suspicion:
    began_us: int
    least_us: int
    most_us: int
    expected: int  # confirmations after which it has its shortest time
    by: set[str]

    @property
    def until_us(self) -> int:
        """Lifeguard's formula: from the longest to the shortest by the logarithm of the confirmations."""
        found = len(self.by) - 1
        if self.expected <= 0:
            return self.began_us + self.least_us
        share = math.log(found + 1) / math.log(self.expected + 1)
        return self.began_us + max(self.least_us, int(self.most_us - share * (self.most_us - self.least_us)))


@dataclass(slots=True)
class _Probe:
    name: str
    incarnation: int
    seq: int
    asks_at_us: int
    ends_at_us: int
    asked: int = 0
    nacks: int = 0
    answered: bool = False
    indirect: bool = False


@dataclass(slots=True)
class _Rumour:
    news: News
    bytes: int
    sent: int = 0


class _Favour(NamedTuple):
    """A ping on behalf of another member."""

    to: Address
    seq: int
    name: str
    nack_at_us: int


@dataclass(slots=True)
class Figures:
    """Counts since the start."""

    probes: int = 0
    failed_probes: int = 0
    suspicions: int = 0
    deaths: int = 0
    refuted: int = 0
    exchanges: int = 0
    recalls: int = 0
    refused: int = 0
    foreign: int = 0  # words meant for another name


@lru_cache(maxsize=65_536)
def _mark(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


@dataclass
class View:
    """One member's view. `me` is how it is told to the others: alive, with its address and the incarnation
    that this process begins with. All times are elapsed ones of this process, in microseconds."""

    me: News
    settings: Settings
    random: Random
    now: int
    join: tuple[Address, ...] = ()
    figures: Figures = field(default_factory=Figures)

    def __post_init__(self) -> None:
        self.join = self.join[:JOINS_MOST]
        self.members: dict[str, News] = {self.me.name: self.me}
        self.since: dict[str, int] = {}  # of what is otherwise than at the start
        self.digest = _mark(self.me.name)  # of the living, by the exclusive or of their names' hashes
        self.heard: dict[str, int] = {}  # the digests of others
        self.began_us = self.now
        self.health = 0
        self.back = False  # stands back for an older process of its name
        self.leaving = False
        self.reserved = self.me.incarnation  # on disk
        self._seq = self.random.randrange(2**32)
        self._order: list[str] = []
        self._at = 0
        self._probe: _Probe | None = None
        self._next_probe_us = self.now + self.random.randrange(self.settings.interval_us)
        self._next_gossip_us = self.now
        self._next_exchange_us = self.now + self._spread_us(self.settings.exchange_us)
        # Members that start together do not call on the same address at the same instant.
        self._next_recall_us = self.now + self.random.randrange(1 + self.settings.recall_us // 4)
        self._next_sweep_us = self.now + self.settings.keep_us // 8
        self._suspicions: dict[str, _Suspicion] = {}
        self._rumours: OrderedDict[tuple[str, str], _Rumour] = OrderedDict()
        self._favours: dict[int, _Favour] = {}
        self._clashes: dict[int, tuple[News, int]] = {}  # by birth: what was heard, and until when to wait
        self._calls = 0
        self._twins: set[int] = set()  # that were told of
        self._out: list[Action] = []
        self._living = 1
        self._expected_us = self.now
        self._reserve()
        self._rumour(self.me)

    # What others see

    @property
    def living(self) -> int:
        """Members that are alive or suspected, this one included."""
        return self._living

    def alive(self) -> list[str]:
        return sorted(name for name, news in self.members.items() if news.state <= State.SUSPECT)

    def agreeing(self) -> int:
        """Living members whose view of who lives was like this one when last heard, this one included."""
        return 1 + sum(
            digest == self.digest
            for name, digest in self.heard.items()
            if name != self.me.name and name in self.members and self.members[name].state <= State.SUSPECT
        )

    def whole(self, reply: bool = False) -> Whole:
        # One that stands back is a signpost: who calls here learns of the older process and of the rest.
        return Whole(self.members[self.me.name], list(self.members.values()), reply)

    # Time

    def next_us(self) -> int:
        """When to call `on_time` next."""
        if self.back:
            return self.now + 3_600_000_000
        due = [self._next_probe_us, self._next_exchange_us, self._next_recall_us, self._next_sweep_us]
        if self._rumours:
            due.append(self._next_gossip_us)
        if self._probe is not None:
            due.append(self._probe.ends_at_us if self._probe.indirect else self._probe.asks_at_us)
        if self._suspicions:
            due.append(min(item.until_us for item in self._suspicions.values()))
        if self._favours:
            due.append(min(item.nack_at_us for item in self._favours.values()))
        if self._clashes:
            due.append(min(until for _, until in self._clashes.values()))
        return min(due)

    def on_time(self, now: int) -> list[Action]:
        """Do what is due."""
        expected = self.next_us()
        self.now = now
        if self.back:
            return self._take()
        if now - expected > 2 * self.settings.interval_us:
            self._was_away(now)
        self._on_probe()
        for seq in [seq for seq, item in self._favours.items() if item.nack_at_us <= now]:
            favour = self._favours.pop(seq)
            self._send(favour.to, Nack(favour.seq, favour.name))
        for name in [name for name, item in self._suspicions.items() if item.until_us <= now]:
            self._die(name)
        for birth in [birth for birth, (_, until) in self._clashes.items() if until <= now]:
            self._unanswered(birth)
        if self._rumours and self._next_gossip_us <= now:
            self._gossip()
        if self._next_exchange_us <= now:
            self._next_exchange_us = now + self._spread_us(self.settings.exchange_us)
            others = self._others(1)
            if others:
                self._exchange(self.members[others[0]].address)
        if self._next_recall_us <= now:
            self._next_recall_us = now + self._spread_us(self.settings.recall_us)
            self._recall()
        if self._next_sweep_us <= now:
            self._next_sweep_us = now + self.settings.keep_us // 8
            self._sweep()
        return self._take()

    def _take(self) -> list[Action]:
        out, self._out = self._out, []
        return out

    def _spread_us(self, span: int) -> int:
        """About so long: members that started together do not act together."""
        return int(span * (0.5 + self.random.random()))

    def _was_away(self, now: int) -> None:
        """This process was stopped or starved: what it did not hear is its own fault and nobody else's."""
        if not self.settings.health:
            return
        self._probe = None
        self._next_probe_us = now + self._scaled(self.settings.timeout_us)
        self.health = HEALTH_MOST
        for suspicion in self._suspicions.values():
            # Their time ran while nobody could have been heard: they begin again.
            suspicion.began_us = now
        self._next_exchange_us = now  # what went on meanwhile

    # Probes

    def _scaled(self, span: int) -> int:
        return span * (self.health + 1)

    def _healthier(self, by: int) -> None:
        if self.settings.health:
            self.health = min(HEALTH_MOST, max(0, self.health + by))

    def _on_probe(self) -> None:
        probe = self._probe
        if probe is not None and not probe.answered:
            if not probe.indirect and probe.asks_at_us <= self.now:
                self._ask(probe)
            if probe.indirect and probe.ends_at_us <= self.now:
                self._failed(probe)
        elif probe is not None:
            self._probe = None
        if self._next_probe_us <= self.now:
            self._next_probe_us = self.now + self._scaled(self.settings.interval_us)
            if self._probe is None:
                self._begin()

    def _begin(self) -> None:
        name = self._next_name()
        if name is None:
            return
        news = self.members[name]
        self._seq += 1
        self.figures.probes += 1
        asks = self.now + self._scaled(self.settings.timeout_us)
        ends = self.now + self._scaled(self.settings.interval_us)
        self._probe = _Probe(name, news.incarnation, self._seq, asks, max(ends, asks + 1))
        self._ping(news, self._seq)

    def _next_name(self) -> str | None:
        """In random round-robin: everybody's turn comes within two rounds (SWIM 4.3)."""
        for _ in range(2):
            while self._at < len(self._order):
                name = self._order[self._at]
                self._at += 1
                news = self.members.get(name)
                if news is not None and news.state <= State.SUSPECT and name != self.me.name:
                    return name
            self._order = [name for name, news in self.members.items() if news.state <= State.SUSPECT]
            self.random.shuffle(self._order)
            self._at = 0
        return None

    def _ping(self, news: News, seq: int) -> None:
        # Lifeguard's buddy: a suspect hears of it from whoever probes it, first of all.
        first = [news] if self.settings.buddy and news.state is not State.ALIVE else []
        ping = Ping(seq, self.me, news.name, self.digest, self._news(first))
        self._send(news.address, ping)

    def _ask(self, probe: _Probe) -> None:
        probe.indirect = True
        news = self.members.get(probe.name)
        if news is None:
            return
        helpers = [name for name in self._others(self.settings.indirect + 1) if name != probe.name]
        for name in helpers[: self.settings.indirect]:
            probe.asked += 1
            self._send(
                self.members[name].address,
                Ask(probe.seq, self.me, probe.name, news.ip, news.port, self._news()),
            )

    def _failed(self, probe: _Probe) -> None:
        self._probe = None
        self.figures.failed_probes += 1
        # Lifeguard: helpers that did not even say no speak against this member's own health.
        self._healthier(probe.asked - probe.nacks if probe.asked else 1)
        news = self.members.get(probe.name)
        if news is not None and news.incarnation == probe.incarnation and news.state is State.ALIVE:
            self._hear(msgspec.structs.replace(news, state=State.SUSPECT, by=self.me.name))
        elif news is not None and news.incarnation == probe.incarnation and news.state is State.SUSPECT:
            self._confirm(msgspec.structs.replace(news, by=self.me.name))

    def _others(self, count: int) -> list[str]:
        """So many others at random that are held alive."""
        names = list(self.members)
        found: list[str] = []
        for _ in range(4 * count + 8):
            name = names[self.random.randrange(len(names))]
            if name != self.me.name and name not in found and self.members[name].state is State.ALIVE:
                found.append(name)
                if len(found) == count:
                    return found
        if len(names) <= 4 * count + 8:
            rest = [name for name in names if name not in found and name != self.me.name]
            rest = [name for name in rest if self.members[name].state is State.ALIVE]
            found += self.random.sample(rest, min(len(rest), count - len(found)))
        return found

    # Words

    def on_word(self, word: Word, now: int) -> list[Action]:
        """A datagram that has been checked."""
        late = now - self.next_us()
        self.now = max(now, self.now)
        if not self.back and late > 2 * self.settings.interval_us:
            self._was_away(now)
        match word:
            case Clash():
                self._on_clash(word)
            case _ if self.back:
                pass  # it has stood back: another process answers to its name
            case Ping():
                self._on_ping(word)
            case Ack():
                self._on_ack(word)
            case Ask():
                self._on_ask(word)
            case Nack():
                probe = self._probe
                if probe is not None and probe.seq == word.seq and probe.nacks < probe.asked:
                    probe.nacks += 1
            case Gossip():
                self._hear_all(word.news)
        return self._take()

    def _on_ping(self, ping: Ping) -> None:
        if ping.to != self.me.name:
            # Another one had this address before: no answer, so that it is found dead.
            self.figures.foreign += 1
            return
        self._hear(ping.sender)
        self._hear_all(ping.news)
        self._note(ping.sender.name, ping.digest)
        known = self.members.get(ping.sender.name)
        first = []
        if known is not None and known.state is not State.ALIVE and self.settings.buddy:
            first = [known]  # whoever is held for dead or suspected hears it, and can say no
        self._send(ping.sender.address, Ack(ping.seq, self.me.name, self.digest, self._news(first)))

    def _on_ack(self, ack: Ack) -> None:
        self._hear_all(ack.news)
        self._note(ack.name, ack.digest)
        favour = self._favours.pop(ack.seq, None)
        if favour is not None and favour.name == ack.name:
            self._send(favour.to, Ack(favour.seq, ack.name, ack.digest, self._news()))
            return
        probe = self._probe
        if probe is not None and probe.seq == ack.seq and probe.name == ack.name and not probe.answered:
            probe.answered = True
            self._probe = None
            self._healthier(-1)

    def _on_ask(self, ask: Ask) -> None:
        self._hear(ask.sender)
        self._hear_all(ask.news)
        self._note(ask.sender.name, self.heard.get(ask.sender.name, 0))
        if len(self._favours) >= ASKED_MOST:
            self.figures.refused += 1
            return
        self._seq += 1
        at = self.now + self.settings.timeout_us * 4 // 5
        self._favours[self._seq] = _Favour(ask.sender.address, ask.seq, ask.to, at)
        known = self.members.get(ask.to)
        first = [known] if known is not None and known.state is State.SUSPECT and self.settings.buddy else []
        self._send((ask.ip, ask.port), Ping(self._seq, self.me, ask.to, self.digest, self._news(first)))

    def _note(self, name: str, digest: int) -> None:
        """A word of this member's own has come."""
        if name in self.members:
            self.heard[name] = digest
        suspicion = self._suspicions.get(name)
        if suspicion is not None and self.health:
            # Risk: a starved member reads refutations seconds late, and declares the well dead. What it hears
            # from
            # the suspect itself begins the suspicion anew, as long as its own health is in doubt: a
            # member that is well still finds one that speaks and does not hear.
            suspicion.began_us = self.now

    def on_whole(self, whole: Whole, now: int) -> list[Action]:
        """The other side's knowledge, of an exchange that either side began."""
        self.now = max(now, self.now)
        if self.back:
            return []
        self.figures.exchanges += 1
        self._hear(whole.sender)
        for news in whole.members:
            known = self.members.get(news.name)
            if news.state is State.DEAD and (known is None or known.state <= State.SUSPECT):
                # Risk: after a partition each half holds the other for dead, and one exchange would carry
                # that
                # to members that know better. As a suspicion it can be answered.
                news = msgspec.structs.replace(news, state=State.SUSPECT, by=whole.sender.name)
                if known is None:
                    continue
            self._hear(news)
        return self._take()

    # News

    def _hear_all(self, items: Iterable[News]) -> None:
        for news in items:
            self._hear(news)

    def _hear(self, news: News) -> None:
        if news.name == self.me.name:
            self._of_me(news)
            return
        known = self.members.get(news.name)
        if known is None:
            self._newcomer(news)
            return
        if news.incarnation == known.incarnation and news.state is known.state is State.SUSPECT:
            self._confirm(news)
            return
        if (news.incarnation, news.state) <= (known.incarnation, known.state):
            return
        self._put(known, news)

    def _newcomer(self, news: News) -> None:
        if len(self.members) >= self.settings.members_most and not self._make_room():
            self.figures.refused += 1
            return
        if news.state is State.DEAD:
            # Never known alive here: remembered, so that old gossip does not bring it in.
            self.members[news.name] = news
            self.since[news.name] = self.now
            return
        self._put(None, news)

    def _make_room(self) -> bool:
        """Forget the one that has been dead for longest."""
        dead = [name for name, news in self.members.items() if news.state >= State.DEAD]
        if not dead:
            return False
        self._forget(min(dead, key=lambda name: self.since.get(name, 0)))
        return True

    def _put(self, known: News | None, news: News) -> None:
        """What is heard overrides what is known."""
        name = news.name
        lived = known is not None and known.state <= State.SUSPECT
        lives = news.state <= State.SUSPECT
        self.members[name] = news
        self.since[name] = self.now
        if lives != lived:
            self.digest ^= _mark(name)
            self._living += 1 if lives else -1
        if lives and not lived:
            self._order.insert(self.random.randrange(self._at, len(self._order) + 1), name)
        self._suspicions.pop(name, None)
        if news.state is State.SUSPECT:
            self._suspect(news)
        if news.state >= State.DEAD:
            self.heard.pop(name, None)
        self._rumour(news)
        what = {State.ALIVE: "joined" if not lived else "cleared", State.SUSPECT: "suspected",
                State.DEAD: "died", State.LEFT: "left"}[news.state]  # fmt: skip
        if what == "cleared" and known is not None and known.state is State.ALIVE:
            what = "raised"  # its incarnation alone
        self._tell(what, news)

    def _tell(self, what: str, news: News) -> None:
        self._out.append(Told(what, news.name, news.incarnation, news.by, news.address))

    def _suspect(self, news: News) -> None:
        settings = self.settings
        self.figures.suspicions += 1
        scale = max(1.0, math.log10(max(1, self._living)))
        least = int(settings.suspicion * scale * settings.interval_us)
        expected = min(settings.suspicion - 2, self._living - 2) if settings.confirm else 0
        self._suspicions[news.name] = _Suspicion(
            self.now, least, least * settings.suspicion_most, expected, {news.by}
        )

    def _confirm(self, news: News) -> None:
        """Somebody else found the same by itself: the suspicion is shorter, and others hear of it too."""
        suspicion = self._suspicions.get(news.name)
        if suspicion is None or news.by in suspicion.by or len(suspicion.by) > suspicion.expected:
            return
        suspicion.by.add(news.by)
        self._rumour(news)

    def _die(self, name: str) -> None:
        del self._suspicions[name]
        known = self.members[name]
        self.figures.deaths += 1
        self._put(known, msgspec.structs.replace(known, state=State.DEAD, by=self.me.name))

    def _of_me(self, news: News) -> None:
        """What others say of this member."""
        if self.leaving or self.back:
            return
        if news.birth == self.me.birth:
            if news.incarnation >= self.me.incarnation and news.state is not State.ALIVE:
                self.figures.refuted += 1
                self._healthier(1)
                self._raise(news.incarnation)
            return
        if (news.incarnation, news.state) < (self.me.incarnation, self.me.state):
            return
        if news.state is not State.ALIVE or news.address == self.me.address:
            # A former life of this member; at this address nobody else lives.
            self._raise(news.incarnation)
        elif news.birth not in self._clashes and len(self._clashes) < CLASHES_MOST:
            # A former life at another address, or a twin: only asking tells.
            until = self.now + 3 * self._scaled(self.settings.timeout_us)
            self._clashes[news.birth] = (news, until)
            self._send(news.address, self._clash(answer=False))

    def _raise(self, above: int) -> None:
        """Alive, with an incarnation that overrides what was heard."""
        self.me = msgspec.structs.replace(self.me, incarnation=max(above, self.me.incarnation) + 1)
        self.members[self.me.name] = self.me
        self._reserve()
        self._rumour(self.me)

    def _reserve(self) -> None:
        if self.me.incarnation >= self.reserved:
            self.reserved = self.me.incarnation + AHEAD
            self._out.append(Keep(self.reserved))

    # Two processes under one name

    def _clash(self, answer: bool) -> Clash:
        me = self.me
        up_ms = max(0, self.now - self.began_us) // 1_000
        return Clash(me.name, me.ip, me.port, me.birth, up_ms, answer)

    def _on_clash(self, clash: Clash) -> None:
        if clash.name != self.me.name or clash.birth == self.me.birth:
            return
        pending = self._clashes.pop(clash.birth, None)
        mine = max(0, self.now - self.began_us) // 1_000
        older = (mine, self.me.birth) > (clash.up_ms, clash.birth)
        if not clash.answer:
            self._send((clash.ip, clash.port), self._clash(answer=True))
        if self.back:
            return
        where = msgspec.structs.replace(
            self.me, ip=clash.ip, port=clash.port, birth=clash.birth, by=self.me.name
        )
        if clash.birth not in self._twins and len(self._twins) < CLASHES_MOST:
            self._twins.add(clash.birth)
            self._tell("twin", where)
        if older:
            self._raise(max(self.me.incarnation, pending[0].incarnation if pending else 0))
        else:
            self._stand_back(where)

    def _stand_back(self, other: News) -> None:
        self.back = True
        self.members[self.me.name] = other
        self._probe = None
        self._rumours.clear()
        self._suspicions.clear()
        self._favours.clear()
        self._clashes.clear()
        self._tell("back", other)

    def _unanswered(self, birth: int) -> None:
        news, _ = self._clashes.pop(birth)
        self._raise(news.incarnation)  # nobody is there: a former life

    # Spreading

    def _rumour(self, news: News) -> None:
        """Have it told. A newer state takes the place of older ones; confirmations stand beside each
        other."""
        key = (news.name, news.by if news.state is State.SUSPECT else "")
        if news.state is not State.SUSPECT:
            for old in [old for old in self._rumours if old[0] == news.name]:
                del self._rumours[old]
        else:
            self._rumours.pop((news.name, ""), None)
        if len(self._rumours) >= 2 * self.settings.members_most:
            self._rumours.popitem()
        if not self._rumours:
            self._next_gossip_us = max(self._next_gossip_us, self.now)
        self._rumours[key] = _Rumour(news, size(news))
        self._rumours.move_to_end(key, last=False)  # the newest first

    def _news(self, first: list[News] | None = None) -> list[News]:
        """What goes with a datagram: `first`, then what has been told least, as much as there is room for."""
        chosen = list(first or ())
        room = DATAGRAM_MOST - ENVELOPE_MOST - WORDS_ROOM - 2 * size(self.me) - sum(map(size, chosen))
        if not self._rumours:
            return chosen
        most = self.settings.spread * math.ceil(math.log10(self._living + 1))
        over = []
        ranked = heapq.nsmallest(
            NEWS_MOST - len(chosen), self._rumours.items(), key=lambda item: item[1].sent
        )
        for key, rumour in ranked:
            if rumour.bytes > room:
                continue
            room -= rumour.bytes
            chosen.append(rumour.news)
            rumour.sent += 1
            if rumour.sent >= most:
                over.append(key)
        for key in over:
            del self._rumours[key]
        return chosen

    def _gossip(self) -> None:
        self._next_gossip_us = self.now + self.settings.gossip_us
        for name in self._others(self.settings.fanout):
            news = self._news()
            if not news:
                break
            self._send(self.members[name].address, Gossip(news))

    def _send(self, to: Address, word: Word) -> None:
        self._out.append(Send(to, word))

    # Far ends

    def _exchange(self, to: Address) -> None:
        self._out.append(Exchange(to))

    def _recall(self) -> None:
        """Call on one that is held for dead, or on an address that was given to join by and nobody living
        has: two halves of a healed partition find each other so, and a member that knew nobody its fleet."""
        places = {news.address for news in self.members.values() if news.state is State.ALIVE}
        lost = [address for address in self.join if address not in places]
        dead = [news.address for news in self.members.values() if news.state is State.DEAD]
        dead = [address for address in dead if address not in places]
        if not lost and not dead:
            return
        # In turn from both: a long list of the dead does not hide the way to the fleet.
        self._calls += 1
        among = lost if lost and (not dead or self._calls % 2) else dead
        self.figures.recalls += 1
        self._exchange(among[self.random.randrange(len(among))])

    def _sweep(self) -> None:
        """Forget those that have been dead for long enough."""
        limit = self.now - self.settings.keep_us
        for name in [name for name, news in self.members.items() if news.state >= State.DEAD]:
            if self.since.get(name, self.began_us) < limit:
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self.members[name]
        self.since.pop(name, None)
        self.heard.pop(name, None)

    # Changes from its own side

    def leave(self, now: int) -> list[Action]:
        """Go, and say so: the others need not find out."""
        self.now = now
        if self.back or self.leaving:
            return []
        self.leaving = True
        self.me = msgspec.structs.replace(self.me, state=State.LEFT, by=self.me.name)
        self.members[self.me.name] = self.me
        for name in self._others(2 * self.settings.fanout):
            self._send(self.members[name].address, Gossip([self.me]))
        return self._take()

    def retime(self, settings: Settings, join: tuple[Address, ...]) -> None:
        """Other times and addresses from here on."""
        self.settings = settings
        self.join = join[:JOINS_MOST]

    def seeded(self, members: Iterable[News]) -> None:
        """Begin with these known to be alive: for measurements of a fleet that has settled."""
        for news in members:
            if news.name not in self.members:
                self.members[news.name] = news
                self.digest ^= _mark(news.name)
                self._living += 1
        self._order = list(self.members)
        self.random.shuffle(self._order)
        self._rumours.clear()


def bound_us(settings: Settings, members: int, awake: bool = True) -> int:
    """Within which every living member's view is exactly the living ones after the last fault: see the note.

    `awake`: no member's local health is at its worst when it begins; else probes take up to nine times as
    long."""
    size_of = max(2, members)
    slow = 1 if awake else HEALTH_MOST + 1
    probes = math.ceil(math.log(1e6)) + 1  # so many rounds leave one in a million unprobed by anybody
    detect = probes * settings.interval_us * slow
    shortest = int(settings.suspicion * max(1.0, math.log10(size_of)) * settings.interval_us)
    doubt = shortest * settings.suspicion_most  # nobody else may be there to confirm
    rounds = 2 * settings.spread * math.ceil(math.log10(size_of + 1))
    spread = rounds * settings.gossip_us + 2 * settings.interval_us * slow
    found = 8 * int(1.5 * settings.recall_us) * 2  # recalls, half of which may go to join addresses
    return detect + doubt + spread + found

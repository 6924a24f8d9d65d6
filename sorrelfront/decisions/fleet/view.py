"""Membership of a fleet by SWIM with Lifeguard, without I/O: messages and times in, actions out.

SWIM (Das, Gupta, Motivala, DSN 2002): probes in random round-robin order, indirect probes, suspicion, and
updates piggybacked on the probes. Lifeguard (Dadgar, Phillips, Currey, 2018): local health that slows the
probes of an unhealthy member, suspicion timeouts that shrink with each confirmation, and suspects that are
notified first. docs/design/view.md lists the deviations from both.

The state kept for a member is the highest one received, by incarnation and then by state. This is a join of a
semilattice, so the order of updates does not matter. Only the member itself raises its incarnation.
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

from sorrelfront.decisions.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_MEMBERS,
    MAX_UPDATES,
    Ack,
    Address,
    FullState,
    Gossip,
    MemberUpdate,
    Message,
    Nack,
    NameConflict,
    Ping,
    PingRequest,
    State,
    encoded_size,
)

MAX_ENVELOPE_BYTES = 64  # bytes of a datagram reserved for the transport: version, hash
MAX_LOCAL_HEALTH = 8  # Lifeguard's S: at the worst health, probes and timeouts take nine times as long
MAX_RELAYED_PINGS = 256  # pings in flight on behalf of others; further requests are rejected
MAX_NAME_CONFLICTS = 16  # name conflicts that are tracked at once
RESERVED_INCARNATIONS = 64  # incarnations reserved on disk by one write
MAX_JOIN_ADDRESSES = 64  # addresses to join by; further ones are ignored
MESSAGE_OVERHEAD_BYTES = 200  # bytes of a datagram besides its updates and names


@dataclass(frozen=True, slots=True)
class Settings:
    """Protocol settings; times are in microseconds.

    The defaults are memberlist's for a local network; docs/design/view.md gives the reasons.
    """

    probe_interval_us: int = 1_000_000  # between two probes
    probe_timeout_us: int = 500_000  # for a direct ack; indirect probes have the rest of the interval
    indirect_probes: int = 3  # helpers that are asked to ping an unresponsive member
    suspicion_multiplier: int = 4  # shortest timeout: intervals x max(1, log10 of the fleet's size)
    suspicion_max_multiplier: int = 6  # longest suspicion timeout, as a multiple of the shortest
    retransmit_multiplier: int = 4  # transmissions of an update, x log10 of the fleet's size
    gossip_interval_us: int = 200_000  # between two gossip rounds, while updates are queued
    fanout: int = 3  # members that a gossip round sends to
    push_pull_interval_us: int = 30_000_000  # between two push-pull exchanges
    reconnect_interval_us: int = 2_000_000  # between two attempts to reach a dead member or join address
    # For which dead members are remembered, and reconnects to them attempted
    dead_retention_us: int = 3_600_000_000
    max_members: int = MAX_MEMBERS
    # Lifeguard's components; each can be switched off to measure its effect.
    health: bool = True
    confirm: bool = True
    buddy: bool = True


class Send(NamedTuple):
    """Send a message as one datagram."""

    to: Address
    message: Message


class PushPull(NamedTuple):
    """Connect, send `View.full_state()` and pass the answer to `View.on_full_state`.

    A failure need not be reported.
    """

    to: Address


class PersistIncarnation(NamedTuple):
    """Persist an incarnation; the next process of this member starts above it."""

    incarnation: int


class MemberEvent(NamedTuple):
    """A membership event for the log and for subscribers.

    A member joined, was suspected, cleared, died or left; `twin`: another process uses this one's name;
    `back`: this process yields the name to it; `raised`: only the incarnation rose.
    """

    kind: str
    name: str
    incarnation: int
    reporter: str
    address: Address


Action = Send | PushPull | PersistIncarnation | MemberEvent


@dataclass(slots=True)
class _Suspicion:
    started_us: int
    min_us: int
    max_us: int
    expected_confirmations: int  # confirmations that reduce the timeout to its minimum
    reporters: set[str]

    @property
    def deadline_us(self) -> int:
        """The end of the timeout, which falls with the logarithm of the confirmations (Lifeguard)."""
        confirmations = len(self.reporters) - 1
        if self.expected_confirmations <= 0:
            return self.started_us + self.min_us
        share = math.log(confirmations + 1) / math.log(self.expected_confirmations + 1)
        return self.started_us + max(self.min_us, int(self.max_us - share * (self.max_us - self.min_us)))


@dataclass(slots=True)
class _Probe:
    name: str
    incarnation: int
    seq: int
    indirect_at_us: int
    ends_at_us: int
    helpers_asked: int = 0
    nacks: int = 0
    acked: bool = False
    indirect_sent: bool = False


@dataclass(slots=True)
class _Broadcast:
    update: MemberUpdate
    bytes: int
    sent: int = 0


class _RelayedPing(NamedTuple):
    """A ping sent on behalf of another member."""

    to: Address
    seq: int
    name: str
    nack_at_us: int


@dataclass(slots=True)
class Counters:
    """Counters since the start of the process."""

    probes: int = 0
    failed_probes: int = 0
    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    push_pulls: int = 0
    reconnects: int = 0
    rejected: int = 0
    misaddressed: int = 0  # pings addressed to another name


@lru_cache(maxsize=65_536)
def _name_hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


@dataclass
class View:
    """One member's view of the fleet.

    `me` is the state that the others receive: alive, with its address and the first incarnation of this
    process. All times are from a monotonic clock, in microseconds.
    """

    me: MemberUpdate
    settings: Settings
    random: Random
    now: int
    join: tuple[Address, ...] = ()
    counters: Counters = field(default_factory=Counters)

    def __post_init__(self) -> None:
        self.join = self.join[:MAX_JOIN_ADDRESSES]
        self.members: dict[str, MemberUpdate] = {self.me.name: self.me}
        self.changed_us: dict[str, int] = {}  # time of each member's last change
        self.digest = _name_hash(self.me.name)  # exclusive or of the living members' name hashes
        self.peer_digests: dict[str, int] = {}  # last digest received from each member
        self.started_us = self.now
        self.health = 0
        self.yielded = False  # has yielded its name to an older process
        self.leaving = False
        self.reserved_incarnation = self.me.incarnation  # highest incarnation reserved on disk
        self._seq = self.random.randrange(2**32)
        self._probe_order: list[str] = []
        self._order_index = 0
        self._probe: _Probe | None = None
        self._next_probe_us = self.now + self.random.randrange(self.settings.probe_interval_us)
        self._next_gossip_us = self.now
        self._next_push_pull_us = self.now + self._jitter_us(self.settings.push_pull_interval_us)
        # Jitter, so that members started together do not contact one address at the same instant.
        self._next_reconnect_us = self.now + self.random.randrange(
            1 + self.settings.reconnect_interval_us // 4
        )
        self._next_expiry_us = self.now + self.settings.dead_retention_us // 8
        self._suspicions: dict[str, _Suspicion] = {}
        self._broadcasts: OrderedDict[tuple[str, str], _Broadcast] = OrderedDict()
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._conflicts: dict[int, tuple[MemberUpdate, int]] = {}  # by process nonce, with the deadline
        self._reconnect_count = 0
        self._reported_duplicates: set[int] = set()  # process nonces already reported
        self._actions: list[Action] = []
        self._living_count = 1
        self._expected_us = self.now
        self._reserve_incarnations()
        self._queue_broadcast(self.me)

    # Queries

    @property
    def living(self) -> int:
        """Number of members that are alive or suspected, this one included."""
        return self._living_count

    def alive(self) -> list[str]:
        """Return the sorted names of the members that are alive or suspected, this one included."""
        return sorted(name for name, update in self.members.items() if update.state <= State.SUSPECT)

    def agreeing(self) -> int:
        """Count the living members whose last digest equals this one's, this member included."""
        return 1 + sum(
            digest == self.digest
            for name, digest in self.peer_digests.items()
            if name != self.me.name and name in self.members and self.members[name].state <= State.SUSPECT
        )

    def full_state(self, reply: bool = False) -> FullState:
        """Return the full state for a push-pull exchange.

        A process that has yielded its name answers too, so that a member that joins by its address learns of
        the older process and of the rest.
        """
        return FullState(self.members[self.me.name], list(self.members.values()), reply)

    # Time

    def next_timer_us(self) -> int:
        """Return the time at which `on_timer` is due next."""
        if self.yielded:
            return self.now + 3_600_000_000
        due = [self._next_probe_us, self._next_push_pull_us, self._next_reconnect_us, self._next_expiry_us]
        if self._broadcasts:
            due.append(self._next_gossip_us)
        if self._probe is not None:
            due.append(self._probe.ends_at_us if self._probe.indirect_sent else self._probe.indirect_at_us)
        if self._suspicions:
            due.append(min(item.deadline_us for item in self._suspicions.values()))
        if self._relayed_pings:
            due.append(min(item.nack_at_us for item in self._relayed_pings.values()))
        if self._conflicts:
            due.append(min(until for _, until in self._conflicts.values()))
        return min(due)

    def on_timer(self, now: int) -> list[Action]:
        """Perform everything that is due at `now`."""
        due = self.next_timer_us()
        self.now = now
        if self.yielded:
            return self._take_actions()
        if now - due > 2 * self.settings.probe_interval_us:
            self._recover_from_pause(now)
        self._advance_probe()
        for seq in [seq for seq, item in self._relayed_pings.items() if item.nack_at_us <= now]:
            relayed = self._relayed_pings.pop(seq)
            self._queue_send(relayed.to, Nack(relayed.seq, relayed.name))
        for name in [name for name, item in self._suspicions.items() if item.deadline_us <= now]:
            self._declare_dead(name)
        for nonce in [nonce for nonce, (_, until) in self._conflicts.items() if until <= now]:
            self._conflict_unanswered(nonce)
        if self._broadcasts and self._next_gossip_us <= now:
            self._gossip()
        if self._next_push_pull_us <= now:
            self._next_push_pull_us = now + self._jitter_us(self.settings.push_pull_interval_us)
            others = self._random_alive(1)
            if others:
                self._push_pull(self.members[others[0]].address)
        if self._next_reconnect_us <= now:
            self._next_reconnect_us = now + self._jitter_us(self.settings.reconnect_interval_us)
            self._reconnect()
        if self._next_expiry_us <= now:
            self._next_expiry_us = now + self.settings.dead_retention_us // 8
            self._forget_expired()
        return self._take_actions()

    def _take_actions(self) -> list[Action]:
        out, self._actions = self._actions, []
        return out

    def _jitter_us(self, span: int) -> int:
        """Return `span` with +-50% jitter, so that members started together do not act in step."""
        return int(span * (0.5 + self.random.random()))

    def _recover_from_pause(self, now: int) -> None:
        """Recover after being stopped or starved: missing acks then prove nothing about other members."""
        if not self.settings.health:
            return
        self._probe = None
        self._next_probe_us = now + self._scale_by_health(self.settings.probe_timeout_us)
        self.health = MAX_LOCAL_HEALTH
        for suspicion in self._suspicions.values():
            # The timeout ran while no refutation could be received, so it starts again.
            suspicion.started_us = now
        self._next_push_pull_us = now  # fetch what changed meanwhile

    # Probes

    def _scale_by_health(self, span: int) -> int:
        return span * (self.health + 1)

    def _adjust_health(self, delta: int) -> None:
        if self.settings.health:
            self.health = min(MAX_LOCAL_HEALTH, max(0, self.health + delta))

    def _advance_probe(self) -> None:
        probe = self._probe
        if probe is not None and not probe.acked:
            if not probe.indirect_sent and probe.indirect_at_us <= self.now:
                self._send_ping_requests(probe)
            if probe.indirect_sent and probe.ends_at_us <= self.now:
                self._probe_failed(probe)
        elif probe is not None:
            self._probe = None
        if self._next_probe_us <= self.now:
            self._next_probe_us = self.now + self._scale_by_health(self.settings.probe_interval_us)
            if self._probe is None:
                self._start_probe()

    def _start_probe(self) -> None:
        name = self._next_probe_target()
        if name is None:
            return
        update = self.members[name]
        self._seq += 1
        self.counters.probes += 1
        indirect_at_us = self.now + self._scale_by_health(self.settings.probe_timeout_us)
        ends_at_us = self.now + self._scale_by_health(self.settings.probe_interval_us)
        self._probe = _Probe(
            name, update.incarnation, self._seq, indirect_at_us, max(ends_at_us, indirect_at_us + 1)
        )
        self._ping(update, self._seq)

    def _next_probe_target(self) -> str | None:
        """Return the next target in random round-robin: each has its turn within two rounds (SWIM 4.3)."""
        for _ in range(2):
            while self._order_index < len(self._probe_order):
                name = self._probe_order[self._order_index]
                self._order_index += 1
                update = self.members.get(name)
                if update is not None and update.state <= State.SUSPECT and name != self.me.name:
                    return name
            self._probe_order = [
                name for name, update in self.members.items() if update.state <= State.SUSPECT
            ]
            self.random.shuffle(self._probe_order)
            self._order_index = 0
        return None

    def _ping(self, update: MemberUpdate, seq: int) -> None:
        # Lifeguard's buddy system: a ping to a suspect carries the suspicion first, so it can refute it.
        priority = [update] if self.settings.buddy and update.state is not State.ALIVE else []
        ping = Ping(seq, self.me, update.name, self.digest, self._piggyback(priority))
        self._queue_send(update.address, ping)

    def _send_ping_requests(self, probe: _Probe) -> None:
        probe.indirect_sent = True
        update = self.members.get(probe.name)
        if update is None:
            return
        helpers = [
            name for name in self._random_alive(self.settings.indirect_probes + 1) if name != probe.name
        ]
        for name in helpers[: self.settings.indirect_probes]:
            probe.helpers_asked += 1
            self._queue_send(
                self.members[name].address,
                PingRequest(probe.seq, self.me, probe.name, update.ip, update.port, self._piggyback()),
            )

    def _probe_failed(self, probe: _Probe) -> None:
        self._probe = None
        self.counters.failed_probes += 1
        # Lifeguard: helpers that sent not even a nack suggest that this member itself is unhealthy.
        self._adjust_health(probe.helpers_asked - probe.nacks if probe.helpers_asked else 1)
        update = self.members.get(probe.name)
        if update is not None and update.incarnation == probe.incarnation and update.state is State.ALIVE:
            self._merge(msgspec.structs.replace(update, state=State.SUSPECT, reporter=self.me.name))
        elif update is not None and update.incarnation == probe.incarnation and update.state is State.SUSPECT:
            self._confirm_suspicion(msgspec.structs.replace(update, reporter=self.me.name))

    def _random_alive(self, count: int) -> list[str]:
        """Return up to `count` other members that are alive, at random."""
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

    # Messages

    def on_message(self, message: Message, now: int) -> list[Action]:
        """Handle a decoded datagram."""
        late_us = now - self.next_timer_us()
        self.now = max(now, self.now)
        if not self.yielded and late_us > 2 * self.settings.probe_interval_us:
            self._recover_from_pause(now)
        match message:
            case NameConflict():
                self._on_name_conflict(message)
            case _ if self.yielded:
                pass  # the name belongs to another process
            case Ping():
                self._on_ping(message)
            case Ack():
                self._on_ack(message)
            case PingRequest():
                self._on_ping_request(message)
            case Nack():
                probe = self._probe
                if probe is not None and probe.seq == message.seq and probe.nacks < probe.helpers_asked:
                    probe.nacks += 1
            case Gossip():
                self._merge_all(message.updates)
        return self._take_actions()

    def _on_ping(self, ping: Ping) -> None:
        if ping.to != self.me.name:
            # The member that had this address before is gone: without an ack it is declared dead.
            self.counters.misaddressed += 1
            return
        self._merge(ping.sender)
        self._merge_all(ping.updates)
        self._note_contact(ping.sender.name, ping.digest)
        known = self.members.get(ping.sender.name)
        priority = []
        if known is not None and known.state is not State.ALIVE and self.settings.buddy:
            priority = [known]  # a member taken for dead or suspected is told so, and can refute it
        self._queue_send(
            ping.sender.address, Ack(ping.seq, self.me.name, self.digest, self._piggyback(priority))
        )

    def _on_ack(self, ack: Ack) -> None:
        self._merge_all(ack.updates)
        self._note_contact(ack.name, ack.digest)
        relayed = self._relayed_pings.pop(ack.seq, None)
        if relayed is not None and relayed.name == ack.name:
            self._queue_send(relayed.to, Ack(relayed.seq, ack.name, ack.digest, self._piggyback()))
            return
        probe = self._probe
        if probe is not None and probe.seq == ack.seq and probe.name == ack.name and not probe.acked:
            probe.acked = True
            self._probe = None
            self._adjust_health(-1)

    def _on_ping_request(self, request: PingRequest) -> None:
        self._merge(request.sender)
        self._merge_all(request.updates)
        self._note_contact(request.sender.name, self.peer_digests.get(request.sender.name, 0))
        if len(self._relayed_pings) >= MAX_RELAYED_PINGS:
            self.counters.rejected += 1
            return
        self._seq += 1
        at = self.now + self.settings.probe_timeout_us * 4 // 5
        self._relayed_pings[self._seq] = _RelayedPing(request.sender.address, request.seq, request.to, at)
        known = self.members.get(request.to)
        priority = (
            [known] if known is not None and known.state is State.SUSPECT and self.settings.buddy else []
        )
        self._queue_send(
            (request.ip, request.port),
            Ping(self._seq, self.me, request.to, self.digest, self._piggyback(priority)),
        )

    def _note_contact(self, name: str, digest: int) -> None:
        """Note that a message came directly from this member."""
        if name in self.members:
            self.peer_digests[name] = digest
        suspicion = self._suspicions.get(name)
        if suspicion is not None and self.health:
            # A starved member reads refutations seconds late and would declare healthy members dead. While
            # its own health is in doubt, a message from the suspect itself restarts the suspicion. A healthy
            # member does not restart it, so it still detects a member that sends but does not receive.
            suspicion.started_us = self.now

    def on_full_state(self, remote: FullState, now: int) -> list[Action]:
        """Merge the peer's full state, from a push-pull exchange that either side started."""
        self.now = max(now, self.now)
        if self.yielded:
            return []
        self.counters.push_pulls += 1
        self._merge(remote.sender)
        for update in remote.members:
            known = self.members.get(update.name)
            if update.state is State.DEAD and (known is None or known.state <= State.SUSPECT):
                # After a partition each half takes the other for dead, and one exchange would spread that to
                # members that know better. As a suspicion it can be refuted.
                update = msgspec.structs.replace(update, state=State.SUSPECT, reporter=remote.sender.name)
                if known is None:
                    continue
            self._merge(update)
        return self._take_actions()

    # Updates

    def _merge_all(self, items: Iterable[MemberUpdate]) -> None:
        for update in items:
            self._merge(update)

    def _merge(self, update: MemberUpdate) -> None:
        if update.name == self.me.name:
            self._on_own_update(update)
            return
        known = self.members.get(update.name)
        if known is None:
            self._add_member(update)
            return
        if update.incarnation == known.incarnation and update.state is known.state is State.SUSPECT:
            self._confirm_suspicion(update)
            return
        if (update.incarnation, update.state) <= (known.incarnation, known.state):
            return
        self._apply(known, update)

    def _add_member(self, update: MemberUpdate) -> None:
        if len(self.members) >= self.settings.max_members and not self._evict_dead():
            self.counters.rejected += 1
            return
        if update.state is State.DEAD:
            # Never known alive here: remembered, so that stale gossip does not add it as alive.
            self.members[update.name] = update
            self.changed_us[update.name] = self.now
            return
        self._apply(None, update)

    def _evict_dead(self) -> bool:
        """Forget the member that has been dead for longest; return whether there was one."""
        dead = [name for name, update in self.members.items() if update.state >= State.DEAD]
        if not dead:
            return False
        self._forget(min(dead, key=lambda name: self.changed_us.get(name, 0)))
        return True

    def _apply(self, known: MemberUpdate | None, update: MemberUpdate) -> None:
        """Replace the known state of a member by the update."""
        name = update.name
        was_living = known is not None and known.state <= State.SUSPECT
        is_living = update.state <= State.SUSPECT
        self.members[name] = update
        self.changed_us[name] = self.now
        if is_living != was_living:
            self.digest ^= _name_hash(name)
            self._living_count += 1 if is_living else -1
        if is_living and not was_living:
            self._probe_order.insert(
                self.random.randrange(self._order_index, len(self._probe_order) + 1), name
            )
        self._suspicions.pop(name, None)
        if update.state is State.SUSPECT:
            self._start_suspicion(update)
        if update.state >= State.DEAD:
            self.peer_digests.pop(name, None)
        self._queue_broadcast(update)
        kind = {State.ALIVE: "joined" if not was_living else "cleared", State.SUSPECT: "suspected",
                State.DEAD: "died", State.LEFT: "left"}[update.state]  # fmt: skip
        if kind == "cleared" and known is not None and known.state is State.ALIVE:
            kind = "raised"  # only its incarnation rose
        self._emit_event(kind, update)

    def _emit_event(self, kind: str, update: MemberUpdate) -> None:
        self._actions.append(
            MemberEvent(kind, update.name, update.incarnation, update.reporter, update.address)
        )

    def _start_suspicion(self, update: MemberUpdate) -> None:
        settings = self.settings
        self.counters.suspicions += 1
        scale = max(1.0, math.log10(max(1, self._living_count)))
        shortest_us = int(settings.suspicion_multiplier * scale * settings.probe_interval_us)
        expected_confirmations = (
            min(settings.suspicion_multiplier - 2, self._living_count - 2) if settings.confirm else 0
        )
        self._suspicions[update.name] = _Suspicion(
            self.now,
            shortest_us,
            shortest_us * settings.suspicion_max_multiplier,
            expected_confirmations,
            {update.reporter},
        )

    def _confirm_suspicion(self, update: MemberUpdate) -> None:
        """Count an independent confirmation: it shortens the suspicion timeout and is gossiped too."""
        suspicion = self._suspicions.get(update.name)
        if (
            suspicion is None
            or update.reporter in suspicion.reporters
            or len(suspicion.reporters) > suspicion.expected_confirmations
        ):
            return
        suspicion.reporters.add(update.reporter)
        self._queue_broadcast(update)

    def _declare_dead(self, name: str) -> None:
        del self._suspicions[name]
        known = self.members[name]
        self.counters.deaths += 1
        self._apply(known, msgspec.structs.replace(known, state=State.DEAD, reporter=self.me.name))

    def _on_own_update(self, update: MemberUpdate) -> None:
        """Handle an update about this member itself."""
        if self.leaving or self.yielded:
            return
        if update.process_nonce == self.me.process_nonce:
            if update.incarnation >= self.me.incarnation and update.state is not State.ALIVE:
                self.counters.refutations += 1
                self._adjust_health(1)
                self._raise_incarnation(update.incarnation)
            return
        if (update.incarnation, update.state) < (self.me.incarnation, self.me.state):
            return
        if update.state is not State.ALIVE or update.address == self.me.address:
            # An earlier process of this member: no other process can have this address.
            self._raise_incarnation(update.incarnation)
        elif update.process_nonce not in self._conflicts and len(self._conflicts) < MAX_NAME_CONFLICTS:
            # An earlier process at another address, or a duplicate name: only a query can tell.
            until = self.now + 3 * self._scale_by_health(self.settings.probe_timeout_us)
            self._conflicts[update.process_nonce] = (update, until)
            self._queue_send(update.address, self._name_conflict(is_reply=False))

    def _raise_incarnation(self, above: int) -> None:
        """Refute: stay alive with an incarnation above the one received."""
        self.me = msgspec.structs.replace(self.me, incarnation=max(above, self.me.incarnation) + 1)
        self.members[self.me.name] = self.me
        self._reserve_incarnations()
        self._queue_broadcast(self.me)

    def _reserve_incarnations(self) -> None:
        if self.me.incarnation >= self.reserved_incarnation:
            self.reserved_incarnation = self.me.incarnation + RESERVED_INCARNATIONS
            self._actions.append(PersistIncarnation(self.reserved_incarnation))

    # Two processes under one name

    def _name_conflict(self, is_reply: bool) -> NameConflict:
        me = self.me
        up_ms = max(0, self.now - self.started_us) // 1_000
        return NameConflict(me.name, me.ip, me.port, me.process_nonce, up_ms, is_reply)

    def _on_name_conflict(self, conflict: NameConflict) -> None:
        if conflict.name != self.me.name or conflict.process_nonce == self.me.process_nonce:
            return
        pending = self._conflicts.pop(conflict.process_nonce, None)
        own_up_ms = max(0, self.now - self.started_us) // 1_000
        is_older = (own_up_ms, self.me.process_nonce) > (conflict.up_ms, conflict.process_nonce)
        if not conflict.is_reply:
            self._queue_send((conflict.ip, conflict.port), self._name_conflict(is_reply=True))
        if self.yielded:
            return
        other_process = msgspec.structs.replace(
            self.me,
            ip=conflict.ip,
            port=conflict.port,
            process_nonce=conflict.process_nonce,
            reporter=self.me.name,
        )
        if (
            conflict.process_nonce not in self._reported_duplicates
            and len(self._reported_duplicates) < MAX_NAME_CONFLICTS
        ):
            self._reported_duplicates.add(conflict.process_nonce)
            self._emit_event("twin", other_process)
        if is_older:
            self._raise_incarnation(max(self.me.incarnation, pending[0].incarnation if pending else 0))
        else:
            self._yield_name(other_process)

    def _yield_name(self, other: MemberUpdate) -> None:
        self.yielded = True
        self.members[self.me.name] = other
        self._probe = None
        self._broadcasts.clear()
        self._suspicions.clear()
        self._relayed_pings.clear()
        self._conflicts.clear()
        self._emit_event("back", other)

    def _conflict_unanswered(self, process_nonce: int) -> None:
        update, _ = self._conflicts.pop(process_nonce)
        self._raise_incarnation(update.incarnation)  # no answer: it was an earlier process

    # Dissemination

    def _queue_broadcast(self, update: MemberUpdate) -> None:
        """Queue an update for gossip.

        A newer state replaces older ones; confirmations of a suspicion are queued side by side.
        """
        key = (update.name, update.reporter if update.state is State.SUSPECT else "")
        if update.state is not State.SUSPECT:
            for old in [old for old in self._broadcasts if old[0] == update.name]:
                del self._broadcasts[old]
        else:
            self._broadcasts.pop((update.name, ""), None)
        if len(self._broadcasts) >= 2 * self.settings.max_members:
            self._broadcasts.popitem()
        if not self._broadcasts:
            self._next_gossip_us = max(self._next_gossip_us, self.now)
        self._broadcasts[key] = _Broadcast(update, encoded_size(update))
        self._broadcasts.move_to_end(key, last=False)  # the newest first

    def _piggyback(self, priority: list[MemberUpdate] | None = None) -> list[MemberUpdate]:
        """Choose the updates for one datagram: `priority`, then the least transmitted that fit."""
        chosen = list(priority or ())
        remaining_bytes = (
            MAX_DATAGRAM_BYTES
            - MAX_ENVELOPE_BYTES
            - MESSAGE_OVERHEAD_BYTES
            - 2 * encoded_size(self.me)
            - sum(map(encoded_size, chosen))
        )
        if not self._broadcasts:
            return chosen
        max_transmits = self.settings.retransmit_multiplier * math.ceil(math.log10(self._living_count + 1))
        exhausted = []
        ranked = heapq.nsmallest(
            MAX_UPDATES - len(chosen), self._broadcasts.items(), key=lambda item: item[1].sent
        )
        for key, broadcast in ranked:
            if broadcast.bytes > remaining_bytes:
                continue
            remaining_bytes -= broadcast.bytes
            chosen.append(broadcast.update)
            broadcast.sent += 1
            if broadcast.sent >= max_transmits:
                exhausted.append(key)
        for key in exhausted:
            del self._broadcasts[key]
        return chosen

    def _gossip(self) -> None:
        self._next_gossip_us = self.now + self.settings.gossip_interval_us
        for name in self._random_alive(self.settings.fanout):
            updates = self._piggyback()
            if not updates:
                break
            self._queue_send(self.members[name].address, Gossip(updates))

    def _queue_send(self, to: Address, message: Message) -> None:
        self._actions.append(Send(to, message))

    # Push-pull and reconnects

    def _push_pull(self, to: Address) -> None:
        self._actions.append(PushPull(to))

    def _reconnect(self) -> None:
        """Contact a dead member, or a join address that no living member has.

        This reunites the halves of a healed partition, and lets a member that knew nobody find its fleet.
        """
        living_addresses = {update.address for update in self.members.values() if update.state is State.ALIVE}
        unreached = [address for address in self.join if address not in living_addresses]
        dead = [update.address for update in self.members.values() if update.state is State.DEAD]
        dead = [address for address in dead if address not in living_addresses]
        if not unreached and not dead:
            return
        # Alternate between both, so that many dead members do not delay the join addresses.
        self._reconnect_count += 1
        candidates = unreached if unreached and (not dead or self._reconnect_count % 2) else dead
        self.counters.reconnects += 1
        self._push_pull(candidates[self.random.randrange(len(candidates))])

    def _forget_expired(self) -> None:
        """Forget members that have been dead for longer than the retention time."""
        limit = self.now - self.settings.dead_retention_us
        for name in [name for name, update in self.members.items() if update.state >= State.DEAD]:
            if self.changed_us.get(name, self.started_us) < limit:
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self.members[name]
        self.changed_us.pop(name, None)
        self.peer_digests.pop(name, None)

    # Local changes

    def leave(self, now: int) -> list[Action]:
        """Announce that this member leaves for good, so that the others need not detect it."""
        self.now = now
        if self.yielded or self.leaving:
            return []
        self.leaving = True
        self.me = msgspec.structs.replace(self.me, state=State.LEFT, reporter=self.me.name)
        self.members[self.me.name] = self.me
        for name in self._random_alive(2 * self.settings.fanout):
            self._queue_send(self.members[name].address, Gossip([self.me]))
        return self._take_actions()

    def reconfigure(self, settings: Settings, join: tuple[Address, ...]) -> None:
        """Replace the settings and the join addresses."""
        self.settings = settings
        self.join = join[:MAX_JOIN_ADDRESSES]

    def seed_members(self, members: Iterable[MemberUpdate]) -> None:
        """Start with these members known to be alive, for measurements of a converged fleet."""
        for update in members:
            if update.name not in self.members:
                self.members[update.name] = update
                self.digest ^= _name_hash(update.name)
                self._living_count += 1
        self._probe_order = list(self.members)
        self.random.shuffle(self._probe_order)
        self._broadcasts.clear()


def convergence_bound_us(settings: Settings, members: int, healthy: bool = True) -> int:
    """Return the time after the last fault by which every living member's view is exactly the living members.

    docs/design/view.md derives it. Without `healthy`, members may start at their worst local health, at which
    probes take nine times as long.
    """
    count = max(2, members)
    slow = 1 if healthy else MAX_LOCAL_HEALTH + 1
    probes = math.ceil(math.log(1e6)) + 1  # after this many rounds one member in a million is unprobed
    detect = probes * settings.probe_interval_us * slow
    shortest = int(settings.suspicion_multiplier * max(1.0, math.log10(count)) * settings.probe_interval_us)
    suspect = shortest * settings.suspicion_max_multiplier  # nobody else may be there to confirm
    rounds = 2 * settings.retransmit_multiplier * math.ceil(math.log10(count + 1))
    disseminate = rounds * settings.gossip_interval_us + 2 * settings.probe_interval_us * slow
    reconnect = (
        8 * int(1.5 * settings.reconnect_interval_us) * 2
    )  # half of the attempts may go to join addresses
    return detect + suspect + disseminate + reconnect

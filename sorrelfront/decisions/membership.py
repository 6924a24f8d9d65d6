"""Decide server membership from ephemeral nodes, with suspicion and confirmation of missing servers.

An ephemeral node is deleted when its session ends, which is not necessarily when its process ends. A missing
node is therefore handled by one of three rules:

- *One node or a few, while the service is healthy*: reported as draining, at most SETTLE_DELAY_US later.
- *A bulk removal, or the whole list, while the service is in doubt*: the servers become suspects. They stay
  in use while they answer, for at most `suspect_us`. They leave once that time is over and a new read
  confirms that they are missing, or as soon as an attempt shows that one does not answer.
- *A node whose record changed just before it was deleted, or said that the server drains*: a drain, also as
  part of a bulk removal.

This module does no I/O and has no clock: events with their time in microseconds go in, actions come out.
Sources: docs/design/zookeeper.md compares the options; flap damping follows RFC 2439, sections 2 and 4.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from sorrelfront.decisions.interface import Backend, State

# Delay between the deletion of a node and its report, to see whether other nodes are deleted with it and
# whether it is created again. A drain has 500 ms of grace: the rest is left for reads and a busy event loop.
SETTLE_DELAY_US = 150_000
# Removals within this time count as one: a stalled service expires sessions on successive ticks.
BULK_WINDOW_US = 2_000_000
MAX_SMALL_REMOVAL = 2  # removals that never count as bulk: a release replaces servers one or two at a time
BULK_SHARE = 0.2  # share of the list above which simultaneous removals count as bulk
# Share of the list above which a bulk removal is doubted even if the service is healthy: no release removes
# most servers at once.
DOUBTED_BULK_SHARE = 0.5
SUSPECT_CHECK_INTERVAL_US = 200_000  # between checks whether suspects still answer
RETENTION_US = 60_000_000  # retention of the estimates of a server that left, in case it returns
FLAP_HALF_LIFE_US = 15_000_000  # half-life of the flap penalty
FLAP_SUPPRESS_THRESHOLD = 3.0  # decayed flap penalty from which a returning server is suppressed
FLAP_REUSE_THRESHOLD = 1.5  # penalty below which a suppressed server is used again
MAX_SUPPRESSION_US = 10_000_000  # upper bound on the suppression of a good server for earlier flaps
# Share of the list that may be suppressed: if more servers flap, the cause is not the servers.
MAX_SUPPRESSED_SHARE = 0.2
MAX_SERVER_IDS = 20_000  # ids; twice the length of the longest list


class Member(NamedTuple):
    """A server as described by its record.

    `created` is the zxid of the creation of its node, `version` that of its last change. Of two nodes of one
    id, or with one address, the one created later counts: their start times are by the clocks of their hosts.
    """

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    size: float
    started_us: int
    draining: bool
    created: int
    version: int

    def backend(self, state: State) -> Backend:
        """Return the description of this server for the balancer, in the given state."""
        return Backend(self.id, self.zone, self.kind, self.cell, state, self.size, self.started_us)


class ServiceState(Enum):
    """State of the session with the service."""

    HEALTHY = "well"  # connected, and responses arrive in time
    SLOW = "slow"  # connected, but a response is late
    DISCONNECTED = "silent"  # not connected
    SESSION_LOST = "lost"  # our session has expired, or the service has lost its data


class Answering(Enum):
    """Whether a server has answered our own attempts since a given time."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


Evidence = Callable[[str, int], Answering]


class ServerChanges(NamedTuple):
    """Report these servers to the balancer; if `complete`, they are the whole list."""

    complete: bool
    servers: tuple[tuple[Member, State], ...]


class Reread(NamedTuple):
    """Read the children again after this delay."""

    delay_us: int


class Wake(NamedTuple):
    """Call `evaluate` after this delay."""

    delay_us: int


class Suspected(NamedTuple):
    """Servers have gone missing together and stay in use while they answer.

    `server` is one of the `server_count` servers.
    """

    server_count: int
    server: str


Action = ServerChanges | Reread | Wake | Suspected


class Status(Enum):
    """Membership status of a server."""

    LISTED = "listed"
    SETTLING = "settling"  # its last node has just been deleted
    SUSPECT = "suspect"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Settings:
    """Time limits of the suspicion of missing servers, in microseconds.

    `doubt_us` is how long after a failure of the service bulk removals are attributed to that failure:
    sessions expire up to their whole timeout after it.
    """

    suspect_us: int = 30_000_000
    confirm_us: int = 1_000_000
    doubt_us: int = 30_000_000

    def __post_init__(self) -> None:
        for name in ("suspect_us", "confirm_us", "doubt_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")


@dataclass(slots=True)
class ServerEntry:
    """State kept for one server id. Times are in microseconds."""

    member: Member
    status: Status = Status.LISTED
    status_since: int = 0  # when the status last changed
    removed_at: int = -1  # when its last node was deleted
    reported: State | None = None  # state last reported to the balancer
    reported_member: Member | None = None
    drained: bool = False  # its drain has been announced; applies until the process restarts
    absence_confirmed: bool = False  # a suspect whose absence a new read has confirmed
    suspect_until: int = 0  # when the suspicion ends
    flap_penalty: float = 0.0
    flapped_at: int = 0
    suppressed_until: int = 0
    nodes: set[str] = field(default_factory=set)

    def decayed_penalty(self, now: int) -> float:
        """Return the flap penalty, decayed to the time `now`."""
        return self.flap_penalty * math.exp2(-max(0, now - self.flapped_at) / FLAP_HALF_LIFE_US)


class MembershipTracker:
    """Tracks the list of servers that is reported to the balancer.

    Events are recorded one by one. `evaluate` is called after events and when a `Wake` is due, and returns
    the actions for all of them together: evaluated one by one, a release with thousands of records would scan
    the whole list for each record.
    """

    def __init__(self, settings: Settings, seed: int, evidence: Evidence) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._evidence = evidence
        self._entries: dict[str, ServerEntry] = {}
        self._nodes: dict[str, Member | None] = {}  # None: the record is malformed
        self._first_read_complete = False
        self._list_reported = False  # the first read has been reported to the balancer
        self._doubt_until = -1
        self._service_state = ServiceState.DISCONNECTED
        self._last_contact_at = -1  # when the service last sent anything
        self._wake_at = -1
        self.rejected_records = 0  # records beyond MAX_SERVER_IDS, since the start

    # Figures

    def list_age_us(self, now: int) -> int | None:
        """Return the maximum age of the list in microseconds, or None before the first list."""
        return None if not self._list_reported else max(0, now - self._last_contact_at)

    @property
    def suspects(self) -> int:
        """The number of suspects."""
        return sum(item.status is Status.SUSPECT for item in self._entries.values())

    def suppressed(self, now: int) -> int:
        """Return the number of listed servers that are suppressed for flapping."""
        listed = (item for item in self._entries.values() if item.status is Status.LISTED)
        return sum(now < item.suppressed_until for item in listed)

    def in_doubt(self, now: int) -> bool:
        """Return whether removals are doubted because of the state of the service."""
        return self._service_state is not ServiceState.HEALTHY or now < self._doubt_until

    # Events

    def on_service_state(self, state: ServiceState, now: int) -> None:
        """Record the state of the session; removals are doubted for `doubt_us` after each failure."""
        recovered = self._list_reported and self._service_state in (
            ServiceState.DISCONNECTED,
            ServiceState.SESSION_LOST,
        )
        if state is not ServiceState.HEALTHY or recovered:
            self._doubt_until = now + self._settings.doubt_us
        self._service_state = state
        if state in (ServiceState.HEALTHY, ServiceState.SLOW):
            self._last_contact_at = now

    def on_contact(self, now: int) -> None:
        """Record that the service has sent something, if only a ping response."""
        self._last_contact_at = now

    def on_children(self, names: Iterable[str], now: int, read_sent_at: int) -> None:
        """Record the children returned by a read that was sent at `read_sent_at`; their records follow."""
        self._last_contact_at = now
        present = set(names)
        for node in [node for node in self._nodes if node not in present]:
            self._remove_node(node, now)
        for entry in self._entries.values():
            if (
                entry.status is Status.SUSPECT
                and read_sent_at >= entry.status_since + self._settings.confirm_us // 2
            ):
                entry.absence_confirmed = True

    def on_record(self, node: str, member: Member | None, now: int) -> None:
        """Record the content of a node; a malformed record is None, and its node is ignored."""
        self._last_contact_at = now
        before = self._nodes.get(node)
        if before is not None and (member is None or member.id != before.id):
            self._entries[before.id].nodes.discard(node)
            self._nodes[node] = None
            self._on_node_removed(before.id, now, changed=True)
        if member is not None and member.id not in self._entries:
            if len(self._entries) >= MAX_SERVER_IDS:
                self.rejected_records += 1
                member = None
            else:
                self._entries[member.id] = ServerEntry(member, status_since=now)
        self._nodes[node] = member
        if member is not None:
            entry = self._entries[member.id]
            entry.nodes.add(node)
            self._apply_newest_record(entry, now)

    def on_deleted_after_change(self, node: str, now: int) -> None:
        """Record that a node was deleted before a change of its record could be read.

        This is treated as a drain: a server that announces its drain and exits at once looks like this.
        """
        self._last_contact_at = now
        self._remove_node(node, now, changed=True)

    def on_first_read_complete(self, now: int) -> None:
        """Record that all records of the first read have been passed to `on_record`."""
        self._last_contact_at = now
        self._first_read_complete = True

    # Decisions

    def _apply_newest_record(self, entry: ServerEntry, now: int) -> None:
        """Apply the newest record of this id."""
        records = (self._nodes[node] for node in entry.nodes)
        member = max(
            (item for item in records if item is not None), key=lambda item: (item.created, item.version)
        )
        restarted = entry.member.started_us != member.started_us
        if restarted:
            # A new process, cold by its start time: the previous process says nothing about it.
            entry.flap_penalty, entry.suppressed_until, entry.drained = 0.0, 0, False
        returned = entry.status is Status.LEFT or (entry.drained and not member.draining)
        entry.member = member
        entry.drained = member.draining
        if entry.status is not Status.LISTED:
            entry.status, entry.status_since, entry.absence_confirmed = Status.LISTED, now, False
        if returned and not restarted and not member.draining:
            self._suppress_if_flapping(entry, now)

    def _suppress_if_flapping(self, entry: ServerEntry, now: int) -> None:
        """Suppress a server for a limited time if it has come back too often."""
        penalty = entry.decayed_penalty(now)
        listed = sum(item.status is Status.LISTED for item in self._entries.values())
        if penalty < FLAP_SUPPRESS_THRESHOLD or self.suppressed(now) + 1 > max(
            1.0, MAX_SUPPRESSED_SHARE * listed
        ):
            return
        decay_us = FLAP_HALF_LIFE_US * math.log2(penalty / FLAP_REUSE_THRESHOLD)
        entry.suppressed_until = now + min(MAX_SUPPRESSION_US, int(decay_us))

    def _remove_node(self, node: str, now: int, changed: bool = False) -> None:
        member = self._nodes.pop(node, None)
        if member is not None:
            self._entries[member.id].nodes.discard(node)
            self._on_node_removed(member.id, now, changed)

    def _on_node_removed(self, name: str, now: int, changed: bool = False) -> None:
        """Handle the deletion of a node of this id; a node of an older or newer session may still list it."""
        entry = self._entries[name]
        if entry.nodes:
            self._apply_newest_record(entry, now)
            return
        if entry.status is Status.LISTED:
            entry.status, entry.status_since, entry.removed_at = Status.SETTLING, now, now
        if changed or entry.drained:
            entry.drained = True
            self._mark_left(entry, now)

    def _mark_left(self, entry: ServerEntry, now: int) -> None:
        entry.status, entry.status_since = Status.LEFT, now

    def evaluate(self, now: int) -> list[Action]:
        """Evaluate the recorded events; return changes to report and when to call this method again."""
        if now >= self._wake_at:
            self._wake_at = -1
        if not self._first_read_complete:
            return []
        if not self._list_reported:
            self._list_reported = True
            return [ServerChanges(True, tuple(self._pending_changes(now))), *self._next_wake(now)]
        actions: list[Action] = []
        due = [
            item for item in self._entries.values()
            if item.status is Status.SETTLING and now >= item.status_since + SETTLE_DELAY_US
        ]  # fmt: skip
        if due:
            actions += self._classify_removals(due, now)
        self._check_suspects(now, actions)
        changes = self._pending_changes(now)
        if changes:
            actions.append(ServerChanges(False, tuple(changes)))
        self._discard_gone()
        return actions + self._next_wake(now)

    def _classify_removals(self, due: list[ServerEntry], now: int) -> list[Action]:
        """Accept the removal of the servers in `due`, or make them suspects."""
        # Servers that have already returned count too: otherwise, when the servers of a bulk removal register
        # again one by one, the last one would look like a single removal.
        removed = [
            item for item in self._entries.values()
            if not item.drained and (item.status in (Status.SETTLING, Status.SUSPECT)
                                     or 0 <= now - item.removed_at < BULK_WINDOW_US)
        ]  # fmt: skip
        removed_count = len(removed)
        back = sum(item.status is Status.LISTED for item in removed)
        listed = sum(item.status is Status.LISTED for item in self._entries.values())
        total = listed + removed_count - back
        bulk = removed_count > max(MAX_SMALL_REMOVAL, BULK_SHARE * total)
        majority = bulk and removed_count > DOUBTED_BULK_SHARE * total
        everyone = not listed and removed_count > 1  # a single removal is reported, even of the last server
        if not (majority or (self.in_doubt(now) and (bulk or everyone))):
            for entry in due:
                self._mark_left(entry, now)
            return []
        for entry in due:
            entry.status, entry.status_since, entry.absence_confirmed = Status.SUSPECT, now, False
            entry.suspect_until = now + self._settings.suspect_us
        return [Suspected(len(due), due[0].member.id), self._reread()]

    def _reread(self) -> Reread:
        """Return a read with a random delay, so that the instances of a fleet do not all read at once."""
        return Reread(int(self._settings.confirm_us * (0.5 + self._random.random())))

    def _check_suspects(self, now: int, actions: list[Action]) -> None:
        for entry in self._entries.values():
            if entry.status is not Status.SUSPECT:
                continue
            answering = self._evidence(entry.member.id, entry.status_since)
            if answering is Answering.NO:
                self._mark_left(entry, now)
            elif now >= entry.suspect_until:
                if entry.absence_confirmed and self._service_state in (
                    ServiceState.HEALTHY,
                    ServiceState.SLOW,
                ):
                    self._mark_left(entry, now)
                    continue
                # The service is disconnected, or has not been read since: the last list stays in use.
                entry.suspect_until = now + self._settings.confirm_us
                if not any(isinstance(item, Reread) for item in actions):
                    actions.append(self._reread())

    def _target_state(self, entry: ServerEntry, now: int) -> State:
        match entry.status:
            case Status.LISTED:
                out = entry.drained or now < entry.suppressed_until
                return State.DRAINING if out else State.READY
            case Status.LEFT:
                return State.GONE if now >= entry.status_since + RETENTION_US else State.DRAINING
            case _:  # unchanged
                return entry.reported or State.DRAINING

    def _pending_changes(self, now: int) -> list[tuple[Member, State]]:
        """Return the servers whose state or record has not been reported to the balancer yet."""
        by_address = self._servers_by_address()
        changes = []
        for entry in self._entries.values():
            state = self._target_state(entry, now)
            if by_address.get(entry.member.address) is not entry:
                # Another server uses its address now: requests for this one would reach the other.
                state = State.GONE
                if entry.status is not Status.LISTED:
                    self._mark_left(entry, now)
            if entry.reported is None and state is State.GONE:
                continue
            if state is entry.reported and entry.member == entry.reported_member:
                continue
            if entry.reported is State.READY and state is not State.READY:
                entry.flap_penalty, entry.flapped_at = entry.decayed_penalty(now) + 1.0, now
            entry.reported, entry.reported_member = state, entry.member
            changes.append((entry.member, state))
        return changes

    def _servers_by_address(self) -> dict[tuple[str, int], ServerEntry]:
        """Return the server at each address: of several, a listed one, and of these the newest."""
        found: dict[tuple[str, int], ServerEntry] = {}
        for entry in self._entries.values():
            other = found.get(entry.member.address)
            if other is None or _precedence(entry) > _precedence(other):
                found[entry.member.address] = entry
        return found

    def _discard_gone(self) -> None:
        """Remove the entries of servers whose departure has been reported and whose retention is over."""
        for name in [
            name for name, item in self._entries.items()
            if item.status is Status.LEFT and item.reported in (State.GONE, None)
        ]:  # fmt: skip
            del self._entries[name]

    def _next_wake(self, now: int) -> list[Action]:
        """Return a `Wake` for the next change that is due without an event, unless one is already pending."""
        next_at = math.inf
        for entry in self._entries.values():
            if entry.status is Status.SETTLING:
                next_at = min(next_at, entry.status_since + SETTLE_DELAY_US)
            elif entry.status is Status.SUSPECT:
                next_at = min(next_at, now + SUSPECT_CHECK_INTERVAL_US, entry.suspect_until)
            elif entry.status is Status.LEFT:
                next_at = min(
                    next_at, max(now + SUSPECT_CHECK_INTERVAL_US, entry.status_since + RETENTION_US)
                )
            elif now < entry.suppressed_until:
                next_at = min(next_at, entry.suppressed_until)
        if next_at == math.inf or (now < self._wake_at <= next_at):
            return []
        self._wake_at = int(max(next_at, now + 1))
        return [Wake(self._wake_at - now)]


def _precedence(entry: ServerEntry) -> tuple[bool, int, int]:
    return entry.status is Status.LISTED, entry.member.created, entry.member.version

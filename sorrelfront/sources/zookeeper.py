"""Server list from the children of a ZooKeeper node, and the seats of the fleet's own instances.

This module does only the I/O: what is read is passed to `decisions.membership` and
`decisions.seat_allocation`, and their actions are carried out. Both share one session. Each child is a server
with a JSON record:

    {"id": "b7", "address": "127.0.0.1:9001", "phase": "ready", "zone": "a", "kind": "m",
     "cell": 0, "size": 1.0, "started_ms": 1780000000000}

`id` and `address` are required; `phase` is `ready` or `draining`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from sorrelfront.agent_config import Config
from sorrelfront.decisions import interface as api
from sorrelfront.decisions import membership, seat_allocation
from sorrelfront.lists import MalformedList, parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import OPEN_ACL_UNSAFE, Acl, Err, Event, Flag, Perm, Stat

log = logging.getLogger(__name__)

MAX_RECORD_BYTES = 4_096
MAX_TEXT_CHARS = 128  # of an id, a zone or a kind
MAX_CHILDREN = 10_000
MAX_CONCURRENT_READS = 64  # records read at once: the most that a drain waits for behind a long first read
# Minimum time between reads of the children. Without it, each change of a release would cost each instance a
# read of all names.
MIN_CHILDREN_INTERVAL_S = 0.05
REFRESH_INTERVAL_S = 30.0  # mean time until the children are read without an event, in case a watch was lost
# Mean time between checks whether watches were lost. A change counts as notified 6 s after the service has
# it: the longest interval, a quarter above the mean, leaves a second for the read.
VERIFY_INTERVAL_S = 4.0
RETRY_DELAY_S = 1.0  # mean delay before reading again a path that is missing or refused
RESYNC_SPREAD_S = 1.0  # the instances of a fleet spread their reads after an expired session over this time
SEAT_NODE_NAME = re.compile(r"seat-([0-9]{4})")


@dataclass(frozen=True, slots=True)
class SourceSettings:
    """Settings of the source.

    `path` is the parent node of the servers, `seats_path` that of the seats; an empty `seats_path` means no
    seats.
    """

    session: net.SessionSettings
    path: str
    seats_path: str = ""
    suspicion: membership.Settings = field(default_factory=membership.Settings)
    seats: seat_allocation.Settings = field(default_factory=seat_allocation.Settings)


def parse_record(data: bytes, stat: Stat) -> membership.Member:
    """Parse the record of a server. Raises Malformed if it is invalid."""
    if len(data) > MAX_RECORD_BYTES:
        raise MalformedList(f"{len(data)} bytes")
    try:
        record = json.loads(data)
        # Without a start time the server counts as old as its node: otherwise a process that has just started
        # would be taken for warm and overloaded.
        started_ms = record.get("started_ms", stat.ctime)
        phase = record.get("phase", "ready")
        cell, size = record.get("cell", 0), record.get("size", 1.0)
        texts = [record["id"], record.get("zone", ""), record.get("kind", "")]
    except (ValueError, RecursionError, AttributeError, KeyError) as fault:
        raise MalformedList(f"{type(fault).__name__}: {str(fault)[:80]}") from None
    if not all(isinstance(text, str) and len(text) <= MAX_TEXT_CHARS for text in texts) or not texts[0]:
        raise MalformedList("id, zone or kind is not a string, or too long")
    if phase not in ("ready", "draining"):
        raise MalformedList(f"unknown phase: {str(phase)[:80]!r}")
    integers = (cell, started_ms)
    if any(isinstance(item, bool) or not isinstance(item, int) or not 0 <= item < 2**53 for item in integers):
        raise MalformedList("cell or started_ms is not an integer from 0 to 2**53 - 1")
    if isinstance(size, bool) or not isinstance(size, (int, float)) or not 0.001 <= size <= 1e6:
        raise MalformedList("size is not a number from 0.001 to 1000000")
    address = parse_address(record.get("address"))
    return membership.Member(
        texts[0], address, texts[1], texts[2], cell, float(size), started_ms * 1000, phase == "draining",
        stat.czxid, stat.mzxid,
    )  # fmt: skip


class EphemeralNodeSource:
    """Source of the server list from ephemeral nodes.

    `evidence` returns whether a server answers our attempts. `on_seat_change` is called with our seat when
    it changes.
    """

    def __init__(
        self,
        settings: SourceSettings,
        seed: int,
        name: str,
        now: Callable[[], int],
        evidence: membership.Evidence,
        on_update: Callable[[Update], None],
        on_seat_change: Callable[[int | None], None] | None = None,
        previous_seat: int | None = None,
    ) -> None:
        self._settings, self._seed, self._name = settings, seed, name
        self._now, self._on_update = now, on_update
        self._random = Random(seed)
        self.tracker = membership.MembershipTracker(settings.suspicion, seed, evidence)
        self.seats: SeatKeeper | None = None
        self._on_seat_change, self._previous_seat = on_seat_change, previous_seat
        self._session: net.Session | None = None
        self._tasks: list[asyncio.Task[None]] = []  # of the present session
        self._work_ready = asyncio.Event()
        self._connected = False
        self._children_stale = False
        self._sync_first = False  # the next read of the children is preceded by a sync
        self._delay_read = False  # the next read of the children waits a random part of RESYNC_SPREAD_S
        self._unread: OrderedDict[str, bool] = OrderedDict()  # records to read; True: a watch has fired
        self._reading: frozenset[str] = frozenset()  # nodes whose record is being read
        self._listed_nodes: set[str] = set()  # whose record is read, or is in `_unread`
        # Listed nodes whose deletion an event has reported. One that is listed again is another node of the
        # same name: what was read of the first one, and its watch, say nothing about it.
        self._deleted_nodes: set[str] = set()
        self._path_missing = False
        self._revision = 0
        self._evaluation_scheduled = False
        self._timers: set[asyncio.TimerHandle] = set()
        self.reads = 0
        self._closing_tasks: set[asyncio.Task[None]] = set()

    # Interface for the agent

    def subscribe(self) -> None:
        """Open the session, if there is none yet."""
        if self._session is None:
            self._open_session()

    def reload(self, config: Config) -> None:
        """Do nothing: the settings of this source are not part of the agent's, see `change`."""

    def change(self, settings: SourceSettings) -> None:
        """Switch to another service, path or other settings.

        The present list stays in use until the new service has been read; servers missing there become
        suspects.
        """
        if settings == self._settings:
            return
        self._settings = settings
        if self._session is not None:
            self._close_session()
            self.tracker.on_service_state(membership.ServiceState.SESSION_LOST, self._now())
            self._open_session()

    def close(self) -> None:
        """Close the session and cancel all timers."""
        self._close_session()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _open_session(self) -> None:
        self._forget_nodes()
        self._children_stale = True
        self._session = net.Session(
            self._settings.session, self._seed, self._on_session_state, self._on_event
        )
        if self._settings.seats_path and self._on_seat_change is not None:
            last = self.seats.allocator.seat if self.seats is not None else self._previous_seat
            self.seats = SeatKeeper(
                self._session, self._settings, self._seed, self._name, self._now, self._on_seat_change, last
            )
        self._tasks = [
            asyncio.create_task(self._read_loop(self._session)),
            asyncio.create_task(self._verify_loop(self._session)),
        ]

    def _close_session(self) -> None:
        session, self._session = self._session, None
        for reading in self._tasks:
            reading.cancel()
        self._tasks.clear()
        if self.seats is not None:
            self.seats.close()
        if session is not None:
            # The seat is released with the session; at once, if the close reaches the service.
            task = asyncio.create_task(session.close())
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)
        self._connected = False

    def _forget_nodes(self) -> None:
        """Have each node read again: none of them has a watch in a new session."""
        self._unread.clear()
        self._listed_nodes.clear()
        self._deleted_nodes.clear()
        self._reading = frozenset()

    # Callbacks of the session

    def _on_session_state(self, state: net.SessionState) -> None:
        if self._session is None:
            return
        now = self._now()
        self.tracker.on_service_state(SERVICE_STATES[state], now)
        if state is net.SessionState.EXPIRED:
            # The watches ended with the session: everything is read again.
            self._forget_nodes()
            self._children_stale = self._delay_read = True
        elif state is net.SessionState.CONNECTED and not self._connected and not self._listed_nodes:
            self._children_stale = True
        self._connected = state in (net.SessionState.CONNECTED, net.SessionState.SLOW)
        if self.seats is not None:
            self.seats.on_session_state(state)
        self._work_ready.set()
        self._schedule_evaluation()

    def _on_event(self, event: Event, path: str) -> None:
        if self._session is None:
            return
        if self.seats is not None and self.seats.on_event(path):
            return
        log.info("watch event: %s, %s", event.name.lower(), path[-MAX_TEXT_CHARS:])
        node = path.rpartition("/")[2]
        if path == self._settings.path:
            self._children_stale = True
        elif event is Event.CHANGED:
            self._unread[node] = True
            self._unread.move_to_end(node, last=False)  # before the rest of a long first read
        elif event is Event.DELETED:
            self._deleted_nodes.add(node)
            self._children_stale = True
        self._work_ready.set()

    # Reading

    async def _read_loop(self, session: net.Session) -> None:
        refresh_at = 0.0
        loop = asyncio.get_running_loop()
        while True:
            self._work_ready.clear()
            if not self._connected or not (self._children_stale or self._unread):
                wait_s = max(0.0, refresh_at - loop.time()) if self._connected and refresh_at else None
                try:
                    async with asyncio.timeout(wait_s):
                        await self._work_ready.wait()
                except TimeoutError:
                    self._children_stale = self._sync_first = True
                continue
            try:
                if self._children_stale:
                    await self._read_children(session)
                    refresh_at = loop.time() + REFRESH_INTERVAL_S * (0.5 + self._random.random())
                await self._read_records(session)
            except net.ConnectionLost:
                self._children_stale = True  # the response may have been lost, and its watch with it
            except net.ZooKeeperError as refused:
                log.warning("the service refused a read of %s: %s", self._settings.path, refused)
                await asyncio.sleep(RETRY_DELAY_S * (0.5 + self._random.random()))
            except net.TooManyRequests:
                log.warning("too many requests to the service are waiting")
                await asyncio.sleep(MIN_CHILDREN_INTERVAL_S)
            self._schedule_evaluation()

    async def _verify_loop(self, session: net.Session) -> None:
        """Have lost watches noticed, whose changes would otherwise never be read."""
        while True:
            await asyncio.sleep(VERIFY_INTERVAL_S * (0.75 + 0.5 * self._random.random()))
            if not self._connected:
                continue
            self._read_unwatched(session)
            try:
                await session.verify_watches()
            except (net.ConnectionLost, net.TooManyRequests):
                continue  # the next check covers the same changes
            except net.ZooKeeperError as refused:
                log.warning("the service refused to verify the watches: %s", refused)

    def _read_unwatched(self, session: net.Session) -> None:
        """Have listed nodes read that nothing would report a change of: no watch, no read, no event."""
        unwatched = [
            node for node in self._listed_nodes - self._unread.keys() - self._reading - self._deleted_nodes
            if not session.has_data_watch(f"{self._settings.path}/{node}")
        ]  # fmt: skip
        if unwatched:
            log.warning("no watch stands on %d nodes; they are read again", len(unwatched))
            self._unread.update(dict.fromkeys(unwatched, False))
            self._work_ready.set()

    async def _read_children(self, session: net.Session) -> None:
        if self._delay_read:
            self._delay_read = False
            await asyncio.sleep(RESYNC_SPREAD_S * self._random.random())
        read_sent_at = self._now()
        sync_first, self._sync_first = self._sync_first, False
        # From here on, a watch that fires causes another read. If the flag were cleared after the response, a
        # change reported between the read and its response would be lost.
        self._children_stale = False
        self.reads += 1
        if sync_first:
            await session.sync(self._settings.path)
        deleted = frozenset(self._deleted_nodes)  # a node that is deleted later waits for the next read
        names = await self._request_children(session)
        self._deleted_nodes -= deleted
        if len(names) > MAX_CHILDREN:
            log.warning("%d children, only %d of them are read", len(names), MAX_CHILDREN)
            names = sorted(names)[:MAX_CHILDREN]
        present = set(names)
        new, replaced = present - self._listed_nodes, present & deleted
        log.info("children: %d, of which %d are new and %d replaced; %d are gone",
                 len(present), len(new), len(replaced), len(self._listed_nodes - present))  # fmt: skip
        for node in self._listed_nodes - present:
            # A node with a reported change is still read, to learn that it changed before it was deleted.
            if not self._unread.get(node):
                self._unread.pop(node, None)
                session.forget_watch(f"{self._settings.path}/{node}")
        changed_nodes = {node for node in self._listed_nodes - present if self._unread.get(node)}
        self.tracker.on_children(present | changed_nodes, self._now(), read_sent_at)
        for node in new | replaced:
            self._unread.setdefault(node, False)
        self._listed_nodes = present | changed_nodes
        await asyncio.sleep(0 if self._unread else MIN_CHILDREN_INTERVAL_S)

    async def _request_children(self, session: net.Session) -> list[str]:
        """Return the names of the children, and have them read again later if their parent is missing."""
        self._path_missing = False
        try:
            names, _ = await session.children(self._settings.path, watch=True)
        except net.ZooKeeperError as refused:
            if refused.err != Err.NO_NODE:
                self._children_stale = True
                raise
            self._path_missing = True
            self._call_later(RETRY_DELAY_S * (0.5 + self._random.random()), self._reread_children)
            return []
        return names

    async def _read_records(self, session: net.Session) -> None:
        nodes = [
            self._unread.popitem(last=False) for _ in range(min(MAX_CONCURRENT_READS, len(self._unread)))
        ]
        self._reading = frozenset(node for node, _ in nodes)
        reads = (session.get(f"{self._settings.path}/{node}", watch=True) for node, _ in nodes)
        answers = await asyncio.gather(*reads, return_exceptions=True)
        self._reading = frozenset()
        failure: BaseException | None = None
        for (node, changed), answer in zip(nodes, answers, strict=True):
            if isinstance(answer, BaseException):
                failure = self._on_read_failure(session, node, changed, answer) or failure
            else:
                self._apply_record(node, *answer)
        self._schedule_evaluation()
        if failure is not None:
            raise failure
        if not self._unread and not self._children_stale and not self._path_missing:
            self.tracker.on_first_read_complete(self._now())

    def _apply_record(self, node: str, data: bytes, stat: Stat) -> None:
        self.reads += 1
        member = None
        try:
            member = parse_record(data, stat)
        except MalformedList as fault:
            log.warning("ignoring the record of %s: %s", node[:MAX_TEXT_CHARS], fault)
        else:
            phase = "draining" if member.draining else "ready"
            log.info("record of %s: node created in %#x, changed in %#x, %s",
                     node[:MAX_TEXT_CHARS], stat.czxid, stat.mzxid, phase)  # fmt: skip
        self.tracker.on_record(node, member, self._now())

    def _on_read_failure(
        self, session: net.Session, node: str, changed: bool, fault: BaseException
    ) -> BaseException | None:
        """Handle a failed read of a record; return the exception to raise, if any."""
        if isinstance(fault, net.ZooKeeperError) and fault.err == Err.NO_NODE:
            self._listed_nodes.discard(node)
            session.forget_watch(f"{self._settings.path}/{node}")
            if changed:
                self.tracker.on_deleted_after_change(node, self._now())
            else:
                self._children_stale = True
            return None
        if isinstance(fault, net.ZooKeeperError):
            log.warning("ignoring the record of %s: %s", node[:MAX_TEXT_CHARS], fault)
            # No watch stands on it: it is read again with the children, it may be another node by then.
            self._listed_nodes.discard(node)
            session.forget_watch(f"{self._settings.path}/{node}")
            self.tracker.on_record(node, None, self._now())
            return None
        self._unread[node] = changed or self._unread.get(node, False)
        return fault

    # Carrying out decisions

    def _schedule_evaluation(self) -> None:
        """Schedule one evaluation for all events of this event loop iteration."""
        if not self._evaluation_scheduled:
            self._evaluation_scheduled = True
            asyncio.get_running_loop().call_soon(self._evaluate)

    def _evaluate(self) -> None:
        self._evaluation_scheduled = False
        if self._session is None:
            return
        for action in self.tracker.evaluate(self._now()):
            match action:
                case membership.ServerChanges(complete, servers):
                    self._publish(complete, servers)
                case membership.Reread(delay_us):
                    self._call_later(delay_us / 1e6, self._sync_and_reread)
                case membership.Wake(delay_us):
                    self._call_later(delay_us / 1e6, self._schedule_evaluation)
                case membership.Suspected(count, server):
                    log.warning("%d servers are missing at once and kept while they answer, among them %s",
                                count, server)  # fmt: skip

    def _publish(self, complete: bool, servers: tuple[tuple[membership.Member, api.State], ...]) -> None:
        self._revision += 1
        backends = tuple(member.backend(state) for member, state in servers)
        addresses = {member.id: member.address for member, state in servers if state is not api.State.GONE}
        self._on_update(Update(self._revision, complete, backends, addresses))

    def _sync_and_reread(self) -> None:
        self._sync_first = True
        self._reread_children()

    def _reread_children(self) -> None:
        self._children_stale = True
        self._work_ready.set()

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        def due() -> None:
            self._timers.discard(timer)
            callback()

        timer = asyncio.get_running_loop().call_later(delay_s, due)
        self._timers.add(timer)

    # Figures

    def status(self) -> dict[str, Any]:
        """Return the figures of this source for the status output."""
        now = self._now()
        list_age_us = self.tracker.list_age_us(now)
        figures: dict[str, Any] = {
            "list_age_ms": None if list_age_us is None else list_age_us // 1000,
            "suspects": self.tracker.suspects,
            "held_out": self.tracker.suppressed(now), "service": None, "seat": None, "seats": None,
        }  # fmt: skip
        if self._session is not None and self._session.state is not None:
            figures["service"] = self._session.state.value
        if self.seats is not None:
            figures |= {"seat": self.seats.allocator.seat, "seats": self.seats.allocator.count}
        return figures


SERVICE_STATES = {
    net.SessionState.CONNECTED: membership.ServiceState.HEALTHY,
    net.SessionState.SLOW: membership.ServiceState.SLOW,
    net.SessionState.DISCONNECTED: membership.ServiceState.DISCONNECTED,
    net.SessionState.EXPIRED: membership.ServiceState.SESSION_LOST,
}


class SeatKeeper:
    """Carries out the actions of `decisions.seat_allocation` over the given session."""

    def __init__(
        self, session: net.Session, settings: SourceSettings, seed: int, name: str, now: Callable[[], int],
        on_seat_change: Callable[[int | None], None], previous: int | None,
    ) -> None:  # fmt: skip
        self._session, self._path, self._name, self._now, self._on_seat_change = (
            session, settings.seats_path, name, now, on_seat_change,
        )  # fmt: skip
        self.allocator = seat_allocation.SeatAllocator(settings.seats, seed, previous)
        self._random = Random(seed ^ 0x5EA7)
        self._acls: tuple[Acl, ...] = OPEN_ACL_UNSAFE
        if settings.session.auth:
            self._acls = (Acl(Perm.ALL, "auth", ""), Acl(Perm.READ, "world", "anyone"))
        self._read_needed = asyncio.Event()
        self._connected = asyncio.Event()
        self._unconfirmed: set[int] = set()  # claims and releases without a response
        self._watched_seat: int | None = None  # the seat whose node was ours when our watch was set on it
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: set[asyncio.TimerHandle] = set()
        self._spawn(self._read_loop())

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a seat task failed", exc_info=task.exception())

    def close(self) -> None:
        """Cancel all tasks and timers; the seat is released when the session ends."""
        for task in [*self._tasks]:
            task.cancel()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def on_session_state(self, state: net.SessionState) -> None:
        """Handle a change of the session state."""
        if state in (net.SessionState.CONNECTED, net.SessionState.SLOW):
            self._execute(self.allocator.on_session(seat_allocation.SessionState.CONNECTED, self._now()))
            if not self._connected.is_set():
                self._connected.set()
                self._read_needed.set()
            return
        self._connected.clear()
        expired = state is net.SessionState.EXPIRED
        if expired:
            self._unconfirmed.clear()
            self._watched_seat = None
        self._execute(
            self.allocator.on_session(
                seat_allocation.SessionState.EXPIRED
                if expired
                else seat_allocation.SessionState.DISCONNECTED,
                self._now(),
            )
        )

    def on_event(self, path: str) -> bool:
        """Read the seats again if this is a watch of theirs; return whether it is."""
        parent, _, name = path.rpartition("/")
        is_seat = parent == self._path and SEAT_NODE_NAME.fullmatch(name) is not None
        if self._watched_seat is not None and path == self._seat_path(self._watched_seat):
            self._watched_seat = None
            self._read_needed.set()
        elif path == self._path:
            self._read_needed.set()
        return is_seat or path == self._path

    async def _read_loop(self) -> None:
        while True:
            await self._connected.wait()
            await self._read_needed.wait()
            self._read_needed.clear()
            try:
                await self._read()
            except net.ConnectionLost:
                self._read_needed.set()
            except (net.ZooKeeperError, net.TooManyRequests) as refused:
                log.warning(
                    "the service refused a read of %s: %s", self._path, refused or "too many requests"
                )
                self._read_needed.set()
                await asyncio.sleep(RETRY_DELAY_S * (0.5 + self._random.random()))
            # One read covers all changes during this delay.
            await asyncio.sleep(MIN_CHILDREN_INTERVAL_S * (1 + self._random.random()))

    async def _read(self) -> None:
        try:
            names, _ = await self._session.children(self._path, watch=True)
        except net.ZooKeeperError as refused:
            if refused.err != Err.NO_NODE:
                raise
            await self._create_path()
            self._read_needed.set()
            return
        found = (SEAT_NODE_NAME.fullmatch(name) for name in names)
        taken = {int(seat[1]) for seat in found if seat}
        # Claims that succeeded although their response was lost are settled here, and the surplus seat
        # released. Otherwise an instance would hold two seats until its session ends, and the slices would
        # be uneven.
        for seat in self._unconfirmed & taken - {self.allocator.held}:
            if await self._is_ours(seat):
                self._execute(self.allocator.on_claimed(seat, True, self._now()))
        self._unconfirmed.clear()
        if self.allocator.held in taken:
            await self._confirm_held()
        self._execute(self.allocator.on_seats(taken, self._now()))

    async def _confirm_held(self) -> None:
        """Learn whether the node with the name of our seat is ours, unless a watch on it would have told."""
        seat = self.allocator.held
        if seat is None or seat == self._watched_seat:
            return
        if self._watched_seat is not None:
            self._session.forget_watch(self._seat_path(self._watched_seat))
        self._watched_seat = seat  # before the read: its watch may fire before its answer is handled
        is_ours = False
        try:
            _, stat = await self._session.get(self._seat_path(seat), watch=True)
            is_ours = stat.ephemeral_owner == self._session.id
        except net.ZooKeeperError as refused:
            if refused.err != Err.NO_NODE:
                raise
        finally:
            if not is_ours:
                self._watched_seat = None
        if not is_ours:
            log.warning("the node of seat %d is not ours any more", seat)
            self._session.forget_watch(self._seat_path(seat))
            self.allocator.on_lost(seat)

    async def _create_path(self) -> None:
        parts = self._path.split("/")[1:]
        for depth in range(1, len(parts) + 1):
            try:
                await self._session.create("/" + "/".join(parts[:depth]), b"")
            except net.ZooKeeperError as refused:
                if refused.err != Err.NODE_EXISTS:
                    raise

    def _execute(self, actions: list[seat_allocation.Action]) -> None:
        for action in actions:
            match action:
                case seat_allocation.SeatChange(seat):
                    self._on_seat_change(seat)
                case seat_allocation.Claim(seat, delay_us):
                    self._spawn(self._claim(seat, delay_us / 1e6))
                case seat_allocation.Release(seat):
                    self._spawn(self._release(seat))
                case seat_allocation.Wake(delay_us):
                    self._call_later(delay_us / 1e6)

    def _call_later(self, delay_s: float) -> None:
        def due() -> None:
            self._timers.discard(timer)
            self._execute(self.allocator.on_timer(self._now()))

        timer = asyncio.get_running_loop().call_later(delay_s, due)
        self._timers.add(timer)

    def _seat_path(self, seat: int) -> str:
        return f"{self._path}/seat-{seat:04d}"

    async def _claim(self, seat: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            await self._session.create(self._seat_path(seat), self._name.encode(), Flag.EPHEMERAL, self._acls)
        except net.ZooKeeperError as refused:
            if refused.err == Err.NODE_EXISTS:
                # A claim whose response was lost may have succeeded.
                ours = seat in self._unconfirmed and await self._is_ours(seat)
                self._unconfirmed.discard(seat)
                self._execute(self.allocator.on_claimed(seat, ours, self._now()))
                return
            log.warning("the service refused to create a seat: %s", refused)
            self._execute(self.allocator.on_claim_unknown(seat, self._now()))
            self._read_needed.set()
        except (net.ConnectionLost, net.TooManyRequests):
            self._unconfirmed.add(seat)
            self._execute(self.allocator.on_claim_unknown(seat, self._now()))
            self._read_needed.set()
        else:
            self._execute(self.allocator.on_claimed(seat, True, self._now()))

    async def _is_ours(self, seat: int) -> bool:
        """Return whether this session owns the node of the seat, after a create without a response."""
        try:
            _, stat = await self._session.get(self._seat_path(seat), watch=False)
        except (net.ZooKeeperError, net.ConnectionLost, net.TooManyRequests):
            return False
        return stat.ephemeral_owner == self._session.id

    async def _release(self, seat: int) -> None:
        try:
            await self._session.delete(self._seat_path(seat))
        except (net.ZooKeeperError, net.ConnectionLost, net.TooManyRequests) as fault:
            log.info("seat %d could not be released: %s", seat, type(fault).__name__)
            if not isinstance(fault, net.ZooKeeperError):
                self._unconfirmed.add(seat)
                self._read_needed.set()

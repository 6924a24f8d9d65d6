"""The list of servers as children of a node, each with a JSON record; and the fleet's own seats.

Here is only I/O: what is read goes to `decisions.membership` and `decisions.places`, and what these say is
done. One session serves both. A record:

    {"id": "b7", "address": "127.0.0.1:9001", "phase": "ready", "zone": "a", "kind": "m",
     "cell": 0, "size": 1.0, "started_ms": 1780000000000}

`id` and `address` are needed; `phase` is `ready` or `draining`.
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

from sorrelfront.decisions import interface as api
from sorrelfront.decisions import membership, places
from sorrelfront.lists import Malformed, parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import OPEN_TO_ALL, Acl, Err, Event, Flag, Perm, Stat
from sorrelfront.terms import Config

log = logging.getLogger(__name__)

RECORD_MOST = 4_096  # bytes
TEXT_MOST = 128  # characters of an id, a zone, a kind
CHILDREN_MOST = 10_000
READS_AT_ONCE = 64  # records asked for together: a drain behind a long first read waits for so many at most
# Between reads of the children. Risk: in a release each change would cost each instance a read of all names.
CHILDREN_EVERY_S = 0.05
REFRESH_S = 30.0  # the children are read without a reason so often, in case a watch was lost
ABSENT_S = 1.0  # between looks for a path that is not there
SPREAD_S = 1.0  # over which the instances of a fleet read anew once the service is back
SEAT_NAME = re.compile(r"seat-([0-9]{4})")


@dataclass(frozen=True, slots=True)
class Terms:
    """`path`: of the servers. `fleet`: of the seats; empty for none."""

    session: net.Terms
    path: str
    fleet: str = ""
    trust: membership.Terms = field(default_factory=membership.Terms)
    seats: places.Terms = field(default_factory=places.Terms)


def parse_record(data: bytes, stat: Stat) -> membership.Member:
    """A server's record. Raises Malformed."""
    if len(data) > RECORD_MOST:
        raise Malformed(f"{len(data)} bytes")
    try:
        record = json.loads(data)
        # Who does not say is as old as its node. Risk: taken for warm, a process just started is pushed over.
        started_ms = record.get("started_ms", stat.ctime)
        phase = record.get("phase", "ready")
        cell, size = record.get("cell", 0), record.get("size", 1.0)
        texts = [record["id"], record.get("zone", ""), record.get("kind", "")]
    except (ValueError, RecursionError, AttributeError, KeyError) as fault:
        raise Malformed(f"{type(fault).__name__}: {str(fault)[:80]}") from None
    if not all(isinstance(text, str) and len(text) <= TEXT_MOST for text in texts) or not texts[0]:
        raise Malformed("id, zone or kind is no text, or too long")
    if phase not in ("ready", "draining"):
        raise Malformed(f"phase is unknown: {str(phase)[:80]!r}")
    whole = (cell, started_ms)
    if any(isinstance(item, bool) or not isinstance(item, int) or not 0 <= item < 2**53 for item in whole):
        raise Malformed("cell or started_ms is no whole number")
    if isinstance(size, bool) or not isinstance(size, (int, float)) or not 0.001 <= size <= 1e6:
        raise Malformed("size is no number from 0.001 to 1000000")
    address = parse_address(record.get("address"))
    return membership.Member(
        texts[0], address, texts[1], texts[2], cell, float(size), started_ms * 1000, phase == "draining",
        stat.mzxid,
    )  # fmt: skip


class Ephemeral:
    """The source. `evidence` tells what attempts show of a server; `sit` is told of our seat."""

    def __init__(
        self,
        terms: Terms,
        seed: int,
        name: str,
        now: Callable[[], int],
        evidence: membership.Evidence,
        on_update: Callable[[Update], None],
        sit: Callable[[int | None], None] | None = None,
        last_seat: int | None = None,
    ) -> None:
        self._terms, self._seed, self._name = terms, seed, name
        self._now, self._on_update = now, on_update
        self._random = Random(seed)
        self.trust = membership.Trust(terms.trust, seed, evidence)
        self.seats: Seats | None = None
        self._sit, self._last_seat = sit, last_seat
        self._session: net.Session | None = None
        self._task: asyncio.Task[None] | None = None
        self._kick = asyncio.Event()
        self._connected = False
        self._children_dirty = False
        self._fresh = False  # the next read of the children has the server catch up first
        self._spread = False  # it waits for its part of SPREAD_S
        self._dirty: OrderedDict[str, bool] = OrderedDict()  # children to read; True: told to have changed
        self._names: set[str] = set()
        self._absent = False  # there is no such path
        self._told = 0
        self._settling = False
        self._timers: set[asyncio.TimerHandle] = set()
        self.reads = 0
        self._closing: set[asyncio.Task[None]] = set()

    # What the agent wants of a source

    def subscribe(self) -> None:
        if self._session is None:
            self._begin()

    def reload(self, config: Config) -> None:
        """What it goes by is not in the agent's terms: see `change`."""

    def change(self, terms: Terms) -> None:
        """Go by another service, path or terms. What was listed stays until the new one has spoken, and what
        that does not have is suspect."""
        if terms == self._terms:
            return
        self._terms = terms
        if self._session is not None:
            self._end()
            self.trust.on_service(membership.Service.LOST, self._now())
            self._begin()

    def close(self) -> None:
        self._end()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _begin(self) -> None:
        self._dirty.clear()
        self._names.clear()
        self._children_dirty = True
        self._session = net.Session(self._terms.session, self._seed, self._on_life, self._on_event)
        if self._terms.fleet and self._sit is not None:
            last = self.seats.places.seat if self.seats is not None else self._last_seat
            self.seats = Seats(self._session, self._terms, self._seed, self._name, self._now, self._sit, last)
        self._task = asyncio.create_task(self._follow(self._session))

    def _end(self) -> None:
        session, self._session = self._session, None
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.seats is not None:
            self.seats.close()
        if session is not None:
            # The seat goes with the session, at once if the service hears it.
            task = asyncio.create_task(session.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
        self._connected = False

    # What the session tells

    def _on_life(self, life: net.Life) -> None:
        if self._session is None:
            return
        now = self._now()
        self.trust.on_service(SERVICE[life], now)
        if life is net.Life.EXPIRED:
            # Watches went with the session: everything is read anew.
            self._dirty.clear()
            self._names.clear()
            self._children_dirty = self._spread = True
        elif life is net.Life.CONNECTED and not self._connected and not self._names:
            self._children_dirty = True
        self._connected = life in (net.Life.CONNECTED, net.Life.SLOW)
        if self.seats is not None:
            self.seats.on_life(life)
        self._kick.set()
        self._settle_soon()

    def _on_event(self, event: Event, path: str) -> None:
        if self._session is None:
            return
        if self.seats is not None and path == self._terms.fleet:
            self.seats.changed()
            return
        if path == self._terms.path:
            self._children_dirty = True
        elif event is Event.CHANGED:
            node = path.rpartition("/")[2]
            self._dirty[node] = True
            self._dirty.move_to_end(node, last=False)  # ahead of a long first read
        elif event is Event.DELETED:
            self._children_dirty = True
        self._kick.set()

    # Reading

    async def _follow(self, session: net.Session) -> None:
        refresh_at = 0.0
        loop = asyncio.get_running_loop()
        while True:
            self._kick.clear()
            if not self._connected or not (self._children_dirty or self._dirty):
                wait_s = max(0.0, refresh_at - loop.time()) if self._connected and refresh_at else None
                try:
                    async with asyncio.timeout(wait_s):
                        await self._kick.wait()
                except TimeoutError:
                    self._children_dirty = self._fresh = True
                continue
            try:
                if self._children_dirty:
                    await self._read_children(session)
                    refresh_at = loop.time() + REFRESH_S * (0.5 + self._random.random())
                await self._read_records(session)
            except net.Lost:
                self._children_dirty = True  # the answer may have been lost with its watch
            except net.NotDone as refused:
                log.warning("the service refuses to show %s: %s", self._terms.path, refused)
                await asyncio.sleep(ABSENT_S * (0.5 + self._random.random()))
            except net.Full:
                log.warning("too much is asked of the service at once")
                await asyncio.sleep(CHILDREN_EVERY_S)
            self._settle_soon()

    async def _read_children(self, session: net.Session) -> None:
        if self._spread:
            self._spread = False
            await asyncio.sleep(SPREAD_S * self._random.random())
        asked_at = self._now()
        fresh, self._fresh = self._fresh, False
        # From here on a watch that fires asks for another read. Risk: cleared after the answer, a change
        # that was told between the read and its answer would be forgotten.
        self._children_dirty = False
        self.reads += 1
        if fresh:
            await session.sync(self._terms.path)
        self._absent = False
        try:
            names, _ = await session.children(self._terms.path, watch=True)
        except net.NotDone as refused:
            if refused.err != Err.NO_NODE:
                self._children_dirty = True
                raise
            names = []
            self._absent = True
            self._later(ABSENT_S * (0.5 + self._random.random()), self._read_again)
        if len(names) > CHILDREN_MOST:
            log.warning("%d children, of which %d are read", len(names), CHILDREN_MOST)
            names = sorted(names)[:CHILDREN_MOST]
        present = set(names)
        for node in self._names - present:
            # One that was told to have changed is read all the same: then it is known that it changed first.
            if not self._dirty.get(node):
                self._dirty.pop(node, None)
                session.forget(f"{self._terms.path}/{node}")
        held = {node for node in self._names - present if self._dirty.get(node)}
        self.trust.on_children(present | held, self._now(), asked_at)
        for node in present - self._names:
            self._dirty.setdefault(node, False)
        self._names = present | held
        await asyncio.sleep(0 if self._dirty else CHILDREN_EVERY_S)

    async def _read_records(self, session: net.Session) -> None:
        nodes = [self._dirty.popitem(last=False) for _ in range(min(READS_AT_ONCE, len(self._dirty)))]
        gets = (session.get(f"{self._terms.path}/{node}", watch=True) for node, _ in nodes)
        answers = await asyncio.gather(*gets, return_exceptions=True)
        lost: BaseException | None = None
        for (node, changed), answer in zip(nodes, answers, strict=True):
            if isinstance(answer, BaseException):
                lost = self._not_read(session, node, changed, answer) or lost
            else:
                self._read(node, *answer)
        self._settle_soon()
        if lost is not None:
            raise lost
        if not self._dirty and not self._children_dirty and not self._absent:
            self.trust.on_whole(self._now())

    def _read(self, node: str, data: bytes, stat: Stat) -> None:
        self.reads += 1
        member = None
        try:
            member = parse_record(data, stat)
        except Malformed as fault:
            log.warning("the record of %s is left out: %s", node[:TEXT_MOST], fault)
        self.trust.on_record(node, member, self._now())

    def _not_read(
        self, session: net.Session, node: str, changed: bool, fault: BaseException
    ) -> BaseException | None:
        """What is to be raised of it, if anything."""
        if isinstance(fault, net.NotDone) and fault.err == Err.NO_NODE:
            self._names.discard(node)
            session.forget(f"{self._terms.path}/{node}")
            if changed:
                self.trust.on_changed_away(node, self._now())
            else:
                self._children_dirty = True
            return None
        if isinstance(fault, net.NotDone):
            log.warning("the record of %s is left out: %s", node[:TEXT_MOST], fault)
            self.trust.on_record(node, None, self._now())
            return None
        self._dirty[node] = changed or self._dirty.get(node, False)
        return fault

    # Doing what is decided

    def _settle_soon(self) -> None:
        """Once for all that this turn of the loop brings."""
        if not self._settling:
            self._settling = True
            asyncio.get_running_loop().call_soon(self._settle)

    def _settle(self) -> None:
        self._settling = False
        if self._session is None:
            return
        for action in self.trust.settle(self._now()):
            match action:
                case membership.Told(complete, servers):
                    self._tell(complete, servers)
                case membership.Reread(delay_us):
                    self._later(delay_us / 1e6, self._read_fresh)
                case membership.Wake(delay_us):
                    self._later(delay_us / 1e6, self._settle_soon)
                case membership.Suspected(count, server):
                    log.warning("%d servers vanished together, and are kept while they answer: %s among them",
                                count, server)  # fmt: skip

    def _tell(self, complete: bool, servers: tuple[tuple[membership.Member, api.State], ...]) -> None:
        self._told += 1
        backends = tuple(member.backend(state) for member, state in servers)
        addresses = {member.id: member.address for member, state in servers if state is not api.State.GONE}
        self._on_update(Update(self._told, complete, backends, addresses))

    def _read_fresh(self) -> None:
        self._fresh = True
        self._read_again()

    def _read_again(self) -> None:
        self._children_dirty = True
        self._kick.set()

    def _later(self, delay_s: float, do: Callable[[], None]) -> None:
        def due() -> None:
            self._timers.discard(timer)
            do()

        timer = asyncio.get_running_loop().call_later(delay_s, due)
        self._timers.add(timer)

    # Figures

    def figures(self) -> dict[str, Any]:
        now = self._now()
        age_us = self.trust.age_us(now)
        told: dict[str, Any] = {
            "list_age_ms": None if age_us is None else age_us // 1000, "suspects": self.trust.suspects,
            "held_out": self.trust.held_out(now), "service": None, "seat": None, "seats": None,
        }  # fmt: skip
        if self._session is not None and self._session.life is not None:
            told["service"] = self._session.life.value
        if self.seats is not None:
            told |= {"seat": self.seats.places.seat, "seats": self.seats.places.count}
        return told


SERVICE = {
    net.Life.CONNECTED: membership.Service.WELL, net.Life.SLOW: membership.Service.SLOW,
    net.Life.SILENT: membership.Service.SILENT, net.Life.EXPIRED: membership.Service.LOST,
}  # fmt: skip


class Seats:
    """Carries out what `decisions.places` says, by the session that it is given."""

    def __init__(
        self, session: net.Session, terms: Terms, seed: int, name: str, now: Callable[[], int],
        sit: Callable[[int | None], None], last: int | None,
    ) -> None:  # fmt: skip
        self._session, self._path, self._name, self._now, self._sit = session, terms.fleet, name, now, sit
        self.places = places.Places(terms.seats, seed, last)
        self._random = Random(seed ^ 0x5EA7)
        self._acls: tuple[Acl, ...] = OPEN_TO_ALL
        if terms.session.auth:
            self._acls = (Acl(Perm.ALL, "auth", ""), Acl(Perm.READ, "world", "anyone"))
        self._dirty = asyncio.Event()
        self._connected = asyncio.Event()
        self._unsure: set[int] = set()  # claims that nobody answered
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: set[asyncio.TimerHandle] = set()
        self._spawn(self._follow())

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("keeping a seat failed", exc_info=task.exception())

    def close(self) -> None:
        for task in [*self._tasks]:
            task.cancel()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def on_life(self, life: net.Life) -> None:
        if life in (net.Life.CONNECTED, net.Life.SLOW):
            self._do(self.places.on_session(places.Session.HELD, self._now()))
            if not self._connected.is_set():
                self._connected.set()
                self._dirty.set()
            return
        self._connected.clear()
        lost = life is net.Life.EXPIRED
        if lost:
            self._unsure.clear()
        self._do(self.places.on_session(places.Session.LOST if lost else places.Session.SILENT, self._now()))

    def changed(self) -> None:
        self._dirty.set()

    async def _follow(self) -> None:
        while True:
            await self._connected.wait()
            await self._dirty.wait()
            self._dirty.clear()
            try:
                await self._read()
            except net.Lost:
                self._dirty.set()
            except (net.NotDone, net.Full) as refused:
                log.warning("the service refuses to show %s: %s", self._path, refused or "too much is asked")
                self._dirty.set()
                await asyncio.sleep(ABSENT_S * (0.5 + self._random.random()))
            # One read serves all that changes in this time.
            await asyncio.sleep(CHILDREN_EVERY_S * (1 + self._random.random()))

    async def _read(self) -> None:
        try:
            names, _ = await self._session.children(self._path, watch=True)
        except net.NotDone as refused:
            if refused.err != Err.NO_NODE:
                raise
            await self._make_path()
            self._dirty.set()
            return
        found = (SEAT_NAME.fullmatch(name) for name in names)
        taken = {int(seat[1]) for seat in found if seat}
        # What came through unheard is given back. Risk: an instance would keep two seats to the end of its
        # session, and the list be uneven for as long.
        for seat in self._unsure & taken - {self.places.held}:
            if await self._is_ours(seat):
                self._do(self.places.on_claimed(seat, True, self._now()))
        self._unsure.clear()
        self._do(self.places.on_seats(taken, self._now()))

    async def _make_path(self) -> None:
        parts = self._path.split("/")[1:]
        for depth in range(1, len(parts) + 1):
            try:
                await self._session.create("/" + "/".join(parts[:depth]), b"")
            except net.NotDone as refused:
                if refused.err != Err.NODE_EXISTS:
                    raise

    def _do(self, actions: list[places.Action]) -> None:
        for action in actions:
            match action:
                case places.Sit(seat):
                    self._sit(seat)
                case places.Claim(seat, delay_us):
                    self._spawn(self._claim(seat, delay_us / 1e6))
                case places.Release(seat):
                    self._spawn(self._release(seat))
                case places.Wake(delay_us):
                    self._later(delay_us / 1e6)

    def _later(self, delay_s: float) -> None:
        def due() -> None:
            self._timers.discard(timer)
            self._do(self.places.on_timer(self._now()))

        timer = asyncio.get_running_loop().call_later(delay_s, due)
        self._timers.add(timer)

    def _node(self, seat: int) -> str:
        return f"{self._path}/seat-{seat:04d}"

    async def _claim(self, seat: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            await self._session.create(self._node(seat), self._name.encode(), Flag.EPHEMERAL, self._acls)
        except net.NotDone as refused:
            if refused.err == Err.NODE_EXISTS:
                # A claim whose answer was lost may have come through.
                ours = seat in self._unsure and await self._is_ours(seat)
                self._unsure.discard(seat)
                self._do(self.places.on_claimed(seat, ours, self._now()))
                return
            log.warning("no seat: %s", refused)
            self._do(self.places.on_failed(seat, self._now()))
            self._dirty.set()
        except (net.Lost, net.Full):
            self._unsure.add(seat)
            self._do(self.places.on_failed(seat, self._now()))
            self._dirty.set()
        else:
            self._do(self.places.on_claimed(seat, True, self._now()))

    async def _is_ours(self, seat: int) -> bool:
        """Whether a node that is there was made by this session: its answer may have been lost."""
        try:
            _, stat = await self._session.get(self._node(seat), watch=False)
        except (net.NotDone, net.Lost, net.Full):
            return False
        return stat.owner == self._session.id

    async def _release(self, seat: int) -> None:
        try:
            await self._session.delete(self._node(seat))
        except (net.NotDone, net.Lost, net.Full) as fault:
            log.info("seat %d is not given back now: %s", seat, type(fault).__name__)
            if not isinstance(fault, net.NotDone):
                self._unsure.add(seat)
                self._dirty.set()
